"""Recorder of SLO events with fixed memory per team and kind of work.

Events are counted in two ring buffers: one of short buckets for the last hour
and one of long buckets for the last 6 hours, as the windows of the burn report
require.
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

# The short buckets reach back to the start of the long bucket in which the last
# hour began, so that a snapshot switches from long to short buckets at the
# boundary between two long buckets.
_SHORT_BUCKETS = (SHORT_SPAN_MS + LONG_BUCKET_MS) // SHORT_BUCKET_MS + 1
_LONG_BUCKETS = LONG_SPAN_MS // LONG_BUCKET_MS + 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Bucket:
    start_ms: Millis
    total: int
    good: int


class _RingBuffer:
    """Ring buffer of buckets of equal length; a new one replaces the oldest."""

    def __init__(self, *, length_ms: Millis, count: int) -> None:
        """Create an empty ring buffer.

        Args:
            length_ms: length of one bucket, in ms.
            count: number of buckets.
        """
        self.length_ms = length_ms
        self._bucket_numbers = array.array('q', [-1] * count)
        self._totals = array.array('q', [0] * count)
        self._good = array.array('q', [0] * count)

    def add(self, *, is_good: bool, now: Millis) -> None:
        """Count one event.

        When the wall clock was set back by more than the time that the ring
        covers, the event is counted in the newer bucket of the same slot.

        Args:
            is_good: whether the event met the target.
            now: time of the event, in ms since the Unix epoch.
        """
        bucket_number = now // self.length_ms
        slot = bucket_number % len(self._bucket_numbers)
        if bucket_number > self._bucket_numbers[slot]:
            self._bucket_numbers[slot] = bucket_number
            self._totals[slot] = 0
            self._good[slot] = 0
        self._totals[slot] += 1
        self._good[slot] += is_good

    def buckets(self, *, start: Millis, end: Millis) -> Iterator[_Bucket]:
        """List the buckets that contain events.

        Args:
            start: earliest start of a bucket, in ms since the Unix epoch.
            end: end of the range of starts, exclusive.

        Yields:
            Each bucket, in no particular order.
        """
        for slot, bucket_number in enumerate(self._bucket_numbers):
            start_ms = Millis(bucket_number * self.length_ms)
            if bucket_number >= 0 and start <= start_ms < end:
                yield _Bucket(
                    start_ms=start_ms,
                    total=self._totals[slot],
                    good=self._good[slot],
                )


class _Series:
    """The two ring buffers of one team and kind of work."""

    def __init__(self) -> None:
        """Create an empty series."""
        self.newest = Millis(0)
        self._short = _RingBuffer(
            length_ms=SHORT_BUCKET_MS, count=_SHORT_BUCKETS
        )
        self._long = _RingBuffer(length_ms=LONG_BUCKET_MS, count=_LONG_BUCKETS)

    def add(self, *, is_good: bool, now: Millis) -> None:
        """Count one event in both ring buffers."""
        self.newest = max(self.newest, now)
        self._short.add(is_good=is_good, now=now)
        self._long.add(is_good=is_good, now=now)

    def samples(self, *, team: str, work: str, now: Millis) -> Iterator[Sample]:
        """List the short buckets of the last hour and the long ones before."""
        boundary = _align_to_long_bucket(Millis(now - SHORT_SPAN_MS))
        oldest = _align_to_long_bucket(Millis(now - LONG_SPAN_MS))
        after_now = Millis(now + 1)
        for ring, start, end in (
            (self._long, oldest, boundary),
            (self._short, boundary, after_now),
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
    """Counts the events of one daemon.

    Its memory grows only with the number of teams and kinds of work.
    """

    def __init__(self) -> None:
        """Create a recorder without events."""
        self._series: dict[tuple[str, str], _Series] = {}

    def record(
        self, *, team: str, work: str, is_good: bool, now: Millis
    ) -> None:
        """Count one start of work.

        Args:
            team: a team of the configuration; must not be an unchecked name
                from a caller, because each name takes memory.
            work: the kind of work.
            is_good: whether the waiting time met the target.
            now: time of the start, in ms since the Unix epoch.
        """
        series = self._series.setdefault((team, work), _Series())
        series.add(is_good=is_good, now=now)

    def snapshot(self, *, now: Millis) -> SloSnapshot:
        """Return the counts of the last 6 hours and drop idle series.

        Args:
            now: current time, in ms since the Unix epoch.

        Returns:
            Samples that do not overlap in a series: 10 s long in the last hour,
            5 min long before it.
        """
        oldest = _align_to_long_bucket(Millis(now - LONG_SPAN_MS))
        self._series = {
            key: series
            for key, series in self._series.items()
            if series.newest >= oldest
        }
        found = [
            sample
            for (team, work), series in self._series.items()
            for sample in series.samples(team=team, work=work, now=now)
        ]
        return SloSnapshot(samples=tuple(sorted(found)))


def _align_to_long_bucket(instant: Millis) -> Millis:
    """Round down to the start of a long bucket."""
    return Millis(instant - instant % LONG_BUCKET_MS)
