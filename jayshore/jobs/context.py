"""Dependencies that the components of a leader share."""

import abc
import dataclasses
import random
from collections.abc import Awaitable, Callable

from jayshore.clock import Clock, Millis
from jayshore.config.snapshot import Snapshot
from jayshore.jobs.changes import Writer
from jayshore.jobs.record import JobRecord
from jayshore.placement.decisions import TeamHeadroom
from jayshore.placement.estimates import Estimates
from jayshore.resources import Resources
from jayshore.store.writeresolver import new_write_id


class TeamLedger(TeamHeadroom):
    """Accounts for what each team uses of its limit in this domain."""

    @abc.abstractmethod
    def charge(self, team: str, demand: Resources) -> None:
        """Charge a start that `has_headroom` allowed, or an adopted task.

        Args:
            team: the team to charge.
            demand: resources of the task.
        """

    @abc.abstractmethod
    def release(self, team: str, demand: Resources) -> None:
        """Release the resources of a task that has ended.

        Args:
            team: the team.
            demand: the resources that were charged.
        """


class JobEvents(abc.ABC):
    """Receives the starts and ends of tasks, for metrics."""

    @abc.abstractmethod
    def task_started(self, record: JobRecord, waited_ms: Millis) -> None:
        """Record that a task has started.

        Args:
            record: the job of the task.
            waited_ms: time since the job was accepted, in ms.
        """

    @abc.abstractmethod
    def task_ended(self, record: JobRecord, how: str) -> None:
        """Record that an attempt has ended.

        Args:
            record: the job of the task.
            how: final state of the task, or `retried` when a retry follows.
        """


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaderContext:
    """Dependencies that the components of a leader share.

    Attributes:
        epoch: epoch of this leader.
        domain: failure domain of this leader.
        clock: monotonic clock for decisions.
        wall_clock: time of day, used for deadlines.
        rng: source of random numbers.
        ledger: use of the limits of the teams.
        estimates: run times of ended tasks, per team and queue.
        events: receives task starts and ends, for metrics.
        snapshot: returns the latest configuration seen.
        is_store_reachable: whether the last read of the store was answered.
        confirm_leadership: reads the leader key; True if it still shows this
            epoch.
        step_down: ends this leadership.
        intent_width: number of workers to add to the intent of a job before
            they are needed.
        task_lease_ms: how long tasks run without a lease renewal, in ms.
        job_retention_ms: how long the record of an ended job is kept, in ms.
    """

    epoch: int
    domain: str
    clock: Clock
    wall_clock: Clock
    rng: random.Random
    ledger: TeamLedger
    estimates: Estimates
    events: JobEvents
    snapshot: Callable[[], Snapshot]
    is_store_reachable: Callable[[], bool]
    confirm_leadership: Callable[[], Awaitable[bool]]
    step_down: Callable[[], Awaitable[None]]
    intent_width: int
    task_lease_ms: Millis
    job_retention_ms: Millis

    def checkpoint_ms(self) -> Millis:
        """Return how long a task may take to checkpoint before it is stopped.

        Returns:
            The limit in the latest configuration seen, in ms.
        """
        return self.snapshot().document.policies.preemption.checkpoint_ms

    @property
    def writer(self) -> Writer:
        """This leader as the writer of a change, with a new write id."""
        return Writer(epoch=self.epoch, write_id=new_write_id())
