"""What the leader needs from workers and from the placement advice service."""

import abc
import dataclasses
import enum

from jayshore.clock import Millis
from jayshore.fleet.model import GroupId, TaskId, WorkerEntry
from jayshore.outcomes import JayshoreError


class WorkerUnreachable(JayshoreError):
    """A worker gave no answer.

    Attributes:
        sent: False when the order certainly did not reach the worker.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        """Describe the failure.

        Args:
            detail: what happened.
            sent: False when the order certainly was not sent.
        """
        super().__init__(detail)
        self.sent = sent


class StartResult(enum.StrEnum):
    """A worker's answer to a start."""

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

    `BROKEN`: another member of the gang ended. `ALONE`: the other members of
    the gang did not come. `LAPSED`: the lease of the worker expired.
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
        payload: text of the job.
        lease_until_ms: end of the lease on the worker's clock.
        fence: epoch of the leader.
        checkpoint: where to resume, empty for the beginning.
        ticket: of the placement advice, empty for none.
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
    """The answer to a start.

    Attributes:
        result: what the worker did.
        clock_ms: the worker's clock, None when the answer does not tell.
    """

    result: StartResult
    clock_ms: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningTask:
    """A run that a worker lists as running.

    Attributes:
        task: the task, None when its name cannot be read.
        name: the task's name as listed.
        run: number of the run.
        checkpoint: newest checkpoint, empty for none.
        percent: share of the processor that it may use.
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
        number: rises with each end in this life of the worker.
        task: the task, None when its name cannot be read.
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
    """A renewal of a worker's lease that asks what runs and what ended.

    Attributes:
        fence: epoch of the leader.
        last_seen: number of the last end that is recorded durably.
        lease_until_ms: end of the lease on the worker's clock, None to leave
            it as it is.
        wait_ms: how long the worker may wait for an end.
    """

    fence: int
    last_seen: int
    lease_until_ms: int | None
    wait_ms: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RenewalReply:
    """What runs at a worker and what has ended there.

    Attributes:
        fenced: a leader with a higher epoch has called; nothing was done.
        other_life: another life of the worker answered; nothing was done.
        clock_ms: the worker's clock.
        born_ms: start of the worker's life, 0 when it does not tell.
        running: all runs.
        ended: ends after the last one seen, in the order of their numbers.
    """

    fenced: bool = False
    other_incarnation: bool = False
    clock_ms: int = 0
    born_ms: int = 0
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()


class WorkerClient(abc.ABC):
    """Calls one worker.

    Every method raises `WorkerUnreachable` when no answer came in time. An
    order without an answer may still be carried out later.
    """

    @abc.abstractmethod
    async def start(self, order: StartOrder) -> StartReply:
        """Order a start; a repeated order starts nothing twice.

        Args:
            order: what to start.

        Returns:
            What the worker did.
        """

    @abc.abstractmethod
    async def stop(self, task: TaskId, run: int, fence: int) -> bool:
        """Order a stop; a start of the run that comes later is refused.

        Args:
            task: the task.
            run: number of the run.
            fence: epoch of the leader.

        Returns:
            True when the worker took the order.
        """

    @abc.abstractmethod
    async def renew(self, inquiry: RenewalRequest) -> RenewalReply:
        """Renew the lease and read what runs and what has ended.

        Args:
            inquiry: what to renew and from where to list ends.

        Returns:
            The lists.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class WorkerConnector(abc.ABC):
    """Makes clients for workers."""

    @abc.abstractmethod
    def connect(self, entry: WorkerEntry) -> WorkerClient:
        """Make a client for one life of a worker.

        Args:
            entry: how the worker registered itself.

        Returns:
            A client, not connected yet.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Advice:
    """Which workers may run a task group.

    Attributes:
        tickets: ticket by id of each worker that may.
        validity_ms: how long the tickets are valid, in ms.
    """

    tickets: dict[str, str]
    validity_ms: Millis


class AdviceUnavailable(JayshoreError):
    """The placement advice service gave no advice."""


class AdviceService(abc.ABC):
    """Tells which workers may run a task group."""

    @abc.abstractmethod
    async def advise(
        self, group: GroupId, workers: tuple[str, ...], timeout_ms: Millis
    ) -> Advice:
        """Ask for advice.

        Args:
            group: the task group.
            workers: ids of the workers to judge.
            timeout_ms: the longest wait, in ms.

        Returns:
            The advice.

        Raises:
            AdviceUnavailable: no answer, or a refusal.
        """  # noqa: DAR401 raised by implementations
