"""A baseline scheduler: first come, first served, first worker that fits."""

import dataclasses
from collections.abc import Mapping

from jayshore.clock import Millis
from jayshore.placement.decisions import (
    Assignment,
    CellScheduler,
    Decision,
    Place,
    Preempt,
    Wait,
)
from jayshore.placement.settings import PlacementSettings
from jayshore.placement.tasks import (
    PendingTask,
    PlacedTask,
    TaskId,
    WorkerState,
    WorkerView,
)
from jayshore.resources import Resources


class FirstFitCell(CellScheduler):
    """Ignores shares, limits, reservations, deadlines and preemption.

    It may fill the urgent reserve. The head of the queue blocks the tasks
    behind it. The tasks of a gang are placed one by one.
    """

    def __init__(self) -> None:
        """Create a cell without workers or tasks."""
        self._workers: dict[str, WorkerView] = {}
        self._pending: dict[TaskId, PendingTask] = {}
        self._running: dict[TaskId, PlacedTask] = {}

    def apply_shares(self, shares: Mapping[str, int]) -> None:
        """Ignore the shares."""

    def apply_settings(self, settings: PlacementSettings) -> None:
        """Ignore the settings."""

    def add_worker(self, worker: WorkerView) -> None:
        """Add a worker with all of its capacity free."""
        view = dataclasses.replace(worker, free=worker.capacity)
        self._workers[worker.worker_id] = view

    def remove_worker(self, worker_id: str) -> tuple[PlacedTask, ...]:
        """Remove a worker and return the tasks that ran on it."""
        self._workers.pop(worker_id)
        removed = tuple(
            task
            for task in self._running.values()
            if task.worker_id == worker_id
        )
        for running in removed:
            self._running.pop(running.task.task_id)
        return removed

    def set_worker_state(self, worker_id: str, state: WorkerState) -> None:
        """Set the state of a worker; only usable ones get tasks."""
        worker = self._workers[worker_id]
        self._workers[worker_id] = dataclasses.replace(worker, state=state)

    def set_worker_failures(self, worker_id: str, failures: int) -> None:
        """Ignore the failures."""

    def enqueue(self, task: PendingTask) -> None:
        """Append a task to the queue."""
        self._pending[task.task_id] = task

    def withdraw(self, task_id: TaskId) -> PendingTask:
        """Remove a waiting task and return it."""
        return self._pending.pop(task_id)

    def start(self, task_id: TaskId, worker_id: str, now: Millis) -> None:
        """Move a waiting task to a worker and charge its demand there."""
        task = self._pending.pop(task_id)
        self.adopt(PlacedTask(task=task, worker_id=worker_id, started_at=now))

    def adopt(self, running: PlacedTask) -> None:
        """Add a running task and charge its demand to its worker."""
        self._running[running.task.task_id] = running
        worker = self._workers[running.worker_id]
        free = worker.free - running.task.demand
        self._workers[worker.worker_id] = dataclasses.replace(worker, free=free)

    def finish(self, task_id: TaskId) -> PlacedTask:
        """Remove a running task and free its demand on its worker."""
        running = self._running.pop(task_id)
        worker = self._workers[running.worker_id]
        free = worker.free + running.task.demand
        self._workers[worker.worker_id] = dataclasses.replace(worker, free=free)
        return running

    def preempt(self, decision: Preempt) -> None:
        """Do nothing; `decide` never preempts."""

    def update_usage(self, task_id: TaskId, usage: Resources) -> None:
        """Ignore usage; a task counts with its demand."""

    def headroom_changed(self, team: str) -> None:
        """Ignore the limits of teams."""

    def decide(self, now: Millis) -> Decision:
        """Place the head of the queue on the first fitting worker, or wait."""
        head = next(iter(self._pending.values()), None)
        if head is None:
            return Wait()
        for worker in self._workers.values():
            is_usable = worker.state is WorkerState.USABLE
            if is_usable and head.demand.fits_in(worker.free):
                return Place(
                    assignments=(
                        Assignment(
                            task_id=head.task_id, worker_id=worker.worker_id
                        ),
                    )
                )
        return Wait()
