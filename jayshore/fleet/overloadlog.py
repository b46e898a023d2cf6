"""Logs when services are overloaded, and why jobs are deferred."""

from collections.abc import Sequence
from typing import Final

import eliot

from jayshore.clock import Millis
from jayshore.fleet.serviceplan import ServicePlan
from jayshore.fleet.waitingwork import JobWork

_ENDED_AFTER_MS: Final = Millis(2000)
"""Time without a deferred job after which an overload has ended, in ms."""

_MAX_LINES: Final = 40
"""Deferred jobs that one evaluation logs; the others follow with the next."""

_MILLIS_PER_SECOND: Final = 1000


class OverloadLog:
    """Tracks which services are overloaded."""

    def __init__(self) -> None:
        """Create a log without overloaded services."""
        self._begun: dict[str, Millis] = {}
        self._seen: dict[str, Millis] = {}

    def record(
        self,
        service: str,
        plan: ServicePlan,
        works: Sequence[JobWork],
        now: Millis,
    ) -> None:
        """Log what a plan changes.

        Args:
            service: name of the service.
            plan: its plan.
            works: its waiting jobs.
            now: time on the leader's clock, in ms.
        """
        if plan.deferred:
            self._seen[service] = now
            if service not in self._begun:
                self._begun[service] = now
                _log_begin(service, plan, len(works))
            _log_deferred(plan, works, now)
        elif now - self._seen.get(service, now) >= _ENDED_AFTER_MS:
            self._seen.pop(service)
            begun = self._begun.pop(service)
            eliot.log_message(
                'overload:ended', service=service, lasted_ms=now - begun
            )


def _log_begin(service: str, plan: ServicePlan, jobs: int) -> None:
    eliot.log_message(
        'overload:begun',
        service=service,
        jobs=jobs,
        deferred=len(plan.deferred),
        waits=[
            [
                wait.queue,
                wait.workspace,
                round(wait.predicted.in_rate_ms),
                round(wait.predicted.over_rate_ms),
            ]
            for wait in plan.waits
        ],
    )


def _log_deferred(
    plan: ServicePlan, works: Sequence[JobWork], now: Millis
) -> None:
    """Log newly deferred jobs with what goes before them."""
    deferred = plan.deferred
    new = [
        work
        for work in works
        if not work.logged and work.waiting.job_id in deferred
    ][:_MAX_LINES]
    if not new:
        return
    before = [
        work.waiting.work
        for work in works
        if work.waiting.job_id not in deferred
    ]
    core_s = round(sum(before) / _MILLIS_PER_SECOND)
    for work in new:
        work.logged = True
        waiting = work.waiting
        eliot.log_message(
            'job:deferred',
            job=waiting.job_id,
            reason=deferred[waiting.job_id],
            queue=waiting.queue,
            priority=waiting.priority,
            age_ms=now - waiting.accepted_at,
            jobs_before=len(before),
            core_s_before=core_s,
        )
