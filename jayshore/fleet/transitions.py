"""What the end of a run means for its task, its group and its job.

Functions of the entries only. They say what else has to be done; the scheduler
does it.
"""

import dataclasses

from jayshore.fleet.interfaces import EndKind
from jayshore.fleet.jobtable import (
    GroupEntry,
    JobEntry,
    JobState,
    Phase,
    TaskEntry,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Consequence:
    """What follows from an end.

    Attributes:
        stop: tasks whose runs have to be stopped.
        job_ended: the state of the job became final.
    """

    stop: tuple[TaskEntry, ...] = ()
    job_ended: bool = False


NO_CONSEQUENCE = Consequence()


def end_run(
    task: TaskEntry, kind: EndKind, *, max_attempts: int
) -> Consequence:
    """Apply the end of a task's newest run.

    Args:
        task: the task.
        kind: how the run ended.
        max_attempts: failed runs after which the task has failed.

    Returns:
        What follows.
    """
    group = task.group
    if task.phase is Phase.DONE:
        return NO_CONSEQUENCE
    if kind is EndKind.DONE and not group.spec.long_running:
        return _finish(task)
    if kind is EndKind.FAILED:
        _count_failure(task)
        exhausted = task.failures >= max_attempts
        if exhausted and not (group.spec.long_running or group.job.ended):
            task.phase = Phase.WAITING
            return end_job(group.job, JobState.FAILED)
    return lose_run(task)


def lose_run(task: TaskEntry) -> Consequence:
    """Apply that a run is over without a result.

    Args:
        task: the task, which may start again.

    Returns:
        What follows: the other members of a gang cannot work without it.
    """
    if task.phase is Phase.DONE:
        return NO_CONSEQUENCE
    task.phase = Phase.WAITING
    task.acknowledged_at = None
    if not task.group.spec.gang:
        return NO_CONSEQUENCE
    return Consequence(
        stop=tuple(
            member
            for member in task.group.tasks
            if member.phase in {Phase.STARTING, Phase.RUNNING, Phase.UNKNOWN}
        )
    )


def end_job(entry: JobEntry, state: JobState) -> Consequence:
    """End a job before its tasks are done.

    Args:
        entry: the job.
        state: its final state.

    Returns:
        What follows: whatever runs has to be stopped.
    """
    entry.state = state
    return Consequence(
        job_ended=True,
        stop=tuple(
            task
            for task in entry.tasks()
            if task.phase in {Phase.STARTING, Phase.RUNNING, Phase.UNKNOWN}
        ),
    )


def _finish(task: TaskEntry) -> Consequence:
    group = task.group
    finished = group.tasks if group.spec.gang else (task,)
    for member in finished:
        member.phase = Phase.DONE
    group.done = _count_done(group)
    entry = group.job
    if entry.ended or not entry.all_done():
        return NO_CONSEQUENCE
    entry.state = JobState.COMPLETED
    return Consequence(job_ended=True)


def _count_failure(task: TaskEntry) -> None:
    """Count a failed run; a gang fails once, whichever member failed."""
    if not task.group.spec.gang:
        task.failures += 1
        return
    if task.run in task.group.failed_runs:
        return
    task.group.failed_runs.add(task.run)
    for member in task.group.tasks:
        member.failures += 1


def _count_done(group: GroupEntry) -> int:
    return sum(member.phase is Phase.DONE for member in group.tasks)
