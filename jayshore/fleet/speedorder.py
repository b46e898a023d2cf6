"""Which workers a demand prefers for their speed.

Speeds are compared in classes, so that the noise of learned speeds changes
nothing: while all workers are of one class, there is no preference, and the
order of workers is decided by their room alone.
"""

import enum
from collections.abc import Sequence
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.demands import GroupDemand, WorkerHeadroom
from jayshore.fleet.eligibility import count_fits, slot_limit
from jayshore.fleet.speeds import SLOW_SHARE

CLASS_FACTOR: Final = 1.5
"""Ratio to the median from which a worker belongs to another class.

Speeds learned from few runs with wrong estimates are off by a third.
"""

WIDE_GANG: Final = 8
"""Tasks from which a gang counts as wide, as it then fills several workers."""

LONG_PATH_MS: Final = Millis(3000)
"""Remaining critical path from which a job prefers fast workers, in ms.

The next class saves it a third, that is a second.
"""

TIGHT_FACTOR: Final = 2.25
"""Ratio of the time left to the critical path below which a job is tight.

A worker of the next lower class takes 1.5 times as long, and half as much again
goes to wrong estimates, advice, and the records of starts and ends.
"""


class SpeedClass(enum.IntEnum):
    """Speed of a worker compared with the median of the workers.

    `MUCH_SLOWER`: it counts as slow. `FASTER` and `SLOWER`: by `CLASS_FACTOR`
    or more.
    """

    MUCH_SLOWER = 0
    SLOWER = 1
    USUAL = 2
    FASTER = 3


_SHORT_WORK_ORDER: Final = (
    SpeedClass.USUAL,
    SpeedClass.FASTER,
    SpeedClass.SLOWER,
    SpeedClass.MUCH_SLOWER,
)
"""Order for narrow and short work: it leaves the fast workers to others."""


def classify_speed(speed: float) -> SpeedClass:
    """Classify the speed of a worker.

    Args:
        speed: relative to the median of the workers.

    Returns:
        Its class.
    """
    if speed >= CLASS_FACTOR:
        return SpeedClass.FASTER
    if speed * CLASS_FACTOR > 1:
        return SpeedClass.USUAL
    return SpeedClass.SLOWER if speed >= SLOW_SHARE else SpeedClass.MUCH_SLOWER


def is_tight(path_ms: int, left_ms: Millis) -> bool:
    """Return whether a job meets its objective only on fast workers.

    Args:
        path_ms: its remaining critical path, in ms.
        left_ms: time until its objective, in ms.

    Returns:
        False for jobs with time to spare, and for jobs that are late on any
        worker.
    """
    return path_ms / CLASS_FACTOR <= left_ms < TIGHT_FACTOR * path_ms


class SpeedPreference:
    """Preference of one demand among the workers that have room for it."""

    def __init__(
        self, demand: GroupDemand, workers: Sequence[WorkerHeadroom]
    ) -> None:
        """Create a preference.

        Args:
            demand: waiting tasks; suspects have no preference, since they run
                apart from other work.
            workers: workers with room for a task.
        """
        self._even = demand.suspect or _are_even(workers)
        self._prefers_fast = (
            demand.tight
            or demand.path_ms >= LONG_PATH_MS
            or (demand.gang and len(demand.indexes) >= WIDE_GANG)
        )
        self._lowest = SpeedClass.SLOWER
        self._gang = demand.gang
        if demand.gang and not self._even:
            pace = _find_gang_pace(demand, workers)
            if not self._prefers_fast:
                pace = min(pace, SpeedClass.USUAL)
            self._lowest = pace

    def avoids(self, worker: WorkerHeadroom) -> bool:
        """Return whether a worker would hold the demand up.

        Args:
            worker: one of the workers.

        Returns:
            True when it is to be used only if no other has room, not even one
            far from the data.
        """
        return not self._even and classify_speed(worker.speed) < self._lowest

    def rank(self, worker: WorkerHeadroom) -> int:
        """Rank a worker by its speed.

        A gang uses the slowest workers of its pace first, since faster ones
        would wait for them.

        Args:
            worker: one of the workers.

        Returns:
            The smallest for the most preferred workers, the same for all if
            the workers are about equally fast.
        """
        if self._even:
            return 0
        speed_class = classify_speed(worker.speed)
        if self._gang:
            below = speed_class < self._lowest
            return -speed_class if below else speed_class
        if self._prefers_fast:
            return -speed_class
        return _SHORT_WORK_ORDER.index(speed_class)


def _are_even(workers: Sequence[WorkerHeadroom]) -> bool:
    """Return whether all workers are of one class."""
    if not workers:
        return True
    speeds = [worker.speed for worker in workers]
    return classify_speed(min(speeds)) is classify_speed(max(speeds))


def _find_gang_pace(
    demand: GroupDemand, workers: Sequence[WorkerHeadroom]
) -> SpeedClass:
    """Find the fastest class that, with the faster ones, holds a gang.

    A gang runs at the pace of its slowest member.
    """
    rooms = dict.fromkeys(SpeedClass, 0)
    for worker in workers:
        rooms[classify_speed(worker.speed)] += min(
            slot_limit(worker, demand), count_fits(demand, worker.free)
        )
    room = 0
    for speed_class in sorted(SpeedClass, reverse=True):
        room += rooms[speed_class]
        if room >= len(demand.indexes):
            return speed_class
    return SpeedClass.MUCH_SLOWER
