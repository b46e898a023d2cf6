"""The changes that a job record allows, each a pure function.

The caller writes the result by compare-and-swap on the revision of the record
it passed in. `spec/task_model.py` checks these rules.
"""

import dataclasses
from collections.abc import Iterable
from typing import Any

from jayshore.jobs.changes import (
    JobOverError,
    MissingProofError,
    NotOwnerError,
    TaskStateError,
    WorkerNotNamedError,
    Writer,
)
from jayshore.jobs.proofs import (
    NEVER_STARTED,
    OVER,
    InstanceGone,
    LeaseExpired,
    Proof,
    Verdict,
    unproved_workers,
    verdict_of,
)
from jayshore.jobs.record import (
    JobRecord,
    JobState,
    TaskRecord,
    TaskState,
    WorkerBoot,
)


def claim(record: JobRecord, writer: Writer) -> JobRecord:
    """Make a leader the owner of a record.

    Args:
        record: the record as read.
        writer: the new owner.

    Returns:
        The record under the writer's epoch.

    Raises:
        NotOwnerError: a later leader owns the record.
        JobOverError: the job has ended.
    """
    if record.epoch > writer.epoch:
        raise NotOwnerError(f'{record.job_id} is owned by {record.epoch}')
    if record.is_final:
        raise JobOverError(record.job_id)
    return dataclasses.replace(
        record, epoch=writer.epoch, write_id=writer.write_id
    )


def widen_intent(
    record: JobRecord,
    writer: Writer,
    *,
    workers: Iterable[WorkerBoot],
    begin: Iterable[int] = (),
) -> JobRecord:
    """Name workers on which tasks may start, and permit first attempts.

    Args:
        record: the record as last written.
        writer: its owner.
        workers: added to the intent.
        begin: indexes of waiting tasks that get their first attempt.

    Returns:
        The record with the wider intent.

    Raises:
        TaskStateError: a task to begin is not waiting, or the job is being
            cancelled.
    """
    _check_owner(record, writer)
    if record.state != JobState.ACTIVE:
        raise TaskStateError(f'{record.job_id} is {record.state}')
    added = [one for one in workers if one not in record.intent]
    widened = _written(record, writer, intent=(*record.intent, *added))
    for index in begin:
        task = _task(record, index, TaskState.WAITING)
        widened = _with_task(widened, _next_attempt(task, writer))
    return widened


def narrow_intent(
    record: JobRecord,
    writer: Writer,
    *,
    proofs: Iterable[InstanceGone | LeaseExpired],
) -> JobRecord:
    """Drop workers on which nothing of an idempotent job can be running.

    Args:
        record: the record as last written.
        writer: its owner.
        proofs: one for each worker to drop.

    Returns:
        The record without these workers.

    Raises:
        MissingProofError: the job is not idempotent, so that it matters
            whether it has run there, or a proof does not suffice.
    """
    _check_owner(record, writer)
    named = tuple(proofs)
    weak = tuple(
        proof.worker
        for proof in named
        if not record.idempotent
        or verdict_of(record, record.tasks[0], proof) != Verdict.ENDED
    )
    if weak:
        raise MissingProofError(weak)
    dropped = {proof.worker for proof in named}
    kept = tuple(one for one in record.intent if one not in dropped)
    return _written(record, writer, intent=kept)


def settle_task(
    record: JobRecord,
    writer: Writer,
    *,
    ended: TaskRecord,
) -> JobRecord:
    """Record the end of a task that a worker reported.

    Args:
        record: the record as last written.
        writer: its owner.
        ended: index, attempt, worker, result and `FINISHED` or `FAILED`.

    Returns:
        The record with the result; the report may be acknowledged once it is
        stored.

    Raises:
        TaskStateError: the attempt is not the newest one, the task has ended
            already, or the new state is not one that a worker reports.
        WorkerNotNamedError: the worker is not in the intent.
    """
    _check_owner(record, writer)
    task = _task(record, ended.index, TaskState.POSSIBLY_STARTED)
    if ended.state not in {TaskState.FINISHED, TaskState.FAILED}:
        raise TaskStateError(f'no worker reports {ended.state}')
    if ended.attempt != task.attempt:
        raise TaskStateError(f'attempt {ended.attempt}, not {task.attempt}')
    if ended.worker not in record.intent:
        raise WorkerNotNamedError(str(ended.worker))
    settled = dataclasses.replace(ended, attempt_epoch=task.attempt_epoch)
    return _with_task(_written(record, writer), settled)


def further_attempt(
    record: JobRecord,
    writer: Writer,
    *,
    index: int,
    proofs: Iterable[Proof],
    counts_as_retry: bool = True,
) -> JobRecord:
    """Permit another attempt of a task.

    Args:
        record: the record as last written.
        writer: its owner.
        index: the task.
        proofs: at least one sufficient proof for every worker of the intent.
        counts_as_retry: False when the attempt failed through no fault of the
            job, such as a worker that fails everything.

    Returns:
        The record with the next attempt, written under the writer's epoch.

    Raises:
        MissingProofError: the attempt may be running or, for a job that is
            not idempotent, may have run.
        TaskStateError: the task is not possibly started, or the job is being
            cancelled.
    """
    _check_owner(record, writer)
    if record.state != JobState.ACTIVE:
        raise TaskStateError(f'{record.job_id} is {record.state}')
    task = _task(record, index, TaskState.POSSIBLY_STARTED)
    accepted = OVER if record.idempotent else NEVER_STARTED
    _check_proofs(record, task, proofs, accepted)
    used = record.retries_used + int(counts_as_retry)
    written = _written(record, writer, retries_used=used)
    return _with_task(written, _next_attempt(task, writer))


