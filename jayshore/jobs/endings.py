"""What follows when an attempt has ended or is lost."""

import dataclasses
import functools

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds
from jayshore.jobs import transitions
from jayshore.jobs.attempts import Attempt, AttemptTable, Phase
from jayshore.jobs.book import JobBook
from jayshore.jobs.context import LeaderContext
from jayshore.jobs.placing import Placer
from jayshore.jobs.record import (
    JobKind,
    JobRecord,
    TaskRecord,
    TaskState,
)
from jayshore.leases.session import WorkerSession
from jayshore.leases.worker import AttemptName, TaskOutcome, TaskReport

# A service whose replicas end at once must not use up the store's writes.
_SERVICE_RESTART_PAUSE_MS = Millis(1000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ending:
    """How an attempt ended, as far as it is known.

    Attributes:
        outcome: the worker's word, None when the attempt is only known to be
            over.
        proof: that it does not run any more.
        output: its result.
    """

    outcome: TaskOutcome | None
    proof: transitions.Proof
    output: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reporter:
    """The worker that keeps a result until it is acknowledged."""

    session: WorkerSession
    name: AttemptName


def reported(report: TaskReport) -> Ending:
    """Describe an end that the worker reported.

    Args:
        report: with an outcome.

    Returns:
        The ending.
    """
    return Ending(
        outcome=report.outcome,
        proof=transitions.AttemptOver(reason='worker_report'),
        output=report.output,
    )


class EndingRecorder:
    """Records endings, and queues the attempts that follow."""

    def __init__(
        self,
        *,
        context: LeaderContext,
        book: JobBook,
        attempts: AttemptTable,
        placer: Placer,
        tasks: BackgroundTasks,
    ) -> None:
        """Prepare to record.

        Args:
            context: what the parts of the leader share.
            book: the job records.
            attempts: the newest attempts of all tasks.
            placer: queues attempts.
            tasks: background tasks of the leader.
        """
        self._context = context
        self._book = book
        self._attempts = attempts
        self._placer = placer
        self._tasks = tasks

    async def record(self, attempt: Attempt, ending: Ending) -> None:
        """Record an ending; returns when the store holds it.

        Args:
            attempt: it does not run, and its room is free.
            ending: how it ended.

        Raises:
            NotOwner: another leader has claimed the job.
        """  # noqa: DAR401 raised by the book
        attempt.phase = Phase.ENDED
        record = self._book.find(attempt.job_id)
        if record is None:
            return
        with eliot.start_action(
            action_type='task:ended',
            task=attempt.name,
            attempt=attempt.number,
            outcome=ending.outcome.value if ending.outcome else 'lost',
        ):
            state = self._final_state(record, ending)
            if state is None:
                await self._try_again(record, attempt, ending)
            else:
                await self._settle(attempt, ending, state)
        self._context.events.task_ended(
            record, state.value if state else 'retried'
        )
        await self._placer.wake()

    async def record_later(
        self, attempt: Attempt, ending: Ending, reporter: Reporter | None
    ) -> None:
        """Record an ending in the background, then acknowledge it.

        Args:
            attempt: it does not run, and its room is free.
            ending: how it ended.
            reporter: the worker that waits for the acknowledgement, if any.
        """
        attempt.phase = Phase.ENDED
        await self._tasks.spawn(self._record(attempt, ending, reporter))

    async def _record(
        self, attempt: Attempt, ending: Ending, reporter: Reporter | None
    ) -> None:
        try:
            await self.record(attempt, ending)
        except transitions.TransitionRefused as refusal:
            eliot.log_message(
                'task:not_recorded', task=attempt.name, why=str(refusal)
            )
            return
        if reporter is not None:
            reporter.session.acknowledge(reporter.name)

    def _final_state(
        self, record: JobRecord, ending: Ending
    ) -> TaskState | None:
        """Decide whether the task has ended for good.

        Returns:
            Its final state, or None when another attempt follows.
        """
        never_started = isinstance(ending.proof, transitions.NeverStarted)
        is_success = ending.outcome is TaskOutcome.SUCCEEDED
        if is_success and record.kind is not JobKind.SERVICE:
            return TaskState.FINISHED
        if record.is_cancelling:
            is_certain = never_started or ending.outcome is not None
            if is_certain or record.idempotent:
                return TaskState.CANCELLED
            return TaskState.UNKNOWN
        if never_started:
            return None
        if record.kind is JobKind.SERVICE:
            return None
        if ending.outcome is TaskOutcome.FAILED:
            return None if self._may_retry(record) else TaskState.FAILED
        return None if record.idempotent else TaskState.UNKNOWN

    def _may_retry(self, record: JobRecord) -> bool:
        policy = self._context.snapshot().document.policies.retry_budget
        allowed = record.task_count * (policy.max_attempts - 1)
        return record.idempotent and record.retries_used < allowed

    async def _settle(
        self, attempt: Attempt, ending: Ending, state: TaskState
    ) -> None:
        ended = TaskRecord(
            index=attempt.index,
            attempt=attempt.number,
            attempt_epoch=self._context.epoch,
            state=state,
            worker=attempt.worker,
            result=ending.output or None,
        )
        changed = await self._book.change(
            attempt.job_id,
            functools.partial(
                transitions.settle, epoch=self._context.epoch, ended=ended
            ),
        )
        self._attempts.forget(attempt)
        self._placer.regroup(changed)

    async def _try_again(
        self, record: JobRecord, attempt: Attempt, ending: Ending
    ) -> None:
        failed = ending.outcome is TaskOutcome.FAILED
        changed = await self._book.change(
            attempt.job_id,
            functools.partial(
                transitions.further_attempt,
                epoch=self._context.epoch,
                index=attempt.index,
                proof=ending.proof,
                is_retry=failed,
            ),
        )
        attempt.number = changed.tasks[attempt.index].attempt
        if failed and attempt.worker is not None:
            attempt.avoided |= {attempt.worker.worker_id}
        if record.kind is JobKind.SERVICE and ending.outcome is not None:
            await curio.sleep(to_seconds(_SERVICE_RESTART_PAUSE_MS))
        await self._stop_siblings(record, attempt)
        if changed.is_cancelling:
            await self.record(attempt, ending)
        else:
            self._placer.enqueue(attempt)

    async def _stop_siblings(self, record: JobRecord, attempt: Attempt) -> None:
        """Stop the rest of a gang, so that it starts again as a whole."""
        if record.kind is not JobKind.GANG:
            return
        for sibling in self._attempts.of_job(record):
            if sibling is not attempt and sibling.phase is Phase.RUNNING:
                await self._placer.stop(sibling, checkpoint=True)


def found_on(report: TaskReport, attempt: Attempt) -> bool:
    """Tell whether a report is about an attempt.

    Args:
        report: of a worker.
        attempt: the newest attempt of that task.

    Returns:
        True when the numbers agree.
    """
    return report.task_id == attempt.name and report.attempt == attempt.number
