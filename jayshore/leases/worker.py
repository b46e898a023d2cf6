"""Calls to one worker, with every failure sorted by what may have happened."""

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
    """A call to an upstream did not give a result."""


class UpstreamUnreachable(UpstreamError):
    """The upstream did not answer."""


class EpochSuperseded(UpstreamError):
    """The upstream has granted a lease to a leader with a higher epoch."""


class LeaseSuperseded(UpstreamError):
    """The lease is not the newest one of the upstream."""


class TaskOutcome(enum.StrEnum):
    """How a worker says that a task ended."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lease_expired'
    REBOOTED = 'rebooted'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskReport:
    """A task as its worker reports it.

    Attributes:
        task_id: `<job_id>.<index>`.
        attempt: number of the attempt.
        outcome: how it ended, None while it runs.
        output: its result.
        checkpoint_ms: run time covered by its last checkpoint.
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
    """One attempt of a task."""

    task_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OpenedWorkerLease:
    """A newly granted lease with the worker's inventory.

    Attributes:
        lease_id: the fencing token that every start carries.
        boot_id: changes with every restart of the worker.
        capacity: all that the worker can run.
        leaving: whether it is to get no new work.
        tasks: running tasks, and ended ones not yet acknowledged.
    """

    lease_id: int
    boot_id: str
    capacity: Resources
    leaving: bool
    tasks: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRenewal:
    """The answer to a renewal; see `OpenedLease`."""

    leaving: bool
    tasks: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskStartOrder:
    """What a worker is told to run.

    Attributes:
        task_id: `<job_id>.<index>`.
        attempt: number of the attempt.
        job_id: the job.
        team: the team that is charged.
        resources: what is reserved for it.
        payload: JSON text from the submitter.
        resume_from_ms: run time covered by a checkpoint of an earlier attempt.
    """

    task_id: str
    attempt: int
    job_id: str
    team: str
    resources: Resources
    payload: str


class TaskStartResult(enum.Enum):
    """What became of a start."""

    STARTED = 'started'
    NOT_STARTED = 'certainly_not'
    UNCERTAIN = 'uncertain'


_Body: TypeAlias = dict[str, Any]


class HttpWorkerClient:
    """The calls to one worker."""

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
        """Use a client.

        Args:
            client: the worker's address and connections.
            checkpoints: further connections, as a checkpoint may take long and
                must not delay a renewal.
            holder: name of this daemon.
            clock: time of the last renewal.
            call_timeout_ms: timeout of a call, in ms.
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
        """When the last call that may have renewed the tasks was sent.

        A call without an answer counts up to its timeout, since it may have
        arrived at any time until then. A call that was not sent does not count;
        otherwise trying to reach a worker again would keep its task lease from
        ever being over.
        """
        return self._renewed_at

    async def open(self, epoch: int) -> OpenedWorkerLease:
        """Ask for a new lease.

        Args:
            epoch: of this leader.

        Returns:
            The lease and the inventory.

        Raises:
            EpochSuperseded: the worker has seen a higher epoch.
            UpstreamUnreachable: no answer.
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
        return decode_json(_checked(answer), OpenedWorkerLease)

    async def renew(
        self, lease_id: int, acknowledged: list[AttemptId], wait_ms: Millis
    ) -> LeaseRenewal:
        """Keep the tasks alive and wait for news.

        Args:
            lease_id: of the newest lease.
            acknowledged: ended tasks whose results are recorded.
            wait_ms: longest wait for news, in ms.

        Returns:
            All tasks of the worker.

        Raises:
            LeaseSuperseded: a newer lease was granted.
            UpstreamUnreachable: no answer.
        """  # noqa: DAR401 UpstreamUnreachable is raised by _post
        answer = await self._post(
            '/v1/lease/renew',
            {'lease_id': lease_id, 'ack': acknowledged, 'wait_ms': wait_ms},
            Millis(self._call_timeout_ms + wait_ms),
        )
        if answer.status == _STATUS_CONFLICT:
            raise LeaseSuperseded(f'lease {lease_id}')
        return decode_json(_checked(answer), LeaseRenewal)

    async def start(
        self, lease_id: int, order: TaskStartOrder
    ) -> TaskStartResult:
        """Start a task.

        Args:
            lease_id: of the newest lease.
            order: what to run.

        Returns:
            Whether it was started.
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
                _request('/v1/tasks', body), timeout_ms=self._call_timeout_ms
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
            lease_id: of the newest lease.
            task_id: the task.
            limit_ms: longest wait, in ms.

        Returns:
            Whether the worker answered that it is done.
        """
        request = _request(
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
            lease_id: of the newest lease.
            task_id: the task.

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
        before = self._renewed_at
        arrives_by = Millis(self._clock.now() + timeout_ms)
        self._renewed_at = arrives_by
        try:
            answer = await self._client.call(
                _request(path, body), timeout_ms=timeout_ms
            )
        except ConnectFailed as unsent:
            if self._renewed_at == arrives_by:
                self._renewed_at = before
            raise UpstreamUnreachable(str(unsent)) from None
        except (ConnectionLost, CallTimedOut) as error:
            raise UpstreamUnreachable(str(error)) from None
        self._renewed_at = self._clock.now()
        return answer


def _request(path: str, body: _Body) -> Request:
    return Request(method='POST', path=path, body=encode_json(body))


def _checked(answer: Response) -> bytes:
    if answer.status != _STATUS_OK:
        raise UpstreamUnreachable(f'status {answer.status}')
    return answer.body
