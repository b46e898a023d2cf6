"""Stored records of jobs and of their progress.

A job is written once, when it is accepted. Its progress is a second record,
which only the leader writes, before it acts on the change.
"""

import dataclasses

import msgspec

from jayshore.clock import Millis
from jayshore.decoding import DECODE_ERRORS
from jayshore.fleet.blame import SETTLED_MS
from jayshore.fleet.jobtable import (
    PLACED_PHASES,
    JobEntry,
    JobState,
    Phase,
    TaskEntry,
)
from jayshore.fleet.model import (
    UNKNOWN_INCARNATION,
    Incarnation,
    Job,
    TaskId,
)
from jayshore.outcomes import JayshoreError

JOB_PREFIX = 'jobs/in/'
"""Prefix of the keys of accepted jobs and of cancellations."""

PROGRESS_PREFIX = 'jobs/run/'
"""Prefix of the keys of progress records."""

HEAD_KEY = 'jobs/head'
"""Key that fences the writes of leaders."""

_CANCEL_SUFFIX = '/cancel'
_PLACED = 'p'
_DONE = 'd'
_WAITING = 'w'


class InvalidRecord(JayshoreError):
    """A stored value is not a valid record."""


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
        lost_age_ms: age of its run at the latest crash in ms, None for none.
        recurrent: two crashes in succession hit its runs at the same age.
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
    lost_age_ms: int | None = None
    recurrent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgressRecord:
    """Progress of a job.

    Attributes:
        state: state of the job, as reported to callers.
        tasks: tasks that have been placed at least once.
    """

    state: JobState
    tasks: tuple[TaskRecord, ...] = ()


def job_key(job_id: str) -> str:
    """Return the key of an accepted job.

    Args:
        job_id: the job.

    Returns:
        The key.
    """
    return f'{JOB_PREFIX}{job_id}'


def cancel_key(job_id: str) -> str:
    """Return the key of the cancellation of a job.

    Args:
        job_id: the job.

    Returns:
        The key.
    """
    return f'{JOB_PREFIX}{job_id}{_CANCEL_SUFFIX}'


def progress_key(job_id: str) -> str:
    """Return the key of the progress record of a job.

    Args:
        job_id: the job.

    Returns:
        The key.
    """
    return f'{PROGRESS_PREFIX}{job_id}'


def parse_job_key(key: str) -> tuple[str, bool]:
    """Parse a key with the prefix `JOB_PREFIX`.

    Args:
        key: the key.

    Returns:
        The job id, and whether the key is that of its cancellation.
    """
    name = key.removeprefix(JOB_PREFIX)
    return name.removesuffix(_CANCEL_SUFFIX), name.endswith(_CANCEL_SUFFIX)


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
    try:
        return msgspec.json.decode(text, type=Job)
    except DECODE_ERRORS as error:
        raise InvalidRecord(str(error)) from None


def encode_progress(entry: JobEntry) -> str:
    """Encode the progress of a job.

    Args:
        entry: the job.

    Returns:
        JSON text.
    """
    record = ProgressRecord(
        state=entry.state,
        tasks=tuple(
            _task_record(task)
            for task in entry.tasks()
            if task.run or task.phase is Phase.DONE
        ),
    )
    return msgspec.json.encode(record).decode()


def decode_progress(text: str) -> ProgressRecord:
    """Decode the progress of a job.

    Args:
        text: JSON text.

    Returns:
        The record.

    Raises:
        InvalidRecord: the text is not a progress record.
    """
    try:
        return msgspec.json.decode(text, type=ProgressRecord)
    except DECODE_ERRORS as error:
        raise InvalidRecord(str(error)) from None


def restore_progress(entry: JobEntry, record: ProgressRecord) -> None:
    """Restore a job to the state that a former leader recorded.

    Placed tasks become `Phase.UNKNOWN` until their workers report.

    Args:
        entry: the job, with entries of its first occurrence.
        record: the recorded progress.
    """
    entry.state = record.state
    entry.durable_state = record.state
    for stored in record.tasks:
        while entry.next_occurrence <= stored.occurrence:
            entry.add_occurrence()
    groups = list(entry.groups.values())
    width = len(entry.job.groups)
    for row in record.tasks:
        group = groups[row.occurrence * width + row.group]
        _restore_task(group.tasks[row.index], row)
    for restored in groups:
        restored.done = sum(task.phase is Phase.DONE for task in restored.tasks)


def _task_record(task: TaskEntry) -> TaskRecord:
    task_id: TaskId = task.task_id
    phase = _WAITING
    if task.phase is Phase.DONE:
        phase = _DONE
    elif task.phase in PLACED_PHASES:
        phase = _PLACED
    incarnation = UNKNOWN_INCARNATION
    if phase == _PLACED:
        incarnation = task.incarnation
    return TaskRecord(
        occurrence=task_id.occurrence,
        group=task_id.group,
        index=task_id.position,
        phase=phase,
        run=task.run,
        worker=task.worker if phase == _PLACED else '',
        failures=task.failures,
        checkpoint=task.checkpoint,
        crashes=task.crashes,
        exposures=task.exposures,
        doubt_ms=task.doubt_ms,
        address=incarnation.address,
        born_ms=incarnation.born_ms,
        lost_age_ms=task.lost_age_ms,
        recurrent=task.recurrent,
    )


def _restore_task(task: TaskEntry, row: TaskRecord) -> None:
    task.run = row.run
    task.failures = row.failures
    task.checkpoint = row.checkpoint
    task.crashes = row.crashes
    task.exposures = row.exposures
    task.doubt_ms = Millis(row.doubt_ms)
    if row.lost_age_ms is not None:
        task.lost_age_ms = Millis(row.lost_age_ms)
    task.recurrent = row.recurrent
    task.confirmed = bool(row.failures or row.checkpoint)
    if row.phase == _DONE:
        task.phase = Phase.DONE
    elif row.phase == _PLACED:
        task.phase = Phase.UNKNOWN
        task.worker = row.worker
        task.incarnation = Incarnation(row.address, row.born_ms)
