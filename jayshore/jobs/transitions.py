"""The allowed changes of a job record, as pure functions.

The caller writes the result by compare-and-swap on the revision of the record
that it passed in. `spec/task_model.py` model-checks these rules.
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
    NOT_RUNNING,
    InstanceGone,
    LeaseExpired,
    Proof,
    Verdict,
    evaluate_proof,
    unproved_workers,
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
        record: the record as read from the store.
        writer: the new owner.

    Returns:
        The record with the epoch of the writer.

    Raises:
        NotOwnerError: a later leader owns the record.
        JobOverError: the job has ended.
    """
    if record.epoch > writer.epoch:
        raise NotOwnerError(f'{record.job_id} is owned by epoch {record.epoch}')
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
    first_attempts: Iterable[int] = (),
) -> JobRecord:
    """Add workers to the intent, and create the first attempt of tasks.

    Args:
        record: the record as last written.
        writer: its owner.
        workers: workers on which tasks may be started.
        first_attempts: indexes of waiting tasks to create an attempt for.

    Returns:
        The record with the wider intent.

    Raises:
        TaskStateError: a task of `first_attempts` is not waiting, or the job is
            being cancelled.
    """
    _check_owner(record, writer)
    if record.state != JobState.ACTIVE:
        raise TaskStateError(f'{record.job_id} is {record.state}, not active')
    added = [worker for worker in workers if worker not in record.intent]
    widened = _update(record, writer, intent=(*record.intent, *added))
    for index in first_attempts:
        task = _get_task(record, index, TaskState.WAITING)
        widened = _replace_task(widened, _new_attempt(task, writer))
    return widened


def narrow_intent(
    record: JobRecord,
    writer: Writer,
    *,
    proofs: Iterable[InstanceGone | LeaseExpired],
) -> JobRecord:
    """Remove workers that cannot be running any task of an idempotent job.

    Args:
        record: the record as last written.
        writer: its owner.
        proofs: one for each worker to remove.

    Returns:
        The record without these workers.

    Raises:
        MissingProofError: a proof does not suffice, or the job is not
            idempotent, so that a worker on which it may have run must stay.
    """
    _check_owner(record, writer)
    given = tuple(proofs)
    insufficient = tuple(
        proof.worker
        for proof in given
        if not record.idempotent
        or evaluate_proof(record, record.tasks[0], proof) != Verdict.ENDED
    )
    if insufficient:
        raise MissingProofError(insufficient)
    dropped = {proof.worker for proof in given}
    kept = tuple(worker for worker in record.intent if worker not in dropped)
    return _update(record, writer, intent=kept)


def settle_task(
    record: JobRecord,
    writer: Writer,
    *,
    ended: TaskRecord,
) -> JobRecord:
    """Record the result of a task that a worker reported as ended.

    Args:
        record: the record as last written.
        writer: its owner.
        ended: the task with its result; its state is `FINISHED` or `FAILED`.

    Returns:
        The record with the result. The report must not be acknowledged before
        the record is stored.

    Raises:
        TaskStateError: the attempt is not the latest one, the task has already
            ended, or a worker cannot report this state.
        WorkerNotNamedError: the worker is not in the intent.
    """
    _check_owner(record, writer)
    task = _get_task(record, ended.index, TaskState.POSSIBLY_STARTED)
    if ended.state not in {TaskState.FINISHED, TaskState.FAILED}:
        raise TaskStateError(f'a worker cannot report {ended.state}')
    if ended.attempt != task.attempt:
        raise TaskStateError(
            f'report is about attempt {ended.attempt}, not {task.attempt}'
        )
    if ended.worker not in record.intent:
        raise WorkerNotNamedError(str(ended.worker))
    settled = dataclasses.replace(ended, attempt_epoch=task.attempt_epoch)
    return _replace_task(_update(record, writer), settled)


