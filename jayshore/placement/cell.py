"""The indexed implementation of a cell.

It makes the same decisions as the full scan in `jayshore.placement.naive`, but
keeps workers, running tasks and waiting tasks in sorted indexes, so that a
decision scans neither all workers nor all waiting tasks.
"""

import dataclasses
from collections.abc import Mapping

from jayshore.clock import Millis
from jayshore.placement.backlog import Backlog
from jayshore.placement.decision_engine import DecisionEngine
from jayshore.placement.decisions import (
    CellScheduler,
    Decision,
    Preempt,
    TeamHeadroom,
    UnknownTaskError,
)
from jayshore.placement.gang_assembly import GangAssembly
from jayshore.placement.reservation_limits import ReservationLimits
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
from jayshore.placement.worker_registry import WorkerRegistry
from jayshore.resources import Resources


class Cell(CellScheduler):
    """A cell that keeps its state in sorted indexes."""

    def __init__(self, *, headroom: TeamHeadroom) -> None:
        """Create a cell without workers or tasks.

        Args:
            headroom: what each team may still start under its limit.
        """
        self._registry = WorkerRegistry()
        self._usage = TeamUsage()
        self._gangs = GangAssembly()
        self._entry_by_gang_task: dict[TaskId, TaskId] = {}
        limits = ReservationLimits()
        self._backlog = Backlog(
            limits=limits,
            share=self._usage.share,
            records=self._registry.records,
        )
        self._engine = DecisionEngine(
            headroom=headroom,
            registry=self._registry,
            usage=self._usage,
            backlog=self._backlog,
            limits=limits,
        )

    def apply_shares(self, shares: Mapping[str, int]) -> None:
        """Replace the share of every team.

        Args:
            shares: positive integers by team; teams not named have share 1.
        """
        self._usage.replace_weights(shares)
        self._backlog.all_shares_changed()

    def apply_settings(self, settings: PlacementSettings) -> None:
        """Replace the policy settings; waiting tasks stay in the queue.

        Args:
            settings: the new settings.
        """
        former = self._engine.settings
        self._engine.settings = settings
        if settings.aging != former.aging:
            self._backlog.replace_aging(settings.aging, self._engine.now)

    def add_worker(self, worker: WorkerView) -> None:
        """Add a worker.

        Args:
            worker: a worker that is not yet in the cell.
        """
        self._registry.add_worker(worker)
        self._usage.resize(self._registry.capacity)
        self._backlog.all_shares_changed()

    def remove_worker(self, worker_id: str) -> tuple[PlacedTask, ...]:
        """Remove a worker and its running tasks.

        Args:
            worker_id: the worker.

        Returns:
            The tasks that ran on it.
        """
        tasks = tuple(self._registry.find_worker(worker_id).tasks)
        lost = tuple(self.finish(task_id) for task_id in tasks)
        self._registry.remove_worker(worker_id)
        self._usage.resize(self._registry.capacity)
        self._backlog.all_shares_changed()
        return lost

    def set_worker_state(self, worker_id: str, state: WorkerState) -> None:
        """Change whether a worker gets new tasks; running tasks stay.

        Args:
            worker_id: the worker.
            state: its new state.
        """
        self._registry.set_state(worker_id, state)

    def set_worker_failures(self, worker_id: str, failures: int) -> None:
        """Replace the failure rate of a worker.

        Args:
            worker_id: the worker; an unknown worker is ignored.
            failures: failure rate of its latest tasks, in 32nds.
        """
        self._registry.update_failures(worker_id, failures)

    def enqueue(self, task: PendingTask) -> None:
        """Add a waiting task.

        Args:
            task: the task; a gang is not considered until all its tasks have
                been added.
        """
        entry = self._gangs.add(task)
        if entry is not None:
            self._backlog.add(entry, self._engine.now)
            if len(entry.tasks) > 1:
                for member in entry.tasks:
                    self._entry_by_gang_task[member.task_id] = entry.entry_id

    def withdraw(self, task_id: TaskId) -> PendingTask:
        """Remove a waiting task.

        Args:
            task_id: the task.

        Returns:
            The removed task.

        Raises:
            UnknownTaskError: the task is not waiting.
        """
        entry_id = self._entry_by_gang_task.get(task_id, task_id)
        entry = self._backlog.remove(entry_id)
        if entry is None:
            return self._gangs.remove(task_id)
        for member in entry.tasks:
            self._entry_by_gang_task.pop(member.task_id, None)
        return self._gangs.split(entry, task_id)

    def start(self, task_id: TaskId, worker_id: str, now: Millis) -> None:
        """Move a waiting task to a worker.

        Args:
            task_id: the task.
            worker_id: the worker that was chosen.
            now: the time of the start.
        """
        self._registry.find_worker(worker_id)
        task = self.withdraw(task_id)
        self.adopt(PlacedTask(task=task, worker_id=worker_id, started_at=now))

    def adopt(self, running: PlacedTask) -> None:
        """Add a task that is already running.

        Args:
            running: the task.
        """
        self._registry.add_task(running)
        self._usage.add(running)
        self._engine.stopping += running.stopping
        self._backlog.share_changed(running.task.team)

    def finish(self, task_id: TaskId) -> PlacedTask:
        """Remove a running task and release its resources.

        Args:
            task_id: the task.

        Returns:
            The removed task.
        """
        running = self._registry.remove_task(task_id)
        self._usage.remove(running)
        self._engine.stopping -= running.stopping
        self._backlog.share_changed(running.task.team)
        self._backlog.unblock(running.task.team)
        return running

    def preempt(self, decision: Preempt) -> None:
        """Mark tasks as being stopped and reserve their capacity.

        Args:
            decision: the decision that `decide` returned.

        Raises:
            UnknownTaskError: the beneficiary is no longer waiting.
        """
        waiting = self._backlog.waiting.get(decision.beneficiary)
        if waiting is None:
            raise UnknownTaskError(f'{decision.beneficiary} is not waiting')
        for task_id in decision.task_ids:
            running = self.finish(task_id)
            self.adopt(dataclasses.replace(running, stopping=True))
        self._engine.reserve(
            preemption_reservation(
                decision,
                waiting.entry.first,
                waiting.shape.tier,
                self._engine.now,
            )
        )

    def update_usage(self, task_id: TaskId, usage: Resources) -> None:
        """Replace the reported usage of a running task.

        Args:
            task_id: the task.
            usage: the usage that was last reported.
        """
        running = self._registry.remove_task(task_id)
        self._usage.remove(running)
        changed = dataclasses.replace(running, usage=usage)
        self._registry.add_task(changed)
        self._usage.add(changed)

    def headroom_changed(self, team: str) -> None:
        """Consider the waiting tasks of a team again.

        Args:
            team: a team whose limit or usage outside the cell changed.
        """
        self._backlog.unblock(team)

    def decide(self, now: Millis) -> Decision:
        """Make the next decision, which changes no task.

        Args:
            now: the time, never earlier than at the previous call.

        Returns:
            What to start or stop, or that nothing can be done now.
        """
        return self._engine.decide(now)
