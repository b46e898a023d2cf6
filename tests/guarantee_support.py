"""Helpers of the guarantee tests: clusters, background calls and figures."""

import dataclasses
import threading
import time
from http.client import HTTPException
from typing import Any

from demo.cluster import Cluster, ClusterShape
from demo.document import SERVICE
from demo.processes import Answer, Process, call, wait_until
from tests.guarantee_relay import PeerRelay

IN_FORCE_S = 3.0
"""Design, 1.2: an accepted configuration is in force within this time."""

TASK_CPU = 1000
"""CPU demand of each task of `submit_endless`, in thousandths of a core."""

TEAMS = ('fenland', 'millrace', 'riverbend')
_RECOVERY_LIMIT_S = 12


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """The result of one call; times are monotonic, in seconds.

    Attributes:
        sent: when the call was sent.
        answered: when its answer was complete or the call failed.
        status: HTTP status code, 0 without an answer.
        content: body of the answer.
        error: why there is no answer.
    """

    sent: float
    answered: float
    status: int
    content: bytes = b''
    error: str = ''


class PartitionableCluster(Cluster):
    """A cluster in which daemons can be isolated from all others."""

    relay: PeerRelay | None = None

    def document(self) -> dict[str, Any]:
        """Build the configuration with the relay's addresses in the roster.

        Returns:
            One value for each configuration file.
        """
        document = super().document()
        if self.relay is None:
            self.relay = PeerRelay(
                targets={
                    entry['name']: entry['address']
                    for entry in document['instances']
                }
            )
        for entry in document['instances']:
            entry['address'] = self.relay.addresses[entry['name']]
        return document

    def close(self) -> None:
        """Stop all processes and close the relay."""
        super().close()
        if self.relay is not None:
            self.relay.close()

    def isolate(self, *names: str) -> None:
        """Isolate daemons from the store and from all other daemons.

        Args:
            names: names of the isolated daemons; none ends the isolation.
        """
        if self.relay is not None:
            self.relay.isolate(names)
        self.store.call('POST', '/admin/faults', {'refuse_from': list(names)})


def small_shape(**changes: Any) -> ClusterShape:
    """Describe three domains with one daemon, worker and executor each.

    Args:
        changes: fields of the shape to override.

    Returns:
        The shape.
    """
    counts = {'daemons': 1, 'workers': 1, 'executors': 1}
    return ClusterShape(**{**counts, **changes})


def teams(**limit: int) -> list[dict[str, Any]]:
    """Describe three teams with equal shares and limits.

    Args:
        limit: resources of the limit to override.

    Returns:
        Content of `teams.json`.
    """
    amounts = {'cpu_millis': 96_000, 'memory_mb': 384_000, 'requests': 30}
    return [
        {
            'name': name,
            'share': 1,
            'limit': {**amounts, **limit},
            'max_waiting': 500,
        }
        for name in TEAMS
    ]


def try_call(
    process: Process,
    method: str,
    path: str,
    content: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10,
) -> Reply:
    """Send one call; a network error becomes a reply with status 0.

    Args:
        process: the process to call.
        method: HTTP method.
        path: path with query.
        content: body, as bytes or a value to encode as JSON.
        headers: further headers.
        timeout_s: timeout in seconds.

    Returns:
        The answer or the error.
    """
    sent = time.monotonic()
    try:
        answer = call(
            process.address,
            method,
            path,
            content,
            headers=headers,
            timeout_s=timeout_s,
        )
    except (OSError, HTTPException) as error:
        return Reply(
            sent=sent, answered=time.monotonic(), status=0, error=repr(error)
        )
    return Reply(
        sent=sent,
        answered=time.monotonic(),
        status=answer.status,
        content=answer.body,
    )


def send_request(
    process: Process,
    headers: dict[str, str],
    body: bytes = b'x',
    *,
    service: str = SERVICE,
    timeout_s: float = 10,
) -> Reply:
    """Send one request to a service.

    Args:
        process: the daemon.
        headers: headers with the team's key.
        body: the opaque request body.
        service: name of the service.
        timeout_s: timeout in seconds.

    Returns:
        The answer or the error.
    """
    path = f'/v1/requests/{service}'
    return try_call(process, 'POST', path, body, headers, timeout_s)


def send_job(process: Process, headers: dict[str, str]) -> Reply:
    """Submit a job with one task of 1 ms.

    Args:
        process: the daemon.
        headers: headers with the team's key.

    Returns:
        The answer or the error.
    """
    job = {
        'queue': 'night',
        'demand': {'cpu_millis': 10, 'memory_mb': 1},
        'payload': {'run_ms': 1},
        'idempotent': True,
    }
    return try_call(process, 'POST', '/v1/jobs', job, headers)


