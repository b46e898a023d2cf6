"""Learns the speed of each worker from the progress of all its runs.

No message states how fast a worker is, and a single run does not tell: its
estimate may be wrong, or the task itself may be long. When most of the runs on
a worker are behind, the worker is slow. Times are handed in, and nothing here
is stored: a new leader learns all speeds again within seconds.
"""

import collections
import dataclasses
import statistics
from typing import Final, NamedTuple

from jayshore.clock import Millis
from jayshore.fleet.model import TaskId

UNKNOWN_SPEED: Final = 1.0

RECENT_MS: Final = Millis(4000)
"""How far back progress counts for the verdict on a worker, in ms.

A worker that turns slow has to be found within seconds, and a shorter time
holds too few runs.
"""

SLOW_SHARE: Final = 0.4
"""Pace below which a run speaks against its worker, as a share of the median.

Sound workers differ by a factor of 2.4 at most, and the median is that of the
slower ones. A worker that turns slow is at a quarter or less.
"""

SLOW_EVIDENCE: Final = 0.7
"""Share of the recent run time that is behind on a slow worker.

One task in thirty takes seven times as long, which is a fifth of the run time,
so a bare majority is often behind on sound workers with few runs. At 0.75, some
slow workers are found late or never, as single estimates are far too long.
"""

SOUND_EVIDENCE: Final = 0.5
"""Share of the recent run time below which a slow worker has recovered."""

MEASURE_EVIDENCE: Final = 0.35
"""Share of the recent run time below which single runs are measured.

Beyond it the worker may be turning slow, and so would make its tasks look long.
"""

MIN_RECENT_RUNS: Final = 3
"""Recent runs without which there is no verdict on a worker."""

MIN_RUNS: Final = 8
"""Ended runs from which the speed of a worker is used."""

SLOW_HELD_MS: Final = Millis(10_000)
"""How long a worker counts as slow after its last run that showed it, in ms.

A slow worker gets little work, so its recovery shows only when it gets some.
"""

_KEPT_RUNS: Final = 48
_MIN_REFERENCE_RUNS: Final = 4
_MIN_REFERENCE_WORKERS: Final = 3
_REFERENCE_INTERVAL_MS: Final = Millis(500)


class Advance(NamedTuple):
    """Progress of a run in a period.

    Attributes:
        task: the task.
        run: number of the run.
        work_ms: expected duration of the work that was done, in ms.
        took_ms: length of the period, in ms, at least 1.
        gang: the run is a member of a gang. It may wait for members on other
            workers, so a low pace does not tell of its own worker.
    """

    task: TaskId
    run: int
    work_ms: float
    took_ms: Millis
    gang: bool

    @property
    def pace(self) -> float:
        """Work per time; 1.0 when the run is as fast as estimated."""
        return self.work_ms / self.took_ms


class SpeedRange(NamedTuple):
    """Paces of the workers whose speed is known; 1.0 is that of estimates.

    Attributes:
        lowest: lowest pace.
        median: median pace.
        highest: highest pace.
    """

    lowest: float
    median: float
    highest: float


class Verdict(NamedTuple):
    """Whether a worker is much slower than the median of the workers.

    Attributes:
        slow: it is.
        changed: it was not so at the last verdict.
        speed: its pace relative to the median.
        runs: number of recent runs.
        sound_pace: its pace when hardly any of its recent runs is behind,
            otherwise None.
    """

    slow: bool
    changed: bool = False
    speed: float = UNKNOWN_SPEED
    runs: int = 0
    sound_pace: float | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class _Worker:
    """What is known of one incarnation of a worker."""

    born_ms: int
    paces: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_KEPT_RUNS)
    )
    recent: collections.deque[tuple[Millis, Advance]] = dataclasses.field(
        default_factory=collections.deque
    )
    pace: float | None = None
    slow_until: Millis | None = None

    def add_pace(self, pace: float) -> None:
        self.paces.append(pace)
        if self.slow_until is None:
            self.pace = statistics.median(self.paces)

    def known_pace(self, min_runs: int) -> float | None:
        """Return the pace, None while fewer runs have ended."""
        if self.slow_until is None and len(self.paces) < min_runs:
            return None
        return self.pace


