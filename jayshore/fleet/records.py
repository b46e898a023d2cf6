"""Stored records of jobs and of their progress.

A job is written once, when it is accepted. Its progress is a second record,
which only the leader writes, before it acts on the change. The tasks of a large
job are in records of their own, of `SEGMENT_TASKS` tasks of one group each, so
that the size of a write does not grow with the job. A group that is finished
has none; the progress record says which groups are not.
"""

import dataclasses
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from jayshore.decoding import DECODE_ERRORS
from jayshore.fleet.blame import SETTLED_MS
from jayshore.fleet.jobtable import GroupEntry, JobEntry, TaskEntry
from jayshore.fleet.model import (
    UNKNOWN_INCARNATION,
    Job,
    TaskId,
)
from jayshore.fleet.phases import PLACED_PHASES, JobState, Phase
from jayshore.fleet.recordkeys import InvalidRecord, SegmentId

SEGMENT_TASKS = 16
"""Tasks of one group whose progress is one record, in a large job.

A row takes about 100 bytes while its task is placed.
"""

MAX_INLINE_TASKS = 32
"""Tasks up to which the progress of a job without due times is one record."""

PLACED_ROW = 'p'
"""Phase of a row whose task was placed, and may run."""

DONE_ROW = 'd'
"""Phase of a row whose task is done."""

_WAITING_ROW = 'w'

_Decoded = TypeVar('_Decoded')


