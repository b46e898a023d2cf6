"""The baseline: first come, first served, on the first worker that fits."""

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
    """No shares, lane, reservation, deadline or preemption.

    The head of the queue blocks the rest, so nothing is passed over. Gangs are
    placed task by task, as the baseline has no notion of them.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._workers: dict[str, WorkerView] = {}
        self._pending: dict[TaskId, PendingTask] = {}
        self._running: dict[TaskId, PlacedTask] = {}

    def apply_shares(self, shares: Mapping[str, int]) -> None:
        """Ignore the shares."""

    def apply_settings(self, settings: PlacementSettings) -> None:
        """Ignore the settings."""

    def add_worker(self, worker: WorkerView) -> None:
        """Add a worker."""
        view = dataclasses.replace(worker, free=worker.capacity)
        self._workers[worker.worker_id] = view

    def remove_worker(self, worker_id: str) -> tuple[PlacedTask, ...]:
        """Remove a worker and its tasks."""
        self._workers.pop(worker_id)
        lost = tuple(
            one for one in self._running.values() if one.worker_id == worker_id
        )
        for running in lost:
            self._running.pop(running.task.task_id)
        return lost

    def set_worker_state(self, worker_id: str, state: WorkerState) -> None:
        """Change the state of a worker."""
        worker = self._workers[worker_id]
        self._workers[worker_id] = dataclasses.replace(worker, state=state)

    def set_worker_failures(self, worker_id: str, failures: int) -> None:
        """Ignore the failures."""

    def enqueue(self, task: PendingTask) -> None:
        """Append a task to the queue."""
        self._pending[task.task_id] = task

    def withdraw(self, task_id: TaskId) -> PendingTask:
        """Remove a waiting task."""
        return self._pending.pop(task_id)

    def start(self, task_id: TaskId, worker_id: str, now: Millis) -> None:
        """Start a waiting task."""
        task = self._pending.pop(task_id)
        self.adopt(PlacedTask(task=task, worker_id=worker_id, started_at=now))

    def adopt(self, running: PlacedTask) -> None:
        """Add a running task."""
        self._running[running.task.task_id] = running
        worker = self._workers[running.worker_id]
        free = worker.free - running.task.demand
        self._workers[worker.worker_id] = dataclasses.replace(worker, free=free)

    def finish(self, task_id: TaskId) -> PlacedTask:
        """Remove a running task."""
        running = self._running.pop(task_id)
        worker = self._workers[running.worker_id]
        free = worker.free + running.task.demand
        self._workers[worker.worker_id] = dataclasses.replace(worker, free=free)
        return running

    def preempt(self, decision: Preempt) -> None:
        """Never called, as `decide` never preempts."""

    def update_usage(self, task_id: TaskId, usage: Resources) -> None:
        """Ignore usage."""

    def headroom_changed(self, team: str) -> None:
        """Ignore limits."""

    def decide(self, now: Millis) -> Decision:
        """Place the head of the queue on the first worker, or wait."""
        head = next(iter(self._pending.values()), None)
        if head is None:
            return Wait()
        for worker in self._workers.values():
            usable = worker.state is WorkerState.USABLE
            if usable and head.demand.fits_in(worker.free):
                return Place(
                    assignments=(
                        Assignment(
                            task_id=head.task_id, worker_id=worker.worker_id
                        ),
                    )
                )
        return Wait()
