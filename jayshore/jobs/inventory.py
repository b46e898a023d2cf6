"""Reconciles the reports of workers with the attempts of the leader."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Final, TypeAlias

from jayshore.clock import Millis
from jayshore.jobs.attempts import Attempt, AttemptTable, Phase
from jayshore.jobs.context import LeaderContext
from jayshore.jobs.health import WorkerHealthMonitor
from jayshore.jobs.placing import Placer
from jayshore.jobs.proofs import Proof, Verdict, WorkerReport
from jayshore.jobs.record import JobRecord, WorkerBoot
from jayshore.jobs.repository import JobRepository
from jayshore.jobs.terminations import (
    AckTarget,
    Termination,
    TerminationRecorder,
    is_report_of,
    termination_from_report,
)
from jayshore.jobs.workers import WorkerSessionRegistry
from jayshore.leases.session import WorkerObserver
from jayshore.leases.worker import (
    AttemptId,
    LeaseRenewal,
    OpenedWorkerLease,
    TaskOutcome,
    TaskReport,
)
from jayshore.placement.estimates import CompletedTask
from jayshore.placement.tasks import PlacedTask, WorkerView

ProofFactory: TypeAlias = Callable[[WorkerBoot], Proof]

_CRASH_AGE_MS: Final = Millis(10_000)
"""Age of an attempt from which a restart is not its fault, in ms."""


class InventoryReconciler(WorkerObserver):
    """Updates attempts from the inventories and reports of workers."""

    def __init__(
        self,
        *,
        context: LeaderContext,
        health_monitor: WorkerHealthMonitor,
        repository: JobRepository,
        attempts: AttemptTable,
        placer: Placer,
        terminations: TerminationRecorder,
    ) -> None:
        """Create a reconciler; `attach` sets the worker sessions later.

        Args:
            context: dependencies shared by the components of the leader.
            health_monitor: tracks the state of workers.
            repository: the job records.
            attempts: the latest attempts of all tasks.
            placer: accounts for running attempts and enqueues others.
            terminations: records ended attempts.
        """
        self._context = context
        self._health_monitor = health_monitor
        self._repository = repository
        self._attempts = attempts
        self._placer = placer
        self._terminations = terminations
        self._registry: WorkerSessionRegistry | None = None
        self._lost_at: dict[str, Millis] = {}

    def attach(self, registry: WorkerSessionRegistry) -> None:
        """Set the worker sessions, whose observer is this reconciler.

        Args:
            registry: the worker sessions.
        """
        self._registry = registry

    async def lease_opened(
        self, worker_id: str, opened: OpenedWorkerLease
    ) -> None:
        """Reconcile the attempts with the task inventory of a new lease.

        Args:
            worker_id: the worker.
            opened: the new lease with the inventory.
        """
        self._update_worker(worker_id, opened)
        lost_at = self._lost_at.pop(worker_id, self._context.clock.now())
        reports = {report.task_id: report for report in opened.tasks}
        for attempt in self._attempts.on_worker(worker_id):
            if not _contains_attempt(reports, attempt):
                await self._handle_missing(attempt, opened, lost_at)
        for unsettled in self._attempts.unsettled(worker_id):
            is_inherited = unsettled.phase is Phase.INHERITED
            if is_inherited and _contains_attempt(reports, unsettled):
                self._adopt(unsettled, worker_id, opened)
            elif not _contains_attempt(reports, unsettled):
                self._add_absence_proof(unsettled, worker_id, opened.boot_id)
                await self.resolve(unsettled)
        await self._process_reports(worker_id, opened.tasks)
        await self._placer.wake()

    async def tasks_reported(
        self, worker_id: str, renewed: LeaseRenewal
    ) -> None:
        """Process the ended tasks and the usage in a lease renewal.

        Args:
            worker_id: the worker.
            renewed: the reply of the worker.
        """
        if renewed.leaving and worker_id in self._placer.boots:
            self._health_monitor.mark_leaving(worker_id)
        await self._process_reports(worker_id, renewed.tasks)

    async def worker_lost(self, worker_id: str) -> None:
        """Place no tasks on a worker until its lease is opened again.

        Args:
            worker_id: the worker.
        """
        self._lost_at.setdefault(worker_id, self._context.clock.now())
        if worker_id in self._placer.boots:
            self._health_monitor.mark_lost(worker_id)

    async def epoch_superseded(self) -> None:
        """Step down, since a worker has seen a later epoch."""
        await self._context.step_down()

    async def end_attempts_on(
        self, worker_id: str, make_proof: ProofFactory
    ) -> None:
        """Treat all attempts on a worker as ended.

        Args:
            worker_id: the worker.
            make_proof: creates the proof about one boot of the worker.
        """
        for attempt in self._attempts.on_worker(worker_id):
            if attempt.worker is not None:
                await self._mark_lost(attempt, make_proof(attempt.worker))
        for unsettled in self._attempts.unsettled(worker_id):
            record = self._repository.find(unsettled.job_id)
            for worker in record.intent if record else ():
                if worker.worker_id == worker_id:
                    unsettled.add_proof(make_proof(worker))
            await self.resolve(unsettled)

    async def resolve(self, attempt: Attempt) -> None:
        """End an attempt once there is a proof for every worker of the intent.

        Args:
            attempt: an inherited or ended attempt.
        """
        record = self._repository.find(attempt.job_id)
        if record is None or attempt.unproved(record):
            return
        if attempt.phase is Phase.INHERITED:
            self._context.ledger.release(record.team, record.demand)
            await self._terminations.record_in_background(
                attempt,
                Termination(
                    outcome=None,
                    crashed=any(map(_shows_restart, attempt.proofs(record))),
                ),
                None,
            )
        elif attempt.phase is Phase.ENDED:
            await self._terminations.resume(attempt)

    def _add_absence_proof(
        self, attempt: Attempt, worker_id: str, boot_id: str
    ) -> None:
        """Add the proof that the inventory of a new lease lacks an attempt."""
        record = self._repository.find(attempt.job_id)
        for worker in record.intent if record else ():
            if worker.worker_id == worker_id:
                report = self._make_report(
                    attempt, worker, Verdict.NEVER_STARTED
                )
                attempt.add_proof(
                    dataclasses.replace(report, reporting_boot_id=boot_id)
                )

    def _make_report(
        self, attempt: Attempt, worker: WorkerBoot, verdict: Verdict
    ) -> WorkerReport:
        return WorkerReport(
            worker=worker,
            reporting_boot_id=worker.boot_id,
            lease_epoch=self._context.epoch,
            attempt=attempt.number,
            verdict=verdict,
        )

    def _update_worker(self, worker_id: str, opened: OpenedWorkerLease) -> None:
        instance = (
            self._registry.instance(worker_id) if self._registry else None
        )
        if worker_id not in self._placer.boots:
            self._placer.add_worker(
                WorkerView(
                    worker_id=worker_id,
                    rack=instance.rack if instance else '',
                    failure_domain=self._context.domain,
                    capacity=opened.capacity,
                    boot_id=opened.boot_id,
                )
            )
        boot = WorkerBoot(worker_id=worker_id, boot_id=opened.boot_id)
        is_new_boot = self._placer.boots.get(worker_id) != boot
        self._placer.boots[worker_id] = boot
        self._health_monitor.lease_opened(
            worker_id, is_new_boot=is_new_boot, is_leaving=opened.leaving
        )

    def _adopt(
        self, attempt: Attempt, worker_id: str, opened: OpenedWorkerLease
    ) -> None:
        record = self._repository.find(attempt.job_id)
        attempt.worker = WorkerBoot(worker_id=worker_id, boot_id=opened.boot_id)
        if record is not None:
            self._placer.adopt(record, attempt)

    async def _handle_missing(
        self, attempt: Attempt, opened: OpenedWorkerLease, lost_at: Millis
    ) -> None:
        """Handle an attempt on the worker that is not in its inventory.

        If the worker was not restarted, a start that is not in the inventory
        did not run and never will. A restarted worker does not know what it
        ran before.
        """
        record = self._repository.find(attempt.job_id)
        worker = attempt.worker
        same_boot = worker is not None and worker.boot_id == opened.boot_id
        if record is None:
            return
        if attempt.phase is Phase.STARTING and same_boot:
            self._placer.requeue(record, attempt)
        elif worker is not None:
            report = self._make_report(attempt, worker, Verdict.ENDED)
            restarted_at = None if same_boot else lost_at
            await self._mark_lost(attempt, report, restarted_at)

    async def _mark_lost(
        self,
        attempt: Attempt,
        proof: Proof,
        restarted_at: Millis | None = None,
    ) -> None:
        """End an attempt whose worker is gone, or restarted at some time."""
        record = self._repository.find(attempt.job_id)
        crashed = False
        if record is not None:
            running = self._placer.release(record, attempt)
            if restarted_at is not None:
                crashed = restarted_at - running.started_at < _CRASH_AGE_MS
        attempt.add_proof(proof)
        await self._terminations.record_in_background(
            attempt, Termination(outcome=None, crashed=crashed), None
        )

    async def _process_reports(
        self, worker_id: str, reports: Iterable[TaskReport]
    ) -> None:
        for report in reports:
            attempt = self._attempts.find(report.task_id)
            if attempt is None or not is_report_of(report, attempt):
                await self._handle_unexpected(worker_id, report)
            elif attempt.phase in {Phase.STARTING, Phase.RUNNING}:
                await self._process_report(worker_id, attempt, report)

    async def _process_report(
        self, worker_id: str, attempt: Attempt, report: TaskReport
    ) -> None:
        record = self._repository.find(attempt.job_id)
        worker = attempt.worker
        if record is None or worker is None or worker.worker_id != worker_id:
            return
        if attempt.phase is Phase.STARTING:
            self._placer.mark_running(record, attempt)
        if report.outcome is not None:
            running = self._placer.release(record, attempt)
            if report.outcome is TaskOutcome.SUCCEEDED:
                self._record_run_time(record, running)
            attempt.add_proof(self._make_report(attempt, worker, Verdict.ENDED))
            await self._terminations.record_in_background(
                attempt,
                termination_from_report(report),
                self._ack_target(worker_id, report),
            )
        elif report.usage is not None:
            self._placer.update_usage(attempt, report.usage)

    def _record_run_time(self, record: JobRecord, running: PlacedTask) -> None:
        """Add the run time of a task that succeeded to the estimates."""
        now = self._context.clock.now()
        declared = Millis(record.run_ms) if record.run_ms else None
        self._context.estimates.observe(
            CompletedTask(
                team=record.team,
                queue=record.queue,
                declared=record.demand,
                peak=running.usage,
                declared_run_ms=declared,
                run_ms=Millis(now - running.started_at),
            )
        )

    async def _handle_unexpected(
        self, worker_id: str, report: TaskReport
    ) -> None:
        """Stop or acknowledge a reported attempt that its record supersedes."""
        job_id, _, index = report.task_id.rpartition('.')
        record = self._repository.find(job_id)
        ack_target = self._ack_target(worker_id, report)
        if record is None or ack_target is None:
            return
        task = record.tasks[int(index)]
        if not task.is_final and task.attempt <= report.attempt:
            return
        if report.outcome is None:
            await ack_target.session.stop(report.task_id, checkpoint=False)
        else:
            ack_target.session.acknowledge(ack_target.attempt_id)

    def _ack_target(
        self, worker_id: str, report: TaskReport
    ) -> AckTarget | None:
        sessions = self._registry.sessions if self._registry else {}
        session = sessions.get(worker_id)
        if session is None:
            return None
        attempt_id = AttemptId(task_id=report.task_id, attempt=report.attempt)
        return AckTarget(session=session, attempt_id=attempt_id)


def _shows_restart(proof: Proof) -> bool:
    return (
        isinstance(proof, WorkerReport)
        and proof.reporting_boot_id != proof.worker.boot_id
    )


def _contains_attempt(reports: dict[str, TaskReport], attempt: Attempt) -> bool:
    report = reports.get(attempt.name)
    return report is not None and is_report_of(report, attempt)
