"""The job record, which is the durable state of a job.

It is one value under `jobs/<job_id>` in the store. Every change is a
compare-and-swap by the leader of the job's domain; `transitions` holds the
changes that are allowed.
"""

import dataclasses
import enum

import msgspec

from jayshore.outcomes import JayshoreError
from jayshore.resources import Resources

JOB_PREFIX = 'jobs/'
"""Prefix of the store keys that hold job records."""

NO_EPOCH = 0
"""Epoch of a record that no leader has claimed; store revisions start at 1."""


class MalformedRecordError(JayshoreError):
    """A stored value is not a job record."""


class JobKind(enum.StrEnum):
    """The scheduling policy that applies to a job."""

    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'
    PREVIEW = 'preview'


class JobState(enum.StrEnum):
    """The state of a job as a whole."""

    ACTIVE = 'active'
    CANCELLING = 'cancelling'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'


class TaskState(enum.StrEnum):
    """The state of one task.

    `WAITING` tasks have no attempt, so no start was permitted. A task that is
    `POSSIBLY_STARTED` has an attempt that the owner of the record may have
    started on any worker of the intent.
    """

    WAITING = 'waiting'
    POSSIBLY_STARTED = 'possibly_started'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'


FINAL_JOB_STATES = frozenset(
    (
        JobState.FINISHED,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.UNKNOWN,
    )
)

FINAL_TASK_STATES = frozenset(
    (
        TaskState.FINISHED,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.UNKNOWN,
    )
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class WorkerBoot:
    """One run of a worker's process.

    Attributes:
        worker_id: the instance id on the platform's list.
        boot_id: drawn anew at every start of the worker.
    """

    worker_id: str
    boot_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskRecord:
    """One task of a job.

    Attributes:
        index: position in the job, from 0.
        attempt: number of the newest attempt, 0 before the first.
        attempt_epoch: epoch of the leader that wrote this attempt. A leader
            can rely on its own memory of the starts that it sent only for
            attempts of its own epoch.
        state: see `TaskState`.
        worker: where the task ended, once it is known.
        result: what the task returned, as text, once it has ended.
    """

    index: int
    attempt: int = 0
    attempt_epoch: int = NO_EPOCH
    state: TaskState = TaskState.WAITING
    worker: WorkerBoot | None = None
    result: str | None = None

    @property
    def is_final(self) -> bool:
        """True when the task will not run again."""
        return self.state in FINAL_TASK_STATES

    @property
    def may_run(self) -> bool:
        """True when the task has an attempt that has not ended."""
        return self.state is TaskState.POSSIBLY_STARTED


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobRecord:
    """Everything about a job that has to survive the loss of its leader.

    Attributes:
        job_id: digest of team and idempotency key, or random.
        team: the team that is charged.
        key_id: the key presented, empty for a queue that is open to all.
        queue: the queue it was submitted to.
        kind: which policy schedules it.
        task_count: number of tasks, at least 1.
        demand: what each task needs.
        run_ms: declared run time of a task in ms, 0 when not declared.
        payload: what the worker is given, a JSON text.
        idempotent: whether a task that may have started can run again.
        deadline_ms: wall clock, ms since the Unix epoch, or None.
        domain: the failure domain whose leader owns the record.
        ticket_hash: digest of the ticket with which results are fetched.
        accepted_at_ms: wall clock, ms since the Unix epoch.
        state: see `JobState`.
        epoch: of the leader that owns the record, `NO_EPOCH` when unclaimed.
        intent: the workers on which tasks may start.
        tasks: one for each index, in order.
        retries_used: further attempts that counted against the retry budget.
        write_id: random per write, to recognize the write whose answer was
            lost.
    """

    job_id: str
    team: str
    key_id: str
    queue: str
    kind: JobKind
    task_count: int
    demand: Resources
    run_ms: int
    payload: str
    idempotent: bool
    deadline_ms: int | None
    domain: str
    ticket_hash: str
    accepted_at_ms: int
    state: JobState
    epoch: int
    intent: tuple[WorkerBoot, ...]
    tasks: tuple[TaskRecord, ...]
    retries_used: int
    write_id: str

    @property
    def is_final(self) -> bool:
        """True when nothing of the job will run again."""
        return self.state in FINAL_JOB_STATES

    @property
    def is_cancelling(self) -> bool:
        """True when no further task of the job may start."""
        return self.state is JobState.CANCELLING


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobSpec:
    """The part of a record that the submitter and the entry point determine.

    The attributes are those of `JobRecord`.
    """

    job_id: str
    team: str
    key_id: str
    queue: str
    kind: JobKind
    task_count: int
    demand: Resources
    payload: str
    idempotent: bool
    domain: str
    ticket_hash: str
    accepted_at_ms: int
    run_ms: int = 0
    deadline_ms: int | None = None


def new_record(spec: JobSpec, *, write_id: str) -> JobRecord:
    """Make the record with which a job is accepted.

    Args:
        spec: what was submitted.
        write_id: random id of the store write.

    Returns:
        An active record that no leader has claimed.

    Raises:
        ValueError: the job has no task.
    """
    if spec.task_count < 1:
        raise ValueError(f'a job needs a task, not {spec.task_count}')
    given = {
        field.name: getattr(spec, field.name)
        for field in dataclasses.fields(JobSpec)
    }
    return JobRecord(
        **given,
        state=JobState.ACTIVE,
        epoch=NO_EPOCH,
        intent=(),
        tasks=tuple(
            TaskRecord(index=index) for index in range(spec.task_count)
        ),
        retries_used=0,
        write_id=write_id,
    )


def job_key(job_id: str) -> str:
    """Name the store key of a job.

    Args:
        job_id: the job.

    Returns:
        The key.
    """
    return f'{JOB_PREFIX}{job_id}'


def encode_record(record: JobRecord) -> str:
    """Write a record as JSON text.

    Args:
        record: the record.

    Returns:
        JSON, which `decode_record` reads back unchanged.
    """
    return msgspec.json.encode(record).decode()


def decode_record(text: str | bytes) -> JobRecord:
    """Read a record.

    Args:
        text: JSON as written by `encode_record`.

    Returns:
        The record.

    Raises:
        MalformedRecordError: the text is no record, or its tasks do not match
            its task count.
    """
    try:
        record = msgspec.json.decode(text, type=JobRecord)
    except msgspec.MsgspecError as error:
        raise MalformedRecordError(str(error)) from error
    if [task.index for task in record.tasks] != list(range(record.task_count)):
        raise MalformedRecordError(
            f'job {record.job_id} lists other tasks than its task count says',
        )
    return record
