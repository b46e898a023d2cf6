"""Tracks workers on which tasks fail.

Source: the mean of a beta distribution over the failure rate (Gelman et al.,
"Bayesian Data Analysis", section 2.4), with exponential forgetting. Two
thresholds give hysteresis, so that one result does not change the state.
"""

import dataclasses
import random
from collections.abc import Iterable

from jayshore.clock import Millis
from jayshore.placement.entries import is_gang
from jayshore.placement.tasks import PendingTask

FAILURE_RATE_SCALE = 32
"""Scale of `scaled_failure_rate`, as fine as the other terms of the score."""
QUARANTINE_ABOVE = 0.6
RELEASE_BELOW = 0.35
MIN_FAILED_JOBS = 2
"""Number of jobs that must have failed; one job alone may be at fault."""
FIRST_PROBE_INTERVAL_MS = 10_000
MAX_PROBE_INTERVAL_MS = 10 * 60 * 1000
_DECAY = 0.9
"""Factor per newer result; a result ten back counts about a third."""
_PRIOR_FAILURES = 0.5
_PRIOR_SUCCESSES = 1.5
_JITTER = 0.2


@dataclasses.dataclass(kw_only=True, slots=True)
class _ResultCounts:
    failures: float = 0
    successes: float = 0
    failed_jobs: dict[str, None] = dataclasses.field(default_factory=dict)
    quarantined: bool = False
    probe_at: Millis = Millis(0)
    interval_ms: Millis = Millis(FIRST_PROBE_INTERVAL_MS)

    @property
    def mean(self) -> float:
        """The expected failure rate."""
        failures = self.failures + _PRIOR_FAILURES
        return failures / (failures + self.successes + _PRIOR_SUCCESSES)


class WorkerHealth:
    """The success and failure counts of each worker since its last boot."""

    def __init__(self, *, rng: random.Random) -> None:
        """Create a record without results.

        Args:
            rng: random generator of the jitter that spreads out probes.
        """
        self._rng = rng
        self._counts: dict[str, _ResultCounts] = {}

    def forget(self, worker_id: str) -> None:
        """Drop the results of a worker, as after it has restarted.

        Args:
            worker_id: the worker.
        """
        self._counts.pop(worker_id, None)

    def record_success(self, worker_id: str) -> bool:
        """Record a task that started and did not fail.

        Args:
            worker_id: the worker.

        Returns:
            Whether the worker is quarantined now.
        """
        counts = self._counts.setdefault(worker_id, _ResultCounts())
        counts.failures *= _DECAY
        counts.successes = counts.successes * _DECAY + 1
        # A worker that succeeds again is probed without a pause.
        counts.probe_at = Millis(0)
        if counts.mean < RELEASE_BELOW:
            counts.quarantined = False
            counts.failed_jobs.clear()
            counts.interval_ms = Millis(FIRST_PROBE_INTERVAL_MS)
        return counts.quarantined

    def record_failure(self, worker_id: str, job_id: str, now: Millis) -> bool:
        """Record a task that failed.

        Args:
            worker_id: the worker.
            job_id: the task's job.
            now: the time.

        Returns:
            Whether the worker is quarantined now.
        """
        counts = self._counts.setdefault(worker_id, _ResultCounts())
        counts.successes *= _DECAY
        counts.failures = counts.failures * _DECAY + 1
        counts.failed_jobs[job_id] = None
        if counts.quarantined:
            doubled = min(2 * counts.interval_ms, MAX_PROBE_INTERVAL_MS)
            counts.interval_ms = Millis(doubled)
            self._schedule_probe(counts, now)
        elif (
            counts.mean > QUARANTINE_ABOVE
            and len(counts.failed_jobs) >= MIN_FAILED_JOBS
        ):
            counts.quarantined = True
            self._schedule_probe(counts, now)
        return counts.quarantined

    def is_quarantined(self, worker_id: str) -> bool:
        """Return whether a worker should get probes only.

        Args:
            worker_id: the worker.

        Returns:
            True from when its expected failure rate exceeds
            `QUARANTINE_ABOVE`, with failures of at least `MIN_FAILED_JOBS`
            jobs, until it is below `RELEASE_BELOW`.
        """
        counts = self._counts.get(worker_id)
        return counts is not None and counts.quarantined

    def scaled_failure_rate(self, worker_id: str) -> int:
        """Return the failure rate of the latest tasks of a worker.

        Args:
            worker_id: the worker.

        Returns:
            The rate in 32nds, from 0 for no failures to 32 for failures only.
        """
        counts = self._counts.get(worker_id)
        if counts is None or not counts.failures:
            return 0
        results = counts.failures + counts.successes
        return round(FAILURE_RATE_SCALE * counts.failures / results)

    def counts_against_job(self, worker_id: str) -> bool:
        """Return whether a failure uses up a retry of its job.

        Args:
            worker_id: the worker on which it occurred.

        Returns:
            False when tasks of several jobs failed on the worker.
        """
        counts = self._counts.get(worker_id)
        return counts is None or len(counts.failed_jobs) < MIN_FAILED_JOBS

    def is_probe_due(self, worker_id: str, now: Millis) -> bool:
        """Return whether a quarantined worker should get a probe.

        Args:
            worker_id: the worker.
            now: the time.

        Returns:
            True from the time of its next probe until that is claimed.
        """
        counts = self._counts.get(worker_id)
        return (
            counts is not None and counts.quarantined and now >= counts.probe_at
        )

    def claim_probe(self, worker_id: str, now: Millis) -> bool:
        """Claim the next probe of a quarantined worker if it is due.

        Args:
            worker_id: the worker.
            now: the time.

        Returns:
            True when a probe was due; the next one is due an interval later.
        """
        if not self.is_probe_due(worker_id, now):
            return False
        self._schedule_probe(self._counts[worker_id], now)
        return True

    def release_unprobed(self, worker_id: str, now: Millis) -> bool:
        """End a quarantine whose probe is due and cannot be made.

        Its evidence stays, so that the next failure quarantines the worker
        again, for twice as long.

        Args:
            worker_id: the worker.
            now: the time.

        Returns:
            True when the worker was released.
        """
        if not self.is_probe_due(worker_id, now):
            return False
        counts = self._counts[worker_id]
        counts.quarantined = False
        doubled = min(2 * counts.interval_ms, MAX_PROBE_INTERVAL_MS)
        counts.interval_ms = Millis(doubled)
        return True

    def _schedule_probe(self, counts: _ResultCounts, now: Millis) -> None:
        jitter = 1 + self._rng.uniform(0, _JITTER)
        counts.probe_at = Millis(round(now + counts.interval_ms * jitter))


def choose_probe_task(waiting: Iterable[PendingTask]) -> PendingTask | None:
    """Choose the task with which to probe a worker.

    Args:
        waiting: waiting tasks that may run on the worker.

    Returns:
        The smallest idempotent task that is no member of a gang, as its failure
        costs least; None when there is none.
    """
    harmless = (
        task for task in waiting if task.idempotent and not is_gang(task)
    )
    return min(
        harmless,
        key=lambda task: (tuple(task.demand), task.task_id),
        default=None,
    )