class TaskRecord(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """Progress of one task, as an array to keep records small.

    Attributes:
        occurrence: occurrence in the task id.
        group: group in the task id.
        index: position in the task id.
        phase: `p` placed, `d` done, `w` waiting.
        run: highest number of a run that may have been used.
        worker: worker of that run, empty unless placed.
        failures: runs that ended as failed.
        checkpoint: where the next run resumes.
        crashes: crashes of workers in which the task was in doubt.
        exposures: crashes of workers that ran the task.
        doubt_ms: age up to which a run is in doubt, in ms.
        address: address of the worker, empty unless placed.
        born_ms: start of the worker's incarnation, 0 unless placed.
        confirmed_crashes: crashes in doubt of a run that was confirmed.
    """

    occurrence: int
    group: int
    index: int
    phase: str
    run: int
    worker: str
    failures: int
    checkpoint: str
    crashes: int = 0
    exposures: int = 0
    doubt_ms: int = SETTLED_MS
    address: str = ''
    born_ms: int = 0
    confirmed_crashes: int = 0


class ProgressRecord(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Progress of a job.

    Attributes:
        state: state of the job, as reported to callers.
        tasks: tasks that have been placed at least once; those of a large job
            only in a record that an earlier version wrote.
        next_occurrence: the first occurrence of which the record says nothing;
            0 when it does not say which groups are finished.
        unfinished: occurrence and position of the groups before
            `next_occurrence` that are not finished.
    """

    state: JobState = JobState.QUEUED
    tasks: tuple[TaskRecord, ...] = ()
    next_occurrence: int = 0
    unfinished: tuple[tuple[int, int], ...] = ()


@dataclasses.dataclass(kw_only=True, slots=True)
class StoredProgress:
    """Everything that is stored of the progress of a job.

    Attributes:
        record: the progress record.
        segments: rows of the tasks of a large job by segment.
    """

    record: ProgressRecord = ProgressRecord()
    segments: dict[SegmentId, tuple[TaskRecord, ...]] = dataclasses.field(
        default_factory=dict
    )


def is_large(job: Job) -> bool:
    """Return whether the tasks of a job are in records of their own.

    Args:
        job: the job.

    Returns:
        True for jobs that repeat or have more than `MAX_INLINE_TASKS` tasks.
    """
    return bool(job.schedule.repeats) or (
        sum(group.count for group in job.groups) > MAX_INLINE_TASKS
    )


def segment_of(task: TaskEntry) -> SegmentId:
    """Return the segment of a task of a large job.

    Args:
        task: the task.

    Returns:
        Its segment.
    """
    number = task.task_id.position // SEGMENT_TASKS
    return SegmentId(task.group.group_id, number)


def segments_of(group: GroupEntry) -> list[SegmentId]:
    """List the segments of a group with tasks that were placed.

    Args:
        group: a group of a large job.

    Returns:
        Those that may have a record.
    """
    return list(dict.fromkeys(segment_of(task) for task in _placed_once(group)))


def encode_job(job: Job) -> str:
    """Encode an accepted job.

    Args:
        job: the job.

    Returns:
        JSON text.
    """
    return msgspec.json.encode(job).decode()


def decode_job(text: str) -> Job:
    """Decode an accepted job.

    Args:
        text: JSON text.

    Returns:
        The job.

    Raises:
        InvalidRecord: the text is not a job.
    """
    return _decode(text, Job)


def encode_progress(entry: JobEntry) -> str:
    """Encode the progress of a job, without the segments of a large one.

    Args:
        entry: the job.

    Returns:
        JSON text.
    """
    if is_large(entry.job):
        record = ProgressRecord(
            state=entry.state,
            next_occurrence=entry.next_occurrence,
            unfinished=tuple(
                group.group_id[1:]
                for group in entry.groups.values()
                if not group.finished
            ),
        )
    else:
        record = ProgressRecord(
            state=entry.state,
            tasks=tuple(
                _task_record(task)
                for group in entry.groups.values()
                for task in _placed_once(group)
            ),
        )
    return msgspec.json.encode(record).decode()


def encode_segment(group: GroupEntry, number: int) -> str | None:
    """Encode a segment of a group.

    Args:
        group: a group of a large job.
        number: position of the segment.

    Returns:
        JSON text, or None when the record is to be removed, as the progress
        record says that the group is finished.
    """
    if group.settled:
        return None
    first = number * SEGMENT_TASKS
    rows = [
        _task_record(task)
        for task in group.tasks[first : first + SEGMENT_TASKS]
        if _was_placed(task)
    ]
    return msgspec.json.encode(rows).decode()


def decode_progress(text: str) -> ProgressRecord:
    """Decode a progress record.

    Args:
        text: JSON text, also of an earlier version.

    Returns:
        The record.

    Raises:
        InvalidRecord: the text is not a progress record.
    """
    return _decode(text, ProgressRecord)


def decode_segment(text: str) -> tuple[TaskRecord, ...]:
    """Decode the record of a segment.

    Args:
        text: JSON text.

    Returns:
        Its rows.

    Raises:
        InvalidRecord: the text is not such a record.
    """
    return _decode(text, tuple[TaskRecord, ...])


def _was_placed(task: TaskEntry) -> bool:
    return bool(task.run) or task.phase is Phase.DONE


def _placed_once(group: GroupEntry) -> Iterator[TaskEntry]:
    return filter(_was_placed, group.tasks)


def _decode(text: str, expected: type[_Decoded]) -> _Decoded:
    try:
        return msgspec.json.decode(text, type=expected)
    except DECODE_ERRORS as error:
        raise InvalidRecord(str(error)) from None


def _task_record(task: TaskEntry) -> TaskRecord:
    task_id: TaskId = task.task_id
    phase = _WAITING_ROW
    if task.phase is Phase.DONE:
        phase = DONE_ROW
    elif task.phase in PLACED_PHASES:
        phase = PLACED_ROW
    incarnation = UNKNOWN_INCARNATION
    if phase == PLACED_ROW:
        incarnation = task.incarnation
    return TaskRecord(
        occurrence=task_id.occurrence,
        group=task_id.group,
        index=task_id.position,
        phase=phase,
        run=task.run,
        worker=task.worker if phase == PLACED_ROW else '',
        failures=task.failures,
        checkpoint=task.checkpoint,
        crashes=task.crashes,
        exposures=task.exposures,
        doubt_ms=task.doubt_ms,
        address=incarnation.address,
        born_ms=incarnation.born_ms,
        confirmed_crashes=task.confirmed_crashes,
    )
