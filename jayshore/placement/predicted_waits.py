"""Predicts how long a new job waits while capacity is full.

Work is treated as a fluid: a new job starts when all the work that goes before
it has been started, and work that arrives later and goes before it takes its
part of the capacity.
"""

import dataclasses
import operator
from collections.abc import Mapping, Sequence
from typing import Final

from jayshore.clock import Millis
from jayshore.placement.waiting_jobs import (
    DeferReason,
    OverloadCase,
    PredictedWait,
    Prospect,
    WaitingJob,
)

MAX_WAIT_MS: Final = Millis(120_000)
"""Longest wait that is predicted, in ms; longer ones are all alike."""

_WAIT_PER_AGE: Final = 4.0
"""Predicted wait at most, as a multiple of the longest wait seen.

The prediction ignores that small jobs fit beside wide ones, and estimates are
off. It counts only as far as jobs of the same kind wait already.
"""


_WORK: Final = operator.attrgetter('work')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Backlog:
    """Waiting work in core-milliseconds, by what goes before what.

    `density_limit` is the highest density of a job that is deferred because
    others are worth more; `limits` has the longest wait that is predicted,
    in ms by kind of job.
    """

    urgent: float
    kept: float
    in_rate: float
    everything: float
    density_limit: float
    limits: Mapping[tuple[str, bool], float]


def predict_waits(
    case: OverloadCase, deferred: Mapping[str, DeferReason]
) -> dict[str, PredictedWait]:
    """Predict how long a new job of each queue would wait for its start.

    Args:
        case: the waiting jobs, the capacity and the new jobs.
        deferred: reason by deferred job.

    Returns:
        Predicted wait by queue.
    """
    backlog = _sum_backlog(case, deferred)
    inflow = sum(prospect.inflow for prospect in case.prospects)
    over_rate_ms = _drain_ms(backlog.everything, case.cores - inflow)
    return {
        prospect.queue: PredictedWait(
            in_rate_ms=min(
                _wait_in_rate(case, prospect, backlog),
                backlog.limits.get((prospect.queue, False), 0),
            ),
            over_rate_ms=min(
                over_rate_ms, backlog.limits.get((prospect.queue, True), 0)
            ),
        )
        for prospect in case.prospects
    }


def _sum_backlog(
    case: OverloadCase, deferred: Mapping[str, DeferReason]
) -> _Backlog:
    """Add up the waiting work; what is of no use any more is left out."""
    useful = [job for job in case.jobs if job.useful_until >= case.now]
    urgent: float = 0
    kept: float = 0
    put_off: float = 0
    highest: float = 0
    for job in [one for one in useful if not one.over_rate]:
        reason = deferred.get(job.job_id)
        if reason is None:
            kept += job.work
            urgent += 0 if job.priority else job.work
        else:
            put_off += job.work
            if reason is DeferReason.COSTLIER and job.density > highest:
                highest = job.density
    return _Backlog(
        urgent=urgent,
        kept=kept,
        in_rate=kept + put_off,
        everything=sum(map(_WORK, useful)),
        density_limit=highest,
        limits=_limit_waits(useful, case.now),
    )


def _limit_waits(
    useful: Sequence[WaitingJob], now: Millis
) -> dict[tuple[str, bool], float]:
    """Limit the predicted wait by kind of job to what was seen, in ms."""
    oldest: dict[tuple[str, bool], Millis] = {}
    for job in useful:
        if job.accepted_at < oldest.get(job.kind, now):
            oldest[job.kind] = job.accepted_at
    return {
        kind: _WAIT_PER_AGE * (now - accepted_at)
        for kind, accepted_at in oldest.items()
    }


def _wait_in_rate(
    case: OverloadCase, prospect: Prospect, backlog: _Backlog
) -> float:
    """Predict the wait of a new job within the rate of its workspace.

    It starts after the work that goes before it, while the work that arrives
    later and goes before it takes its part of the capacity. A job of no more
    density than one that is deferred would be deferred as well.
    """
    if not prospect.priority:
        return _drain_ms(backlog.urgent, case.cores)
    if prospect.density > backlog.density_limit:
        inflow = sum(
            other.inflow for other in case.prospects if not other.priority
        )
        return _drain_ms(backlog.kept, case.cores - inflow)
    inflow = sum(
        other.inflow
        for other in case.prospects
        if not other.priority or other.density > prospect.density
    )
    return _drain_ms(backlog.in_rate, case.cores - inflow)


def _drain_ms(work: float, cores: float) -> float:
    """Return how long some work takes, at most `MAX_WAIT_MS`."""
    if work <= 0:
        return 0
    if cores * MAX_WAIT_MS <= work:
        return MAX_WAIT_MS
    return work / cores
