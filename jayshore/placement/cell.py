"""The cell: workers, running tasks and waiting tasks, kept in indexes.

The policy is that of `jayshore.placement.naive`. Here every change updates
sorted indexes, so that a decision scans neither all workers nor all waiting
tasks.
"""

import dataclasses
from collections.abc import Mapping

from jayshore.clock import Millis
from jayshore.placement.backlog import Backlog
from jayshore.placement.decision_engine import Walk
from jayshore.placement.decisions import (
    CellScheduler,
    Decision,
    Preempt,
    TeamHeadroom,
    UnknownTaskError,
)
from jayshore.placement.gang_assembly import GangAssembly
from jayshore.placement.reservation_limits import ReservedRooms
from jayshore.placement.round_rules import preemption_reservation
from jayshore.placement.settings import PlacementSettings
from jayshore.placement.tasks import (
    PendingTask,
    PlacedTask,
    TaskId,
    WorkerState,
    WorkerView,
)
from jayshore.placement.usage import TeamUsage
from jayshore.placement.worker_registry import Roster
from jayshore.resources import Resources


class Cell(CellScheduler):
    """A cell with indexes."""

    def __init__(self, *, headroom: TeamHeadroom) -> None:
        """Start empty.

        Args:
            headroom: the limits of the teams.
        """
        self._roster = Roster()
        self._usage = TeamUsage()
        self._gangs = GangAssembly()
        self._gang_entry: dict[TaskId, TaskId] = {}
        reserved = ReservedRooms()
        self._backlog = Backlog(
            reserved=reserved,
            share=self._usage.share,
            members=self._roster.members,
        )
        self._walk = Walk(
            headroom=headroom,
            roster=self._roster,
            usage=self._usage,
            backlog=self._backlog,
            reserved=reserved,
        )

    def apply_shares(self, shares: Mapping[str, int]) -> None:
        """Replace the share of every team.

        Args:
            shares: positive whole numbers; teams not named have 1.
        """
        self._usage.replace_weights(shares)
        self._backlog.all_shares_changed()

    def apply_settings(self, settings: PlacementSettings) -> None:
        """Replace the settings of the policies; waiting tasks stay.

        Args:
            settings: the new settings.
        """
        former = self._walk.settings
        self._walk.settings = settings
        if settings.aging != former.aging:
            self._backlog.replace_aging(settings.aging, self._walk.now)

    def add_worker(self, worker: WorkerView) -> None:
        """Add a worker.

        Args:
            worker: the worker, not yet in the cell.
        """
        self._roster.add_worker(worker)
        self._usage.resize(self._roster.capacity)
        self._backlog.all_shares_changed()

    def remove_worker(self, worker_id: str) -> tuple[PlacedTask, ...]:
        """Remove a worker and forget its tasks.

        Args:
            worker_id: the worker.

        Returns:
            The tasks that ran on it.
        """
        tasks = tuple(self._roster.member(worker_id).tasks)
        lost = tuple(self.finish(task_id) for task_id in tasks)
        self._roster.remove_worker(worker_id)
        self._usage.resize(self._roster.capacity)
        self._backlog.all_shares_changed()
        return lost

    def set_worker_state(self, worker_id: str, state: WorkerState) -> None:
        """Allow or forbid new tasks on a worker.

        Args:
            worker_id: the worker.
            state: its new state.
        """
        self._roster.set_state(worker_id, state)

    def set_worker_failures(self, worker_id: str, failures: int) -> None:
        """Replace the evidence of failures on a worker.

        Args:
            worker_id: the worker; one that is not in the cell is passed over.
            failures: failed part of its last tasks, in 32nds.
        """
        self._roster.note_failures(worker_id, failures)

    def enqueue(self, task: PendingTask) -> None:
        """Add a waiting task.

        Args:
            task: the task; a gang waits until all its tasks are there.
        """
        entry = self._gangs.add(task)
        if entry is not None:
            self._backlog.add(entry, self._walk.now)
            if len(entry.tasks) > 1:
                for part in entry.tasks:
                    self._gang_entry[part.task_id] = entry.entry_id

    def withdraw(self, task_id: TaskId) -> PendingTask:
        """Remove a waiting task.

        Args:
            task_id: the task.

        Returns:
            The task.

        Raises:
            UnknownTaskError: it does not wait.
        """
        entry_id = self._gang_entry.get(task_id, task_id)
        entry = self._backlog.remove(entry_id)
        if entry is None:
            return self._gangs.remove(task_id)
        for part in entry.tasks:
            self._gang_entry.pop(part.task_id, None)
        return self._gangs.give_back(entry, task_id)

    def start(self, task_id: TaskId, worker_id: str, now: Millis) -> None:
        """Turn a waiting task into a running one.

        Args:
            task_id: the task.
            worker_id: the worker that was chosen.
            now: the time.
        """
        self._roster.member(worker_id)
        task = self.withdraw(task_id)
        self.adopt(PlacedTask(task=task, worker_id=worker_id, started_at=now))

    def adopt(self, running: PlacedTask) -> None:
        """Add a task that runs already.

        Args:
            running: the task.
        """
        self._roster.take(running)
        self._usage.add(running)
        self._walk.stopping += running.stopping
        self._backlog.share_changed(running.task.team)

    def finish(self, task_id: TaskId) -> PlacedTask:
        """Remove a running task.

        Args:
            task_id: the task.

        Returns:
            The task.
        """
        running = self._roster.release(task_id)
        self._usage.remove(running)
        self._walk.stopping -= running.stopping
        self._backlog.share_changed(running.task.team)
        self._backlog.unblock(running.task.team)
        return running

    def preempt(self, decision: Preempt) -> None:
        """Mark tasks as being stopped and keep their room.

        Args:
            decision: what `decide` returned.

        Raises:
            UnknownTaskError: the beneficiary does not wait any more.
        """
        waiting = self._backlog.waiting.get(decision.beneficiary)
        if waiting is None:
            raise UnknownTaskError(f'{decision.beneficiary} does not wait')
        for task_id in decision.task_ids:
            running = self.finish(task_id)
            self.adopt(dataclasses.replace(running, stopping=True))
        self._walk.reserve(
            preemption_reservation(
                decision,
                waiting.entry.first,
                waiting.shape.tier,
                self._walk.now,
            )
        )

    def update_usage(self, task_id: TaskId, usage: Resources) -> None:
        """Replace the reported usage of a running task.

        Args:
            task_id: the task.
            usage: what it was last seen to use.
        """
        running = self._roster.release(task_id)
        self._usage.remove(running)
        changed = dataclasses.replace(running, usage=usage)
        self._roster.take(changed)
        self._usage.add(changed)

    def headroom_changed(self, team: str) -> None:
        """Ask about a team's headroom again.

        Args:
            team: a team whose limit or use elsewhere changed.
        """
        self._backlog.unblock(team)

    def decide(self, now: Millis) -> Decision:
        """Choose the next thing to do.

        Args:
            now: the time.

        Returns:
            One decision.
        """
        return self._walk.decide(now)
