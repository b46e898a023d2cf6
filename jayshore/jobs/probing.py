"""Probes quarantined workers with one suitable task at a time."""

import curio

from jayshore.clock import Millis, to_seconds
from jayshore.jobs.attempts import AttemptTable, Phase
from jayshore.jobs.context import LeaderContext
from jayshore.jobs.health import WorkerHealthMonitor
from jayshore.jobs.pending import pending_task
from jayshore.jobs.placing import Placer
from jayshore.jobs.repository import JobRepository
from jayshore.jobs.workers import WorkerSessionRegistry
from jayshore.placement.decisions import Assignment, Place
from jayshore.placement.tasks import PendingTask, WorkerView


class Prober:
    """Places probes on quarantined workers."""

    def __init__(
        self,
        *,
        context: LeaderContext,
        health_monitor: WorkerHealthMonitor,
        repository: JobRepository,
        attempts: AttemptTable,
        registry: WorkerSessionRegistry,
        placer: Placer,
    ) -> None:
        """Create a prober that is not running yet.

        Args:
            context: dependencies shared by the components of the leader.
            health_monitor: decides which workers are due, and with which task.
            repository: the job records.
            attempts: the latest attempts of all tasks.
            registry: the worker sessions.
            placer: starts the probes.
        """
        self._context = context
        self._health_monitor = health_monitor
        self._repository = repository
        self._attempts = attempts
        self._registry = registry
        self._placer = placer

    async def run(self, interval_ms: Millis) -> None:
        """Probe quarantined workers that are due, until cancelled.

        Args:
            interval_ms: pause between two checks of all workers, in ms.
        """
        while True:
            await curio.sleep(to_seconds(interval_ms))
            for view in self._placer.views:
                session = self._registry.sessions.get(view.worker_id)
                is_due = self._health_monitor.is_quarantined(view.worker_id)
                if is_due and session is not None and session.is_open:
                    await self._probe(view)

    async def _probe(self, view: WorkerView) -> None:
        probe = self._health_monitor.choose_probe(
            view, self._eligible_tasks(view)
        )
        if probe is None and self._is_work_waiting(view):
            self._health_monitor.release_unprobed(view.worker_id)
        elif probe is not None:
            assignment = Assignment(
                task_id=probe.task_id, worker_id=view.worker_id
            )
            await self._placer.execute(Place(assignments=(assignment,)))

    def _is_work_waiting(self, view: WorkerView) -> bool:
        """Return whether a queued task fits in an idle worker."""
        if any(self._attempts.on_worker(view.worker_id)):
            return False
        queued = (
            self._repository.find(attempt.job_id)
            for attempt in self._attempts
            if attempt.phase is Phase.QUEUED
        )
        return any(
            record is not None and record.demand.fits_in(view.capacity)
            for record in queued
        )

    def _eligible_tasks(self, view: WorkerView) -> list[PendingTask]:
        """List the queued tasks that can probe a worker, none if it is busy."""
        if any(self._attempts.on_worker(view.worker_id)):
            return []
        waiting = []
        for attempt in self._attempts:
            record = self._repository.find(attempt.job_id)
            if attempt.phase is not Phase.QUEUED or record is None:
                continue
            allowed = self._context.ledger.has_headroom(
                record.team, record.demand
            )
            named = [worker.worker_id for worker in record.intent]
            # Probes are restricted to the intent, since they also run in a
            # store outage, when it cannot be widened.
            if allowed and view.worker_id in named:
                waiting.append(
                    pending_task(
                        record,
                        attempt,
                        context=self._context,
                        restrict_to_intent=False,
                    )
                )
        return [task for task in waiting if task.demand.fits_in(view.capacity)]
