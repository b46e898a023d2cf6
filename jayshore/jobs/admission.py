"""Takes jobs over from earlier leaders and admits new ones."""

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

_WAIT_FOR_WORKERS_MS = Millis(50)
_RETRY_PAUSE_MS = Millis(500)


class Admission:
    """Brings records under this leader's epoch and queues their tasks."""

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
        """Prepare to admit.

        Args:
            context: what the parts of the leader share.
            repository: the job records.
            attempts: the newest attempts of all tasks.
            placer: queues attempts.
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

        Returns when all claims are written, however long the store is out of
        reach.
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
            records: newly read; ended ones are ignored.
        """
        for record in records:
            job_id = record.job_id
            if not record.is_final and job_id not in self._in_progress:
                self._in_progress.add(job_id)
                await self._tasks.spawn(self._admit(record))

    async def cancel(self, job_id: str) -> JobRecord:
        """Cancel a job.

        Args:
            job_id: a job that is held.

        Returns:
            Its record after the cancellation was recorded.

        Raises:
            TransitionError: the job has ended, or another leader owns it.
        """  # noqa: DAR401 raised by the book
        record = await self._repository.change(
            job_id,
            functools.partial(_cancel_record, writer=self._context.writer),
        )
        await self.enforce_cancel(record)
        return record

    async def enforce_cancel(self, record: JobRecord) -> None:
        """Withdraw and stop what is left of a job that is being cancelled.

        Args:
            record: a record; those not being cancelled are left alone.
        """
        if not record.is_cancelling:
            return
        for attempt in self._attempts.of_job(record):
            if attempt.phase is Phase.QUEUED:
                self._placer.withdraw(attempt)
                await self._terminations.record_later(
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
                await curio.sleep(to_seconds(_RETRY_PAUSE_MS))

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
        # Until it is known that an inherited attempt does not run, it counts
        # against the team's limit.
        for _ in self._attempts.adopt(claimed, epoch=epoch):
            self._context.ledger.charge(claimed.team, claimed.demand)
        if any(task.state is TaskState.WAITING for task in claimed.tasks):
            await self.admit([claimed])

    async def _admit(self, record: JobRecord) -> None:
        while not self._placer.boots:
            await curio.sleep(to_seconds(_WAIT_FOR_WORKERS_MS))
        views = self._placer.views
        epoch = self._context.epoch
        chosen = choose_intent(record, views, self._context.intent_width)
        try:
            admitted = await self._repository.change(
                record.job_id,
                functools.partial(
                    _admit_record,
                    writer=self._context.writer,
                    workers=[self._placer.boots[name] for name in chosen],
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
    """Choose the workers that a record names before they are needed.

    Args:
        record: the job.
        views: the workers of the domain.
        width: how many to name at least.

    Returns:
        Ids of workers on which a task fits when they are empty, spread by a
        digest of the job so that jobs do not all name the same ones.
    """
    fitting = sorted(
        view.worker_id for view in views if record.demand.fits_in(view.capacity)
    )
    if not fitting:
        return []
    first = int(record.job_id[-6:], 16) % len(fitting)
    wanted = max(width, min(record.task_count, len(fitting)))
    return (fitting[first:] + fitting[:first])[:wanted]


def unschedulable_reason(
    record: JobRecord, views: Collection[WorkerView], *, is_urgent: bool
) -> str:
    """Tell why a job can never run in this domain.

    Args:
        record: the job.
        views: the workers of the domain, at least one.
        is_urgent: whether its queue may use the reserved lane.

    Returns:
        `never_fits` and the resources that are short, or an empty text.
    """
    uses_lane = is_urgent or record.kind is JobKind.PREVIEW
    lane = NoUrgentReserve() if uses_lane else UrgentReserve()
    is_gang = record.kind is JobKind.GANG
    short = unsatisfiable_resources(
        record.demand,
        (view.capacity - lane.evaluate(view.capacity) for view in views),
        record.task_count if is_gang else 1,
    )
    return f'never_fits: {", ".join(short)}' if short else ''


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
        return transitions.finish_if_over(rejected, writer)
    waiting = [
        task.index for task in claimed.tasks if task.state is TaskState.WAITING
    ]
    return transitions.widen_intent(
        claimed, writer, workers=workers, begin=waiting
    )


def _cancel_record(record: JobRecord, *, writer: Writer) -> JobRecord:
    cancelled = transitions.cancel(record, writer)
    return transitions.finish_if_over(cancelled, writer)
