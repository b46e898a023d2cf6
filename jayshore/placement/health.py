"""Evidence of workers that fail the tasks they start.

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
"""Failures of one job alone may be the fault of the job."""
FIRST_PROBE_MS = 10_000
MAX_PROBE_MS = 10 * 60 * 1000
_FORGETTING = 0.9
"""Ten results back count about a third."""
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
    """The evidence for each worker since its last boot."""

    def __init__(self, *, source: random.Random) -> None:
        """Start without evidence.

        Args:
            source: spreads the probes of several workers.
        """
        self._source = source
        self._evidence: dict[str, _Evidence] = {}

    def forget(self, worker_id: str) -> None:
        """Drop the evidence, as after a new boot id.

        Args:
            worker_id: the worker.
        """
        self._evidence.pop(worker_id, None)

    def record_success(self, worker_id: str) -> bool:
        """Take in a task that started and did not fail.

        Args:
            worker_id: the worker.

        Returns:
            Whether the worker is quarantined now.
        """
        evidence = self._evidence.setdefault(worker_id, _Evidence())
        evidence.failures *= _FORGETTING
        evidence.successes = evidence.successes * _FORGETTING + 1
        if evidence.mean < RELEASE_BELOW:
            evidence.quarantined = False
            evidence.failed_jobs.clear()
            evidence.interval_ms = Millis(FIRST_PROBE_MS)
        return evidence.quarantined

    def record_failure(self, worker_id: str, job_id: str, now: Millis) -> bool:
        """Take in a task that failed at its start.

        Args:
            worker_id: the worker.
            job_id: the task's job.
            now: the time.

        Returns:
            Whether the worker is quarantined now.
        """
        evidence = self._evidence.setdefault(worker_id, _Evidence())
        evidence.successes *= _FORGETTING
        evidence.failures = evidence.failures * _FORGETTING + 1
        evidence.failed_jobs[job_id] = None
        if evidence.quarantined:
            doubled = min(2 * evidence.interval_ms, MAX_PROBE_MS)
            evidence.interval_ms = Millis(doubled)
            self._schedule(evidence, now)
        elif (
            evidence.mean > QUARANTINE_ABOVE
            and len(evidence.failed_jobs) >= MIN_JOBS
        ):
            evidence.quarantined = True
            self._schedule(evidence, now)
        return evidence.quarantined

    def is_quarantined(self, worker_id: str) -> bool:
        """Tell whether a worker should get no ordinary work.

        Args:
            worker_id: the worker.

        Returns:
            True from the upper threshold until the lower one.
        """
        evidence = self._evidence.get(worker_id)
        return evidence is not None and evidence.quarantined

    def scaled_failure_rate(self, worker_id: str) -> int:
        """Rate how much of the last tasks failed.

        Args:
            worker_id: the worker.

        Returns:
            From 0, none, to 32, all.
        """
        evidence = self._evidence.get(worker_id)
        if evidence is None or not evidence.failures:
            return 0
        results = evidence.failures + evidence.successes
        return round(FAILURE_RATE_SCALE * evidence.failures / results)

    def counts_against_job(self, worker_id: str) -> bool:
        """Tell whether a failed start uses up a retry of its job.

        Args:
            worker_id: where it failed.

        Returns:
            False when tasks of several jobs failed on the worker.
        """
        evidence = self._evidence.get(worker_id)
        return evidence is None or len(evidence.failed_jobs) < MIN_JOBS

    def claim_probe(self, worker_id: str, now: Millis) -> bool:
        """Claim the next probe of a quarantined worker.

        Args:
            worker_id: the worker.
            now: the time.

        Returns:
            True when a probe is due; the next one is due an interval later.
        """
        evidence = self._evidence.get(worker_id)
        if evidence is None or not evidence.quarantined:
            return False
        if now < evidence.probe_at:
            return False
        self._schedule(evidence, now)
        return True

    def _schedule(self, evidence: _Evidence, now: Millis) -> None:
        jitter = 1 + self._source.uniform(0, _JITTER)
        evidence.probe_at = Millis(round(now + evidence.interval_ms * jitter))


def choose_probe_task(waiting: Iterable[PendingTask]) -> PendingTask | None:
    """Choose the task whose failure costs least.

    Args:
        waiting: waiting tasks that may run on the worker.

    Returns:
        The smallest idempotent single task, None when there is none.
    """
    harmless = (
        task for task in waiting if task.idempotent and not is_gang(task)
    )
    return min(
        harmless,
        key=lambda task: (tuple(task.demand), task.task_id),
        default=None,
    )
