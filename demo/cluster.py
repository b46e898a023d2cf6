"""A whole cluster on one machine: stand-ins, daemons and a configuration."""

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
_CONFIG_S = 15
_LEADER_S = 15


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClusterShape:
    """How large the cluster is.

    Attributes:
        domains: names of the failure domains.
        daemons: per domain.
        workers: per domain.
        executors: per domain.
        worker_capacity: resources of each worker.
        executor_slots: of each executor.
        service_ms: run time of a request whose body does not say it.
        list_lag_ms: lag of the instance list.
        timing: settings of the daemons that differ from the defaults.
        limits: bounds of the daemons that differ from the defaults.
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
    """Processes of one cluster; use as a context manager."""

    def __init__(
        self, *, shape: ClusterShape, teams: list[dict[str, Any]]
    ) -> None:
        """Plan a cluster; nothing is started yet.

        Args:
            shape: how large it is.
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
        """Start everything and apply the configuration."""
        try:
            self._start()
        except BaseException as failure:
            failure.add_note(self.read_errors())
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """End every process."""
        self.close()

    @property
    def directory(self) -> pathlib.Path:
        """Settings and logs of the daemons."""
        return pathlib.Path(self._directory.name)

    def read_errors(self) -> str:
        """Collect what the daemons wrote to standard error.

        Returns:
            The texts of all daemons.
        """
        paths = sorted(self.directory.glob('*.err'))
        return ''.join(path.read_text() for path in paths)

    def close(self) -> None:
        """End every process."""
        end_all(list(self._processes()))
        self._directory.cleanup()

    def document(self) -> dict[str, Any]:
        """Describe the configuration.

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
        """Apply a configuration on the version last seen.

        Args:
            document: the whole configuration.
            through: name of a daemon, the first one by default.

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
        """Make the header with a team's key.

        Args:
            team: name of the team.

        Returns:
            Headers.
        """
        return bearer(str(self.keys[team].bearer))

    def leaders(self) -> dict[str, str]:
        """Ask all daemons who leads.

        Returns:
            Names of the leading daemons by domain.
        """
        found: dict[str, tuple[int, str]] = {}
        for name, daemon in self.daemons.items():
            if not daemon.is_running:
                continue
            try:
                status = daemon.call('GET', '/v1/status', timeout_s=1).content
            except OSError:
                continue
            epoch = status['leader_epoch']
            domain = status['domain']
            if epoch and epoch > found.get(domain, (0, ''))[0]:
                found[domain] = (epoch, name)
        return {domain: leader for domain, (_, leader) in found.items()}

    def restart_daemon(self, name: str) -> None:
        """Start a daemon anew with the same settings.

        Args:
            name: a daemon that has ended.
        """
        self.daemons[name] = start_daemon(self._settings[name], self.directory)
        wait_ready(self.daemons[name])

    def list_instances(self, changes: dict[str, dict[str, Any] | None]) -> None:
        """Change the platform's list.

        Args:
            changes: fields to change by instance id; None removes it.
        """
        kept = []
        for instance in self._instances:
            change = changes.get(instance['id'], {})
            if change is not None:
                kept.append({**instance, **change})
        self._instances = kept
        self.store.call('PUT', '/admin/instances', {'instances': kept})

    def add_worker(self, name: str, domain: str, worker: Process) -> None:
        """Add a worker to the platform's list.

        Args:
            name: its instance id, which ends in a digit.
            domain: its failure domain.
            worker: the started stand-in.
        """
        self.workers[name] = worker
        self._list(name, 'worker', domain, worker.address)
        self.list_instances({})

    def submit(
        self, team: str, job: dict[str, Any], *, through: str | None = None
    ) -> Answer:
        """Submit a job.

        Args:
            team: name of the team.
            job: body of the call.
            through: name of a daemon, the first one by default.

        Returns:
            The daemon's answer.
        """
        daemon = self.daemons[through or next(iter(self.daemons))]
        return daemon.call('POST', '/v1/jobs', job, headers=self.key(team))

    def wait_job(
        self, submitted: Answer, limit_s: float, *, through: str | None = None
    ) -> dict[str, Any]:
        """Wait for the end of a job.

        Args:
            submitted: the answer to its submission.
            limit_s: longest wait, in seconds.
            through: name of a daemon, any one that answers by default.

        Returns:
            The job as last seen.
        """
        accepted = submitted.content
        headers = {'jayshore-ticket': accepted['ticket']}
        end = time.monotonic() + limit_s
        names = [through] if through else list(self.daemons)
        seen: dict[str, Any] = {}
        for name in itertools.cycle(names):
            if time.monotonic() > end:
                return seen
            path = f'/v1/jobs/{accepted["job_id"]}?wait_ms=2000'
            try:
                answer = call(
                    self.daemons[name].address, 'GET', path, headers=headers
                )
            except OSError:
                time.sleep(0.05)
                continue
            if answer.status == 200:
                seen = answer.content
                if seen['is_final']:
                    return seen
        return seen

    def _start(self) -> None:
        self.store = spawn_stand_in('store', {'lag_ms': self.shape.list_lag_ms})
        for domain in self.shape.domains:
            self._start_upstreams(domain)
        wait_listening(self.store)
        self._list_all('worker', self.workers)
        self._list_all('executor', self.executors)
        self.store.call(
            'PUT', '/admin/instances', {'instances': self._instances}
        )
        self._plan_daemons()
        for settings in self._settings.values():
            self.daemons[settings['name']] = start_daemon(
                settings, self.directory
            )
        for daemon in self.daemons.values():
            wait_ready(daemon)
        answer = self.apply(self.document())
        if answer.status != 200:
            raise RuntimeError(f'apply failed: {answer.body!r}')
        wait_until(self._is_configured, _CONFIG_S, 'configuration everywhere')
        wait_until(self._is_led, _LEADER_S, 'a leader with all upstreams')

    def _start_upstreams(self, domain: str) -> None:
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

    def _list_all(self, kind: str, started: dict[str, Process]) -> None:
        for name, process in started.items():
            wait_listening(process)
            self._list(name, kind, self.domain_of[name], process.address)

    def _list(self, name: str, kind: str, domain: str, address: str) -> None:
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

    def _plan_daemons(self) -> None:
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

    def _is_configured(self) -> bool:
        return all(
            daemon.call('GET', '/v1/status').content['config_version']
            == self.version
            for daemon in self.daemons.values()
        )

    def _is_led(self) -> bool:
        leaders = self.leaders()
        if len(leaders) < len(self.shape.domains):
            return False
        for daemon in self.daemons.values():
            known = daemon.call('GET', '/v1/status').content['leaders']
            if known != leaders:
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
        if hasattr(self, 'store'):  # noqa: WPS421 not started on an early error
            yield self.store


def bearer(key: str) -> dict[str, str]:
    """Make the header with a key.

    Args:
        key: the key.

    Returns:
        Headers.
    """
    return {'authorization': f'Bearer {key}'}
