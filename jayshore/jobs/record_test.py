"""Tests of the job record."""

import dataclasses

import pytest

from jayshore.jobs.record import (
    JobKind,
    JobSpec,
    JobState,
    MalformedRecordError,
    TaskRecord,
    TaskState,
    WorkerBoot,
    decode_record,
    encode_record,
    new_record,
)
from jayshore.resources import Resources

SPEC = JobSpec(
    job_id='job',
    team='team',
    key_id='key',
    queue='queue',
    kind=JobKind.GANG,
    task_count=2,
    demand=Resources(cpu_millis=5, accelerators=1),
    payload='{"plan": 1}',
    idempotent=False,
    domain='north',
    ticket_hash='digest',
    accepted_at_ms=3,
)
BOOT = WorkerBoot(worker_id='w1', boot_id='b1')
FRESH = new_record(SPEC, write_id='write')


@pytest.mark.parametrize(
    'record',
    [
        FRESH,
        dataclasses.replace(
            FRESH,
            epoch=4,
            intent=(BOOT,),
            state=JobState.CANCELLING,
            tasks=(
                TaskRecord(index=0, attempt=2, attempt_epoch=4),
                TaskRecord(
                    index=1,
                    state=TaskState.FINISHED,
                    worker=BOOT,
                    result='"done"',
                ),
            ),
        ),
    ],
)
def test_record_survives_the_store(record):
    """Guards against a field that is lost or changed by the encoding."""
    assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize(
    'text',
    [
        '',
        '{}',
        'null',
        encode_record(dataclasses.replace(FRESH, task_count=3)),
        encode_record(FRESH).replace('"gang"', '"other"'),
        encode_record(FRESH).replace('"epoch":0', '"epoch":"0"'),
    ],
)
def test_malformed_value_is_refused(text):
    """Guards against decoding a value that is not a valid job record."""
    with pytest.raises(MalformedRecordError):
        decode_record(text)


def test_job_without_tasks_is_refused():
    """Guards against a job without tasks, which would never end."""
    with pytest.raises(ValueError, match='needs a task'):
        new_record(dataclasses.replace(SPEC, task_count=0), write_id='w')
