"""Runs a cluster of stand-ins and configured daemons on one machine."""

import dataclasses
import hashlib
import itertools
import pathlib
import tempfile
import time
from collections.abc import Iterator
from typing import Any

from demo.document import SERVICE, make_document
from demo.processes import (
    HOST,
    Answer,
    Process,
    call,
    end_all,
    free_ports,
    start_daemon,
    spawn_stand_in,
    wait_listening,
    wait_ready,
    wait_until,
)
from jayshore.config.keys import generate_key

OPERATOR_KEY = 'operator-key-of-the-demonstration'
_CONFIG_TIMEOUT_S = 15
_LEADER_TIMEOUT_S = 15


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClusterShape:
    """Size and settings of a cluster.

    Attributes:
        domains: names of the failure domains.
        daemons: number of daemons in each domain.
        workers: number of workers in each domain.
        executors: number of executors in each domain.
        worker_capacity: resources of each worker.
        executor_slots: slots of each executor.
        service_ms: run time of a request whose body sets none, in ms.
        list_lag_ms: lag of the instance list, in ms.
        timing: timing settings of the daemons that differ from the defaults.
        limits: limits of the daemons that differ from the defaults.
    """

    domains: tuple[str, ...] = ('north', 'south', 'east')
    daemons: int = 2
    workers: int = 4
    executors: int = 2
    worker_capacity: dict[str, int] = dataclasses.field(
        default_factory=lambda: {'cpu_millis': 32_000, 'memory_mb': 131_072}
    )
    executor_slots: int = 8
    service_ms: int = 20
    list_lag_ms: int = 500
    timing: dict[str, int] = dataclasses.field(default_factory=dict)
    limits: dict[str, int] = dataclasses.field(default_factory=dict)


