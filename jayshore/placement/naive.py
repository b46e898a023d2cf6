"""The full-scan implementation of a cell, the oracle of the differential test.

Every decision sorts all waiting entries and recomputes all allocations from the
running tasks. It is written to be verified by reading, not to be fast; the
indexed `jayshore.placement.cell` must make the same decisions.
"""

import dataclasses
from collections.abc import Mapping

from jayshore.clock import Millis
from jayshore.placement import naive_scan as scan
from jayshore.placement.decisions import (
    CellScheduler,
    Decision,
    Preempt,
    TeamHeadroom,
    Wait,
)
from jayshore.placement.entries import (
    QueueEntry,
    Shape,
    shape_of,
)
from jayshore.placement.naive_choice import choose
from jayshore.placement.round_rules import (
    BLOCKED_CHECK_INTERVAL_MS,
    BLOCKED_SHAPES_PER_CHECK,
    assign_workers,
    preemption_reservation,
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


class NaiveCell(CellScheduler):
    """A cell that keeps plain maps and scans them for each decision."""

    def __init__(self, *, headroom: TeamHeadroom) -> None:
        """Create a cell without workers or tasks.

        Args:
            headroom: what each team may still start under its limit.
        """
        self._state = scan.NaiveState(headroom=headroom)

    def apply_shares(self, shares: Mapping[str, int]) -> None:
        """Replace the share of every team."""
        self._state.shares = dict(shares)

    def apply_settings(self, settings: PlacementSettings) -> None:
        """Replace the policy settings."""
        self._state.settings = settings

    def add_worker(self, worker: WorkerView) -> None:
        """Add a worker."""
        self._state.workers[worker.worker_id] = worker

    def remove_worker(self, worker_id: str) -> tuple[PlacedTask, ...]:
        """Remove a worker and its running tasks."""
        self._state.workers.pop(worker_id)
        self._state.failures.pop(worker_id, None)
        lost = tuple(
            one
            for one in self._state.running.values()
            if one.worker_id == worker_id
        )
        for running in lost:
            self._state.running.pop(running.task.task_id)
        return lost

    def set_worker_state(self, worker_id: str, state: WorkerState) -> None:
        """Change the state of a worker."""
        worker = self._state.workers[worker_id]
        self._state.workers[worker_id] = dataclasses.replace(
            worker, state=state
        )

    def set_worker_failures(self, worker_id: str, failures: int) -> None:
        """Replace the failure rate of a worker; ignore an unknown worker."""
        if worker_id in self._state.workers:
            self._state.failures[worker_id] = failures

    def enqueue(self, task: PendingTask) -> None:
        """Add a waiting task."""
        self._state.pending[task.task_id] = task

    def withdraw(self, task_id: TaskId) -> PendingTask:
        """Remove a waiting task."""
        return self._state.pending.pop(task_id)

    def start(self, task_id: TaskId, worker_id: str, now: Millis) -> None:
        """Move a waiting task to a worker."""
        task = self._state.pending.pop(task_id)
        self.adopt(PlacedTask(task=task, worker_id=worker_id, started_at=now))

    def adopt(self, running: PlacedTask) -> None:
        """Add a task that is already running."""
        self._state.running[running.task.task_id] = running

    def finish(self, task_id: TaskId) -> PlacedTask:
        """Remove a running task."""
        return self._state.running.pop(task_id)

    def preempt(self, decision: Preempt) -> None:
        """Mark tasks as being stopped and reserve their capacity."""
        for task_id in decision.task_ids:
            running = self._state.running[task_id]
            self._state.running[task_id] = dataclasses.replace(
                running, stopping=True
            )
        beneficiary = self._state.pending[decision.beneficiary]
        tier = scan.tier_now(self._state, QueueEntry(tasks=(beneficiary,)))
        self._state.reservation = preemption_reservation(
            decision, beneficiary, tier, self._state.now
        )

    def update_usage(self, task_id: TaskId, usage: Resources) -> None:
        """Replace the reported usage of a running task."""
        running = self._state.running[task_id]
        self._state.running[task_id] = dataclasses.replace(running, usage=usage)

    def headroom_changed(self, team: str) -> None:
        """Do nothing, as every decision checks the headroom of each entry."""

    def decide(self, now: Millis) -> Decision:
        """Try all waiting entries in order until one can be acted on."""
        self._state.now = now
        scan.drop_reservation(self._state, now)
        max_checks = (
            BLOCKED_SHAPES_PER_CHECK if now >= self._state.next_check_at else 0
        )
        checked: set[Shape] = set()
        for entry in scan.sorted_entries(self._state):
            if not scan.has_headroom_for(self._state, entry):
                continue
            workers = choose(self._state, entry, now)
            if workers:
                return assign_workers(entry, workers)
            shape = shape_of(entry, scan.tier_now(self._state, entry))
            if len(checked) < max_checks and shape not in checked:
                checked.add(shape)
                self._state.next_check_at = Millis(
                    now + BLOCKED_CHECK_INTERVAL_MS
                )
                preempt = scan.preempt_or_reserve(self._state, entry)
                if preempt is not None:
                    return preempt
        if max_checks:
            self._state.next_check_at = Millis(now + BLOCKED_CHECK_INTERVAL_MS)
        return Wait()
