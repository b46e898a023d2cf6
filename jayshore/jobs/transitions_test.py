"""Tests of each transition of a job record."""

import dataclasses

import pytest

from jayshore.jobs import transitions
from jayshore.jobs.changes import (
    JobOverError,
    MissingProofError,
    NotOwnerError,
    TaskStateError,
    WorkerNotNamedError,
    Writer,
)
from jayshore.jobs.proofs import (
    InstanceGone,
    LeaseExpired,
    NeverSent,
    Verdict,
    WorkerReport,
)
from jayshore.jobs.record import (
    JobState,
    TaskState,
    WorkerBoot,
)
from jayshore.jobs.sample_record_test import TASKS, sample_record

ONE, TWO = (WorkerBoot(worker_id=name, boot_id='0') for name in 'ab')
WRITER = Writer(epoch=5, write_id='w')


def _begun(*, idempotent=True):
    claimed = transitions.claim(sample_record(idempotent=idempotent), WRITER)
    return transitions.widen_intent(
        claimed, WRITER, workers=(ONE, TWO), first_attempts=TASKS
    )


def _report(worker=ONE, *, boot='0', epoch=5, attempt=1, verdict='ended'):
    return WorkerReport(
        worker=worker,
        reporting_boot_id=boot,
        lease_epoch=epoch,
        attempt=attempt,
        verdict=Verdict(verdict),
    )


def _expired(*, lease=5, confirmed=5):
    return LeaseExpired(
        worker=ONE, lease_epoch=lease, confirmed_epoch=confirmed
    )


@pytest.mark.parametrize(
    ('proof', 'idempotent_may', 'other_may'),
    [
        (_report(), True, False),
        (_report(verdict='never_started'), True, True),
        (_report(verdict='never_started', boot='1'), True, False),
        (_report(verdict='never_started', epoch=4), False, False),
        (_report(verdict='never_started', attempt=2), False, False),
        (NeverSent(worker=ONE), True, True),
        (InstanceGone(worker=ONE), True, False),
        (_expired(), True, False),
        (_expired(lease=4), False, False),
        (_expired(confirmed=6), False, False),
    ],
)
def test_further_attempt_needs_proof(proof, idempotent_may, other_may):
    """Guards against a second run of a task that may be running."""
    for idempotent, may in ((True, idempotent_may), (False, other_may)):
        record = _begun(idempotent=idempotent)
        proofs = (proof, NeverSent(worker=TWO))
        if may:
            again = transitions.retry_task(
                record, WRITER, index=0, proofs=proofs
            )
            assert again.tasks[0].attempt == 2
            continue
        with pytest.raises(MissingProofError) as missing:
            transitions.retry_task(record, WRITER, index=0, proofs=proofs)
        assert missing.value.workers == (ONE,)


def test_successor_cannot_rely_on_memory_of_its_predecessor():
    """Guards against a start of a former leader that is still in flight."""
    successor = Writer(epoch=6, write_id='x')
    claimed = transitions.claim(_begun(), successor)
    proofs = (NeverSent(worker=ONE), NeverSent(worker=TWO))
    with pytest.raises(MissingProofError):
        transitions.retry_task(claimed, successor, index=0, proofs=proofs)
    with pytest.raises(NotOwnerError):
        transitions.cancel(claimed, WRITER)
    with pytest.raises(NotOwnerError):
        transitions.claim(claimed, WRITER)


@pytest.mark.parametrize(
    ('changes', 'error'),
    [
        ({'state': TaskState.UNKNOWN}, TaskStateError),
        ({'attempt': 2}, TaskStateError),
        ({'index': 7}, TaskStateError),
        ({'worker': WorkerBoot(worker_id='c', boot_id='0')}, None),
    ],
)
def test_settling_refuses_a_wrong_report(changes, error):
    """Guards against recording the result of another attempt or worker."""
    record = _begun()
    ended = dataclasses.replace(
        record.tasks[0], state=TaskState.FINISHED, worker=ONE
    )
    wrong = dataclasses.replace(ended, **changes)
    with pytest.raises(error or WorkerNotNamedError):
        transitions.settle_task(record, WRITER, ended=wrong)
    settled = transitions.settle_task(record, WRITER, ended=ended)
    with pytest.raises(TaskStateError):
        transitions.settle_task(settled, WRITER, ended=ended)


def test_cancelled_job_starts_nothing_more():
    """Guards against an attempt that is created after a cancellation."""
    cancelled = transitions.cancel(_begun(), WRITER)
    proofs = [NeverSent(worker=ONE), _report(TWO)]
    for change in (
        lambda: transitions.retry_task(
            cancelled, WRITER, index=0, proofs=proofs
        ),
        lambda: transitions.widen_intent(cancelled, WRITER, workers=()),
        lambda: transitions.finish(cancelled, WRITER),
    ):
        with pytest.raises(TaskStateError):
            change()
    for index in TASKS:
        cancelled = transitions.close_task(
            cancelled,
            WRITER,
            index=index,
            proofs=proofs,
            state=TaskState.CANCELLED,
        )
    over = transitions.finish(cancelled, WRITER)
    assert over.state == JobState.CANCELLED
    with pytest.raises(JobOverError):
        transitions.claim(over, WRITER)