class Cluster:
    """Context manager that starts and ends the processes of one cluster."""

    def __init__(
        self, *, shape: ClusterShape, teams: list[dict[str, Any]]
    ) -> None:
        """Prepare a cluster without starting any process.

        Args:
            shape: size and settings of the cluster.
            teams: content of `teams.json`.
        """
        self.shape = shape
        self.teams = teams
        self.keys = {team['name']: generate_key(team['name']) for team in teams}
        self.daemons: dict[str, Process] = {}
        self.workers: dict[str, Process] = {}
        self.executors: dict[str, Process] = {}
        self.domain_of: dict[str, str] = {}
        self.version = 0
        self.ended_histories: dict[str, dict[str, Any]] = {}
        self._directory = tempfile.TemporaryDirectory(prefix='jayshore-')
        self._settings: dict[str, dict[str, Any]] = {}
        self._instances: list[dict[str, Any]] = []

    def __enter__(self) -> 'Cluster':
        """Start all processes, apply the configuration and wait for leaders."""
        try:
            self._start()
        except BaseException as failure:
            failure.add_note(self.read_errors())
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """End every process and delete the settings and logs."""
        self.close()

    @property
    def directory(self) -> pathlib.Path:
        """Directory of the settings and logs of the daemons."""
        return pathlib.Path(self._directory.name)

    def read_errors(self) -> str:
        """Collect the standard error output of the daemons.

        Returns:
            The output of all daemons, one after another.
        """
        paths = sorted(self.directory.glob('*.err'))
        return ''.join(path.read_text() for path in paths)

    def close(self) -> None:
        """End every process and delete the settings and logs."""
        end_all(list(self._processes()))
        self._directory.cleanup()

    def document(self) -> dict[str, Any]:
        """Build the configuration of this cluster.

        Returns:
            One value for each configuration file.
        """
        return make_document(
            domains=self.shape.domains,
            teams=self.teams,
            keys=self.keys.values(),
            daemons=self._settings.values(),
        )

    def apply(
        self, document: dict[str, Any], *, through: str | None = None
    ) -> Answer:
        """Apply a configuration, expecting the version applied last.

        Args:
            document: the whole configuration.
            through: name of the daemon to call, by default the first one.

        Returns:
            The daemon's answer.
        """
        daemon = self.daemons[through or next(iter(self.daemons))]
        answer = daemon.call(
            'PUT',
            '/v1/config',
            {'expected_version': self.version, 'document': document},
            headers=bearer(OPERATOR_KEY),
        )
        if answer.status == 200:
            self.version = answer.content['version']
        return answer

    def key(self, team: str) -> dict[str, str]:
        """Build the authorization header with a team's key.

        Args:
            team: name of the team.

        Returns:
            The header by name.
        """
        return bearer(str(self.keys[team].bearer))

    def leaders(self) -> dict[str, str]:
        """Ask all running daemons which of them lead.

        Returns:
            Name of the leader with the highest epoch, by domain.
        """
        latest: dict[str, tuple[int, str]] = {}
        for name, daemon in self.daemons.items():
            if not daemon.is_running:
                continue
            try:
                status = daemon.call('GET', '/v1/status', timeout_s=1).content
            except OSError:
                continue
            epoch = status['leader_epoch']
            domain = status['domain']
            if epoch and epoch > latest.get(domain, (0, ''))[0]:
                latest[domain] = (epoch, name)
        return {domain: leader for domain, (_, leader) in latest.items()}

    def restart_daemon(self, name: str) -> None:
        """Restart a daemon with the same settings and wait until it serves.

        Args:
            name: a daemon that has ended.
        """
        self.daemons[name] = start_daemon(self._settings[name], self.directory)
        wait_ready(self.daemons[name])

    def list_instances(self, changes: dict[str, dict[str, Any] | None]) -> None:
        """Change the platform's instance list.

        Args:
            changes: fields to change by instance id; None removes the instance.
        """
        instances = []
        for instance in self._instances:
            change = changes.get(instance['id'], {})
            if change is not None:
                instances.append({**instance, **change})
        self._instances = instances
        self.store.call('PUT', '/admin/instances', {'instances': instances})

    def add_worker(self, name: str, domain: str, worker: Process) -> None:
        """Add a worker to the platform's instance list.

        Args:
            name: its instance id, which must end in a digit.
            domain: its failure domain.
            worker: the started stand-in.
        """
        self.workers[name] = worker
        self._add_instance(name, 'worker', domain, worker.address)
        self.list_instances({})

    def submit(
        self, team: str, job: dict[str, Any], *, through: str | None = None
    ) -> Answer:
        """Submit a job.

        Args:
            team: name of the team.
            job: body of the call.
            through: name of the daemon to call, by default the first one.

        Returns:
            The daemon's answer.
        """
        daemon = self.daemons[through or next(iter(self.daemons))]
        return daemon.call('POST', '/v1/jobs', job, headers=self.key(team))

    def wait_job(
        self, submitted: Answer, limit_s: float, *, through: str | None = None
    ) -> dict[str, Any]:
        """Wait until a job is final or the time limit has passed.

        Args:
            submitted: the answer to its submission.
            limit_s: longest wait, in seconds.
            through: name of the daemon to ask, by default all in turn.

        Returns:
            The job as last read; empty if it was never read.
        """
        accepted = submitted.content
        headers = {'jayshore-ticket': accepted['ticket']}
        deadline = time.monotonic() + limit_s
        names = [through] if through else list(self.daemons)
        job_state: dict[str, Any] = {}
        for name in itertools.cycle(names):
            if time.monotonic() > deadline:
                return job_state
            path = f'/v1/jobs/{accepted["job_id"]}?wait_ms=2000'
            try:
                answer = call(
                    self.daemons[name].address, 'GET', path, headers=headers
                )
            except OSError:
                time.sleep(0.05)
                continue
            if answer.status == 200:
                job_state = answer.content
                if job_state['is_final']:
                    return job_state
        return job_state

    def _start(self) -> None:
        self.store = spawn_stand_in('store', {'lag_ms': self.shape.list_lag_ms})
        for domain in self.shape.domains:
            self._spawn_upstreams(domain)
        wait_listening(self.store)
        self._add_instances('worker', self.workers)
        self._add_instances('executor', self.executors)
        self.store.call(
            'PUT', '/admin/instances', {'instances': self._instances}
        )
        self._create_daemon_settings()
        for settings in self._settings.values():
            self.daemons[settings['name']] = start_daemon(
                settings, self.directory
            )
        for daemon in self.daemons.values():
            wait_ready(daemon)
        answer = self.apply(self.document())
        if answer.status != 200:
            raise RuntimeError(
                f'applying the configuration failed: {answer.body!r}'
            )
        wait_until(
            self._has_current_config,
            _CONFIG_TIMEOUT_S,
            'all daemons have the configuration',
        )
        wait_until(
            self._has_ready_leaders,
            _LEADER_TIMEOUT_S,
            'each domain has a leader with all upstreams',
        )

    def _spawn_upstreams(self, domain: str) -> None:
        shape = self.shape
        for number in range(shape.workers):
            name = f'{domain}-w{number}'
            self.domain_of[name] = domain
            self.workers[name] = spawn_stand_in(
                'worker',
                {'capacity': shape.worker_capacity, 'usage_lag_ms': 500},
            )
        settings = {
            'slots': shape.executor_slots,
            'service_ms': shape.service_ms,
        }
        for index in range(shape.executors):
            executor = f'{domain}-x{index}'
            self.domain_of[executor] = domain
            self.executors[executor] = spawn_stand_in('executor', settings)

    def _add_instances(self, kind: str, started: dict[str, Process]) -> None:
        for name, process in started.items():
            wait_listening(process)
            self._add_instance(
                name, kind, self.domain_of[name], process.address
            )

    def _add_instance(
        self, name: str, kind: str, domain: str, address: str
    ) -> None:
        self.domain_of[name] = domain
        self._instances.append(
            {
                'id': name,
                'kind': kind,
                'address': address,
                'domain': domain,
                'rack': f'{domain}-rack{int(name[-1]) % 2}',
                'state': 'live',
                'service': SERVICE if kind == 'executor' else None,
            }
        )

    def _create_daemon_settings(self) -> None:
        shape = self.shape
        names = [
            (f'{domain}-{number}', domain)
            for domain in shape.domains
            for number in range(shape.daemons)
        ]
        ports = iter(free_ports(2 * len(names)))
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        for name, domain in names:
            self._settings[name] = {
                'name': name,
                'domain': domain,
                'listen': f'{HOST}:{next(ports)}',
                'peer_listen': f'{HOST}:{next(ports)}',
                'store': self.store.address,
                'instance_list': self.store.address,
                'operator_key_sha256': digest,
                'log_file': str(self.directory / f'{name}.log'),
                'timing': shape.timing,
                'limits': shape.limits,
            }
            self.domain_of[name] = domain

    def _has_current_config(self) -> bool:
        return all(
            daemon.call('GET', '/v1/status').content['config_version']
            == self.version
            for daemon in self.daemons.values()
        )

    def _has_ready_leaders(self) -> bool:
        leaders = self.leaders()
        if len(leaders) < len(self.shape.domains):
            return False
        for daemon in self.daemons.values():
            known_leaders = daemon.call('GET', '/v1/status').content['leaders']
            if known_leaders != leaders:
                return False
        for name in leaders.values():
            status = self.daemons[name].call('GET', '/v1/status').content
            slots = self.shape.executors * self.shape.executor_slots
            if status['workers'] < self.shape.workers:
                return False
            if status['services'].get(SERVICE, 0) < slots:
                return False
        return True

    def _processes(self) -> Iterator[Process]:
        yield from self.daemons.values()
        yield from self.workers.values()
        yield from self.executors.values()
        if hasattr(self, 'store'):  # noqa: WPS421 unset if the start failed
            yield self.store


def bearer(key: str) -> dict[str, str]:
    """Build the authorization header with a bearer key.

    Args:
        key: the key.

    Returns:
        The header by name.
    """
    return {'authorization': f'Bearer {key}'}
