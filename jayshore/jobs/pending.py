"""Converts waiting attempts to the tasks of the placement cell."""

from jayshore.clock import Millis
from jayshore.jobs.attempts import Attempt
from jayshore.jobs.context import LeaderContext
from jayshore.jobs.record import JobKind, JobRecord
from jayshore.placement.tasks import PendingTask, TaskId, TaskKind


def task_id_of(attempt: Attempt) -> TaskId:
    """Return the id by which the placement cell knows a task.

    Args:
        attempt: the latest attempt of the task.

    Returns:
        The task id.
    """
    return TaskId(job_id=attempt.job_id, index=attempt.index)


def pending_task(
    record: JobRecord,
    attempt: Attempt,
    *,
    context: LeaderContext,
    restrict_to_intent: bool,
) -> PendingTask:
    """Create the placement task of an attempt.

    Args:
        record: the job of the attempt.
        attempt: the attempt.
        context: dependencies shared by the components of the leader.
        restrict_to_intent: whether it may start only on workers of the recorded
            intent.

    Returns:
        The task, with times in monotonic time.
    """
    queue = context.snapshot().queue(record.queue)
    run_ms = Millis(record.run_ms) if record.run_ms else None
    allowed = None
    if restrict_to_intent:
        allowed = frozenset(item.worker_id for item in record.intent)
    # The cell uses monotonic time; the offset is wall clock minus monotonic.
    offset = context.wall_clock.now() - context.clock.now()
    deadline = record.deadline_ms
    return PendingTask(
        task_id=task_id_of(attempt),
        team=record.team,
        queue=record.queue,
        kind=TaskKind(record.kind.value),
        demand=record.demand,
        enqueued_at=Millis(record.accepted_at_ms - offset),
        urgent=queue is not None and queue.urgent,
        declared_run_ms=run_ms,
        estimated_run_ms=context.estimates.run_ms(
            record.team, record.queue, run_ms
        ),
        deadline=None if deadline is None else Millis(deadline - offset),
        idempotent=record.idempotent,
        preemptible=record.idempotent and record.kind is JobKind.BATCH,
        gang_size=_gang_size(record),
        allowed_workers=allowed,
        avoided_workers=attempt.avoided,
    )


def _gang_size(record: JobRecord) -> int:
    """Count the tasks that have to start together.

    Members that have ended are not counted, as they do not run again.
    """
    if record.kind is not JobKind.GANG:
        return 1
    return sum(not task.is_final for task in record.tasks)
