"""Takes over the jobs of earlier leaders, and admits new jobs."""

import functools
from collections.abc import Collection, Iterable

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds
from jayshore.jobs import transitions
from jayshore.jobs.attempts import AttemptTable, Phase
from jayshore.jobs.changes import TransitionError, Writer
from jayshore.jobs.context import LeaderContext
from jayshore.jobs.placing import Placer
from jayshore.jobs.record import (
    JobKind,
    JobRecord,
    TaskState,
    WorkerBoot,
)
from jayshore.jobs.repository import JobRepository
from jayshore.jobs.terminations import Termination, TerminationRecorder
from jayshore.placement.feasible import unsatisfiable_resources
from jayshore.placement.tasks import WorkerView
from jayshore.placement.urgent_reserve import NoUrgentReserve, UrgentReserve
from jayshore.store.store import StoreError

_WORKER_POLL_INTERVAL_MS = Millis(50)
_READ_RETRY_INTERVAL_MS = Millis(500)


class Admission:
    """Claims job records for this leader's epoch and enqueues their tasks."""

    def __init__(
        self,
        *,
        context: LeaderContext,
        repository: JobRepository,
        attempts: AttemptTable,
        placer: Placer,
        terminations: TerminationRecorder,
        tasks: BackgroundTasks,
    ) -> None:
        """Create the admission; nothing is read yet.

        Args:
            context: dependencies shared by the components of the leader.
            repository: the job records.
            attempts: the latest attempts of all tasks.
            placer: enqueues attempts.
            terminations: records attempts that end without having started.
            tasks: background tasks of the leader.
        """
        self._context = context
        self._repository = repository
        self._attempts = attempts
        self._placer = placer
        self._terminations = terminations
        self._tasks = tasks
        self._in_progress: set[str] = set()

    async def take_over(self) -> None:
        """Claim every active record of earlier leaders, then admit new ones.

        Returns once all claims are written; while the store is unreachable,
        reads and writes are retried without a limit.
        """
        found = await self._read_all()
        owned = [item for item in found if item.epoch and not item.is_final]
        with eliot.start_action(action_type='leader:claim', jobs=len(owned)):
            async with curio.TaskGroup(wait=all) as claims:
                for record in owned:
                    await claims.spawn(self._claim(record))
        await self.admit([item for item in found if not item.epoch])

    async def admit(self, records: Iterable[JobRecord]) -> None:
        """Admit records in the background.

        Args:
            records: newly read records; those of ended jobs are ignored.
        """
        for record in records:
            job_id = record.job_id
            if not record.is_final and job_id not in self._in_progress:
                self._in_progress.add(job_id)
                await self._tasks.spawn(self._admit(record))

    async def cancel(self, job_id: str) -> JobRecord:
        """Cancel a job.

        Args:
            job_id: a job in the repository.

        Returns:
            The record with the stored cancellation.

        Raises:
            TransitionError: the job has ended, or another leader owns it.
        """  # noqa: DAR401 raised by the repository
        record = await self._repository.change(
            job_id,
            functools.partial(_cancel_record, writer=self._context.writer),
        )
        await self.enforce_cancel(record)
        return record

    async def enforce_cancel(self, record: JobRecord) -> None:
        """Withdraw queued tasks and stop running tasks of a cancelled job.

        Args:
            record: a record; it is ignored unless its job is being cancelled.
        """
        if not record.is_cancelling:
            return
        for attempt in self._attempts.of_job(record):
            if attempt.phase is Phase.QUEUED:
                self._placer.withdraw(attempt)
                await self._terminations.record_in_background(
                    attempt, Termination(outcome=None), None
                )
            elif attempt.phase is Phase.RUNNING:
                await self._placer.stop(attempt, checkpoint=False)

    async def _read_all(self) -> list[JobRecord]:
        while True:
            try:
                return await self._repository.read_changes()
            except StoreError as error:
                eliot.log_message('job:not_read', error=str(error))
                await curio.sleep(to_seconds(_READ_RETRY_INTERVAL_MS))

    async def _claim(self, record: JobRecord) -> None:
        epoch = self._context.epoch
        try:
            claimed = await self._repository.change(
                record.job_id,
                functools.partial(
                    transitions.claim, writer=self._context.writer
                ),
            )
        except TransitionError:
            return
        # An inherited attempt counts against the limit of the team until it is
        # proved that it does not run.
        for _ in self._attempts.adopt(claimed, epoch=epoch):
            self._context.ledger.charge(claimed.team, claimed.demand)
        if any(task.state is TaskState.WAITING for task in claimed.tasks):
            await self.admit([claimed])

    async def _admit(self, record: JobRecord) -> None:
        while not self._placer.boots:
            await curio.sleep(to_seconds(_WORKER_POLL_INTERVAL_MS))
        views = self._placer.views
        epoch = self._context.epoch
        worker_ids = choose_intent(record, views, self._context.intent_width)
        try:
            admitted = await self._repository.change(
                record.job_id,
                functools.partial(
                    _admit_record,
                    writer=self._context.writer,
                    workers=[self._placer.boots[name] for name in worker_ids],
                    reason=unschedulable_reason(
                        record, views, is_urgent=self._is_urgent(record)
                    ),
                ),
            )
        except TransitionError as refusal:
            eliot.log_message(
                'job:not_admitted', job=record.job_id, why=str(refusal)
            )
            return
        finally:
            self._in_progress.discard(record.job_id)
        known = {item.index for item in self._attempts.of_job(admitted)}
        for attempt in self._attempts.adopt(admitted, epoch=epoch, known=known):
            self._placer.enqueue(attempt)
        await self.enforce_cancel(admitted)
        await self._placer.wake()

    def _is_urgent(self, record: JobRecord) -> bool:
        queue = self._context.snapshot().queue(record.queue)
        return queue is not None and queue.urgent