def retry_task(
    record: JobRecord,
    writer: Writer,
    *,
    index: int,
    proofs: Iterable[Proof],
    counts_as_retry: bool = True,
    crashes: int = 0,
) -> JobRecord:
    """Create the next attempt of a task.

    Args:
        record: the record as last written.
        writer: its owner.
        index: the task.
        proofs: at least one sufficient proof for every worker of the intent.
        counts_as_retry: False when the failure is not attributed to the job,
            as on a worker that fails all tasks.
        crashes: workers that restarted soon after they started the task.

    Returns:
        The record with the next attempt, which has the epoch of the writer.

    Raises:
        MissingProofError: the attempt may be running or, if the job is not
            idempotent, may have run.
        TaskStateError: the task is not in `POSSIBLY_STARTED`, or the job is
            being cancelled.
    """
    _check_owner(record, writer)
    if record.state != JobState.ACTIVE:
        raise TaskStateError(f'{record.job_id} is {record.state}, not active')
    task = _get_task(record, index, TaskState.POSSIBLY_STARTED)
    accepted = NOT_RUNNING if record.idempotent else NEVER_STARTED
    _check_proofs(record, task, proofs, accepted)
    used = record.retries_used + int(counts_as_retry)
    written = _update(record, writer, retries_used=used)
    following = dataclasses.replace(_new_attempt(task, writer), crashes=crashes)
    return _replace_task(written, following)


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
        index: a task in `POSSIBLY_STARTED`.
        proofs: at least one for every worker of the intent.
        state: `UNKNOWN` when the task may have run, `FAILED` when its retries
            are used up or its workers crash, or `CANCELLED` when the job is
            being cancelled.

    Returns:
        The record with the task ended.

    Raises:
        MissingProofError: the task may be running.
        TaskStateError: the state of the task or the job does not allow this.
    """
    _check_owner(record, writer)
    task = _get_task(record, index, TaskState.POSSIBLY_STARTED)
    is_cancelling = record.state == JobState.CANCELLING
    allowed = {TaskState.UNKNOWN, TaskState.FAILED}
    if is_cancelling:
        allowed.add(TaskState.CANCELLED)
    if state not in allowed:
        raise TaskStateError(
            f'a task of {record.job_id} cannot be closed as {state}'
        )
    _check_proofs(record, task, proofs, NOT_RUNNING)
    closed = dataclasses.replace(task, state=state)
    return _replace_task(_update(record, writer), closed)


def reject(record: JobRecord, writer: Writer, *, reason: str) -> JobRecord:
    """Fail the waiting tasks of a job that can never run.

    Args:
        record: the record as last written.
        writer: its owner.
        reason: stored as the result of these tasks.

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
    return _update(record, writer, tasks=tasks)


def cancel(record: JobRecord, writer: Writer) -> JobRecord:
    """Start the cancellation of a job; none of its tasks may start any more.

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
    return _update(record, writer, state=JobState.CANCELLING, tasks=tasks)


_JOB_STATE_OF_WORST_TASK = (
    (TaskState.UNKNOWN, JobState.UNKNOWN),
    (TaskState.FAILED, JobState.FAILED),
    (TaskState.CANCELLED, JobState.CANCELLED),
    (TaskState.FINISHED, JobState.FINISHED),
)


def finish_if_done(record: JobRecord, writer: Writer) -> JobRecord:
    """End a job if all its tasks have ended.

    Args:
        record: the record as last written.
        writer: its owner.

    Returns:
        The record, in a final state if all its tasks have ended.
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
        The record in the state of its worst task. From worst to best: unknown,
        failed, cancelled, finished.

    Raises:
        TaskStateError: a task has not ended.
    """
    _check_owner(record, writer)
    if not all(task.is_final for task in record.tasks):
        raise TaskStateError(f'{record.job_id} has tasks that have not ended')
    found = {task.state for task in record.tasks}
    state = next(job for task, job in _JOB_STATE_OF_WORST_TASK if task in found)
    return _update(record, writer, state=state)


def _check_owner(record: JobRecord, writer: Writer) -> None:
    if record.epoch != writer.epoch:
        raise NotOwnerError(f'{record.job_id} is owned by epoch {record.epoch}')
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


def _get_task(record: JobRecord, index: int, state: TaskState) -> TaskRecord:
    if not 0 <= index < record.task_count:
        raise TaskStateError(f'{record.job_id} has no task {index}')
    task = record.tasks[index]
    if task.state != state:
        raise TaskStateError(f'task {index} is {task.state}, not {state}')
    return task


def _new_attempt(task: TaskRecord, writer: Writer) -> TaskRecord:
    return dataclasses.replace(
        task,
        attempt=task.attempt + 1,
        attempt_epoch=writer.epoch,
        state=TaskState.POSSIBLY_STARTED,
    )


def _replace_task(record: JobRecord, task: TaskRecord) -> JobRecord:
    tasks = list(record.tasks)
    tasks[task.index] = task
    return dataclasses.replace(record, tasks=tuple(tasks))


def _update(record: JobRecord, writer: Writer, **changes: Any) -> JobRecord:
    return dataclasses.replace(record, write_id=writer.write_id, **changes)
