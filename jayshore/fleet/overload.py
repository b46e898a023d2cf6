"""Plans the waiting jobs of full services, and what instances refuse.

The leader evaluates the overload policy with each sweep. Nothing is planned or
refused before it has seen its workers for a while, and while the store does not
confirm the leadership: a backlog is normal then, and drains quickly.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import eliot

from jayshore.clock import Millis
from jayshore.fleet.admission import has_other_times
from jayshore.fleet.jobtable import JobEntry, JobState
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
from jayshore.fleet.waitingwork import (
    Capacity,
    JobWork,
    measure_job,
    sum_capacity,
    unplanned_job,
)
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

_NEW_MS: Final = Millis(2000)
"""Age up to which a job counts as arriving, in ms; older ones are inherited."""

PROMOTED_SHARE: Final = 0.03
"""Share of a full capacity that finishes accepted jobs of no use any more."""

_MAX_MEASURED: Final = 250
"""Jobs that one evaluation measures for the first time.

Each takes some 30 microseconds, and 1,000 a second are far more than arrive.
"""

_MAX_PROMOTED_MS: Final = 1000
"""Capacity of this time, in ms, is promoted at most at once."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Service:
    """State of a service between evaluations.

    `settled_from` is the time since which its workers are known, `done` the
    work that ended since the last evaluation, and `allowance` the work that may
    be promoted, both in core-milliseconds.
    """

    workers: list[WorkerEntry]
    capacity: Capacity
    settled_from: Millis
    throughput: Throughput = dataclasses.field(default_factory=Throughput)
    allowance: float = 0
    done: float = 0
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
        self._works: dict[str, JobWork] = {}
        self._loads: dict[str, QueueLoad] = {}
        self._rates = OfferedRates()
        self._table = RefusalTable()
        self._log = OverloadLog()
        self._config = FleetConfig(version=0)
        self._measured_for: set[str] = set()
        self._updated_at: Millis | None = None

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
        elapsed = 0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        if config.version != self._config.version:
            self._works.clear()
        self._config = config
        away = now - confirmed_at >= _UNCONFIRMED_MS
        self._update_services(workers, now, away=away)
        if self._services.keys() != self._measured_for:
            # Jobs of a service without workers were not measured.
            self._works.clear()
            self._measured_for = set(self._services)
        by_service = self._measure(active, now)
        for load in self._loads.values():
            load.step(elapsed)
        waits: list[QueueWait] = []
        deferred = 0
        for name, service in self._services.items():
            works = by_service.get(name, [])
            plan = self._plan(name, service, works, now, elapsed)
            waits.extend(plan.waits)
            deferred += _set_standings(works, plan)
            self._promote(service, plan, now, elapsed)
            self._log.record(name, plan, works, now)
        shares = self._rates.step(elapsed, config, self._table.shares())
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

    def _measure(
        self, active: Sequence[JobEntry], now: Millis
    ) -> dict[str, list[JobWork]]:
        """Measure the waiting work of all jobs, by service.

        A job of which nothing has started keeps its first measure, so a backlog
        of thousands costs little. Thousands of unknown jobs, as after a change
        of leader, are measured over several evaluations.
        """
        queues = {queue.name: queue for queue in self._config.queues}
        works = self._works
        unmeasured = _MAX_MEASURED
        found: dict[str, list[JobWork]] = {}
        for entry in active:
            work = works.get(entry.job.job_id)
            if work is None:
                if not unmeasured:
                    continue
                unmeasured -= 1
                work = self._first_work(entry, queues, now)
                works[entry.job.job_id] = work
            elif entry.state is not JobState.QUEUED:
                self._refresh(work, queues)
            if work.waiting.work:
                found.setdefault(work.service, []).append(work)
        if len(works) > len(active):
            self._count_ended()
        found.pop('', None)
        return found

    def _count_ended(self) -> None:
        """Forget ended jobs, and count what they had left as done."""
        ended = [work for work in self._works.values() if work.entry.ended]
        for work in ended:
            self._works.pop(work.entry.job.job_id)
            service = self._services.get(work.service)
            if work.started and service is not None:
                service.done += work.whole - work.done

    def _first_work(
        self, entry: JobEntry, queues: Mapping[str, Queue], now: Millis
    ) -> JobWork:
        """Measure a new job; one that is not to be planned has no service."""
        queue = queues.get(entry.job.queue.name, entry.job.queue)
        service = self._services.get(queue.service)
        if (
            service is None
            or not has_objective(queue)
            or has_other_times(entry.job)
        ):
            entry.standing = Standing.USUAL
            return unplanned_job(entry, queue)
        load = self._loads.setdefault(queue.name, QueueLoad())
        work = measure_job(entry, queue, service.capacity, load)
        if now - entry.accepted_at <= _NEW_MS:
            self._rates.add(entry.job.workspace)
            load.arrived += 0 if entry.over_rate else work.whole
        if work.started:
            work.refresh(queue, service.capacity)
        return work

    def _refresh(self, work: JobWork, queues: Mapping[str, Queue]) -> None:
        service = self._services.get(work.service)
        if service is not None:
            accepted = work.entry.job.queue
            done = work.done
            work.refresh(queues.get(accepted.name, accepted), service.capacity)
            service.done += max(0, work.done - done)

    def _plan(
        self,
        name: str,
        service: _Service,
        works: Sequence[JobWork],
        now: Millis,
        elapsed: int,
    ) -> ServicePlan:
        """Plan a service, unless its workers are not known for long enough."""
        if service.full:
            service.throughput.step(
                service.done, service.capacity.cores, elapsed
            )
        service.done = 0
        plan = ServicePlan()
        if works and now - service.settled_from >= SETTLED_MS:
            plan = plan_service(
                works,
                limits=self._limits(service),
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

    def _promote(
        self, service: _Service, plan: ServicePlan, now: Millis, elapsed: int
    ) -> None:
        """Let the oldest jobs of no use go first, within their allowance."""
        cores = service.capacity.cores
        service.allowance = min(
            service.allowance + PROMOTED_SHARE * cores * elapsed,
            cores * _MAX_PROMOTED_MS,
        )
        missed = {
            work.waiting.job_id: work
            for work in plan.missed
            if work.entry.standing is not Standing.PROMOTED
        }
        chosen, left = choose_promoted(
            [work.waiting for work in missed.values()], service.allowance
        )
        service.allowance = left
        for job_id in chosen:
            missed[job_id].entry.standing = Standing.PROMOTED
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


def _set_standings(works: Iterable[JobWork], plan: ServicePlan) -> int:
    """Set the standing of the jobs of a service; count the deferred ones."""
    deferred = plan.deferred
    whole = plan.full
    for work in works:
        entry = work.entry
        job_id = work.waiting.job_id
        if entry.standing is Standing.PROMOTED:
            continue
        if job_id in deferred:
            entry.standing = Standing.DEFERRED
        elif whole or work.waiting.workspace in plan.limited:
            entry.standing = Standing.PLANNED
        else:
            entry.standing = Standing.USUAL
    return len(deferred)