class WorkerSpeeds:
    """Speeds of the workers of one leader, by incarnation."""

    def __init__(self) -> None:
        """Create a table without workers."""
        self._workers: dict[str, _Worker] = {}
        self._reference: float | None = None
        self._reference_at: Millis | None = None

    def begin(self, worker_id: str, born_ms: int) -> None:
        """Note a reply of a worker; another incarnation starts anew.

        Args:
            worker_id: the worker.
            born_ms: start of the incarnation that replied, 0 when unknown.
        """
        known = self._workers.get(worker_id)
        if known is None or known.born_ms != born_ms:
            self._workers[worker_id] = _Worker(born_ms=born_ms)

    def forget(self, worker_id: str) -> None:
        """Forget a worker that is gone.

        Args:
            worker_id: the worker.
        """
        self._workers.pop(worker_id, None)

    def note_progress(
        self, worker_id: str, advance: Advance, now: Millis
    ) -> None:
        """Note the progress of a run, also the part before its end.

        Args:
            worker_id: a worker that has replied.
            advance: the progress.
            now: end of the period on the local clock, in ms.
        """
        self._workers[worker_id].recent.append((now, advance))

    def note_end(self, worker_id: str, whole: Advance) -> None:
        """Note a run that ended done.

        Args:
            worker_id: a worker that has replied.
            whole: its progress since it was first seen; ignored for a member
                of a gang.
        """
        if not whole.gang:
            self._workers[worker_id].add_pace(whole.pace)

    def speed(self, worker_id: str, born_ms: int) -> float:
        """Return the speed of a worker relative to the median of the workers.

        Args:
            worker_id: the worker.
            born_ms: start of its incarnation in ms, 0 when unknown.

        Returns:
            1.0 for the median, and while too few runs have ended to tell.
        """
        known = self._workers.get(worker_id)
        if known is None or known.born_ms != born_ms:
            return UNKNOWN_SPEED
        pace = known.known_pace(MIN_RUNS)
        if pace is None or self._reference is None:
            return UNKNOWN_SPEED
        return pace / self._reference

    def judge(self, worker_id: str, now: Millis) -> Verdict:
        """Judge whether a worker is slow, from its recent runs.

        Args:
            worker_id: a worker that has replied.
            now: time on the local clock, in ms.

        Returns:
            The verdict. Without enough recent runs it is the last one, until
            `SLOW_HELD_MS` have passed.
        """
        self._update_reference(now)
        known = self._workers[worker_id]
        recent = known.recent
        while recent and recent[0][0] <= now - RECENT_MS:
            recent.popleft()
        slow_until = known.slow_until
        was_slow = slow_until is not None
        share, runs = self._measure_behind(known)
        limit = SOUND_EVIDENCE if was_slow else SLOW_EVIDENCE
        if runs >= MIN_RECENT_RUNS and share >= limit:
            self._hold_slow(known, now)
        elif slow_until is not None and (
            runs >= MIN_RECENT_RUNS or now >= slow_until
        ):
            known.slow_until = None
            known.pace = None
        slow = known.slow_until is not None
        sound = runs >= MIN_RECENT_RUNS and share < MEASURE_EVIDENCE
        return Verdict(
            slow=slow,
            changed=slow is not was_slow,
            speed=self.speed(worker_id, known.born_ms),
            runs=runs,
            sound_pace=known.pace or self._reference if sound else None,
        )

    def range(self) -> SpeedRange | None:
        """Summarise the paces of the workers.

        Returns:
            Their range, or None while no pace is known.
        """
        paces = self._paces(MIN_RUNS)
        if not paces:
            return None
        return SpeedRange(min(paces), statistics.median(paces), max(paces))

    def _paces(self, min_runs: int) -> list[float]:
        """List the paces of the workers with enough ended runs."""
        paces = (
            worker.known_pace(min_runs) for worker in self._workers.values()
        )
        return [pace for pace in paces if pace is not None]

    def _hold_slow(self, known: _Worker, now: Millis) -> None:
        """Set a worker slow; its former runs no longer tell of its speed."""
        own = [advance for _, advance in known.recent if not advance.gang]
        work = sum(advance.work_ms for advance in own)
        took = sum(advance.took_ms for advance in own)
        known.pace = work / took
        known.slow_until = Millis(now + SLOW_HELD_MS)
        known.paces.clear()

    def _measure_behind(self, known: _Worker) -> tuple[float, int]:
        """Return the share of recent run time behind, and the number of runs.

        A member of a gang counts only when its pace is good, since its worker
        is at least as fast.
        """
        if self._reference is None:
            return 0, 0
        limit = SLOW_SHARE * self._reference
        behind = 0
        whole = 0
        runs = set()
        for _, advance in known.recent:
            is_behind = advance.pace < limit
            if is_behind and advance.gang:
                continue
            whole += advance.took_ms
            behind += advance.took_ms if is_behind else 0
            runs.add((advance.task, advance.run))
        return behind / max(1, whole), len(runs)

    def _update_reference(self, now: Millis) -> None:
        """Compute the median pace of the workers, at most twice a second."""
        since = self._reference_at
        if since is not None and now - since < _REFERENCE_INTERVAL_MS:
            return
        self._reference_at = now
        paces = self._paces(_MIN_REFERENCE_RUNS)
        in_use = sum(
            bool(worker.paces or worker.recent)
            for worker in self._workers.values()
        )
        # The runs of fast workers end first, which raises an early median.
        if len(paces) >= max(_MIN_REFERENCE_WORKERS, in_use / 2):
            median = statistics.median(paces)
            # Most runs may stand still for a while, which tells no speed.
            if median > 0:
                self._reference = median
