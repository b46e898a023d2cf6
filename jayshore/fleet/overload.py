"""Plans the waiting jobs of full services, and what instances refuse.

The leader evaluates the overload policy with each sweep. Nothing is planned or
refused before it has seen its workers for a while, and while the store does not
confirm the leadership: a backlog is normal then, and drains quickly.
"""

import dataclasses
import itertools
from collections.abc import Iterable, Sequence
from typing import Final

import eliot

from jayshore.clock import Millis
from jayshore.fleet.jobtable import JobEntry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import FleetConfig, Queue, WorkerEntry
from jayshore.fleet.overloadlog import OverloadLog
from jayshore.fleet.queueload import OfferedRates, QueueLoad, Throughput
from jayshore.fleet.ranking import has_objective
from jayshore.fleet.refusals import Refusal
from jayshore.fleet.refusaltable import QueueWait, RefusalTable
from jayshore.fleet.serviceplan import (
    Limit,
    ServicePlan,
    UsualJob,
    plan_service,
)
from jayshore.fleet.standing import Standing
from jayshore.fleet.usablework import WorkerRoom
from jayshore.fleet.waitingwork import Capacity, JobWork, sum_capacity
from jayshore.fleet.worktracker import WorkTracker
from jayshore.placement.fairness import ShareCase
from jayshore.placement.overload import choose_promoted
from jayshore.placement.waiting_jobs import (
    Prospect,
    useful_start_ms,
    value_density,
)

SETTLED_MS: Final = Millis(2000)
"""Time for which the workers must have been known before a plan, in ms."""

_GROWTH: Final = 1.1
"""Growth of the capacity after which its workers count as newly known."""

_UNCONFIRMED_MS: Final = Millis(1500)
"""Age of the last confirmation of the leadership from which the store counts
as away, in ms; it is renewed every 670 ms."""

PROMOTED_SHARE: Final = 0.03
"""Share of a full capacity that finishes accepted jobs of no use any more."""

_MAX_PROMOTED_MS: Final = 1000
"""Capacity of this time, in ms, is promoted at most at once.

A job of more work runs only on capacity that nothing else needs.
"""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Service:
    """State of a service between evaluations.

    `settled_from` is the time since which its workers are known, `allowance`
    the work that may be promoted, in core-milliseconds.
    """

    workers: list[WorkerEntry]
    capacity: Capacity
    settled_from: Millis
    throughput: Throughput = dataclasses.field(default_factory=Throughput)
    allowance: float = 0
    full: bool = False


