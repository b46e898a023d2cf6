"""Recorder of service-level events with fixed memory per team and kind.

Counts are kept in two rings of buckets: short ones for the last hour, long
ones for the last 6 hours. That is what the windows of the burn report need.
"""

import array
import dataclasses
from collections.abc import Iterator

from jayshore.clock import Millis
from jayshore.report.samples import Sample, SloSnapshot

_HOUR_MS = 3_600_000
SHORT_BUCKET_MS = Millis(10_000)
LONG_BUCKET_MS = Millis(300_000)
SHORT_SPAN_MS = Millis(_HOUR_MS)
LONG_SPAN_MS = Millis(6 * _HOUR_MS)

# The short ring reaches back to the start of the long bucket in which the last
# hour began, so that a snapshot changes over between two long buckets.
_SHORT_BUCKETS = (SHORT_SPAN_MS + LONG_BUCKET_MS) // SHORT_BUCKET_MS + 1
_LONG_BUCKETS = LONG_SPAN_MS // LONG_BUCKET_MS + 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Bucket:
    start_ms: Millis
    total: int
    good: int


class _Ring:
    """Buckets of equal length; a new one replaces the oldest."""

    def __init__(self, *, length_ms: Millis, count: int) -> None:
        """Start empty.

        Args:
            length_ms: length of one bucket.
            count: number of buckets.
        """
        self.length_ms = length_ms
        self._numbers = array.array('q', [-1] * count)
        self._totals = array.array('q', [0] * count)
        self._good = array.array('q', [0] * count)

    def add(self, *, is_good: bool, now: Millis) -> None:
        """Count one event.

        Where the wall clock was set back by more than the ring, the event is
        counted in the newer bucket that took the place of its own.

        Args:
            is_good: whether it met the target.
            now: ms since the Unix epoch.
        """
        number = now // self.length_ms
        slot = number % len(self._numbers)
        if number > self._numbers[slot]:
            self._numbers[slot] = number
            self._totals[slot] = 0
            self._good[slot] = 0
        self._totals[slot] += 1
        self._good[slot] += is_good

    def buckets(self, *, start: Millis, end: Millis) -> Iterator[_Bucket]:
        """List the buckets that hold any event.

        Args:
            start: earliest start of a bucket, ms since the Unix epoch.
            end: buckets starting then or later are left out.

        Yields:
            Each bucket, in no particular order.
        """
        for slot, number in enumerate(self._numbers):
            start_ms = Millis(number * self.length_ms)
            if number >= 0 and start <= start_ms < end:
                yield _Bucket(
                    start_ms=start_ms,
                    total=self._totals[slot],
                    good=self._good[slot],
                )


class _Series:
    """The two rings of one team and kind of work."""

    def __init__(self) -> None:
        """Start empty."""
        self.newest = Millis(0)
        self._short = _Ring(length_ms=SHORT_BUCKET_MS, count=_SHORT_BUCKETS)
        self._long = _Ring(length_ms=LONG_BUCKET_MS, count=_LONG_BUCKETS)

    def add(self, *, is_good: bool, now: Millis) -> None:
        """Count one event in both rings."""
        self.newest = max(self.newest, now)
        self._short.add(is_good=is_good, now=now)
        self._long.add(is_good=is_good, now=now)

    def samples(self, *, team: str, work: str, now: Millis) -> Iterator[Sample]:
        """List short buckets of the last hour and long ones before it."""
        change = _aligned(Millis(now - SHORT_SPAN_MS))
        oldest = _aligned(Millis(now - LONG_SPAN_MS))
        after_now = Millis(now + 1)
        for ring, start, end in (
            (self._long, oldest, change),
            (self._short, change, after_now),
        ):
            for bucket in ring.buckets(start=start, end=end):
                yield Sample(
                    start_ms=bucket.start_ms,
                    length_ms=ring.length_ms,
                    team=team,
                    work=work,
                    total=bucket.total,
                    good=bucket.good,
                )


class SloRecorder:
    """Counts of one daemon; memory grows only with teams and kinds of work."""

    def __init__(self) -> None:
        """Start empty."""
        self._series: dict[tuple[str, str], _Series] = {}

    def record(
        self, *, team: str, work: str, is_good: bool, now: Millis
    ) -> None:
        """Count one start of work.

        Args:
            team: a team of the configuration; never taken from a caller
                unchecked, because each name takes memory.
            work: the kind of work.
            is_good: whether the waiting time met the target.
            now: ms since the Unix epoch.
        """
        series = self._series.setdefault((team, work), _Series())
        series.add(is_good=is_good, now=now)

    def snapshot(self, *, now: Millis) -> SloSnapshot:
        """Take the counts of the last 6 hours, and drop idle series.

        Args:
            now: ms since the Unix epoch.

        Returns:
            Samples that do not overlap: 10 s long in the last hour, 5 min long
            before it.
        """
        oldest = _aligned(Millis(now - LONG_SPAN_MS))
        self._series = {
            place: series
            for place, series in self._series.items()
            if series.newest >= oldest
        }
        found = [
            sample
            for (team, work), series in self._series.items()
            for sample in series.samples(team=team, work=work, now=now)
        ]
        return SloSnapshot(samples=tuple(sorted(found)))


def _aligned(instant: Millis) -> Millis:
    """Round down to the start of a long bucket."""
    return Millis(instant - instant % LONG_BUCKET_MS)
