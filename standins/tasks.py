"""Tasks of the worker stand-in, simulated by timers."""

import dataclasses
import enum

import msgspec

from jayshore.clock import Clock, Millis
from jayshore.resources import Resources

_FULL_SPEED = 100


class Payload(msgspec.Struct, kw_only=True):
    """Simulated behaviour of a task.

    Attributes:
        run_ms: run time at full speed, in ms; None for a service, which runs
            until it is stopped.
        fail: whether it ends as failed.
        usage: resources that it really uses, None for the declared ones.
        output: result of a successful run.
        resume_from_ms: run time covered by an earlier checkpoint, in ms.
    """

    run_ms: int | None = None
    fail: bool = False
    usage: Resources | None = None
    output: str = ''
    resume_from_ms: int = 0


class TaskOrder(msgspec.Struct, kw_only=True):
    """A task as a leader starts it.

    Attributes:
        task_id: id of the task.
        attempt: number of the attempt.
        resources: resources that the leader reserves for it.
        payload: its simulated behaviour.
        team: team that owns the task, for the history.
        job_id: the job it belongs to, for the history.
    """

    task_id: str
    attempt: int
    resources: Resources = Resources()
    payload: Payload = msgspec.field(default_factory=Payload)
    team: str = ''
    job_id: str = ''


class Outcome(enum.StrEnum):
    """How a task ended."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lease_expired'
    REBOOTED = 'rebooted'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskReport:
    """A task as reported when a lease is opened or renewed.

    Attributes:
        task_id: id of the task.
        attempt: number of the attempt.
        state: `running` or `finished`.
        outcome: how it ended, None while it runs.
        output: result of a successful run.
        lease_id: the lease under which it was started.
        progress_ms: run time at full speed so far, in ms.
        checkpoint_ms: run time covered by its last checkpoint, in ms.
        usage: resources in use, None before the first usage report.
    """

    task_id: str
    attempt: int
    state: str
    outcome: Outcome | None
    output: str
    lease_id: int
    progress_ms: int
    checkpoint_ms: int
    usage: Resources | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskHistoryRecord:
    """One start of a task as it really happened, for checks.

    Attributes:
        task_id: id of the task.
        attempt: number of the attempt.
        team: team that owns the task.
        job_id: the job it belongs to.
        lease_id: the lease under which it was started.
        boot_id: the boot in which it ran.
        start_ms: when it started, in ms.
        end_ms: when it ended, in ms; None while it runs.
        outcome: how it ended, None while it runs.
        resources: resources that the leader reserved for it.
        leaving: whether the worker was leaving when it started.
    """

    task_id: str
    attempt: int
    team: str
    job_id: str
    lease_id: int
    boot_id: str
    start_ms: Millis
    end_ms: Millis | None
    outcome: Outcome | None
    resources: Resources
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartContext:
    """State of the worker when a task starts.

    Attributes:
        lease_id: the lease that the start carried.
        boot_id: the boot of the worker.
        leaving: whether the worker was leaving.
    """

    lease_id: int
    boot_id: str
    leaving: bool


class SimulatedTask:
    """A started task, simulated by a timer.

    Attributes:
        order: the task as ordered.
        outcome: how it ended, None while it runs.
        is_usage_reported: whether a renewal has reported its usage.
    """

    def __init__(
        self, *, order: TaskOrder, context: StartContext, clock: Clock
    ) -> None:
        """Start the task.

        Args:
            order: the task to run.
            context: state of the worker at the start.
            clock: clock of the timer.
        """
        self.order = order
        self.outcome: Outcome | None = None
        self.is_usage_reported = False
        self._context = context
        self._clock = clock
        self._start_ms = clock.now()
        self._end_ms: Millis | None = None
        self._progress_ms = float(order.payload.resume_from_ms)
        self._advanced_at = self._start_ms
        self._speed = _FULL_SPEED
        self._checkpoint_ms = order.payload.resume_from_ms

    def advance(self) -> bool:
        """Update the progress to the current time, and end the task if due.

        Returns:
            True if this call ended the task.
        """
        if self.outcome is not None:
            return False
        now = self._clock.now()
        passed = now - self._advanced_at
        self._progress_ms += passed * self._speed / _FULL_SPEED
        self._advanced_at = now
        run_ms = self.order.payload.run_ms
        if run_ms is None or self._progress_ms < run_ms:
            return False
        failed = self.order.payload.fail
        self.end(Outcome.FAILED if failed else Outcome.SUCCEEDED)
        return True

    def end(self, outcome: Outcome) -> None:
        """End the task now.

        Args:
            outcome: how it ended.
        """
        self.outcome = outcome
        self._end_ms = self._clock.now()

    def throttle(self, percent: int) -> None:
        """Change the speed at which the task progresses.

        Args:
            percent: percentage of full speed.
        """
        self._speed = percent

    def checkpoint(self) -> int:
        """Take a checkpoint of the progress.

        Returns:
            Run time covered by the checkpoint, in ms.
        """
        self._checkpoint_ms = int(self._progress_ms)
        return self._checkpoint_ms

    def report(self, usage_lag_ms: int) -> TaskReport:
        """Create the report to the leader.

        Args:
            usage_lag_ms: age of a task at its first usage report, in ms.

        Returns:
            The report.
        """
        age = self._clock.now() - self._start_ms
        usage = self.order.payload.usage or self.order.resources
        succeeded = self.outcome is Outcome.SUCCEEDED
        return TaskReport(
            task_id=self.order.task_id,
            attempt=self.order.attempt,
            state='running' if self.outcome is None else 'finished',
            outcome=self.outcome,
            output=self.order.payload.output if succeeded else '',
            lease_id=self._context.lease_id,
            progress_ms=int(self._progress_ms),
            checkpoint_ms=self._checkpoint_ms,
            usage=usage if age >= usage_lag_ms else None,
        )

    def record(self) -> TaskHistoryRecord:
        """Create the record for the history.

        Returns:
            What really happened to the task.
        """
        return TaskHistoryRecord(
            task_id=self.order.task_id,
            attempt=self.order.attempt,
            team=self.order.team,
            job_id=self.order.job_id,
            lease_id=self._context.lease_id,
            boot_id=self._context.boot_id,
            start_ms=self._start_ms,
            end_ms=self._end_ms,
            outcome=self.outcome,
            resources=self.order.resources,
            leaving=self._context.leaving,
        )
