"""Tasks of the worker stand-in and their history."""

import msgspec

from jayshore.clock import Clock
from standins.tasks import (
    Outcome,
    SimulatedTask,
    StartContext,
    TaskHistoryRecord,
    TaskOrder,
    TaskReport,
)


class AttemptId(msgspec.Struct, kw_only=True, frozen=True):
    """One attempt of a task.

    Attributes:
        task_id: id of the task.
        attempt: number of the attempt.
    """

    task_id: str
    attempt: int


class TaskTable:
    """Tasks of the current boot and records of all boots."""

    def __init__(self, *, clock: Clock, usage_lag_ms: int) -> None:
        """Create an empty table.

        Args:
            clock: clock of the tasks.
            usage_lag_ms: age of a task at its first usage report, in ms.
        """
        self._clock = clock
        self._usage_lag_ms = usage_lag_ms
        self._tasks: list[SimulatedTask] = []
        self._history: list[SimulatedTask] = []

    def start(self, order: TaskOrder, context: StartContext) -> None:
        """Start a task, even if it exceeds the capacity or already runs.

        Args:
            order: the task to run.
            context: state of the worker at the start.
        """
        started = SimulatedTask(order=order, context=context, clock=self._clock)
        self._tasks.append(started)
        self._history.append(started)

    def find(self, task_id: str) -> list[SimulatedTask]:
        """Find the started attempts of a task.

        Args:
            task_id: id of the task.

        Returns:
            Running attempts, and ended ones not yet acknowledged.
        """
        return [task for task in self._tasks if task.order.task_id == task_id]

    def advance(self) -> bool:
        """Update all tasks to the current time.

        Returns:
            True if a task ended.
        """
        return any([task.advance() for task in self._tasks])

    def end_all(self, outcome: Outcome) -> bool:
        """End all running tasks.

        Args:
            outcome: how they ended.

        Returns:
            True if a task was running.
        """
        running = [task for task in self._tasks if task.outcome is None]
        for task in running:
            task.end(outcome)
        return bool(running)

    def forget_all(self) -> None:
        """End all tasks and drop their results, as a reboot does."""
        self.end_all(Outcome.REBOOTED)
        self._tasks.clear()

    def acknowledge(self, attempt_ids: list[AttemptId]) -> None:
        """Drop finished tasks whose results the leader has recorded.

        Args:
            attempt_ids: the acknowledged attempts; running ones are kept.
        """
        acknowledged = frozenset(attempt_ids)
        self._tasks = [
            task
            for task in self._tasks
            if task.outcome is None or _attempt_id(task) not in acknowledged
        ]

    def reports(self) -> list[TaskReport]:
        """Report all tasks.

        Returns:
            Running tasks, and finished ones not yet acknowledged.
        """
        return [task.report(self._usage_lag_ms) for task in self._tasks]

    def changed_reports(self) -> list[TaskReport]:
        """Report the changed tasks, for a renewal.

        Returns:
            Finished tasks not yet acknowledged, and running ones whose usage
            was not reported before.
        """
        changed = []
        for task in self._tasks:
            report = task.report(self._usage_lag_ms)
            is_measured = report.usage is not None
            if task.outcome is not None or (
                is_measured and not task.is_usage_reported
            ):
                changed.append(report)
                task.is_usage_reported = is_measured
        return changed

    def records(self) -> list[TaskHistoryRecord]:
        """List the recorded starts in order.

        Returns:
            One record for each start in any boot.
        """
        return [task.record() for task in self._history]


def _attempt_id(task: SimulatedTask) -> AttemptId:
    return AttemptId(task_id=task.order.task_id, attempt=task.order.attempt)
