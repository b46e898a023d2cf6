"""Counts of all and of good starts of work, as daemons record them."""

import collections
import dataclasses
from collections.abc import Iterable

from jayshore.clock import Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Sample:
    """Counts of one or more daemons for one interval.

    Attributes:
        start_ms: start of the interval, in ms since the Unix epoch, so that
            samples of several daemons can be added up.
        length_ms: length of the interval, in ms.
        team: the team.
        work: the kind of work.
        total: number of starts of work.
        good: number of starts that met the target for the waiting time.
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
    """Samples; those of one daemon, team and kind of work do not overlap."""

    samples: tuple[Sample, ...] = ()


def merge_snapshots(snapshots: Iterable[SloSnapshot]) -> SloSnapshot:
    """Sum the snapshots of several daemons per interval.

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
        for sample in snapshot.samples:
            key = (sample.start_ms, sample.length_ms, sample.team, sample.work)
            totals[key] += sample.total
            good[key] += sample.good
    merged = (
        Sample(
            start_ms=key[0],
            length_ms=key[1],
            team=key[2],
            work=key[3],
            total=total,
            good=good[key],
        )
        for key, total in totals.items()
    )
    return SloSnapshot(samples=tuple(sorted(merged)))
