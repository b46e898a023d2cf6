"""Finds runs that stand still or are far slower than expected.

Answers workers that turn slow or hang while they answer all calls: what they
run is late long before its worker is seen to be broken.
"""

import dataclasses
import enum
from collections.abc import Iterable
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.model import TaskId

STALLED_MS: Final = 1500
"""Time without progress after which a run counts as stalled, in ms."""

GANG_STALLED_MS: Final = 2500
"""The same for a member of a gang, which also waits for the others."""

SLOW_FACTOR: Final = 4.0
"""Projected multiple of its estimate from which a run counts as slow.

Estimates are off by up to nine tenths, and data far away costs a factor too. A
gang works at the pace of its slowest member, so that its members are not
compared with their estimate; a factor of 3 for all tasks threw away more work
than it saved.
"""

MAX_SLOW_MOVES: Final = 1
"""Moves of a task for being slow; after that its estimate is taken for wrong.
"""

MAX_STALL_MOVES: Final = 3
"""Moves of a task in all; one that stalls everywhere stays where it is."""

_MIN_AGE_MS: Final = 1500
_WHOLE: Final = 100


class Pace(enum.Enum):
    """How a run gets on."""

    GOOD = 'good'
    SLOW = 'slow'
    STALLED = 'stalled'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgressSample:
    """A run as its worker lists it.

    Attributes:
        task: the task.
        run: number of the run.
        percent: how much of the work is done.
        estimate_ms: rough duration of the whole work, in ms.
        gang: the task works only together with others.
        moves: earlier runs that were stopped for their pace.
    """

    task: TaskId
    run: int
    percent: int
    estimate_ms: Millis
    gang: bool
    moves: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Track:
    run: int
    first_percent: int
    first_at: Millis
    percent: int
    advanced_at: Millis


class ProgressTracker:
    """Remembers the progress of the runs of one worker."""

    def __init__(self) -> None:
        """Start without runs."""
        self._tracks: dict[TaskId, _Track] = {}

    def note(
        self, samples: Iterable[ProgressSample], now: Millis
    ) -> list[tuple[TaskId, Pace]]:
        """Take a list of all runs of the worker over.

        Args:
            samples: the runs.
            now: when the list came, on our clock, in ms.

        Returns:
            The runs that are not good.
        """
        tracks: dict[TaskId, _Track] = {}
        found: list[tuple[TaskId, Pace]] = []
        for sample in samples:
            track = self._follow(sample, now)
            tracks[sample.task] = track
            pace = _judge(track, sample, now)
            if pace is not Pace.GOOD:
                found.append((sample.task, pace))
        self._tracks = tracks
        return found

    def _follow(self, sample: ProgressSample, now: Millis) -> _Track:
        track = self._tracks.get(sample.task)
        if track is None or track.run != sample.run:
            return _Track(
                run=sample.run,
                first_percent=sample.percent,
                first_at=now,
                percent=sample.percent,
                advanced_at=now,
            )
        if sample.percent > track.percent:
            track.percent = sample.percent
            track.advanced_at = now
        return track


def _judge(track: _Track, sample: ProgressSample, now: Millis) -> Pace:
    limit = GANG_STALLED_MS if sample.gang else STALLED_MS
    if sample.moves >= MAX_STALL_MOVES:
        return Pace.GOOD
    if sample.gang and sample.percent >= _WHOLE:
        # A gang ends together: a member that is done waits for the others.
        return Pace.GOOD
    if now - track.advanced_at >= limit:
        return Pace.STALLED
    age = now - track.first_at
    gained = track.percent - track.first_percent
    if age < _MIN_AGE_MS or not gained:
        return Pace.GOOD
    if sample.gang or sample.moves >= MAX_SLOW_MOVES:
        return Pace.GOOD
    whole = age * _WHOLE / gained
    rest = whole * (_WHOLE - track.percent) / _WHOLE
    slow = whole > SLOW_FACTOR * sample.estimate_ms
    # A run that is nearly done ends sooner where it is.
    return Pace.SLOW if slow and rest > sample.estimate_ms else Pace.GOOD
