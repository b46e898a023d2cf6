"""Detects runs that are stalled, or behind on a slow worker.

A worker may turn slow or hang while it still answers all calls. Its runs are
late long before the worker is seen to have failed. A run that is behind on a
worker whose other runs are not is a long task, and is not stopped.
"""

import dataclasses
import enum
from collections.abc import Iterable
from typing import Final, NamedTuple

from jayshore.clock import Millis
from jayshore.fleet.model import TaskId
from jayshore.fleet.speeds import Advance, Verdict

STALLED_MS: Final = 1500
"""Time without progress from which a run counts as stalled, in ms."""

GANG_STALLED_MS: Final = 2500
"""The same for a member of a gang, which also waits for the other members."""

LONG_FACTOR: Final = 4.0
"""Ratio of projected to estimated duration above which a run is reported.

On a sound worker such a task is itself long, and stays where it is. Estimates
are off by up to nine tenths, and distant data slows a run down as well.
"""

SLOW_FACTOR: Final = 2.0
"""The same on a slow worker, from which the run is moved.

The other runs of the worker show that it is slow, so less is needed of this
one. A gang runs at the pace of its slowest member, so its members are not
compared with their estimate.
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

_MIN_STEP_MS: Final = Millis(500)
_STEP_SHARE: Final = 10
"""A step lasts at least a tenth of the estimate.

Progress is reported in whole percent, and a step has to hold several at the
expected pace.
"""

_MIN_MEASURED_PERCENT: Final = 4
_MIN_ENDED_PERCENT: Final = 10
_FULL_PERCENT: Final = 100


class Pace(enum.Enum):
    """Progress of a run compared with its expected duration.

    `LONG`: far behind on a worker that is not slow. `SLOW`: behind on a slow
    worker. `STALLED`: no progress.
    """

    GOOD = 'good'
    LONG = 'long'
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
        cautious_ms: duration that most tasks of its queue and workspace with
            this estimate keep within, in ms; None for the estimate.
    """

    task: TaskId
    run: int
    percent: int
    estimate_ms: Millis
    gang: bool
    moves: int = 0
    cautious_ms: Millis | None = None

    @property
    def limit_ms(self) -> Millis:
        """Duration with which the run is compared, in ms."""
        return self.cautious_ms or self.estimate_ms


class _Mark(NamedTuple):
    """The percentage of a run at a time."""

    percent: int
    at: Millis


@dataclasses.dataclass(kw_only=True, slots=True)
class _Track:
    """Reports of a run.

    Attributes:
        sample: the latest report.
        first: the first report.
        advanced_at: when the percentage last rose.
        step: begin of the current step, over which its pace is measured.
        former_step: begin of the step before.
        nominal_ms: expected duration of the whole work on a worker of pace 1,
            in ms; the estimate until the run itself has shown it.
        is_measured: the run has shown it.
        is_known_long: it has been reported as long.
    """

    sample: ProgressSample
    first: _Mark
    advanced_at: Millis
    step: _Mark
    former_step: _Mark
    nominal_ms: float
    is_measured: bool = False
    is_known_long: bool = False


class EndedRun(NamedTuple):
    """Progress of a run until its end.

    Attributes:
        last: since the begin of the last step.
        whole: since the run was first seen.
        duration_ms: duration of the whole work, in ms, also when an earlier
            run did a part of it.
    """

    last: Advance
    whole: Advance
    duration_ms: Millis