def close_task(
    record: JobRecord,
    writer: Writer,
    *,
    index: int,
    proofs: Iterable[Proof],
    state: TaskState,
) -> JobRecord:
    """End a task without a result.

    Args:
        record: the record as last written.
        writer: its owner.
        index: a task that may have started.
        proofs: at least one for every worker of the intent.
        state: `UNKNOWN` when it may have run, `FAILED` when its retries are
            used up, or `CANCELLED` when the job is being cancelled.

    Returns:
        The record with the task ended.

    Raises:
        MissingProofError: the task may be running.
        TaskStateError: the task or the job is not in a state for this.
    """
    _check_owner(record, writer)
    task = _task(record, index, TaskState.POSSIBLY_STARTED)
    is_cancelling = record.state == JobState.CANCELLING
    allowed = {TaskState.UNKNOWN, TaskState.FAILED}
    if is_cancelling:
        allowed.add(TaskState.CANCELLED)
    if state not in allowed:
        raise TaskStateError(f'{record.job_id} does not close as {state}')
    _check_proofs(record, task, proofs, OVER)
    closed = dataclasses.replace(task, state=state)
    return _with_task(_written(record, writer), closed)


def reject(record: JobRecord, writer: Writer, *, reason: str) -> JobRecord:
    """End the tasks of a job that can never run, before any attempt.

    Args:
        record: the record as last written.
        writer: its owner.
        reason: kept as the result of every task.

    Returns:
        The record with its waiting tasks failed.
    """
    _check_owner(record, writer)
    tasks = tuple(
        dataclasses.replace(task, state=TaskState.FAILED, result=reason)
        if task.state == TaskState.WAITING
        else task
        for task in record.tasks
    )
    return _written(record, writer, tasks=tasks)


def cancel(record: JobRecord, writer: Writer) -> JobRecord:
    """Stop a job from starting anything more.

    Args:
        record: the record as last written.
        writer: its owner.

    Returns:
        The record in `CANCELLING`, its waiting tasks cancelled.
    """
    _check_owner(record, writer)
    tasks = tuple(
        dataclasses.replace(task, state=TaskState.CANCELLED)
        if task.state == TaskState.WAITING
        else task
        for task in record.tasks
    )
    return _written(record, writer, state=JobState.CANCELLING, tasks=tasks)


_WORST_FIRST = (
    (TaskState.UNKNOWN, JobState.UNKNOWN),
    (TaskState.FAILED, JobState.FAILED),
    (TaskState.CANCELLED, JobState.CANCELLED),
    (TaskState.FINISHED, JobState.FINISHED),
)


def finish_if_over(record: JobRecord, writer: Writer) -> JobRecord:
    """End a job if all its tasks have ended.

    Args:
        record: the record as last written.
        writer: its owner.

    Returns:
        The record, in a final state when nothing of it is left to run.
    """
    if all(task.is_final for task in record.tasks):
        return finish(record, writer)
    return record


def finish(record: JobRecord, writer: Writer) -> JobRecord:
    """End a job whose tasks have all ended.

    Args:
        record: the record as last written.
        writer: its owner.

    Returns:
        The record in the state of its worst task: unknown, failed, cancelled,
        finished.

    Raises:
        TaskStateError: a task has not ended.
    """
    _check_owner(record, writer)
    if not all(task.is_final for task in record.tasks):
        raise TaskStateError(f'{record.job_id} has tasks that have not ended')
    found = {task.state for task in record.tasks}
    state = next(job for task, job in _WORST_FIRST if task in found)
    return _written(record, writer, state=state)


def _check_owner(record: JobRecord, writer: Writer) -> None:
    if record.epoch != writer.epoch:
        raise NotOwnerError(f'{record.job_id} is owned by {record.epoch}')
    if record.is_final:
        raise JobOverError(record.job_id)


def _check_proofs(
    record: JobRecord,
    task: TaskRecord,
    proofs: Iterable[Proof],
    accepted: frozenset[Verdict],
) -> None:
    missing = unproved_workers(record, task, proofs, accepted=accepted)
    if missing:
        raise MissingProofError(missing)


def _task(record: JobRecord, index: int, state: TaskState) -> TaskRecord:
    if not 0 <= index < record.task_count:
        raise TaskStateError(f'{record.job_id} has no task {index}')
    task = record.tasks[index]
    if task.state != state:
        raise TaskStateError(f'task {index} is {task.state}, not {state}')
    return task


def _next_attempt(task: TaskRecord, writer: Writer) -> TaskRecord:
    return dataclasses.replace(
        task,
        attempt=task.attempt + 1,
        attempt_epoch=writer.epoch,
        state=TaskState.POSSIBLY_STARTED,
    )


def _with_task(record: JobRecord, task: TaskRecord) -> JobRecord:
    tasks = list(record.tasks)
    tasks[task.index] = task
    return dataclasses.replace(record, tasks=tuple(tasks))


def _written(record: JobRecord, writer: Writer, **changes: Any) -> JobRecord:
    return dataclasses.replace(record, write_id=writer.write_id, **changes)
