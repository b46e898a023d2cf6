"""Interfaces of the leader to workers and to the placement advice service."""

import abc
import dataclasses
import enum

from jayshore.clock import Millis
from jayshore.fleet.model import GroupId, TaskId, WorkerEntry
from jayshore.outcomes import JayshoreError


class WorkerUnreachable(JayshoreError):
    """A worker did not reply.

    Attributes:
        sent: False when the call certainly did not reach the worker.
        broken: the connection ended while the call waited for its reply.
    """

    def __init__(
        self, detail: str, *, sent: bool, broken: bool = False
    ) -> None:
        """Create the error.

        Args:
            detail: what happened.
            sent: False when the call certainly was not sent.
            broken: True when the connection ended during the call.
        """
        super().__init__(detail)
        self.sent = sent
        self.broken = broken


class StartResult(enum.StrEnum):
    """Result of a start order, as the worker reports it.

    `FENCED`: a leader with a higher epoch has called the worker. `OLD_RUN`: a
    stop of this run or of a later one came first. `LATE`: the lease that the
    order names has expired. `OTHER_INCARNATION`: another incarnation of the
    worker replied.
    """

    STARTED = 'started'
    FENCED = 'fenced'
    OLD_RUN = 'old_run'
    LATE = 'late'
    NO_ROOM = 'no_room'
    BAD_TICKET = 'bad_ticket'
    INVALID = 'invalid'
    BUSY = 'busy'
    OTHER_INCARNATION = 'other_life'


class EndKind(enum.StrEnum):
    """How a run ended.

    `GANG_BROKEN`: another member of the gang ended. `GANG_INCOMPLETE`: the
    other members of the gang did not start. `LEASE_EXPIRED`: the lease of the
    worker expired.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_BROKEN = 'broken'
    GANG_INCOMPLETE = 'alone'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartOrder:
    """An order to start a run.

    Attributes:
        task: the task.
        run: number of the run.
        payload: opaque text of the job.
        lease_until_ms: end of the lease on the worker's clock, in ms.
        fence: epoch of the leader, used as the fencing token.
        checkpoint: where to resume, empty to start from the beginning.
        ticket: ticket of the placement advice, empty for none.
    """

    task: TaskId
    run: int
    payload: str
    lease_until_ms: int
    fence: int
    checkpoint: str = ''
    ticket: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartReply:
    """Reply to a start order.

    Attributes:
        result: what the worker did.
        clock_ms: reading of the worker's clock in ms, None when the reply has
            none.
    """

    result: StartResult
    clock_ms: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningTask:
    """A run that a worker lists as running.

    Attributes:
        task: the task, None when its name cannot be parsed.
        name: the task's name as listed.
        run: number of the run.
        checkpoint: newest checkpoint, empty for none.
        percent: share of the work that is done.
    """

    task: TaskId | None
    name: str
    run: int
    checkpoint: str
    percent: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndedTask:
    """A run that a worker lists as ended.

    Attributes:
        number: sequence number of the end in this incarnation of the worker.
        task: the task, None when its name cannot be parsed.
        run: number of the run.
        kind: how it ended.
        checkpoint: newest checkpoint, empty for none.
    """

    number: int
    task: TaskId | None
    run: int
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RenewalRequest:
    """Renews a worker's lease and asks which runs are active or have ended.

    Attributes:
        fence: epoch of the leader, used as the fencing token.
        last_seen: number of the last end that the leader has recorded durably.
        lease_until_ms: end of the lease on the worker's clock in ms, None to
            leave the lease unchanged.
        wait_ms: how long the worker may wait for an end before it replies
            (long poll), in ms.
    """

    fence: int
    last_seen: int
    lease_until_ms: int | None
    wait_ms: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RenewalReply:
    """Active and ended runs of a worker, its reply to a lease renewal.

    Attributes:
        fenced: a leader with a higher epoch has called; nothing was done.
        other_incarnation: another incarnation of the worker replied; nothing
            was done.
        clock_ms: reading of the worker's clock, in ms.
        born_ms: start of this incarnation of the worker in ms, 0 when the
            worker does not report it.
        running: all active runs.
        ended: ends after `last_seen`, in the order of their numbers.
        more_ends: there may be further ends, which a later reply lists.
    """

    fenced: bool = False
    other_incarnation: bool = False
    clock_ms: int = 0
    born_ms: int = 0
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    more_ends: bool = False


class WorkerClient(abc.ABC):
    """Client of one worker.

    Every call raises `WorkerUnreachable` when no reply came in time. The
    worker may still execute an order whose reply was lost or late.
    """

    @abc.abstractmethod
    async def start(self, order: StartOrder) -> StartReply:
        """Order the start of a run; the order is idempotent.

        Args:
            order: what to start.

        Returns:
            What the worker did.
        """

    @abc.abstractmethod
    async def stop(self, task: TaskId, run: int, fence: int) -> bool:
        """Order the stop of a run; the worker refuses later starts of it.

        Args:
            task: the task.
            run: number of the run.
            fence: epoch of the leader.

        Returns:
            True when the worker accepted the order.
        """

    @abc.abstractmethod
    async def renew(self, request: RenewalRequest) -> RenewalReply:
        """Renew the lease and list the active and the ended runs.

        Args:
            request: the new end of the lease, and the last end that is known.

        Returns:
            The active runs, and the ends after the last known one.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class WorkerConnector(abc.ABC):
    """Creates clients of workers."""

    @abc.abstractmethod
    def connect(self, entry: WorkerEntry) -> WorkerClient:
        """Create a client of one incarnation of a worker.

        Args:
            entry: registration of the worker.

        Returns:
            A client that is not connected yet.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Advice:
    """Tickets of the workers that may run a task group.

    Attributes:
        tickets: ticket by worker id; a worker without one may not run it.
        validity_ms: how long the tickets are valid, in ms.
    """

    tickets: dict[str, str]
    validity_ms: Millis


class AdviceUnavailable(JayshoreError):
    """The placement advice service gave no advice."""


class AdviceService(abc.ABC):
    """Client of the service that decides which workers may run a group."""

    @abc.abstractmethod
    async def advise(
        self, group: GroupId, workers: tuple[str, ...], timeout_ms: Millis
    ) -> Advice:
        """Ask for advice.

        Args:
            group: the task group.
            workers: ids of the workers to evaluate.
            timeout_ms: longest wait for the reply, in ms.

        Returns:
            The advice.

        Raises:
            AdviceUnavailable: the service did not reply, or refused.
        """  # noqa: DAR401 raised by implementations
