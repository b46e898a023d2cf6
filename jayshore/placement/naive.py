"""The placement policy by full scan, the oracle of the differential test.

Every decision sorts all waiting entries and recomputes all accounts from the
running tasks. It is written to be checked by reading, not to be fast; the
indexes of `jayshore.placement.cell` must lead to the same decisions.
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
    Entry,
    Shape,
    shape_of,
)
from jayshore.placement.naive_choice import choose
from jayshore.placement.round_rules import (
    ATTEMPT_INTERVAL_MS,
    ATTEMPTS,
    place,
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
    """A cell without indexes."""

    def __init__(self, *, headroom: TeamHeadroom) -> None:
        """Start empty.

        Args:
            headroom: the limits of the teams.
        """
        self._state = scan.NaiveState(headroom=headroom)

    def apply_shares(self, shares: Mapping[str, int]) -> None:
        """Replace the shares."""
        self._state.shares = dict(shares)

    def apply_settings(self, settings: PlacementSettings) -> None:
        """Replace the settings."""
        self._state.settings = settings

    def add_worker(self, worker: WorkerView) -> None:
        """Add a worker."""
        self._state.workers[worker.worker_id] = worker

    def remove_worker(self, worker_id: str) -> tuple[PlacedTask, ...]:
        """Remove a worker and its tasks."""
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
        """Replace the evidence of failures on a worker."""
        if worker_id in self._state.workers:
            self._state.failures[worker_id] = failures

    def enqueue(self, task: PendingTask) -> None:
        """Add a waiting task."""
        self._state.pending[task.task_id] = task

    def withdraw(self, task_id: TaskId) -> PendingTask:
        """Remove a waiting task."""
        return self._state.pending.pop(task_id)

    def start(self, task_id: TaskId, worker_id: str, now: Millis) -> None:
        """Start a waiting task."""
        task = self._state.pending.pop(task_id)
        self.adopt(PlacedTask(task=task, worker_id=worker_id, started_at=now))

    def adopt(self, running: PlacedTask) -> None:
        """Add a running task."""
        self._state.running[running.task.task_id] = running

    def finish(self, task_id: TaskId) -> PlacedTask:
        """Remove a running task."""
        return self._state.running.pop(task_id)

    def preempt(self, decision: Preempt) -> None:
        """Mark tasks as being stopped."""
        for task_id in decision.task_ids:
            running = self._state.running[task_id]
            self._state.running[task_id] = dataclasses.replace(
                running, stopping=True
            )
        wanted = self._state.pending[decision.beneficiary]
        tier = scan.current_tier(self._state, Entry(tasks=(wanted,)))
        self._state.reservation = preemption_reservation(
            decision, wanted, tier, self._state.now
        )

    def update_usage(self, task_id: TaskId, usage: Resources) -> None:
        """Replace the reported usage of a running task."""
        running = self._state.running[task_id]
        self._state.running[task_id] = dataclasses.replace(running, usage=usage)

    def headroom_changed(self, team: str) -> None:
        """Do nothing, as every decision asks about every team."""

    def decide(self, now: Millis) -> Decision:
        """Try every waiting entry in order."""
        self._state.now = now
        scan.drop_reservation(self._state, now)
        attempts = ATTEMPTS if now >= self._state.next_attempt else 0
        tried: set[Shape] = set()
        for entry in scan.in_order(self._state):
            if not scan.allows(self._state, entry):
                continue
            workers = choose(self._state, entry, now)
            if workers:
                return place(entry, workers)
            shape = shape_of(entry, scan.current_tier(self._state, entry))
            if len(tried) < attempts and shape not in tried:
                tried.add(shape)
                self._state.next_attempt = Millis(now + ATTEMPT_INTERVAL_MS)
                preempt = scan.unblock(self._state, entry)
                if preempt is not None:
                    return preempt
        if attempts:
            self._state.next_attempt = Millis(now + ATTEMPT_INTERVAL_MS)
        return Wait()
