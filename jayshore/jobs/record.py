"""The job record: the durable state of a job.

A record is one value under `jobs/<job_id>` in the store. The leader of the
job's domain changes it by compare-and-swap; `transitions` defines the changes
that are allowed.
"""

import dataclasses
import enum

import msgspec

from jayshore.outcomes import JayshoreError
from jayshore.resources import Resources

JOB_PREFIX = 'jobs/'
"""Prefix of the store keys that hold job records."""

NO_EPOCH = 0
"""Epoch of an unclaimed record; epochs are store revisions, from 1 on."""


class MalformedRecordError(JayshoreError):
    """A stored value is not a valid job record."""


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

    A `WAITING` task has no attempt, so it cannot have been started. A task that
    is `POSSIBLY_STARTED` has an attempt that the owner of the record may have
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
    """One run of a worker process, from its start to its exit.

    Attributes:
        worker_id: the instance id in the platform's instance list.
        boot_id: random, drawn at every start of the worker.
    """

    worker_id: str
    boot_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskRecord:
    """One task of a job.

    Attributes:
        index: position in the job, from 0.
        attempt: number of the latest attempt, 0 before the first.
        attempt_epoch: epoch of the leader that wrote this attempt. A leader
            knows which starts were sent only for attempts of its own epoch.
        state: see `TaskState`.
        worker: where the task ended, None while unknown.
        result: output of the task as text, None until it has ended.
        crashes: workers that restarted soon after they started the task, since
            it last ended otherwise.
    """

    index: int
    attempt: int = 0
    attempt_epoch: int = NO_EPOCH
    state: TaskState = TaskState.WAITING
    worker: WorkerBoot | None = None
    result: str | None = None
    crashes: int = 0

    @property
    def is_final(self) -> bool:
        """Whether the task has ended and will not run again."""
        return self.state in FINAL_TASK_STATES

    @property
    def may_run(self) -> bool:
        """Whether the task has an attempt that is not known to have ended."""
        return self.state is TaskState.POSSIBLY_STARTED


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobRecord:
    """The state of a job that has to survive the loss of its leader.

    Attributes:
        job_id: digest of team and idempotency key, or random without a key.
        team: the team whose limit the job counts against.
        key_id: id of the API key presented, empty for an open queue.
        queue: the queue that the job was submitted to.
        kind: selects the scheduling policy.
        task_count: number of tasks, at least 1.
        demand: resources that each task needs.
        run_ms: declared run time of a task in ms, 0 when not declared.
        payload: input of the worker, as JSON text.
        idempotent: whether a task that may have started can run again.
        deadline_ms: wall clock, ms since the Unix epoch, or None.
        domain: the failure domain whose leader owns the record.
        ticket_hash: digest of the ticket that gives access to the results.
        accepted_at_ms: wall clock, ms since the Unix epoch.
        state: see `JobState`.
        epoch: of the leader that owns the record, `NO_EPOCH` when unclaimed.
        intent: the workers on which tasks may be started. A leader writes a
            worker here before it sends it a start, so that its successor knows
            where tasks may be running.
        tasks: one for each index, in order.
        retries_used: retries that counted against the retry budget.
        write_id: random per write; shows whether a write whose answer was lost
            has been applied.
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
        """Whether the job has ended and none of its tasks will run again."""
        return self.state in FINAL_JOB_STATES

    @property
    def is_cancelling(self) -> bool:
        """Whether the job is being cancelled; no more tasks may start."""
        return self.state is JobState.CANCELLING


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobSpec:
    """The fields of a job record that are fixed at submission.

    The attributes have the same meaning as in `JobRecord`.
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
    """Create the initial record of a job.

    Args:
        spec: what was submitted.
        write_id: random id of the store write.

    Returns:
        An active, unclaimed record whose tasks are all waiting.

    Raises:
        ValueError: the task count is below 1.
    """
    if spec.task_count < 1:
        raise ValueError(f'a job needs a task; task_count is {spec.task_count}')
    spec_values = {
        field.name: getattr(spec, field.name)
        for field in dataclasses.fields(JobSpec)
    }
    return JobRecord(
        **spec_values,
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
    """Return the store key of a job.

    Args:
        job_id: the job.

    Returns:
        The key.
    """
    return f'{JOB_PREFIX}{job_id}'


def encode_record(record: JobRecord) -> str:
    """Encode a record as JSON text.

    Args:
        record: the record.

    Returns:
        JSON text that `decode_record` decodes to an equal record.
    """
    return msgspec.json.encode(record).decode()


def decode_record(text: str | bytes) -> JobRecord:
    """Decode a record.

    Args:
        text: JSON as encoded by `encode_record`.

    Returns:
        The record.

    Raises:
        MalformedRecordError: the text is not a valid record, or the task
            indexes do not match the task count.
    """
    try:
        record = msgspec.json.decode(text, type=JobRecord)
    except msgspec.MsgspecError as error:
        raise MalformedRecordError(str(error)) from error
    if [task.index for task in record.tasks] != list(range(record.task_count)):
        raise MalformedRecordError(
            f'{record.job_id}: task indexes do not match the task count',
        )
    return record
