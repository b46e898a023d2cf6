"""Counts of all and of good events, as daemons record and exchange them."""

import collections
import dataclasses
from collections.abc import Iterable

from jayshore.clock import Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Sample:
    """What one or more daemons counted in one interval.

    Attributes:
        start_ms: start of the interval, in ms since the Unix epoch, so that
            samples of several daemons can be added up.
        length_ms: length of the interval.
        team: the team.
        work: the kind of work.
        total: all starts of work.
        good: those that met the waiting-time target.
    """

    start_ms: Millis
    length_ms: Millis
    team: str
    work: str
    total: int
    good: int

    @property
    def end_ms(self) -> Millis:
        """The end of the interval, in ms since the Unix epoch."""
        return Millis(self.start_ms + self.length_ms)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SloSnapshot:
    """Samples whose intervals do not overlap for any one daemon."""

    samples: tuple[Sample, ...] = ()


def merge_snapshots(snapshots: Iterable[SloSnapshot]) -> SloSnapshot:
    """Add up the snapshots of several daemons.

    Args:
        snapshots: one per daemon; a daemon that appears twice counts twice.

    Returns:
        One snapshot, ordered by time, team and kind of work.
    """
    totals: collections.Counter[tuple[Millis, Millis, str, str]] = (
        collections.Counter()
    )
    good = totals.copy()
    for snapshot in snapshots:
        for part in snapshot.samples:
            place = (part.start_ms, part.length_ms, part.team, part.work)
            totals[place] += part.total
            good[place] += part.good
    merged = (
        Sample(
            start_ms=place[0],
            length_ms=place[1],
            team=place[2],
            work=place[3],
            total=total,
            good=good[place],
        )
        for place, total in totals.items()
    )
    return SloSnapshot(samples=tuple(sorted(merged)))
