"""Accepts submissions: a job is accepted once its record is in the store."""

import dataclasses
import hashlib
import hmac
import secrets
from typing import Annotated

import msgspec

from jayshore.clock import Clock, Millis
from jayshore.config.model import Queue, Team
from jayshore.jobs.record import (
    JobKind,
    JobRecord,
    JobSpec,
    decode_record,
    encode_record,
    job_key,
    new_record,
)
from jayshore.outcomes import (
    Accepted,
    RefusalReason,
    Refused,
    SubmitOutcome,
    Unconfirmed,
)
from jayshore.resources import Resources
from jayshore.store.store import (
    MUST_NOT_EXIST,
    Store,
    StoreError,
    StoreRejected,
    StoreUnavailable,
    Written,
)
from jayshore.store.writeresolver import Write, WriteResolver, new_write_id

_ID_BYTES = 16
_RETRY_AFTER_MS = Millis(1000)
_MAX_KEY_CHARS = 200

# Fields that must be equal in submissions with the same idempotency key.
_IDEMPOTENCY_FIELDS = ('queue', 'task_count', 'demand', 'payload', 'idempotent')

_Amount = Annotated[int, msgspec.Meta(ge=0, le=10**9)]


class SubmittedDemand(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """The resources that each task needs, as submitted."""

    cpu_millis: _Amount = 0
    memory_mb: _Amount = 0
    accelerators: _Amount = 0

    def resources(self) -> Resources:
        """Convert to a resource vector.

        Returns:
            The same amounts.
        """
        return Resources(
            cpu_millis=self.cpu_millis,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )


class Submission(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """The request body that submits a job.

    Attributes:
        queue: name of a configured queue, which determines the job kind.
        tasks: number of tasks.
        demand: resources that each task needs.
        run_ms: expected run time of a task in ms, 0 when not known.
        payload: input of the worker, any JSON value.
        idempotent: whether a task that may have run can run again.
        deadline_ms: wall clock, ms since the Unix epoch, or None.
        idempotency_key: submissions of one team with the same key are the same
            job; empty for no key.
    """

    queue: str
    tasks: Annotated[int, msgspec.Meta(ge=1)] = 1
    demand: SubmittedDemand
    run_ms: _Amount = 0
    payload: msgspec.Raw = msgspec.Raw(b'{}')
    idempotent: bool = False
    deadline_ms: int | None = None
    idempotency_key: Annotated[str, msgspec.Meta(max_length=_MAX_KEY_CHARS)] = (
        ''
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Submitter:
    """The authenticated submitter of a job.

    Attributes:
        team: the team whose limit the job counts against.
        key_id: id of the API key presented, empty for an open queue.
        secret: secret of the API key; tickets are derived from it and it is
            never stored.
    """

    team: Team
    key_id: str = ''
    secret: str = dataclasses.field(default='', repr=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreparedJob:
    """A validated job that is not in the store yet.

    Attributes:
        record: the initial record.
        ticket: secret that gives access to the results.
    """

    record: JobRecord
    ticket: str = dataclasses.field(repr=False)

    def in_domain(self, domain: str) -> 'PreparedJob':
        """Copy the job for another failure domain.

        The copy keeps the job id, so that only one domain can record the job.

        Args:
            domain: the failure domain in which the job is to run.

        Returns:
            The copy, with a new write id.
        """
        return PreparedJob(
            record=dataclasses.replace(
                self.record, domain=domain, write_id=new_write_id()
            ),
            ticket=self.ticket,
        )


def prepare_job(
    submission: Submission,
    submitter: Submitter,
    *,
    queue: Queue,
    domain: str,
    max_tasks: int,
    wall_clock: Clock,
) -> PreparedJob | Refused:
    """Validate a submission and create the record of the job.

    The ticket is derived from the submitter's secret and the job id, so a
    repeated submission with the same idempotency key gets the same ticket.

    Args:
        submission: the request body.
        submitter: the authenticated submitter.
        queue: the queue that the submission names.
        domain: the failure domain in which the job is to run.
        max_tasks: largest allowed number of tasks.
        wall_clock: time of day.

    Returns:
        The job, or the reason for which it is refused.
    """
    refusal = _validate(submission, submitter, queue, max_tasks)
    if refusal is not None:
        return refusal
    job_id = _job_id(submitter.team.name, submission.idempotency_key)
    secret = submitter.secret or submission.idempotency_key
    ticket = _ticket(secret or secrets.token_hex(_ID_BYTES), job_id)
    spec = JobSpec(
        job_id=job_id,
        team=submitter.team.name,
        key_id=submitter.key_id,
        queue=queue.name,
        kind=JobKind(queue.kind.value),
        task_count=submission.tasks,
        demand=submission.demand.resources(),
        run_ms=submission.run_ms,
        payload=bytes(submission.payload).decode(),
        idempotent=submission.idempotent,
        deadline_ms=submission.deadline_ms,
        domain=domain,
        ticket_hash=hash_ticket(ticket),
        accepted_at_ms=wall_clock.now(),
    )
    return PreparedJob(
        record=new_record(spec, write_id=new_write_id()), ticket=ticket
    )


async def record_job(
    prepared: PreparedJob,
    *,
    store: Store,
    write_resolver: WriteResolver,
    limit_ms: Millis,
) -> SubmitOutcome:
    """Write the record of a new job to the store.

    Args:
        prepared: the job.
        store: the platform's store.
        write_resolver: resolves lost answers of writes.
        limit_ms: longest time to resolve the write, in ms.

    Returns:
        Accepted if the record or an equivalent one is in the store, refused
        only if it certainly is not, and unconfirmed otherwise.
    """
    record = prepared.record
    write = Write(
        key=job_key(record.job_id),
        value=encode_record(record),
        expect_revision=MUST_NOT_EXIST,
    )
    try:
        written = await write_resolver.resolve_write(write, limit_ms=limit_ms)
    except StoreRejected as rejected:
        return Refused(reason=RefusalReason.MALFORMED, detail=str(rejected))
    except StoreUnavailable as error:
        return store_unavailable(str(error))
    except StoreError:
        return _unconfirmed(prepared)
    if isinstance(written, Written):
        return Accepted(job_id=record.job_id, ticket=prepared.ticket)
    try:
        entry = await store.get(write.key)
    except StoreError:
        return _unconfirmed(prepared)
    if entry is not None:
        return _compare_with_existing(prepared, decode_record(entry.value))
    return Refused(
        reason=RefusalReason.CONFLICT, detail='the job ended long ago'
    )


def store_unavailable(detail: str) -> Refused:
    """Refuse a job because the store is unavailable.

    Args:
        detail: the error of the store.

    Returns:
        A refusal that may be retried; nothing of the job was written.
    """
    return Refused(
        reason=RefusalReason.STORE_UNAVAILABLE,
        detail=detail,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def hash_ticket(ticket: str) -> str:
    """Hash a ticket for storage in the job record.

    Args:
        ticket: the ticket.

    Returns:
        The SHA-256 digest in hexadecimal.
    """
    return hashlib.sha256(ticket.encode()).hexdigest()


def _validate(
    submission: Submission, submitter: Submitter, queue: Queue, max_tasks: int
) -> Refused | None:
    demand = submission.demand.resources()
    if submission.tasks > max_tasks:
        return _malformed(f'tasks: {submission.tasks} exceeds {max_tasks}')
    if not any(demand):
        return _malformed('demand: at least one resource is needed')
    is_service = queue.kind.value == JobKind.SERVICE.value
    if is_service and not submission.idempotent:
        return _malformed('idempotent: replicas of a service are restarted')
    concurrent_tasks = (
        submission.tasks if queue.kind.value == JobKind.GANG.value else 1
    )
    exceeded = demand.scaled(concurrent_tasks).components_exceeding(
        submitter.team.limit
    )
    if exceeded:
        return Refused(
            reason=RefusalReason.OVER_LIMIT,
            detail=f'exceeds the limit of the team: {", ".join(exceeded)}',
        )
    return None


def _unconfirmed(prepared: PreparedJob) -> Unconfirmed:
    return Unconfirmed(
        job_id=prepared.record.job_id,
        ticket=prepared.ticket,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _malformed(detail: str) -> Refused:
    return Refused(reason=RefusalReason.MALFORMED, detail=detail)


def _job_id(team: str, idempotency_key: str) -> str:
    if not idempotency_key:
        return secrets.token_hex(_ID_BYTES)
    digest = hashlib.sha256(f'{team}\n{idempotency_key}'.encode())
    return digest.hexdigest()[: 2 * _ID_BYTES]


def _ticket(secret: str, job_id: str) -> str:
    return hmac.digest(secret.encode(), job_id.encode(), 'sha256').hex()


def _compare_with_existing(
    prepared: PreparedJob, existing: JobRecord
) -> SubmitOutcome:
    submitted = prepared.record
    is_same = all(
        getattr(existing, name) == getattr(submitted, name)
        for name in _IDEMPOTENCY_FIELDS
    )
    if not is_same:
        return Refused(
            reason=RefusalReason.CONFLICT,
            detail='the idempotency key was used for another job',
        )
    is_same_ticket = existing.ticket_hash == submitted.ticket_hash
    return Accepted(
        job_id=existing.job_id, ticket=prepared.ticket if is_same_ticket else ''
    )
