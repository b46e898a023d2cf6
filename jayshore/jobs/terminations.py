"""Records how attempts end, and enqueues their retries."""

import dataclasses
import functools
from typing import Final

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds
from jayshore.jobs import transitions
from jayshore.jobs.attempts import Attempt, AttemptTable, Phase
from jayshore.jobs.changes import (
    MissingProofError,
    TaskStateError,
    TransitionError,
    Writer,
)
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
from jayshore.leases.worker import AttemptId, TaskOutcome, TaskReport

# Each restart is a store write; the delay limits the writes of a service whose
# replicas end at once.
_SERVICE_RESTART_DELAY_MS = Millis(1000)

MAX_CRASHES: Final = 4
"""Crashes in succession after which a task does not run again.

Neighbours of a task that crashes its workers are counted as well, so two would
not be enough.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Termination:
    """How an attempt ended.

    Attributes:
        outcome: the outcome that the worker reported; None when the attempt
            was lost or withdrawn.
        output: the output that the worker reported.
        crashed: the worker restarted soon after it had started the task.
    """

    outcome: TaskOutcome | None
    output: str = ''
    crashed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AckTarget:
    """Where to acknowledge a result, which the worker keeps until then."""

    session: WorkerSession
    attempt_id: AttemptId


def termination_from_report(report: TaskReport) -> Termination:
    """Convert the report of a worker about an ended attempt.

    Args:
        report: a report with an outcome.

    Returns:
        The termination.
    """
    return Termination(outcome=report.outcome, output=report.output)


class TerminationRecorder:
    """Records the terminations of attempts, and enqueues retries."""

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
        """Create a recorder without pending terminations.

        Args:
            context: dependencies shared by the components of the leader.
            repository: the job records.
            attempts: the latest attempts of all tasks.
            placer: enqueues attempts.
            health_monitor: receives the successes and failures of workers.
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
        """Record a termination; returns once the store holds it.

        Args:
            attempt: an attempt that is not running and holds no resources.
            termination: how it ended.

        Raises:
            TransitionError: another leader owns the job, or a proof is
                missing.
        """  # noqa: DAR401 raised by the repository
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
            state = await self._write(record, attempt, termination)
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
        """Record a termination in the background, then acknowledge it.

        Args:
            attempt: an attempt that is not running and holds no resources.
            termination: how it ended.
            ack_target: where to acknowledge the report, None if there is none.
        """
        attempt.phase = Phase.ENDED
        self._update_worker_health(attempt, termination)
        await self._tasks.spawn(self._record(attempt, termination, ack_target))

    async def resume(self, attempt: Attempt) -> None:
        """Retry to record a termination that lacked a proof.

        Args:
            attempt: an ended attempt that has a new proof.
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
            # Workers of the intent without a proof may still run the attempt.
            self._unproved[attempt.name] = (termination, ack_target)
            return
        except TransitionError as refusal:
            eliot.log_message(
                'task:not_recorded', task=attempt.name, why=str(refusal)
            )
            return
        if ack_target is not None:
            ack_target.session.acknowledge(ack_target.attempt_id)

    async def _write(
        self, record: JobRecord, attempt: Attempt, termination: Termination
    ) -> TaskState | None:
        """Write the end of a task, or its retry.

        Returns:
            The final state of the task, or None when it is retried.
        """
        state = self._final_state(record, attempt, termination)
        if state is not None:
            await self._end_task(attempt, termination, state)
            return state
        try:
            await self._retry(record, attempt, termination)
        except TaskStateError:
            current = self._repository.find(attempt.job_id)
            if current is None or not current.is_cancelling:
                raise
            # The job was cancelled before its retry was written.
            return await self._write(current, attempt, termination)
        return None

    def _final_state(
        self, record: JobRecord, attempt: Attempt, termination: Termination
    ) -> TaskState | None:
        """Decide whether the task has ended or is retried.

        Returns:
            The final state of the task, or None when a retry follows.
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
        if never_started:
            return None
        if _has_crashed_too_often(record, attempt, termination):
            return TaskState.FAILED
        if record.kind is JobKind.SERVICE:
            return None
        return self._state_after_run(record, termination)

    def _state_after_run(
        self, record: JobRecord, termination: Termination
    ) -> TaskState | None:
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
                is_reported=termination.outcome is not None,
            ),
        )
        self._attempts.remove(attempt)
        self._placer.refresh_gang(changed)

    async def _retry(
        self, record: JobRecord, attempt: Attempt, termination: Termination
    ) -> None:
        failed = termination.outcome is TaskOutcome.FAILED
        failed_worker = attempt.worker
        is_retry = failed and self._counts_as_retry(attempt)
        changed = await self._repository.change(
            attempt.job_id,
            functools.partial(
                _retry_in_record,
                writer=self._context.writer,
                attempt=attempt,
                is_retry=is_retry,
                crashes=_count_crashes(
                    record.tasks[attempt.index], termination
                ),
            ),
        )
        attempt.advance_to(changed.tasks[attempt.index].attempt)
        if failed and failed_worker is not None:
            attempt.avoided |= {failed_worker.worker_id}
        has_ended = termination.outcome is not None or termination.crashed
        if record.kind is JobKind.SERVICE and has_ended:
            await curio.sleep(to_seconds(_SERVICE_RESTART_DELAY_MS))
        self._placer.enqueue(attempt)
        # Stop the other members of a gang, so that it restarts as a whole.
        await self._placer.stop_partial_gang(record)

    def _counts_as_retry(self, attempt: Attempt) -> bool:
        """Check whether a failure counts against the job's retry budget."""
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
            self._health_monitor.record_success(worker_id)
        elif termination.outcome is TaskOutcome.FAILED:
            self._health_monitor.record_failure(worker_id, attempt.job_id)


def is_report_of(report: TaskReport, attempt: Attempt) -> bool:
    """Check whether a report is about an attempt.

    Args:
        report: report of a worker.
        attempt: the attempt.

    Returns:
        True if the task id and the attempt number match.
    """
    return report.task_id == attempt.name and report.attempt == attempt.number


def _end_task_in_record(
    record: JobRecord,
    *,
    writer: Writer,
    attempt: Attempt,
    ended: TaskRecord,
    is_reported: bool,
) -> JobRecord:
    if is_reported and ended.state in {TaskState.FINISHED, TaskState.FAILED}:
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
    crashes: int,
) -> JobRecord:
    return transitions.retry_task(
        record,
        writer,
        index=attempt.index,
        proofs=attempt.proofs(record),
        counts_as_retry=is_retry,
        crashes=crashes,
    )


def _has_crashed_too_often(
    record: JobRecord, attempt: Attempt, termination: Termination
) -> bool:
    """Return whether a task that could run again has crashed its workers."""
    crashes = _count_crashes(record.tasks[attempt.index], termination)
    may_repeat = record.idempotent or record.kind is JobKind.SERVICE
    return termination.crashed and may_repeat and crashes >= MAX_CRASHES


def _count_crashes(task: TaskRecord, termination: Termination) -> int:
    """Count the crashes in succession; another outcome ends the succession."""
    if termination.crashed:
        return task.crashes + 1
    return task.crashes if termination.outcome is None else 0