def submit_endless(
    cluster: Cluster,
    team: str,
    through: str,
    tasks: int,
    *,
    idempotent: bool = True,
) -> Answer:
    """Submit a job whose one-core tasks run until they are stopped.

    Args:
        cluster: the cluster.
        team: name of the team that submits.
        through: name of the daemon to call.
        tasks: number of tasks.
        idempotent: whether a task may run more than once.

    Returns:
        The answer that accepted the job.
    """
    job = {
        'queue': 'night',
        'tasks': tasks,
        'demand': {'cpu_millis': TASK_CPU, 'memory_mb': 64},
        'payload': {},
        'idempotent': idempotent,
    }
    answer: Answer = cluster.submit(team, job, through=through)
    assert answer.status == 202, answer.body
    return answer


class BackgroundCalls:
    """Repeats calls in threads until it is stopped."""

    def __init__(self, *, pause_s: float = 0.02) -> None:
        """Create the object without calls.

        Args:
            pause_s: pause between two calls of one thread, in seconds.
        """
        self.replies: dict[str, list[Reply]] = {}
        self._pause_s = pause_s
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def __enter__(self) -> 'BackgroundCalls':
        """Return the object; `add` starts the calls."""
        return self

    def __exit__(self, *_: object) -> None:
        """Stop all threads."""
        self.stop()

    def add(self, name: str, send: Any, *arguments: Any) -> None:
        """Start a thread that repeats one call.

        Args:
            name: key of the replies in `replies`.
            send: function that sends the call and returns its reply.
            arguments: arguments of `send`.
        """
        self.replies.setdefault(name, [])
        thread = threading.Thread(
            target=self._repeat, args=(name, send, arguments)
        )
        self._threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Stop all threads and wait for the calls in progress."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def all_replies(self) -> list[Reply]:
        """Collect all replies.

        Returns:
            The replies of all threads, in no order.
        """
        return [reply for own in self.replies.values() for reply in own]

    def _repeat(self, name: str, send: Any, arguments: Any) -> None:
        while not self._stopped.is_set():
            self.replies[name].append(send(*arguments))
            self._stopped.wait(self._pause_s)


def probe_key(
    background: BackgroundCalls, cluster: Cluster, headers: dict[str, str]
) -> None:
    """Repeat a request and a job submission with a key at every daemon.

    Args:
        background: the object that repeats the calls.
        cluster: the cluster whose daemons are called.
        headers: headers with the key.
    """
    for name, daemon in cluster.daemons.items():
        background.add(f'{name} request', send_request, daemon, headers)
        background.add(f'{name} job', send_job, daemon, headers)


def last_acceptance_delay_s(background: BackgroundCalls, since: float) -> float:
    """Compute how long calls were still accepted after a point in time.

    Args:
        background: the replies; status 200 or 202 means accepted.
        since: the point in time, on the monotonic clock in seconds.

    Returns:
        Seconds from `since` to the last accepting answer, at least 0.
    """
    accepted = [
        reply.answered
        for reply in background.all_replies()
        if reply.status in {200, 202}
    ]
    return max(0.0, max(accepted, default=since) - since)


def status_of(daemon: Process) -> dict[str, Any]:
    """Read the status of a daemon.

    Args:
        daemon: the daemon.

    Returns:
        The decoded answer.
    """
    answer: Answer = daemon.call('GET', '/v1/status', timeout_s=2)
    found: dict[str, Any] = answer.content
    return found


def heal(cluster: Cluster) -> float:
    """End store faults and isolation, and wait until all daemons recover.

    Args:
        cluster: the cluster.

    Returns:
        How long the recovery took, in seconds.
    """
    cluster.store.call(
        'POST', '/admin/faults', {'mode': 'up', 'refuse_from': []}
    )
    if isinstance(cluster, PartitionableCluster) and cluster.relay is not None:
        cluster.relay.isolate(())
    return wait_until(
        lambda: _is_recovered(cluster), _RECOVERY_LIMIT_S, 'all daemons work'
    )


def _is_recovered(cluster: Cluster) -> bool:
    leaders = cluster.leaders()
    if len(leaders) < len(cluster.shape.domains):
        return False
    for daemon in cluster.daemons.values():
        status = status_of(daemon)
        if status['config_version'] != cluster.version:
            return False
        if not status['is_fresh'] or status['leaders'] != leaders:
            return False
    slots = cluster.shape.executors * cluster.shape.executor_slots
    return all(
        status_of(cluster.daemons[name])['services'].get(SERVICE, 0) >= slots
        for name in leaders.values()
    )


def print_figure(figure: str, measured: float, bound: float, unit: str) -> None:
    """Print a measured figure next to its bound.

    Args:
        figure: name of the figure.
        measured: the measured value.
        bound: the stated target.
        unit: unit of both values.
    """
    print(f'{figure}: {measured:.3f} {unit}, bound {bound:g} {unit}')
