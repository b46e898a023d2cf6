"""Refuses submissions that the leader predicts to wait too long.

A refusal in error costs a caller as much as a late job, so a submission is
refused only when its own job could not start while it is of use.
"""

import dataclasses
import enum
import hashlib
from collections.abc import Callable
from typing import Final

import eliot

from jayshore.clock import Clock, Millis
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import Job
from jayshore.fleet.ranking import longest_chain_ms, objective_ms
from jayshore.fleet.refusals import Refusal, RefusalNotice
from jayshore.placement.waiting_jobs import useful_start_ms

RESUME_FACTOR: Final = 0.7
"""Ratio of the waits at which refusals end and begin.

The leader begins to publish a refusal when the usual job of a queue would wait
too long, and ends it at this ratio, so that instances do not alternate.
"""

_MIN_RETURN_MS: Final = Millis(1000)
_MAX_RETURN_MS: Final = Millis(8000)
_RETURN_GAP_MS: Final = Millis(250)
_LAST_RETURN_MS: Final = Millis(16_000)
_FULL_RETURN_MS: Final = Millis(4000)
_SHARE_BYTES: Final = 4


class RefusedReason(enum.StrEnum):
    """Reason for which a job was certainly not accepted."""

    STORE_UNAVAILABLE = 'store_unavailable'
    OTHER_JOB = 'other_job'
    TOO_LARGE = 'too_large'
    CANCELLED = 'cancelled'
    BACKLOG_FULL = 'backlog_full'
    OVERLOADED = 'overloaded'
    OVER_RATE = 'over_rate'


RETRY_LATER_REASONS: Final = frozenset(
    (
        RefusedReason.BACKLOG_FULL,
        RefusedReason.OVERLOADED,
        RefusedReason.OVER_RATE,
    )
)
"""Reasons that are answered with 429, as load is their cause."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Why a submission is refused and when it may be repeated.

    Attributes:
        reason: reason of the refusal.
        retry_after_ms: delay before a retry, in ms.
        wait_ms: predicted wait of the job in ms, 0 when it was not predicted.
    """

    reason: RefusedReason
    retry_after_ms: Millis
    wait_ms: int = 0


class ReturnSchedule:
    """Spreads the retries of refused callers in the order of their refusal.

    A caller that was refused earlier is told to return earlier, and returns
    keep a gap, so that they do not arrive together when capacity is free again.
    """

    def __init__(self) -> None:
        """Create a schedule without refused callers."""
        self._last: dict[str, int] = {}

    def reserve(self, queue: str, delay_ms: float, now: Millis) -> Millis:
        """Choose the retry delay of one caller.

        Args:
            queue: name of the queue.
            delay_ms: time until capacity is expected, in ms.
            now: time on the local clock, in ms.

        Returns:
            Delay in ms, from 1 s to 16 s.
        """
        delay = min(_MAX_RETURN_MS, max(_MIN_RETURN_MS, round(delay_ms)))
        returns_at = max(now + delay, self._last.get(queue, 0) + _RETURN_GAP_MS)
        if returns_at > now + _LAST_RETURN_MS:
            returns_at = now + delay
        self._last[queue] = returns_at
        return Millis(returns_at - now)


class Admission:
    """Decides at one instance which submissions are refused."""

    def __init__(
        self,
        *,
        refused: Callable[[str, str], RefusalNotice],
        clock: Clock,
        metrics: FleetMetrics,
    ) -> None:
        """Create the admission of one instance.

        Args:
            refused: returns what the leader refuses, by queue and workspace.
            clock: local clock.
            metrics: metrics of this instance.
        """
        self._refused = refused
        self._clock = clock
        self._metrics = metrics
        self._returns = ReturnSchedule()

    def check(self, job: Job) -> Verdict | None:
        """Decide on a submission.

        Args:
            job: the submitted job.

        Returns:
            Why it is refused, None when it is to be accepted.
        """
        notice = self._refused(job.queue.name, job.workspace)
        now = self._clock.now()
        if notice.workspaces:
            return Verdict(
                reason=RefusedReason.BACKLOG_FULL,
                retry_after_ms=self._returns.reserve(
                    job.queue.name, _FULL_RETURN_MS, now
                ),
            )
        if not notice.refusals or has_other_times(job):
            return None
        useful_ms = useful_start_ms(
            objective_ms(job, job.queue), longest_chain_ms(job)
        )
        for refusal in notice.refusals:
            if refusal.wait_ms > RESUME_FACTOR * useful_ms and _is_in_share(
                job, refusal.share
            ):
                excess_ms = refusal.wait_ms - RESUME_FACTOR * useful_ms
                return Verdict(
                    reason=_reason(refusal),
                    retry_after_ms=self._returns.reserve(
                        job.queue.name, excess_ms, now
                    ),
                    wait_ms=refusal.wait_ms,
                )
        return None

    def note_refused(self, job: Job, verdict: Verdict) -> None:
        """Log and count a refusal.

        Args:
            job: the job, which the store does not hold.
            verdict: why it is refused.
        """
        self._metrics.count_refused(verdict.reason)
        eliot.log_message(
            'job:refused',
            job=job.job_id,
            queue=job.queue.name,
            workspace=job.workspace,
            reason=verdict.reason,
            wait_ms=verdict.wait_ms,
            retry_after_ms=verdict.retry_after_ms,
        )


def has_other_times(job: Job) -> bool:
    """Return whether the objective of a job says nothing of its use.

    Args:
        job: the job.

    Returns:
        True for jobs that recur or run until they are cancelled.
    """
    return bool(job.schedule.repeats) or any(
        group.long_running for group in job.groups
    )


def _is_in_share(job: Job, share: float) -> bool:
    """Return whether a job belongs to a refused share of the submissions.

    It is the same for all attempts and at all instances. If each attempt had
    its own chance, repeated ones would get through, and the rate at which the
    workspace submits would be overestimated from what is accepted.
    """
    name = f'{job.workspace}/{job.job_id}'.encode()
    digest = hashlib.blake2b(name, digest_size=_SHARE_BYTES).digest()
    return int.from_bytes(digest) < share * (1 << (8 * _SHARE_BYTES))


def _reason(refusal: Refusal) -> RefusedReason:
    if refusal.share < 1:
        return RefusedReason.OVER_RATE
    return RefusedReason.OVERLOADED
