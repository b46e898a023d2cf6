"""Decides what waits and what a new job would wait for when capacity is full.

Jobs are planned by their latest start. When a job would be late, the jobs that
cost callers least are deferred until the others fit.

Source of the order: Moore, "An n job, one machine sequencing algorithm for
minimizing the number of late jobs", Management Science 15(1), 1968, with the
least value for its work deferred in place of the longest job. Work is treated
as a fluid: a capacity of one core does one core-millisecond in a millisecond.
`docs/design/overload.md` compares the orders that were considered.
"""

import bisect
import dataclasses
import heapq
import math
import operator
from collections.abc import Iterable, Mapping
from typing import Final

from jayshore.clock import Millis
from jayshore.placement.fairness import DominantShare, ShareCase
from jayshore.placement.policy import Policy
from jayshore.placement.predicted_waits import predict_waits
from jayshore.placement.waiting_jobs import (
    SHARE_PREFERENCE,
    DeferReason,
    OverloadCase,
    PredictedWait,
    WaitingJob,
)

_SHARE_STEPS: Final = 4
"""Shares over 1 are compared in quarters, as one gang is several percent."""

_MAX_SHARE_STEPS: Final = 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OverloadPlan:
    """What is deferred, and how long new jobs would wait.

    Attributes:
        deferred: reason by job.
        waits: predicted wait by queue.
    """

    deferred: dict[str, DeferReason]
    waits: dict[str, PredictedWait]


_LATEST_START: Final = operator.attrgetter('latest_start')
_JOB_ID: Final = operator.attrgetter('job_id')


class OverloadPolicy(Policy[OverloadCase, OverloadPlan]):
    """Defers by value density what does not fit by its latest start."""

    def evaluate(self, case: OverloadCase) -> OverloadPlan:
        """Plan the waiting jobs of a full capacity.

        Raising only the priority of a job, or reducing only its work, never
        makes it deferred: both only raise its place among those to keep.

        Args:
            case: the waiting jobs and the capacity.

        Returns:
            The deferred jobs and the predicted waits.
        """
        over = _shares_over(case.shares)
        order = sorted(case.jobs, key=_LATEST_START)
        first = bisect.bisect_left(order, case.now, key=_LATEST_START)
        deferred = dict.fromkeys(map(_JOB_ID, order[:first]), DeferReason.LATE)
        kept: list[tuple[float, int]] = []
        load: float = 0
        for position, job in enumerate(order[first:], first):
            preference = job.preference
            if over:
                preference -= over.get(job.workspace, 0)
            heapq.heappush(kept, (preference, position))
            load += job.work
            budget = case.cores * (job.latest_start - case.now)
            while kept and load > budget:
                dropped = order[heapq.heappop(kept)[1]]
                load -= dropped.work
                deferred[dropped.job_id] = _reason(dropped, over)
        return OverloadPlan(
            deferred=deferred, waits=predict_waits(case, deferred)
        )


def choose_promoted(
    missed: Iterable[WaitingJob], allowance: float
) -> tuple[list[str], float]:
    """Choose missed jobs that are served before all others.

    Args:
        missed: accepted jobs that are of no use any more.
        allowance: work that may be promoted, in core-milliseconds. One job may
            exceed it, as a job is never split; the excess is taken from later
            allowances.

    Returns:
        Ids of the chosen jobs, the oldest first, and the allowance left.
    """
    chosen = []
    for job in sorted(missed, key=_acceptance):
        if allowance <= 0:
            break
        chosen.append(job.job_id)
        allowance -= job.work
    return chosen, allowance


def _acceptance(job: WaitingJob) -> tuple[Millis, str]:
    return job.accepted_at, job.job_id


def _shares_over(cases: Mapping[str, ShareCase]) -> dict[str, float]:
    """Return how much less each workspace above its share is preferred."""
    policy = DominantShare()
    shares = {
        workspace: policy.evaluate(case) for workspace, case in cases.items()
    }
    return {
        workspace: SHARE_PREFERENCE
        * min(_MAX_SHARE_STEPS, math.ceil(_SHARE_STEPS * (share - 1)))
        for workspace, share in shares.items()
        if share > 1
    }


def _reason(job: WaitingJob, over: Mapping[str, float]) -> DeferReason:
    if job.over_rate:
        return DeferReason.OVER_RATE
    if job.workspace in over:
        return DeferReason.OVER_SHARE
    return DeferReason.COSTLIER
