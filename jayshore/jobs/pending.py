"""Describes waiting attempts to the cell that places them."""

from jayshore.clock import Millis
from jayshore.jobs.attempts import Attempt
from jayshore.jobs.context import LeaderContext
from jayshore.jobs.record import JobKind, JobRecord
from jayshore.placement.tasks import PendingTask, TaskId, TaskKind


def id_of(attempt: Attempt) -> TaskId:
    """Name a task towards the cell.

    Args:
        attempt: the newest attempt of the task.

    Returns:
        The id.
    """
    return TaskId(job_id=attempt.job_id, index=attempt.index)


def pending_task(
    record: JobRecord,
    attempt: Attempt,
    *,
    context: LeaderContext,
    is_confined: bool,
) -> PendingTask:
    """Describe an attempt that waits for a worker.

    Args:
        record: its job.
        attempt: the attempt.
        context: what the parts of the leader share.
        is_confined: whether it may start only on workers of the recorded
            intent.

    Returns:
        The task as the cell sees it.
    """
    queue = context.snapshot().queue(record.queue)
    run_ms = Millis(record.run_ms) if record.run_ms else None
    allowed = None
    if is_confined:
        allowed = frozenset(item.worker_id for item in record.intent)
    # Time of day minus the monotonic time in which the cell reckons.
    offset = context.wall_clock.now() - context.clock.now()
    deadline = record.deadline_ms
    return PendingTask(
        task_id=id_of(attempt),
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

    Members that have ended do not run again.
    """
    if record.kind is not JobKind.GANG:
        return 1
    return sum(not task.is_final for task in record.tasks)
