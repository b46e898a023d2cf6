"""The changes of a job record that are allowed, as pure functions.

Each takes a record and returns the changed one, or raises why the change is
forbidden. The caller writes the result by compare-and-swap.
"""

import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

from jayshore.jobs.record import (
    FINAL_TASK_STATES,
    JobRecord,
    JobState,
    TaskRecord,
    TaskState,
    WorkerBoot,
)
from jayshore.outcomes import JayshoreError


class TransitionRefused(JayshoreError):
    """The change is forbidden."""


class NotOwner(TransitionRefused):
    """The record belongs to a leader with another epoch."""


class StaleAttempt(TransitionRefused):
    """The task has moved on to another attempt, or has ended."""


class NoProof(TransitionRefused):
    """It is not proved that the earlier attempt is over."""


class OutsideIntent(TransitionRefused):
    """The worker is not named in the record's intent."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NeverStarted:
    """No worker of the intent has started the attempt, and none will.

    Attributes:
        workers: those that said so, with the boot ids of the intent, under a
            lease opened after the last start was sent.
    """

    workers: frozenset[WorkerBoot]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptOver:
    """The attempt may have run, and certainly does not run any more.

    Attributes:
        reason: `worker_report`, `instance_gone` or `lease_expired`.
    """

    reason: str


Proof: TypeAlias = NeverStarted | AttemptOver


def claim(record: JobRecord, *, epoch: int) -> JobRecord:
    """Take a record over for a new leader.

    Attempts and intent stay as they are: an earlier leader may have started
    any of them.

    Args:
        record: an active record.
        epoch: of the new leader.

    Returns:
        The claimed record.

    Raises:
        NotOwner: a leader with a higher epoch has claimed it.
    """
    if record.epoch > epoch:
        raise NotOwner(f'{record.job_id}: epoch {record.epoch}')
    return dataclasses.replace(record, epoch=epoch)


def permit(
    record: JobRecord, *, epoch: int, workers: Iterable[WorkerBoot]
) -> JobRecord:
    """Permit the first attempt of every task that has none.

    Args:
        record: a record of this leader.
        epoch: of this leader.
        workers: on which the tasks may start, besides those of the intent.

    Returns:
        The record with the attempts and the wider intent.
    """
    widened = widen(record, epoch=epoch, workers=workers)
    return dataclasses.replace(
        widened,
        tasks=tuple(_first_attempt(task, epoch) for task in record.tasks),
    )


def widen(
    record: JobRecord, *, epoch: int, workers: Iterable[WorkerBoot]
) -> JobRecord:
    """Name further workers on which tasks may start.

    Args:
        record: a record of this leader.
        epoch: of this leader.
        workers: the further workers.

    Returns:
        The record with the wider intent.
    """
    _check_owner(record, epoch)
    return dataclasses.replace(record, intent=_union(record.intent, workers))


def settle(record: JobRecord, *, epoch: int, ended: TaskRecord) -> JobRecord:
    """Note how a task ended; the job ends with its last task.

    Args:
        record: a record of this leader.
        epoch: of this leader.
        ended: the task in its final state.

    Returns:
        The changed record.

    Raises:
        StaleAttempt: the record names another attempt, or the task has ended.
        OutsideIntent: the worker is not named in the intent.
    """
    _check_owner(record, epoch)
    current = record.tasks[ended.index]
    if current.is_final or current.attempt != ended.attempt:
        raise StaleAttempt(f'{record.job_id}.{ended.index}: {current.state}')
    if ended.worker is not None and ended.worker not in record.intent:
        raise OutsideIntent(f'{ended.worker.worker_id}')
    return conclude(_replace_task(record, ended))


def further_attempt(
    record: JobRecord,
    *,
    epoch: int,
    index: int,
    proof: Proof,
    is_retry: bool,
) -> JobRecord:
    """Permit another attempt of a task.

    Args:
        record: a record of this leader.
        epoch: of this leader.
        index: of the task.
        proof: that the earlier attempt is over.
        is_retry: whether it counts against the job's retries.

    Returns:
        The record with the next attempt.

    Raises:
        StaleAttempt: the task has ended.
        NoProof: the proof does not suffice; a non-idempotent task needs the
            word of every worker of the intent that it never started.
    """
    _check_owner(record, epoch)
    task = record.tasks[index]
    if task.is_final:
        raise StaleAttempt(f'{record.job_id}.{index}: {task.state}')
    if isinstance(proof, NeverStarted):
        if not proof.workers.issuperset(record.intent):
            raise NoProof(f'{record.job_id}.{index}: not every worker answered')
    elif not record.idempotent:
        raise NoProof(f'{record.job_id}.{index}: it may have run')
    following = dataclasses.replace(
        task, attempt=task.attempt + 1, attempt_epoch=epoch
    )
    changed = _replace_task(record, following)
    return dataclasses.replace(
        changed, retries_used=changed.retries_used + int(is_retry)
    )


def reject(record: JobRecord, *, epoch: int, reason: str) -> JobRecord:
    """End a job that can never run, before any attempt.

    Args:
        record: a record of this leader.
        epoch: of this leader.
        reason: kept as the result of every task.

    Returns:
        The record, failed unless a task already has an attempt.
    """
    _check_owner(record, epoch)
    tasks = tuple(
        dataclasses.replace(task, state=TaskState.FAILED, result=reason)
        if task.state is TaskState.WAITING
        else task
        for task in record.tasks
    )
    return conclude(dataclasses.replace(record, tasks=tasks))


def cancel(record: JobRecord, *, epoch: int) -> JobRecord:
    """Begin to cancel a job; no further attempt is made.

    Args:
        record: a record of this leader.
        epoch: of this leader.

    Returns:
        The changed record, unchanged when the job has ended.
    """
    _check_owner(record, epoch)
    if record.is_final:
        return record
    return dataclasses.replace(record, state=JobState.CANCELLING)


def conclude(record: JobRecord) -> JobRecord:
    """Derive the state of the job when all its tasks have ended.

    Args:
        record: any record.

    Returns:
        The record, in a final state when every task is.
    """
    states = {task.state for task in record.tasks}
    if not states <= FINAL_TASK_STATES:
        return record
    worst_first = (
        (TaskState.UNKNOWN, JobState.UNKNOWN),
        (TaskState.FAILED, JobState.FAILED),
        (TaskState.CANCELLED, JobState.CANCELLED),
    )
    for task_state, job_state in worst_first:
        if task_state in states:
            return dataclasses.replace(record, state=job_state)
    return dataclasses.replace(record, state=JobState.FINISHED)


def _check_owner(record: JobRecord, epoch: int) -> None:
    if record.epoch != epoch:
        raise NotOwner(f'{record.job_id}: epoch {record.epoch}, not {epoch}')


def _first_attempt(task: TaskRecord, epoch: int) -> TaskRecord:
    if task.state is not TaskState.WAITING:
        return task
    return dataclasses.replace(
        task,
        attempt=1,
        attempt_epoch=epoch,
        state=TaskState.POSSIBLY_STARTED,
    )


def _replace_task(record: JobRecord, task: TaskRecord) -> JobRecord:
    tasks = list(record.tasks)
    tasks[task.index] = task
    return dataclasses.replace(record, tasks=tuple(tasks))


def _union(
    known: tuple[WorkerBoot, ...], further: Iterable[WorkerBoot]
) -> tuple[WorkerBoot, ...]:
    return tuple(dict.fromkeys((*known, *further)))
