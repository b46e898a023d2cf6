"""When a worker stopped replying, and what its runs were at that moment.

The time of a crash is known only roughly: it lies between the last reply and
the first call that failed.
"""

import dataclasses
import enum
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.jobtable import TaskEntry
from jayshore.fleet.phases import PLACED_PHASES, Phase

_TIMED_MS: Final = Millis(200)


class LossCause(enum.StrEnum):
    """Why the runs of a worker are lost without a reported end.

    `RESTARTED`: another incarnation of the worker replied. `LEASE_EXPIRED`: it
    was silent until its lease was over. `NOT_LISTED`: a former leader placed
    them at a worker that is not registered.
    """

    RESTARTED = 'restarted'
    LEASE_EXPIRED = 'lease_expired'
    NOT_LISTED = 'not_listed'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outage:
    """An interval in which a worker stopped replying.

    Attributes:
        alive_at: the last time at which it was certainly alive, on the local
            clock.
        noticed_at: when the first call failed, on the local clock.
    """

    alive_at: Millis
    noticed_at: Millis

    @property
    def is_timed(self) -> bool:
        """Whether the moment is known well, as when a connection ended."""
        return self.noticed_at - self.alive_at <= _TIMED_MS

    def overlaps(self, other: 'Outage', slack_ms: Millis) -> bool:
        """Return whether two workers may have failed at the same time.

        Args:
            other: outage of another worker.
            slack_ms: time between two failures that still count as one, in ms.

        Returns:
            True when the intervals are at most that far apart.
        """
        return (
            self.alive_at <= other.noticed_at + slack_ms
            and other.alive_at <= self.noticed_at + slack_ms
        )


def age_in_outage(task: TaskEntry, outage: Outage) -> Millis | None:
    """Compute how old a run certainly was when its worker stopped replying.

    Args:
        task: a task that holds resources at the worker.
        outage: when the worker stopped replying.

    Returns:
        Its age in ms, 0 for a run that may just have started or may never have
        arrived; None for one that was ordered after the outage or not at all.
    """
    if task.phase not in PLACED_PHASES:
        return None
    inherited = task.phase is Phase.UNKNOWN
    if not inherited and task.seen_at is None:
        ordered_at = task.ordered_at
        if ordered_at is None or ordered_at > outage.noticed_at:
            return None
    if task.seen_at is None:
        return Millis(0)
    return Millis(max(0, outage.alive_at - task.seen_at))
