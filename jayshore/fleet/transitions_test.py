"""Tests of the transitions when a run ends."""

import pytest

from jayshore.clock import Millis
from jayshore.fleet.interfaces import EndKind
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.model import GroupId, Job, Queue, TaskGroup
from jayshore.fleet.phases import JobState, Phase
from jayshore.fleet.transitions import end_job, end_run, requeue_task
from jayshore.resources import NOTHING


def running_job(**fields):
    """Make a job with one group of two running tasks."""
    spec = TaskGroup(count=2, need=NOTHING, estimate_ms=Millis(1), **fields)
    entry = JobEntry(
        job=Job(
            job_id='j',
            queue=Queue(name='q', host='h', prefix='/', service='s'),
            workspace='',
            payload='',
            groups=(spec,),
            accepted_at_ms=0,
        ),
        accepted_at=Millis(0),
    )
    JobTable().add(entry)
    group = entry.groups[GroupId('j', 0, 0)]
    for task in group.tasks:
        task.phase = Phase.RUNNING
        task.run = 1
        task.worker = 'w'
    return entry, group.tasks


ENDS = (
    (EndKind.DONE, {}, Phase.DONE, Phase.RUNNING, 0),
    (EndKind.DONE, {'gang': True}, Phase.DONE, Phase.DONE, 0),
    (EndKind.DONE, {'long_running': True}, Phase.WAITING, Phase.RUNNING, 0),
    (EndKind.FAILED, {}, Phase.WAITING, Phase.RUNNING, 1),
    (EndKind.STOPPED, {}, Phase.WAITING, Phase.RUNNING, 0),
    (EndKind.LEASE_EXPIRED, {}, Phase.WAITING, Phase.RUNNING, 0),
    (EndKind.GANG_BROKEN, {'gang': True}, Phase.WAITING, Phase.RUNNING, 0),
    (EndKind.GANG_INCOMPLETE, {'gang': True}, Phase.WAITING, Phase.RUNNING, 0),
)


@pytest.mark.parametrize(('kind', 'fields', 'own', 'other', 'failures'), ENDS)
def test_end_of_a_run(kind, fields, own, other, failures):
    """Guards against ends that lead to the wrong phase or failure count."""
    _, (first, second) = running_job(**fields)
    consequence = end_run(first, kind, max_attempts=3)
    assert (first.phase, second.phase) == (own, other)
    assert first.failures == failures
    stops = fields.get('gang') and kind is not EndKind.DONE
    assert consequence.stop == ((second,) if stops else ())


def test_job_is_complete_with_its_last_task():
    """Guards against a job that becomes complete too early."""
    entry, (first, second) = running_job()
    assert not end_run(first, EndKind.DONE, max_attempts=1).job_ended
    assert end_run(second, EndKind.DONE, max_attempts=1).job_ended
    assert entry.state is JobState.COMPLETED


def test_exhausted_task_fails_its_job():
    """Guards against a failed job whose other tasks continue to run."""
    entry, (first, second) = running_job()
    consequence = end_run(first, EndKind.FAILED, max_attempts=1)
    assert consequence.job_ended
    assert consequence.stop == (second,)
    assert entry.state is JobState.FAILED


def test_failed_gang_counts_once():
    """Guards against a gang that uses up one attempt per member."""
    _, (first, second) = running_job(gang=True)
    end_run(first, EndKind.FAILED, max_attempts=3)
    end_run(second, EndKind.FAILED, max_attempts=3)
    assert (first.failures, second.failures) == (1, 1)


@pytest.mark.parametrize('kind', list(EndKind))
@pytest.mark.parametrize('state', [JobState.CANCELLED, JobState.FAILED])
def test_final_state_does_not_change(kind, state):
    """Guards against a late end that changes the final state of a job."""
    entry, (first, second) = running_job()
    end_job(entry, state)
    for task in (first, second):
        end_run(task, kind, max_attempts=1)
    assert entry.state is state


def test_done_task_stays_done():
    """Guards against a done task that runs again."""
    _, (first, _) = running_job()
    end_run(first, EndKind.DONE, max_attempts=1)
    requeue_task(first)
    assert first.phase is Phase.DONE
