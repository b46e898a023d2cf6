"""The decisions of a placement round, and the interface that makes them.

In a round the caller repeats three steps until the decision is `Wait`: call
`decide`, carry the decision out, and report it with `start` or `preempt`.
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
    """The cell does not have the task in the state that a call requires."""


class UnknownWorkerError(JayshoreError):
    """The cell does not have the worker."""


class DuplicateError(JayshoreError):
    """The cell already has the task or worker."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """A task and the worker to start it on."""

    task_id: TaskId
    worker_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Start these tasks now; a gang is one decision with all its tasks."""

    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preempt:
    """Stop these tasks, all on one worker, to free capacity for another.

    Attributes:
        task_ids: the tasks to stop.
        worker_id: the worker on which they run.
        beneficiary: the waiting task that gets the freed capacity.
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
    """Tells what each team may still start under its limit."""

    @abc.abstractmethod
    def has_headroom(self, team: str, demand: Resources) -> bool:
        """Return whether a team may start more work.

        Args:
            team: the team.
            demand: what it would use in addition to its running tasks.

        Returns:
            True when the limit allows it.
        """


class UnlimitedHeadroom(TeamHeadroom):
    """Headroom for teams without limits."""

    def has_headroom(self, team: str, demand: Resources) -> bool:
        """Allow everything.

        Args:
            team: the team.
            demand: what it would use in addition.

        Returns:
            True.
        """
        return True


class CellScheduler(abc.ABC):
    """Decides which waiting tasks of a cell start on which of its workers."""

    @abc.abstractmethod
    def apply_shares(self, shares: Mapping[str, int]) -> None:
        """Replace the share of every team; teams not named have share 1."""

    @abc.abstractmethod
    def apply_settings(self, settings: PlacementSettings) -> None:
        """Replace the policy settings; waiting tasks stay in the queue."""

    @abc.abstractmethod
    def add_worker(self, worker: WorkerView) -> None:
        """Add a worker, or raise `DuplicateError`."""

    @abc.abstractmethod
    def remove_worker(self, worker_id: str) -> tuple[PlacedTask, ...]:
        """Remove a worker and its running tasks, which are returned."""

    @abc.abstractmethod
    def set_worker_state(self, worker_id: str, state: WorkerState) -> None:
        """Change whether a worker gets new tasks; running tasks stay."""

    @abc.abstractmethod
    def set_worker_failures(self, worker_id: str, failures: int) -> None:
        """Replace the failure rate of a worker's latest tasks, in 32nds."""

    @abc.abstractmethod
    def enqueue(self, task: PendingTask) -> None:
        """Add a waiting task; a gang needs all its tasks to be considered."""

    @abc.abstractmethod
    def withdraw(self, task_id: TaskId) -> PendingTask:
        """Remove a waiting task; a gang is incomplete until it is replaced."""

    @abc.abstractmethod
    def start(self, task_id: TaskId, worker_id: str, now: Millis) -> None:
        """Move a waiting task to a worker, where it counts as running."""

    @abc.abstractmethod
    def adopt(self, running: PlacedTask) -> None:
        """Add a task that is already running, as after a change of leader."""

    @abc.abstractmethod
    def finish(self, task_id: TaskId) -> PlacedTask:
        """Remove a running task that ended, failed or was stopped."""

    @abc.abstractmethod
    def preempt(self, decision: Preempt) -> None:
        """Mark tasks as being stopped; `finish` follows once they have."""

    @abc.abstractmethod
    def update_usage(self, task_id: TaskId, usage: Resources) -> None:
        """Charge a running task the larger of its demand and reported usage."""

    @abc.abstractmethod
    def headroom_changed(self, team: str) -> None:
        """Check a team's headroom again after its limit or usage changed."""

    @abc.abstractmethod
    def decide(self, now: Millis) -> Decision:
        """Make the next decision.

        Args:
            now: the time on the clock of the tasks' timestamps; never earlier
                than at the previous call.

        Returns:
            What to start or stop, or that nothing can be done now. The call
            itself changes no task; the caller reports what it carries out
            with `start` or `preempt`.
        """
