"""Builds waiting tasks for the tests of placement."""

from jayshore.placement.tasks import PendingTask, TaskId, TaskKind
from jayshore.resources import Resources

CORE = Resources(cpu_millis=1000, memory_mb=1024)


def sample_task(job_id, *, index=0, cores=1, **fields):
    """Build a waiting batch task of team `a` with a demand of `cores` cores."""
    defaults = {
        'team': 'a',
        'kind': TaskKind.BATCH,
        'enqueued_at': 0,
        'idempotent': True,
        'preemptible': True,
    }
    return PendingTask(
        task_id=TaskId(job_id=job_id, index=index),
        demand=CORE.scaled(cores),
        **(defaults | fields),
    )