class OverloadMonitor:
    """Evaluates the overload policy for the services of a deployment."""

    def __init__(self, *, ledger: Ledger, metrics: FleetMetrics) -> None:
        """Create a monitor that knows no workers and jobs.

        Args:
            ledger: resources in use.
            metrics: metrics of this instance.
        """
        self._ledger = ledger
        self._metrics = metrics
        self._services: dict[str, _Service] = {}
        self._loads: dict[str, QueueLoad] = {}
        self._rates = OfferedRates()
        self._tracker = WorkTracker(loads=self._loads, rates=self._rates)
        self._table = RefusalTable()
        self._log = OverloadLog()
        self._config = FleetConfig(version=0)
        self._updated_at = Millis(0)

    def update(
        self,
        active: Sequence[JobEntry],
        *,
        workers: Iterable[WorkerEntry],
        config: FleetConfig,
        confirmed_at: Millis,
        now: Millis,
    ) -> tuple[Refusal, ...]:
        """Plan the waiting jobs and set their standings.

        Args:
            active: jobs that have not ended.
            workers: registrations of the usable workers.
            config: the configuration in force.
            confirmed_at: when the store last confirmed the leadership.
            now: time on the leader's clock, in ms.

        Returns:
            What instances have to refuse.
        """
        elapsed = now - (self._updated_at or now)
        self._updated_at = now
        away = now - confirmed_at >= _UNCONFIRMED_MS
        former = self._services.keys()
        self._update_services(workers, now, away=away)
        if (
            config.version != self._config.version
            or self._services.keys() != former
        ):
            # Jobs of a service without workers were not measured.
            self._tracker.reset()
        self._config = config
        self._tracker.update(
            active,
            queues={queue.name: queue for queue in config.queues},
            capacities={
                name: service.capacity
                for name, service in self._services.items()
            },
            now=now,
        )
        for load in self._loads.values():
            load.step(elapsed)
        waits: list[QueueWait] = []
        deferred = 0
        for name, service in self._services.items():
            works = self._tracker.live(name)
            plan = self._plan(name, service, works, now, elapsed)
            waits.extend(plan.waits)
            deferred += self._change_standings(name, works, plan)
            self._promote(name, service, plan, now, elapsed)
            self._log.record(name, plan, works, now)
        shares = self._rates.step(
            elapsed, config, self._table.workspaces_beyond_rate()
        )
        self._table.update(waits, shares)
        self._metrics.deferred_jobs.set(deferred)
        return self._table.refusals

    def _update_services(
        self, workers: Iterable[WorkerEntry], now: Millis, *, away: bool
    ) -> None:
        """Take in the usable workers; all else about a service is kept."""
        by_service: dict[str, list[WorkerEntry]] = {}
        for worker in workers:
            by_service.setdefault(worker.service, []).append(worker)
        former = self._services
        self._services = {}
        for name, own in by_service.items():
            capacity = sum_capacity(own)
            service = former.get(name)
            if service is None:
                service = _Service(
                    workers=own, capacity=capacity, settled_from=now
                )
            grown = capacity.cores > _GROWTH * service.capacity.cores
            if grown or away:
                service.settled_from = now
            service.workers = own
            service.capacity = capacity
            self._services[name] = service

    def _plan(
        self,
        name: str,
        service: _Service,
        works: Sequence[JobWork],
        now: Millis,
        elapsed: int,
    ) -> ServicePlan:
        """Plan a service, unless its workers are not known for long enough."""
        done = self._tracker.take_done(name)
        if service.full:
            service.throughput.step(done, service.capacity.cores, elapsed)
        plan = ServicePlan()
        missed = self._tracker.missed(name)
        if (works or missed) and now - service.settled_from >= SETTLED_MS:
            plan = plan_service(
                works,
                missed=missed,
                limits=self._limits(service),
                room=WorkerRoom(
                    workers=service.workers,
                    in_cores=service.capacity.in_cores,
                    used_at=self._ledger.used_at,
                ),
                shares=self._shares(service.capacity),
                usual=self._usual_jobs(name),
                now=now,
            )
        service.full = plan.full
        return plan

    def _limits(self, service: _Service) -> list[Limit]:
        capacity = service.capacity
        per_core = service.throughput.per_core
        limits = []
        for workspace in self._config.workspaces:
            cores = capacity.limit(workspace.maximum)
            if cores is not None:
                used = self._ledger.used_by(workspace.name)
                limits.append(
                    Limit(
                        cores=cores,
                        used=capacity.in_cores(used),
                        planned=min(1, per_core) * cores,
                        workspace=workspace.name,
                    )
                )
        used_cores = sum(
            capacity.in_cores(self._ledger.used_at(worker.worker_id))
            for worker in service.workers
        )
        limits.append(
            Limit(
                cores=capacity.cores,
                used=used_cores,
                planned=per_core * capacity.cores,
            )
        )
        return limits

    def _shares(self, capacity: Capacity) -> dict[str, ShareCase]:
        weights = {
            workspace.name: workspace.weight
            for workspace in self._config.workspaces
            if workspace.weight > 0
        }
        weight_sum = sum(weights.values())
        return {
            name: ShareCase(
                used=self._ledger.used_by(name),
                capacity=capacity.resources,
                weight=weight,
                weight_sum=weight_sum,
            )
            for name, weight in weights.items()
        }

    def _usual_jobs(self, service: str) -> list[UsualJob]:
        return [
            _usual_job(queue, self._loads[queue.name])
            for queue in self._config.queues
            if queue.service == service
            and has_objective(queue)
            and queue.name in self._loads
        ]

    def _change_standings(
        self, name: str, works: Iterable[JobWork], plan: ServicePlan
    ) -> int:
        """Set the standing of the jobs of a service; count the deferred."""
        missed = self._tracker.missed(name)
        if self._tracker.rechecked:
            works = itertools.chain(works, missed)
        for work in works:
            if work.entry.standing is not Standing.PROMOTED:
                work.entry.change_standing(self._standing(work, plan))
        if not plan.full:
            return len(plan.deferred)
        return len(plan.deferred) + len(missed)

    def _standing(self, work: JobWork, plan: ServicePlan) -> Standing:
        waiting = work.waiting
        if waiting.job_id in plan.deferred:
            return Standing.DEFERRED
        if not (plan.full or waiting.workspace in plan.limited):
            return Standing.USUAL
        if waiting.useful_until < self._updated_at:
            return Standing.DEFERRED
        return Standing.PLANNED

    def _promote(
        self,
        name: str,
        service: _Service,
        plan: ServicePlan,
        now: Millis,
        elapsed: int,
    ) -> None:
        """Let the oldest jobs of no use go first, within their allowance."""
        cores = service.capacity.cores
        service.allowance = min(
            service.allowance + PROMOTED_SHARE * cores * elapsed,
            cores * _MAX_PROMOTED_MS,
        )
        missed = {
            work.waiting.job_id: work
            for work in self._tracker.oldest_missed(name, now)
            if work.waiting.work <= cores * _MAX_PROMOTED_MS
            and (plan.full or work.waiting.workspace in plan.limited)
        }
        chosen, left = choose_promoted(
            [work.waiting for work in missed.values()], service.allowance
        )
        service.allowance = left
        for job_id in chosen:
            missed[job_id].entry.change_standing(Standing.PROMOTED)
            eliot.log_message(
                'job:promoted',
                job=job_id,
                age_ms=now - missed[job_id].waiting.accepted_at,
            )


def _usual_job(queue: Queue, load: QueueLoad) -> UsualJob:
    objective = queue.stretch * load.path_ms + queue.objective_ms
    return UsualJob(
        prospect=Prospect(
            queue=queue.name,
            priority=queue.priority,
            density=value_density(1, load.work, queue.priority),
            inflow=load.inflow,
        ),
        useful_ms=useful_start_ms(objective, load.path_ms),
    )
