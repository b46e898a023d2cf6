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
MIN_JOBS = 2
"""Number of jobs that must have failed; one job alone may be at fault."""
FIRST_PROBE_MS = 10_000
MAX_PROBE_MS = 10 * 60 * 1000
_DECAY = 0.9
"""Weight per newer result; a result ten back counts about a third."""
_PRIOR_FAILURES = 0.5
_PRIOR_SUCCESSES = 1.5
_JITTER = 0.2


@dataclasses.dataclass(kw_only=True, slots=True)
class _Evidence:
    failures: float = 0
    successes: float = 0
    failed_jobs: dict[str, None] = dataclasses.field(default_factory=dict)
    quarantined: bool = False
    probe_at: Millis = Millis(0)
    interval_ms: Millis = Millis(FIRST_PROBE_MS)

    @property
    def mean(self) -> float:
        """The expected failure rate."""
        failures = self.failures + _PRIOR_FAILURES
        return failures / (failures + self.successes + _PRIOR_SUCCESSES)


class WorkerHealth:
    """The success and failure counts of each worker since its last boot."""

    def __init__(self, *, source: random.Random) -> None:
        """Create a record without results.

        Args:
            source: random source of the jitter that spreads out probes.
        """
        self._source = source
        self._evidence: dict[str, _Evidence] = {}

    def forget(self, worker_id: str) -> None:
        """Drop the results of a worker, as after it has restarted.

        Args:
            worker_id: the worker.
        """
        self._evidence.pop(worker_id, None)

    def record_success(self, worker_id: str) -> bool:
        """Record a task that started and did not fail.

        Args:
            worker_id: the worker.

        Returns:
            Whether the worker is quarantined now.
        """
        evidence = self._evidence.setdefault(worker_id, _Evidence())
        evidence.failures *= _DECAY
        evidence.successes = evidence.successes * _DECAY + 1
        if evidence.mean < RELEASE_BELOW:
            evidence.quarantined = False
            evidence.failed_jobs.clear()
            evidence.interval_ms = Millis(FIRST_PROBE_MS)
        return evidence.quarantined

    def record_failure(self, worker_id: str, job_id: str, now: Millis) -> bool:
        """Record a task that failed.

        Args:
            worker_id: the worker.
            job_id: the task's job.
            now: the time.

        Returns:
            Whether the worker is quarantined now.
        """
        evidence = self._evidence.setdefault(worker_id, _Evidence())
        evidence.successes *= _DECAY
        evidence.failures = evidence.failures * _DECAY + 1
        evidence.failed_jobs[job_id] = None
        if evidence.quarantined:
            doubled = min(2 * evidence.interval_ms, MAX_PROBE_MS)
            evidence.interval_ms = Millis(doubled)
            self._schedule_probe(evidence, now)
        elif (
            evidence.mean > QUARANTINE_ABOVE
            and len(evidence.failed_jobs) >= MIN_JOBS
        ):
            evidence.quarantined = True
            self._schedule_probe(evidence, now)
        return evidence.quarantined

    def is_quarantined(self, worker_id: str) -> bool:
        """Return whether a worker should get probes only.

        Args:
            worker_id: the worker.

        Returns:
            True from when its expected failure rate exceeds
            `QUARANTINE_ABOVE`, with failures of at least `MIN_JOBS` jobs,
            until it is below `RELEASE_BELOW`.
        """
        evidence = self._evidence.get(worker_id)
        return evidence is not None and evidence.quarantined

    def scaled_failure_rate(self, worker_id: str) -> int:
        """Return the failure rate of the latest tasks of a worker.

        Args:
            worker_id: the worker.

        Returns:
            The rate in 32nds, from 0 for no failures to 32 for failures only.
        """
        evidence = self._evidence.get(worker_id)
        if evidence is None or not evidence.failures:
            return 0
        results = evidence.failures + evidence.successes
        return round(FAILURE_RATE_SCALE * evidence.failures / results)

    def counts_against_job(self, worker_id: str) -> bool:
        """Return whether a failure uses up a retry of its job.

        Args:
            worker_id: the worker on which it occurred.

        Returns:
            False when tasks of several jobs failed on the worker.
        """
        evidence = self._evidence.get(worker_id)
        return evidence is None or len(evidence.failed_jobs) < MIN_JOBS

    def claim_probe(self, worker_id: str, now: Millis) -> bool:
        """Claim the next probe of a quarantined worker if it is due.

        Args:
            worker_id: the worker.
            now: the time.

        Returns:
            True when a probe was due; the next one is due an interval later.
        """
        evidence = self._evidence.get(worker_id)
        if evidence is None or not evidence.quarantined:
            return False
        if now < evidence.probe_at:
            return False
        self._schedule_probe(evidence, now)
        return True

    def _schedule_probe(self, evidence: _Evidence, now: Millis) -> None:
        jitter = 1 + self._source.uniform(0, _JITTER)
        evidence.probe_at = Millis(round(now + evidence.interval_ms * jitter))


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
