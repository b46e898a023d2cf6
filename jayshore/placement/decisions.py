"""The decisions of a placement round, and the interface that makes them.

A round is a loop of the caller: ask `decide`, carry the decision out, report it
with `start` or `preempt`, until the decision is `Wait`.
"""

import abc
import dataclasses
from collections.abc import Mapping
from typing import TypeAlias

from jayshore.clock import Millis
from jayshore.outcomes import JayshoreError
from jayshore.placement.settings import PlacementSettings
from jayshore.placement.tasks import (
    PendingTask,
    PlacedTask,
    TaskId,
    WorkerState,
    WorkerView,
)
from jayshore.resources import Resources


class UnknownTaskError(JayshoreError):
    """The cell does not hold the task in the state that a call needs."""


class UnknownWorkerError(JayshoreError):
    """The cell does not hold the worker."""


class DuplicateError(JayshoreError):
    """The cell holds the task or worker already."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """One task and the worker to start it on."""

    task_id: TaskId
    worker_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Start these tasks now; a gang is one decision with all its tasks."""

    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preempt:
    """Stop these tasks, all on one worker, to make room for another.

    Attributes:
        task_ids: the tasks to stop.
        worker_id: where they run.
        beneficiary: the waiting task that gets the room.
        checkpoint_first: whether each task is told to checkpoint before it
            is stopped.
    """

    task_ids: tuple[TaskId, ...]
    worker_id: str
    beneficiary: TaskId
    checkpoint_first: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """Nothing more can start before something changes or time passes."""


Decision: TypeAlias = Place | Preempt | Wait


class TeamHeadroom(abc.ABC):
    """What each team may still start under its limit."""

    @abc.abstractmethod
    def has_headroom(self, team: str, demand: Resources) -> bool:
        """Tell whether a team may take this much more.

        Args:
            team: the team.
            demand: what it would take in addition to what it runs.

        Returns:
            True when the limit allows it.
        """


class UnlimitedHeadroom(TeamHeadroom):
    """No team has a limit."""

    def has_headroom(self, team: str, demand: Resources) -> bool:
        """Allow everything.

        Args:
            team: the team.
            demand: what it would take.

        Returns:
            True.
        """
        return True


class CellScheduler(abc.ABC):
    """The workers, running tasks and waiting tasks of one cell."""

    @abc.abstractmethod
    def apply_shares(self, shares: Mapping[str, int]) -> None:
        """Replace the share of every team; teams not named have share 1."""

    @abc.abstractmethod
    def apply_settings(self, settings: PlacementSettings) -> None:
        """Replace the settings of the policies; waiting tasks stay."""

    @abc.abstractmethod
    def add_worker(self, worker: WorkerView) -> None:
        """Add a worker, or raise `DuplicateError`."""

    @abc.abstractmethod
    def remove_worker(self, worker_id: str) -> tuple[PlacedTask, ...]:
        """Remove a worker and forget its tasks, which are returned."""

    @abc.abstractmethod
    def set_worker_state(self, worker_id: str, state: WorkerState) -> None:
        """Allow or forbid new tasks on a worker; running tasks stay."""

    @abc.abstractmethod
    def set_worker_failures(self, worker_id: str, failures: int) -> None:
        """Replace the failed part of a worker's last tasks, in 32nds."""

    @abc.abstractmethod
    def enqueue(self, task: PendingTask) -> None:
        """Add a waiting task; a gang waits until all its tasks are there."""

    @abc.abstractmethod
    def withdraw(self, task_id: TaskId) -> PendingTask:
        """Remove a waiting task; without it, the rest of a gang waits."""

    @abc.abstractmethod
    def start(self, task_id: TaskId, worker_id: str, now: Millis) -> None:
        """Turn a waiting task into a running one on a worker."""

    @abc.abstractmethod
    def adopt(self, running: PlacedTask) -> None:
        """Add a task that already runs, as after a change of leader."""

    @abc.abstractmethod
    def finish(self, task_id: TaskId) -> PlacedTask:
        """Remove a running task that ended, failed or was stopped."""

    @abc.abstractmethod
    def preempt(self, decision: Preempt) -> None:
        """Mark tasks as being stopped; `finish` follows once they have."""

    @abc.abstractmethod
    def update_usage(self, task_id: TaskId, usage: Resources) -> None:
        """Admit new work against the larger of grant and reported usage."""

    @abc.abstractmethod
    def headroom_changed(self, team: str) -> None:
        """Ask about a team's headroom again, after its limit or use changed."""

    @abc.abstractmethod
    def decide(self, now: Millis) -> Decision:
        """Choose the next thing to do.

        Args:
            now: the time, on the clock of the tasks' instants; never earlier
                than at the previous call.

        Returns:
            One decision. Nothing is started or stopped by deciding; the
            caller reports what it carries out with `start` or `preempt`.
        """
