"""What the parts of a leader share."""

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
    """What each team uses of the domain's part of its limit."""

    @abc.abstractmethod
    def charge(self, team: str, demand: Resources) -> None:
        """Count a start that `has_headroom` allowed, or an adopted task.

        Args:
            team: the team.
            demand: what it takes.
        """

    @abc.abstractmethod
    def release(self, team: str, demand: Resources) -> None:
        """Count an end.

        Args:
            team: the team.
            demand: as it was taken.
        """


class JobEvents(abc.ABC):
    """Who is told of starts and ends, for metrics."""

    @abc.abstractmethod
    def task_started(self, record: JobRecord, waited_ms: Millis) -> None:
        """Note a start.

        Args:
            record: its job.
            waited_ms: since the job was accepted, in ms.
        """

    @abc.abstractmethod
    def task_ended(self, record: JobRecord, how: str) -> None:
        """Note an end.

        Args:
            record: its job.
            how: the state in which the task or its attempt ended.
        """


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaderContext:
    """What the parts of a leader share.

    Attributes:
        epoch: of this leader.
        domain: its failure domain.
        clock: monotonic time of decisions.
        wall_clock: time of day, in which deadlines are given.
        rng: random numbers.
        ledger: use of the teams' limits.
        estimates: run times of ended tasks, per team and queue.
        events: metrics.
        snapshot: the newest configuration seen.
        is_store_reachable: whether the last read of the store was answered.
        confirm_leadership: reads the leader key; True when it still shows this
            epoch.
        step_down: ends this leadership.
        intent_width: workers named in a record before they are needed.
        task_lease_ms: how long tasks run without a renewal, in ms.
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
        """Read how long a task may take to checkpoint before it is stopped.

        Returns:
            The limit of the newest configuration seen, in ms.
        """
        return self.snapshot().document.policies.preemption.checkpoint_ms

    @property
    def writer(self) -> Writer:
        """This leader as the writer of a change, with a new write id."""
        return Writer(epoch=self.epoch, write_id=new_write_id())
