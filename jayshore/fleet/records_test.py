"""Tests of the stored records, and of values that are no records."""

import hypothesis
import pytest
from hypothesis import strategies as st

from jayshore.clock import Millis
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.model import Job, Queue, TaskGroup
from jayshore.fleet.phases import JobState, Phase
from jayshore.fleet.recordkeys import (
    InvalidRecord,
    cancel_key,
    job_key,
    parse_job_key,
)
from jayshore.fleet.records import (
    StoredProgress,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
)
from jayshore.fleet.restoring import restore_progress
from jayshore.resources import Resources

JOB = Job(
    job_id='j1',
    queue=Queue(name='q', host='h', prefix='/', service='s'),
    workspace='t',
    payload='text',
    groups=(
        TaskGroup(count=2, need=Resources(cpu_millis=5), estimate_ms=Millis(9)),
        TaskGroup(count=3, need=Resources(), estimate_ms=Millis(9), after=(0,)),
    ),
    accepted_at_ms=12,
)


def make_entry():
    """Make a job entry without progress."""
    entry = JobEntry(job=JOB, accepted_at=Millis(0))
    JobTable().add(entry)
    return entry


def test_job_is_read_as_it_was_written():
    """Guards against accepted jobs that change when they are stored."""
    assert decode_job(encode_job(JOB)) == JOB


def test_progress_survives_a_change_of_leader():
    """Guards against runs, ends and attempts that are lost in a takeover."""
    entry = make_entry()
    entry.state = JobState.RUNNING
    done, placed, retried, *_ = entry.tasks()
    done.phase, done.run = Phase.DONE, 2
    placed.phase, placed.run, placed.worker = Phase.STOPPING, 3, 'w'
    retried.run, retried.failures, retried.checkpoint = 4, 1, 'c'
    restored = make_entry()
    record = decode_progress(encode_progress(entry))
    restore_progress(restored, StoredProgress(record=record))
    first, second, third, *others = restored.tasks()
    assert (first.phase, first.run) == (Phase.DONE, 2)
    assert (second.phase, second.run, second.worker) == (Phase.UNKNOWN, 3, 'w')
    assert (third.run, third.failures, third.checkpoint) == (4, 1, 'c')
    assert all(task.phase is Phase.WAITING for task in others)
    assert restored.durable_state is JobState.RUNNING
    assert [group.done for group in restored.groups.values()] == [1, 0]


def test_keys_name_their_job():
    """Guards against a cancellation that is parsed as a job."""
    assert parse_job_key(job_key('j1')) == ('j1', False)
    assert parse_job_key(cancel_key('j1')) == ('j1', True)


@pytest.mark.parametrize('decode', [decode_job, decode_progress])
@hypothesis.given(text=st.text(max_size=80))
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_other_values_are_refused_by_type(decode, text):
    """Guards against a leader that fails on an invalid value in the store."""
    try:
        decode(text)
    except InvalidRecord as error:
        assert str(error)