class ProgressTracker:
    """Tracks the progress of the runs of one worker."""

    def __init__(self) -> None:
        """Create a tracker without runs."""
        self._tracks: dict[TaskId, _Track] = {}
        self._updated_at = Millis(0)

    def was_silent(self, now: Millis) -> bool:
        """Return whether the worker has not reported for some time.

        Args:
            now: time on the local clock, in ms.

        Returns:
            True when durations that include this time tell nothing.
        """
        return now - self._updated_at > _MAX_REPORT_GAP_MS

    def update(
        self, samples: Iterable[ProgressSample], now: Millis
    ) -> list[Advance]:
        """Update the tracker from a report of all runs of the worker.

        Args:
            samples: progress of each run.
            now: arrival of the report on the local clock, in ms.

        Returns:
            Progress of the runs whose current step is over.
        """
        if self.was_silent(now):
            self._tracks = {}
        self._updated_at = now
        tracks: dict[TaskId, _Track] = {}
        advances: list[Advance] = []
        for sample in samples:
            track = self._update_track(sample, now)
            tracks[sample.task] = track
            step_ms = max(_MIN_STEP_MS, sample.estimate_ms / _STEP_SHARE)
            if now - track.step.at >= step_ms:
                advances.append(
                    _advance(sample, track.step, now, track.nominal_ms)
                )
                track.former_step = track.step
                track.step = _Mark(sample.percent, now)
        self._tracks = tracks
        return advances

    def end(self, task: TaskId, run: int, now: Millis) -> EndedRun | None:
        """Compute the progress of a run that has ended done.

        Args:
            task: the task.
            run: number of the run.
            now: arrival of the report on the local clock, in ms.

        Returns:
            Its progress, or None when the run was not seen before or hardly
            anything was left, or when its end may have been reported late.
        """
        track = self._tracks.get(task)
        if track is None or track.sample.run != run or self.was_silent(now):
            return None
        gained = _FULL_PERCENT - track.first.percent
        if gained < _MIN_ENDED_PERCENT:
            return None
        done = dataclasses.replace(track.sample, percent=_FULL_PERCENT)
        return EndedRun(
            last=_advance(done, track.step, now, track.nominal_ms),
            whole=_advance(done, track.first, now, done.estimate_ms),
            duration_ms=Millis(
                (now - track.first.at) * _FULL_PERCENT // gained
            ),
        )

    def judge(self, now: Millis, worker: Verdict) -> list[tuple[TaskId, Pace]]:
        """Judge the runs of the latest report.

        Args:
            now: arrival of the report on the local clock, in ms.
            worker: what all its recent runs tell of the worker.

        Returns:
            Tasks whose runs are slow or stalled, and once those whose runs are
            long, with their pace.
        """
        found: list[tuple[TaskId, Pace]] = []
        for task, track in self._tracks.items():
            pace = _classify(track, now, worker_slow=worker.slow)
            if pace is Pace.LONG:
                if track.is_known_long:
                    continue
                track.is_known_long = True
            if pace is not Pace.GOOD:
                found.append((task, pace))
            _measure(track, now, worker.sound_pace)
        return found

    def _update_track(self, sample: ProgressSample, now: Millis) -> _Track:
        track = self._tracks.get(sample.task)
        if track is None or track.sample.run != sample.run:
            mark = _Mark(sample.percent, now)
            return _Track(
                sample=sample,
                first=mark,
                advanced_at=now,
                step=mark,
                former_step=mark,
                nominal_ms=sample.estimate_ms,
            )
        if sample.percent > track.sample.percent:
            track.advanced_at = now
        track.sample = sample
        return track


def _advance(
    sample: ProgressSample, since: _Mark, now: Millis, nominal_ms: float
) -> Advance:
    gained = max(0, sample.percent - since.percent)
    return Advance(
        task=sample.task,
        run=sample.run,
        work_ms=nominal_ms * gained / _FULL_PERCENT,
        took_ms=Millis(max(1, now - since.at)),
        gang=sample.gang,
    )


def _classify(track: _Track, now: Millis, *, worker_slow: bool) -> Pace:
    sample = track.sample
    limit = GANG_STALLED_MS if sample.gang else STALLED_MS
    if sample.moves >= MAX_STALL_MOVES:
        return Pace.GOOD
    if sample.gang and sample.percent >= _FULL_PERCENT:
        # All members of a gang end together, so one that is done has to wait.
        return Pace.GOOD
    if now - track.advanced_at >= limit:
        return Pace.STALLED
    if sample.gang or sample.moves >= MAX_SLOW_MOVES:
        return Pace.GOOD
    if now - track.first.at < _MIN_AGE_MS:
        return Pace.GOOD
    if worker_slow:
        # The run may have been fast before the worker turned slow.
        since = track.former_step
        whole_ms = track.nominal_ms if track.is_measured else sample.limit_ms
        behind = _is_behind(track, since, now, whole_ms, SLOW_FACTOR)
        return Pace.SLOW if behind else Pace.GOOD
    whole_ms = sample.limit_ms
    behind = _is_behind(track, track.first, now, whole_ms, LONG_FACTOR)
    return Pace.LONG if behind else Pace.GOOD


def _measure(track: _Track, now: Millis, sound_pace: float | None) -> None:
    """Take the duration of a run from its progress, on a sound worker.

    Afterwards a long task no longer speaks against its worker, and shows by
    itself when the worker turns slow.
    """
    gained = track.sample.percent - track.first.percent
    age = now - track.first.at
    if (
        track.is_measured
        or sound_pace is None
        or age < _MIN_AGE_MS
        or gained < _MIN_MEASURED_PERCENT
    ):
        return
    track.is_measured = True
    track.nominal_ms = sound_pace * age * _FULL_PERCENT / gained


def _is_behind(
    track: _Track, since: _Mark, now: Millis, whole_ms: float, factor: float
) -> bool:
    """Return whether a run is so slow that it ends sooner elsewhere."""
    percent = track.sample.percent
    gained = percent - since.percent
    if gained <= 0:
        return False
    whole = (now - since.at) * _FULL_PERCENT / gained
    rest = whole * (_FULL_PERCENT - percent) / _FULL_PERCENT
    # A run that is nearly done ends sooner on its current worker.
    return whole > factor * whole_ms and rest > whole_ms
