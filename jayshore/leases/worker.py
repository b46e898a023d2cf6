"""Calls to one worker, with failures classified by what may have happened."""

import dataclasses
import enum
import json
from typing import Any, TypeAlias

import msgspec

from jayshore.clock import Clock, Millis
from jayshore.http.client import (
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
    HttpClient,
)
from jayshore.http.messages import Request, Response, decode_json, encode_json
from jayshore.outcomes import JayshoreError
from jayshore.resources import Resources

_STATUS_OK = 200
_STATUS_CREATED = 201
_STATUS_CONFLICT = 409


class UpstreamError(JayshoreError):
    """A call to an upstream failed."""


class UpstreamUnreachable(UpstreamError):
    """The upstream did not answer, or with an unexpected status."""


class EpochSuperseded(UpstreamError):
    """The upstream has granted a lease to a leader with a higher epoch."""


class LeaseSuperseded(UpstreamError):
    """The lease is not the newest one of the upstream."""


class TaskOutcome(enum.StrEnum):
    """How a task ended according to its worker."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lease_expired'
    REBOOTED = 'rebooted'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskReport:
    """A worker's report of one task.

    Attributes:
        task_id: `<job_id>.<index>`.
        attempt: number of the attempt.
        outcome: how it ended, None while it runs.
        output: result of the task.
        checkpoint_ms: run time covered by its last checkpoint, in ms.
        usage: resources in use, None before the first measurement.
    """

    task_id: str
    attempt: int
    outcome: TaskOutcome | None = None
    output: str = ''
    checkpoint_ms: int = 0
    usage: Resources | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptId:
    """Identifies one attempt of a task."""

    task_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OpenedWorkerLease:
    """A newly granted lease with the worker's inventory.

    Attributes:
        lease_id: the fencing token that every start carries.
        boot_id: changes with every restart of the worker.
        capacity: total resources of the worker.
        leaving: whether the worker is to get no new work.
        tasks: running tasks, and ended ones that were not yet acknowledged.
    """

    lease_id: int
    boot_id: str
    capacity: Resources
    leaving: bool
    tasks: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRenewal:
    """The answer to a renewal; for its fields see `OpenedWorkerLease`."""

    leaving: bool
    tasks: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskStartOrder:
    """The task attempt that a worker is told to run.

    Attributes:
        task_id: `<job_id>.<index>`.
        attempt: number of the attempt.
        job_id: id of the job.
        team: the team that is charged.
        resources: resources reserved for the attempt.
        payload: JSON text from the submitter.
    """

    task_id: str
    attempt: int
    job_id: str
    team: str
    resources: Resources
    payload: str


class TaskStartResult(enum.Enum):
    """Whether a task was started, as far as the caller can tell."""

    STARTED = 'started'
    NOT_STARTED = 'certainly_not'
    UNCERTAIN = 'uncertain'


_Body: TypeAlias = dict[str, Any]


class HttpWorkerClient:
    """HTTP client for the calls to one worker."""

    def __init__(
        self,
        *,
        client: HttpClient,
        checkpoints: HttpClient,
        holder: str,
        clock: Clock,
        call_timeout_ms: Millis,
        task_lease_ms: Millis,
    ) -> None:
        """Create a client that counts the tasks as renewed now.

        Args:
            client: HTTP client with the worker's address.
            checkpoints: HTTP client with connections of its own, as a
                checkpoint may take long and must not delay a renewal.
            holder: name of this daemon, sent as the holder of the lease.
            clock: dates calls that may renew the task leases.
            call_timeout_ms: timeout of a call, in ms; a renewal may also take
                its wait.
            task_lease_ms: how long tasks run without a renewal, in ms.
        """
        self._client = client
        self._checkpoints = checkpoints
        self._holder = holder
        self._clock = clock
        self._call_timeout_ms = call_timeout_ms
        self._task_lease_ms = task_lease_ms
        self._renewed_at = clock.now()

    @property
    def renewed_at(self) -> Millis:
        """Latest time at which a call may have renewed the task leases.

        A call without an answer counts up to its timeout, since it may have
        arrived at any time until then. A call that was not sent does not count;
        otherwise repeated attempts to reach a worker would keep its task leases
        from ever being considered expired.
        """
        return self._renewed_at

    async def open(self, epoch: int) -> OpenedWorkerLease:
        """Open a new lease.

        Args:
            epoch: epoch of this leader.

        Returns:
            The lease and the inventory.

        Raises:
            EpochSuperseded: the worker has seen a higher epoch.
            UpstreamUnreachable: no answer, or an unexpected status.
        """  # noqa: DAR401 UpstreamUnreachable is raised by _post
        answer = await self._post(
            '/v1/lease/open',
            {
                'epoch': epoch,
                'holder': self._holder,
                'task_lease_ms': self._task_lease_ms,
            },
            self._call_timeout_ms,
        )
        self._renewed_at = self._clock.now()
        if answer.status == _STATUS_CONFLICT:
            raise EpochSuperseded(f'epoch {epoch}')
        return decode_json(_checked_body(answer), OpenedWorkerLease)

    async def renew(
        self, lease_id: int, acknowledged: list[AttemptId], wait_ms: Millis
    ) -> LeaseRenewal:
        """Renew the lease, and wait for a change of a task (long poll).

        Args:
            lease_id: id of the newest lease.
            acknowledged: ended attempts whose results are recorded.
            wait_ms: how long the worker may hold the answer back until there is
                a change to report, in ms.

        Returns:
            All tasks of the worker.

        Raises:
            LeaseSuperseded: a newer lease was granted.
            UpstreamUnreachable: no answer, or an unexpected status.
        """  # noqa: DAR401 UpstreamUnreachable is raised by _post
        answer = await self._post(
            '/v1/lease/renew',
            {'lease_id': lease_id, 'ack': acknowledged, 'wait_ms': wait_ms},
            Millis(self._call_timeout_ms + wait_ms),
        )
        if answer.status == _STATUS_CONFLICT:
            raise LeaseSuperseded(f'lease {lease_id}')
        return decode_json(_checked_body(answer), LeaseRenewal)

    async def start(
        self, lease_id: int, order: TaskStartOrder
    ) -> TaskStartResult:
        """Start a task; the call does not count as a renewal.

        Args:
            lease_id: id of the newest lease.
            order: the task attempt to run.

        Returns:
            `NOT_STARTED` when the call was not sent or was refused with a
            conflict; `UNCERTAIN` without an answer or with any other status.
        """
        body = {
            'lease_id': lease_id,
            'task': {
                **msgspec.to_builtins(order),
                'payload': json.loads(order.payload),
            },
        }
        try:
            answer = await self._client.call(
                _json_post('/v1/tasks', body), timeout_ms=self._call_timeout_ms
            )
        except ConnectFailed:
            return TaskStartResult.NOT_STARTED
        except (ConnectionLost, CallTimedOut):
            return TaskStartResult.UNCERTAIN
        if answer.status == _STATUS_CREATED:
            return TaskStartResult.STARTED
        if answer.status == _STATUS_CONFLICT:
            return TaskStartResult.NOT_STARTED
        return TaskStartResult.UNCERTAIN

    async def checkpoint(
        self, lease_id: int, task_id: str, *, limit_ms: Millis
    ) -> bool:
        """Ask a task to checkpoint and wait until it has.

        The call does not renew the task lease.

        Args:
            lease_id: id of the newest lease.
            task_id: id of the task.
            limit_ms: longest wait, in ms.

        Returns:
            Whether the worker answered that the checkpoint is done.
        """
        request = _json_post(
            f'/v1/tasks/{task_id}/checkpoint', {'lease_id': lease_id}
        )
        try:
            answer = await self._checkpoints.call(request, timeout_ms=limit_ms)
        except (ConnectFailed, ConnectionLost, CallTimedOut):
            return False
        return answer.status == _STATUS_OK

    async def stop(self, lease_id: int, task_id: str) -> None:
        """Stop a task; a later renewal reports that it ended.

        Args:
            lease_id: id of the newest lease.
            task_id: id of the task.

        Raises:
            UpstreamUnreachable: no answer; the call can be repeated.
        """  # noqa: DAR401 raised by _post
        await self._post(
            f'/v1/tasks/{task_id}/stop',
            {'lease_id': lease_id},
            self._call_timeout_ms,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
        await self._checkpoints.close()

    async def _post(
        self, path: str, body: _Body, timeout_ms: Millis
    ) -> Response:
        previous = self._renewed_at
        latest_arrival = Millis(self._clock.now() + timeout_ms)
        self._renewed_at = latest_arrival
        try:
            answer = await self._client.call(
                _json_post(path, body), timeout_ms=timeout_ms
            )
        except ConnectFailed as unsent:
            if self._renewed_at == latest_arrival:
                self._renewed_at = previous
            raise UpstreamUnreachable(str(unsent)) from None
        except (ConnectionLost, CallTimedOut) as error:
            raise UpstreamUnreachable(str(error)) from None
        self._renewed_at = self._clock.now()
        return answer


def _json_post(path: str, body: _Body) -> Request:
    return Request(method='POST', path=path, body=encode_json(body))


def _checked_body(answer: Response) -> bytes:
    if answer.status != _STATUS_OK:
        raise UpstreamUnreachable(f'status {answer.status}')
    return answer.body
