"""Restores the progress of jobs from what former leaders have recorded."""

import itertools
from collections.abc import Iterable, Mapping

from jayshore.clock import Millis
from jayshore.fleet.jobtable import GroupEntry, JobEntry, TaskEntry
from jayshore.fleet.model import Incarnation, TaskId
from jayshore.fleet.phases import JobState, Phase
from jayshore.fleet.records import (
    DONE_ROW,
    PLACED_ROW,
    ProgressRecord,
    StoredProgress,
    TaskRecord,
    is_large,
)


def restore_progress(entry: JobEntry, stored: StoredProgress) -> None:
    """Restore a job to the state that former leaders recorded.

    Placed tasks become `Phase.UNKNOWN` until their workers report. A job may
    have rows of one task in its progress record and in a segment, while it is
    converted from an earlier version; the later row counts.

    Args:
        entry: the job, with entries of its first occurrence.
        stored: the recorded progress.
    """
    record = stored.record
    entry.state = record.state
    rows: dict[TaskId, TaskRecord] = {}
    for row in (*record.tasks, *itertools.chain(*stored.segments.values())):
        task_id = TaskId(entry.job.job_id, row.occurrence, row.group, row.index)
        rows[task_id] = max(rows.get(task_id, row), row, key=_progress)
    if rows and entry.state is JobState.QUEUED:
        entry.state = JobState.RUNNING
    entry.durable_state = entry.state
    _restore_groups(entry, record, rows)
    for group in entry.groups.values():
        if not group.settled:
            _restore_tasks(group, rows)
        group.done = sum(task.phase is Phase.DONE for task in group.tasks)


def find_final_state(entry: JobEntry, max_attempts: int) -> JobState | None:
    """Find the state of a job that ended before its state was recorded.

    The segments of a large job are recorded before its state.

    Args:
        entry: a restored job.
        max_attempts: failed runs after which a task counts as failed.

    Returns:
        The state, None when the job has not ended or its state was recorded.
    """
    if entry.ended or not is_large(entry.job):
        return None
    if entry.all_done():
        return JobState.COMPLETED
    failed = any(
        task.failures >= max_attempts and task.phase is not Phase.DONE
        for group in entry.unfinished()
        if not group.spec.long_running
        for task in group.tasks
    )
    return JobState.FAILED if failed else None


def _restore_groups(
    entry: JobEntry, record: ProgressRecord, rows: Iterable[TaskId]
) -> None:
    """Create the entries of all groups but those recorded as finished."""
    unfinished = set(record.unfinished)
    if entry.job.schedule.repeats:
        entry.next_occurrence = record.next_occurrence
        for occurrence, position in sorted(unfinished):
            entry.add_group(occurrence, position)
    elif record.next_occurrence:
        for group in entry.groups.values():
            if group.group_id[1:] not in unfinished:
                _finish_group(group)
    last = max((task_id.occurrence for task_id in rows), default=-1)
    while entry.next_occurrence <= last:
        entry.add_occurrence()


def _restore_tasks(
    group: GroupEntry, rows: Mapping[TaskId, TaskRecord]
) -> None:
    for task in group.tasks:
        row = rows.get(task.task_id)
        if row is not None:
            _restore_task(task, row)
    if group.spec.gang:
        _align_members(group.tasks)


def _finish_group(group: GroupEntry) -> None:
    group.settled = True
    for task in group.tasks:
        task.phase = Phase.DONE


def _align_members(members: list[TaskEntry]) -> None:
    """Complete a change of a gang of which some segments were not written."""
    run = max(member.run for member in members)
    failures = max(member.failures for member in members)
    checkpoint = max(member.checkpoint for member in members)
    done = any(member.phase is Phase.DONE for member in members)
    for member in members:
        member.run = run
        member.failures = failures
        member.checkpoint = checkpoint
        if done:
            member.phase = Phase.DONE


def _progress(row: TaskRecord) -> tuple[int, bool, bool]:
    """Order the rows of one task by the time at which they were recorded."""
    return row.run, row.phase != PLACED_ROW, row.phase == DONE_ROW


def _restore_task(task: TaskEntry, row: TaskRecord) -> None:
    task.run = row.run
    task.failures = row.failures
    task.checkpoint = row.checkpoint
    task.crashes = row.crashes
    task.confirmed_crashes = row.confirmed_crashes
    task.exposures = row.exposures
    task.doubt_ms = Millis(row.doubt_ms)
    task.confirmed = bool(row.failures or row.checkpoint)
    if row.phase == DONE_ROW:
        task.phase = Phase.DONE
    elif row.phase == PLACED_ROW:
        task.phase = Phase.UNKNOWN
        task.worker = row.worker
        task.incarnation = Incarnation(row.address, row.born_ms)
