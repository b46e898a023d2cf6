"""State transitions of tasks, groups and jobs when a run ends.

These functions change the entries only. They return what else has to be done,
which is up to the caller.
"""

import dataclasses
from collections.abc import Iterable

from jayshore.fleet.interfaces import EndKind
from jayshore.fleet.jobtable import GroupEntry, JobEntry, TaskEntry
from jayshore.fleet.phases import JobState, Phase


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Consequence:
    """Actions that a transition requires.

    Attributes:
        stop: tasks whose runs have to be stopped.
        job_ended: the state of the job became final.
    """

    stop: tuple[TaskEntry, ...] = ()
    job_ended: bool = False


NO_CONSEQUENCE = Consequence()


def align_gangs(tasks: Iterable[TaskEntry]) -> None:
    """Set the same run number and checkpoint for all members of a gang.

    Args:
        tasks: tasks that were placed.
    """
    for task in tasks:
        if task.group.spec.gang:
            members = task.group.tasks
            task.run = max(member.run for member in members)
            task.checkpoint = max(member.checkpoint for member in members)


def end_run(
    task: TaskEntry, kind: EndKind, *, max_attempts: int
) -> Consequence:
    """Apply the end of the latest run of a task.

    Args:
        task: the task.
        kind: how the run ended.
        max_attempts: number of failed runs after which the task has failed.

    Returns:
        Required actions.
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
    return requeue_task(task)


def requeue_task(task: TaskEntry) -> Consequence:
    """Return a task to waiting after a run that did not complete it.

    Args:
        task: the task, which may start again.

    Returns:
        Required actions: the other members of a gang must stop as well.
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


def unsent_members(task: TaskEntry) -> tuple[TaskEntry, ...]:
    """List the starts that are given up with one that was not sent.

    Args:
        task: a task whose start was not sent.

    Returns:
        The members of its gang whose starts were not sent either, which need
        no stop; the task alone when it is in no gang.
    """
    if not task.group.spec.gang:
        return (task,)
    return tuple(
        member
        for member in task.group.tasks
        if member.phase is Phase.STARTING and member.ordered_at is None
    )


def end_job(entry: JobEntry, state: JobState) -> Consequence:
    """End a job before its tasks are done.

    Args:
        entry: the job.
        state: its final state.

    Returns:
        Required actions: all active runs of the job must stop.
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
    """Count a failed run; a run of a gang counts once for all its members."""
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