def choose_intent(
    record: JobRecord, views: Collection[WorkerView], width: int
) -> list[str]:
    """Choose the workers to add to the intent of a job at its admission.

    Args:
        record: the job.
        views: the workers of the domain.
        width: minimum number of workers, if as many fit.

    Returns:
        Ids of workers on which a task fits when they are empty. The job id
        selects the first of them, which spreads jobs over the workers.
    """
    fitting = sorted(
        view.worker_id for view in views if record.demand.fits_in(view.capacity)
    )
    if not fitting:
        return []
    first = int(record.job_id[-6:], 16) % len(fitting)
    count = max(width, min(record.task_count, len(fitting)))
    return (fitting[first:] + fitting[:first])[:count]


def unschedulable_reason(
    record: JobRecord, views: Collection[WorkerView], *, is_urgent: bool
) -> str:
    """Explain why a job can never run in this domain.

    Args:
        record: the job.
        views: the workers of the domain, at least one.
        is_urgent: whether the queue of the job may use the urgent reserve.

    Returns:
        `never_fits` with the insufficient resources, or an empty string if the
        job can run.
    """
    uses_urgent_reserve = is_urgent or record.kind is JobKind.PREVIEW
    reserve = NoUrgentReserve() if uses_urgent_reserve else UrgentReserve()
    is_gang = record.kind is JobKind.GANG
    lacking = unsatisfiable_resources(
        record.demand,
        (view.capacity - reserve.evaluate(view.capacity) for view in views),
        record.task_count if is_gang else 1,
    )
    return f'never_fits: {", ".join(lacking)}' if lacking else ''


def _admit_record(
    record: JobRecord,
    *,
    writer: Writer,
    workers: list[WorkerBoot],
    reason: str,
) -> JobRecord:
    claimed = transitions.claim(record, writer)
    if claimed.is_cancelling:
        return claimed
    if reason:
        rejected = transitions.reject(claimed, writer, reason=reason)
        return transitions.finish_if_done(rejected, writer)
    waiting = [
        task.index for task in claimed.tasks if task.state is TaskState.WAITING
    ]
    return transitions.widen_intent(
        claimed, writer, workers=workers, first_attempts=waiting
    )


def _cancel_record(record: JobRecord, *, writer: Writer) -> JobRecord:
    cancelled = transitions.cancel(record, writer)
    return transitions.finish_if_done(cancelled, writer)
