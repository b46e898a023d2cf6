"""What follows when an attempt has ended or is lost."""

import dataclasses
import functools

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds
from jayshore.jobs import transitions
from jayshore.jobs.attempts import Attempt, AttemptTable, Phase
from jayshore.jobs.changes import MissingProofError, TransitionError, Writer
from jayshore.jobs.context import LeaderContext
from jayshore.jobs.health import WorkerHealthMonitor
from jayshore.jobs.placing import Placer
from jayshore.jobs.proofs import NEVER_STARTED, unproved_workers
from jayshore.jobs.record import (
    JobKind,
    JobRecord,
    TaskRecord,
    TaskState,
)
from jayshore.jobs.repository import JobRepository
from jayshore.leases.session import WorkerSession
from jayshore.leases.worker import AttemptName, TaskOutcome, TaskReport

# A service whose replicas end at once must not use up the store's writes.
_SERVICE_RESTART_DELAY_MS = Millis(1000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Termination:
    """How an attempt ended, as far as it is known.

    Attributes:
        outcome: the worker's word, None when there is none.
        output: its result.
    """

    outcome: TaskOutcome | None
    output: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AckTarget:
    """The worker that keeps a result until it is acknowledged."""

    session: WorkerSession
    name: AttemptName


def termination_from_report(report: TaskReport) -> Termination:
    """Describe an end that the worker reported.

    Args:
        report: with an outcome.

    Returns:
        The ending.
    """
    return Termination(outcome=report.outcome, output=report.output)


class TerminationRecorder:
    """Records endings, and queues the attempts that follow."""

    def __init__(
        self,
        *,
        context: LeaderContext,
        repository: JobRepository,
        attempts: AttemptTable,
        placer: Placer,
        health_monitor: WorkerHealthMonitor,
        tasks: BackgroundTasks,
    ) -> None:
        """Prepare to record.

        Args:
            context: what the parts of the leader share.
            repository: the job records.
            attempts: the newest attempts of all tasks.
            placer: queues attempts.
            health_monitor: evidence about workers.
            tasks: background tasks of the leader.
        """
        self._context = context
        self._repository = repository
        self._attempts = attempts
        self._placer = placer
        self._health_monitor = health_monitor
        self._tasks = tasks
        self._unproved: dict[str, tuple[Termination, AckTarget | None]] = {}

    async def record(self, attempt: Attempt, termination: Termination) -> None:
        """Record an ending; returns when the store holds it.

        Args:
            attempt: it does not run, and its room is free.
            termination: how it ended.

        Raises:
            TransitionError: another leader owns the job, or a proof is
                missing.
        """  # noqa: DAR401 raised by the book
        attempt.phase = Phase.ENDED
        record = self._repository.find(attempt.job_id)
        if record is None:
            return
        with eliot.start_action(
            action_type='task:ended',
            task=attempt.name,
            attempt=attempt.number,
            outcome=termination.outcome.value
            if termination.outcome
            else 'lost',
        ):
            state = self._final_state(record, attempt, termination)
            if state is None:
                await self._retry(record, attempt, termination)
            else:
                await self._end_task(attempt, termination, state)
        self._context.events.task_ended(
            record, state.value if state else 'retried'
        )
        await self._placer.wake()

    async def record_in_background(
        self,
        attempt: Attempt,
        termination: Termination,
        ack_target: AckTarget | None,
    ) -> None:
        """Record an ending in the background, then acknowledge it.

        Args:
            attempt: it does not run, and its room is free.
            termination: how it ended.
            ack_target: the worker that waits for the acknowledgement, if any.
        """
        attempt.phase = Phase.ENDED
        self._update_worker_health(attempt, termination)
        await self._tasks.spawn(self._record(attempt, termination, ack_target))

    async def resume(self, attempt: Attempt) -> None:
        """Try again to record an ending for which a proof was missing.

        Args:
            attempt: an ended attempt about which a proof has come in.
        """
        unproved = self._unproved.pop(attempt.name, None)
        if unproved is not None:
            await self.record_in_background(attempt, *unproved)

    async def _record(
        self,
        attempt: Attempt,
        termination: Termination,
        ack_target: AckTarget | None,
    ) -> None:
        try:
            await self.record(attempt, termination)
        except MissingProofError:
            # Workers that are not accounted for yet may still have it.
            self._unproved[attempt.name] = (termination, ack_target)
            return
        except TransitionError as refusal:
            eliot.log_message(
                'task:not_recorded', task=attempt.name, why=str(refusal)
            )
            return
        if ack_target is not None:
            ack_target.session.acknowledge(ack_target.name)

    def _final_state(
        self, record: JobRecord, attempt: Attempt, termination: Termination
    ) -> TaskState | None:
        """Decide whether the task has ended for good.

        Returns:
            Its final state, or None when another attempt follows.
        """
        if termination.outcome is TaskOutcome.SUCCEEDED:
            is_service = record.kind is JobKind.SERVICE
            if not is_service or record.is_cancelling:
                return TaskState.FINISHED
        never_started = not unproved_workers(
            record,
            record.tasks[attempt.index],
            attempt.proofs(record),
            accepted=NEVER_STARTED,
        )
        is_certain = never_started or termination.outcome is not None
        if record.is_cancelling and (is_certain or record.idempotent):
            return TaskState.CANCELLED
        if record.is_cancelling:
            return TaskState.UNKNOWN
        if never_started or record.kind is JobKind.SERVICE:
            return None
        if termination.outcome is TaskOutcome.FAILED:
            return None if self._may_retry(record) else TaskState.FAILED
        return None if record.idempotent else TaskState.UNKNOWN

    def _may_retry(self, record: JobRecord) -> bool:
        policy = self._context.snapshot().document.policies.retry_budget
        allowed = record.task_count * (policy.max_attempts - 1)
        return record.idempotent and record.retries_used < allowed

    async def _end_task(
        self, attempt: Attempt, termination: Termination, state: TaskState
    ) -> None:
        changed = await self._repository.change(
            attempt.job_id,
            functools.partial(
                _end_task_in_record,
                writer=self._context.writer,
                attempt=attempt,
                ended=TaskRecord(
                    index=attempt.index,
                    attempt=attempt.number,
                    state=state,
                    worker=attempt.worker,
                    result=termination.output or None,
                ),
            ),
        )
        self._attempts.remove(attempt)
        self._placer.regroup(changed)

    async def _retry(
        self, record: JobRecord, attempt: Attempt, termination: Termination
    ) -> None:
        failed = termination.outcome is TaskOutcome.FAILED
        failed_on = attempt.worker
        is_retry = failed and self._is_fault_of_job(attempt)
        changed = await self._repository.change(
            attempt.job_id,
            functools.partial(
                _retry_in_record,
                writer=self._context.writer,
                attempt=attempt,
                is_retry=is_retry,
            ),
        )
        attempt.advance_to(changed.tasks[attempt.index].attempt)
        if failed and failed_on is not None:
            attempt.avoided |= {failed_on.worker_id}
        if record.kind is JobKind.SERVICE and termination.outcome is not None:
            await curio.sleep(to_seconds(_SERVICE_RESTART_DELAY_MS))
        self._placer.enqueue(attempt)
        # The rest of a gang is stopped, so that it starts again as a whole.
        await self._placer.stop_partial_gang(record)

    def _is_fault_of_job(self, attempt: Attempt) -> bool:
        """Tell whether a failure uses up a retry of its job."""
        worker = attempt.worker
        return worker is None or not self._health_monitor.is_quarantined(
            worker.worker_id
        )

    def _update_worker_health(
        self, attempt: Attempt, termination: Termination
    ) -> None:
        if attempt.worker is None:
            return
        worker_id = attempt.worker.worker_id
        if termination.outcome is TaskOutcome.SUCCEEDED:
            self._health_monitor.succeeded(worker_id)
        elif termination.outcome is TaskOutcome.FAILED:
            self._health_monitor.failed(worker_id, attempt.job_id)


def is_report_of(report: TaskReport, attempt: Attempt) -> bool:
    """Tell whether a report is about an attempt.

    Args:
        report: of a worker.
        attempt: the newest attempt of that task.

    Returns:
        True when the numbers agree.
    """
    return report.task_id == attempt.name and report.attempt == attempt.number


def _end_task_in_record(
    record: JobRecord,
    *,
    writer: Writer,
    attempt: Attempt,
    ended: TaskRecord,
) -> JobRecord:
    if ended.state in {TaskState.FINISHED, TaskState.FAILED}:
        updated = transitions.settle_task(record, writer, ended=ended)
    else:
        updated = transitions.close_task(
            record,
            writer,
            index=ended.index,
            proofs=attempt.proofs(record),
            state=ended.state,
        )
    return transitions.finish_if_done(updated, writer)


def _retry_in_record(
    record: JobRecord,
    *,
    writer: Writer,
    attempt: Attempt,
    is_retry: bool,
) -> JobRecord:
    return transitions.retry_task(
        record,
        writer,
        index=attempt.index,
        proofs=attempt.proofs(record),
        counts_as_retry=is_retry,
    )
