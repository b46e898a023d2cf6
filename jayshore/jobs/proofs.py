"""Proof that an attempt of a task is over, or that it never started.

The owner of a record may have started an attempt on any worker of the intent,
and so may a former owner whose start message is still under way. A proof is
therefore about one boot of one worker, and a further attempt needs one for
every worker of the intent.
"""

import dataclasses
import enum
from collections.abc import Iterable
from typing import TypeAlias

from jayshore.jobs.record import JobRecord, TaskRecord, WorkerBoot


class Verdict(enum.StrEnum):
    """What became of an attempt on one worker."""

    NEVER_STARTED = 'never_started'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerReport:
    """The inventory of a worker under a lease opened after the start.

    Attributes:
        worker: the boot named in the intent.
        reporting_boot_id: the boot that reported. Another boot than the named
            one shows that the attempt ended, not that it never started.
        lease_epoch: epoch of the leader that opened the lease.
        attempt: the attempt that the report is about.
        verdict: what the worker reports.
    """

    worker: WorkerBoot
    reporting_boot_id: str
    lease_epoch: int
    attempt: int
    verdict: Verdict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NeverSent:
    """The owner itself wrote the attempt and sent no start to this worker."""

    worker: WorkerBoot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstanceGone:
    """The platform's list showed the instance before and no longer does."""

    worker: WorkerBoot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseExpired:
    """The task lease of the worker has run out without a renewal.

    Attributes:
        worker: the boot named in the intent.
        lease_epoch: epoch under which the newest known lease was opened. A
            leader that has not opened the lease itself cannot know whether
            its predecessor still renews it.
        confirmed_epoch: epoch that the leader key showed in a read sent after
            the expiry.
    """

    worker: WorkerBoot
    lease_epoch: int
    confirmed_epoch: int


Proof: TypeAlias = WorkerReport | NeverSent | InstanceGone | LeaseExpired


def verdict_of(
    record: JobRecord,
    task: TaskRecord,
    proof: Proof,
) -> Verdict | None:
    """Judge one proof.

    Args:
        record: the record as its owner wrote it last.
        task: the task in question.
        proof: what the owner found out.

    Returns:
        What it proves about the task's attempt on the worker, or None when
        it proves nothing.
    """
    if isinstance(proof, WorkerReport):
        return _verdict_of_report(record, task, proof)
    if isinstance(proof, NeverSent):
        is_own = task.attempt_epoch == record.epoch
        return Verdict.NEVER_STARTED if is_own else None
    if isinstance(proof, LeaseExpired):
        epochs = {proof.lease_epoch, proof.confirmed_epoch}
        return Verdict.ENDED if epochs == {record.epoch} else None
    return Verdict.ENDED


def _verdict_of_report(
    record: JobRecord,
    task: TaskRecord,
    proof: WorkerReport,
) -> Verdict | None:
    if proof.lease_epoch != record.epoch or proof.attempt != task.attempt:
        return None
    if proof.reporting_boot_id != proof.worker.boot_id:
        return Verdict.ENDED
    return proof.verdict


def unproved_workers(
    record: JobRecord,
    task: TaskRecord,
    proofs: Iterable[Proof],
    *,
    accepted: frozenset[Verdict],
) -> tuple[WorkerBoot, ...]:
    """List the workers for which the proofs do not suffice.

    Args:
        record: the record as its owner wrote it last.
        task: the task in question.
        proofs: what the owner found out.
        accepted: the verdicts that suffice.

    Returns:
        Workers of the intent on which the attempt may be running, or may have
        run when only `NEVER_STARTED` is accepted.
    """
    proved = {
        proof.worker
        for proof in proofs
        if verdict_of(record, task, proof) in accepted
    }
    return tuple(one for one in record.intent if one not in proved)


OVER = frozenset((Verdict.NEVER_STARTED, Verdict.ENDED))
"""Verdicts that exclude that the attempt is running."""

NEVER_STARTED = frozenset((Verdict.NEVER_STARTED,))
"""Verdicts that exclude that the attempt has run."""
