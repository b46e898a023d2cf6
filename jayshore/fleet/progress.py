"""Detects runs that are stalled or far slower than expected.

A worker may turn slow or hang while it still answers all calls. Its runs are
late long before the worker is seen to have failed.
"""

import dataclasses
import enum
from collections.abc import Iterable
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.model import TaskId

STALLED_MS: Final = 1500
"""Time without progress from which a run counts as stalled, in ms."""

GANG_STALLED_MS: Final = 2500
"""The same for a member of a gang, which also waits for the other members."""

SLOW_FACTOR: Final = 4.0
"""Ratio of projected to estimated duration above which a run counts as slow.

Estimates are off by up to nine tenths, and distant data slows a run down as
well. A gang runs at the pace of its slowest member, so its members are not
compared with their estimate. A factor of 3 for all tasks discarded more work
than it saved.
"""

MAX_SLOW_MOVES: Final = 1
"""Maximum moves of a slow task; after that its estimate is considered wrong."""

MAX_STALL_MOVES: Final = 3
"""Maximum moves of a task in all; one that stalls everywhere is not moved."""

_MIN_AGE_MS: Final = 1500
_MAX_REPORT_GAP_MS: Final = 1500
"""Time between two reports beyond which progress is measured anew, in ms.

The worker was silent or frozen meanwhile, which says nothing of its runs.
"""

_FULL_PERCENT: Final = 100


class Pace(enum.Enum):
    """Progress of a run compared with its expected duration."""

    GOOD = 'good'
    SLOW = 'slow'
    STALLED = 'stalled'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgressSample:
    """Progress of a run as its worker reports it.

    Attributes:
        task: the task.
        run: number of the run.
        percent: share of the work that is done.
        estimate_ms: estimated duration of the whole work, in ms.
        gang: the task is a member of a gang.
        moves: number of earlier runs that were stopped because they were slow
            or stalled.
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
    """Tracks the progress of the runs of one worker."""

    def __init__(self) -> None:
        """Create a tracker without runs."""
        self._tracks: dict[TaskId, _Track] = {}
        self._updated_at = Millis(0)

    def update(
        self, samples: Iterable[ProgressSample], now: Millis
    ) -> list[tuple[TaskId, Pace]]:
        """Update the tracker from a report of all runs of the worker.

        Args:
            samples: progress of each run.
            now: arrival of the report on the local clock, in ms.

        Returns:
            Tasks whose runs are slow or stalled, with their pace.
        """
        if now - self._updated_at > _MAX_REPORT_GAP_MS:
            self._tracks = {}
        self._updated_at = now
        tracks: dict[TaskId, _Track] = {}
        found: list[tuple[TaskId, Pace]] = []
        for sample in samples:
            track = self._update_track(sample, now)
            tracks[sample.task] = track
            pace = _classify(track, sample, now)
            if pace is not Pace.GOOD:
                found.append((sample.task, pace))
        self._tracks = tracks
        return found

    def _update_track(self, sample: ProgressSample, now: Millis) -> _Track:
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


def _classify(track: _Track, sample: ProgressSample, now: Millis) -> Pace:
    limit = GANG_STALLED_MS if sample.gang else STALLED_MS
    if sample.moves >= MAX_STALL_MOVES:
        return Pace.GOOD
    if sample.gang and sample.percent >= _FULL_PERCENT:
        # All members of a gang end together, so one that is done has to wait.
        return Pace.GOOD
    if now - track.advanced_at >= limit:
        return Pace.STALLED
    age = now - track.first_at
    gained = track.percent - track.first_percent
    if age < _MIN_AGE_MS or not gained:
        return Pace.GOOD
    if sample.gang or sample.moves >= MAX_SLOW_MOVES:
        return Pace.GOOD
    whole = age * _FULL_PERCENT / gained
    rest = whole * (_FULL_PERCENT - track.percent) / _FULL_PERCENT
    slow = whole > SLOW_FACTOR * sample.estimate_ms
    # A run that is nearly done ends sooner on its current worker.
    return Pace.SLOW if slow and rest > sample.estimate_ms else Pace.GOOD
