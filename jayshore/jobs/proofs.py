"""Proofs that an attempt of a task has ended or never started.

The owner of a record may have started an attempt on any worker of the intent,
and so may a former owner whose start message is still in flight. A proof
therefore covers one boot of one worker, and a retry needs a proof for every
worker of the intent.
"""

import dataclasses
import enum
from collections.abc import Iterable
from typing import TypeAlias

from jayshore.jobs.record import JobRecord, TaskRecord, WorkerBoot


class Verdict(enum.StrEnum):
    """What a proof shows about an attempt on one worker."""

    NEVER_STARTED = 'never_started'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerReport:
    """The task inventory of a worker, under a lease opened after the start.

    Attributes:
        worker: the boot listed in the intent.
        reporting_boot_id: the boot that sent the report. If it differs from the
            listed one, the attempt has ended, but it may have run before.
        lease_epoch: epoch of the leader that opened the lease.
        attempt: the attempt that the report is about.
        verdict: what the report shows about the attempt.
    """

    worker: WorkerBoot
    reporting_boot_id: str
    lease_epoch: int
    attempt: int
    verdict: Verdict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NeverSent:
    """The owner created the attempt and sent this worker no start for it."""

    worker: WorkerBoot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstanceGone:
    """The platform's instance list no longer contains the instance."""

    worker: WorkerBoot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseExpired:
    """The task lease of the worker has expired without a renewal.

    Attributes:
        worker: the boot listed in the intent.
        lease_epoch: epoch under which the latest known lease was opened. A
            leader cannot know whether its predecessor still renews a lease
            that the predecessor has opened.
        confirmed_epoch: epoch of the leader key in a read that was sent after
            the expiry.
    """

    worker: WorkerBoot
    lease_epoch: int
    confirmed_epoch: int


Proof: TypeAlias = WorkerReport | NeverSent | InstanceGone | LeaseExpired


def evaluate_proof(
    record: JobRecord,
    task: TaskRecord,
    proof: Proof,
) -> Verdict | None:
    """Evaluate one proof.

    Args:
        record: the record as last written by its owner.
        task: the task in question.
        proof: the proof to evaluate.

    Returns:
        What it proves about the task's latest attempt on the worker, or None
        when it proves nothing.
    """
    if isinstance(proof, WorkerReport):
        return _evaluate_report(record, task, proof)
    if isinstance(proof, NeverSent):
        is_own = task.attempt_epoch == record.epoch
        return Verdict.NEVER_STARTED if is_own else None
    if isinstance(proof, LeaseExpired):
        epochs = {proof.lease_epoch, proof.confirmed_epoch}
        return Verdict.ENDED if epochs == {record.epoch} else None
    return Verdict.ENDED


def _evaluate_report(
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
        record: the record as last written by its owner.
        task: the task in question.
        proofs: the available proofs.
        accepted: the verdicts that suffice.

    Returns:
        Workers of the intent on which the attempt may be running, or may have
        run if only `NEVER_STARTED` is accepted.
    """
    proved = {
        proof.worker
        for proof in proofs
        if evaluate_proof(record, task, proof) in accepted
    }
    return tuple(worker for worker in record.intent if worker not in proved)


NOT_RUNNING = frozenset((Verdict.NEVER_STARTED, Verdict.ENDED))
"""Verdicts that rule out that the attempt is running."""

NEVER_STARTED = frozenset((Verdict.NEVER_STARTED,))
"""Verdicts that rule out that the attempt has run."""
