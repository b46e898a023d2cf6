"""Tests of the sums that the ledger keeps beside its tasks."""

import collections

import hypothesis
from hypothesis import strategies as st

from jayshore.clock import Millis
from jayshore.fleet.jobtable import JobEntry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.model import Job, Queue, TaskGroup
from jayshore.resources import NOTHING, Resources, total

WORKERS = ('w0', 'w1')
LIMITS = (0, 1, 2)
TASKS_PER_GROUP = 3
STEPS = st.lists(
    st.tuples(
        st.booleans(),
        st.integers(0, TASKS_PER_GROUP * len(LIMITS) - 1),
        st.sampled_from(WORKERS),
    ),
    max_size=30,
)


def _make_tasks():
    """Make the tasks of a job with a group for each limit per worker."""
    job = Job(
        job_id='5c0e7a21d94b36f8',
        queue=Queue(name='q', host='h', prefix='/q/', service='s'),
        workspace='w',
        payload='',
        groups=tuple(
            TaskGroup(
                count=TASKS_PER_GROUP,
                need=Resources(cpu_millis=100 + limit),
                estimate_ms=Millis(100),
                max_per_worker=limit,
            )
            for limit in LIMITS
        ),
        accepted_at_ms=0,
    )
    entry = JobEntry(job=job, accepted_at=Millis(0))
    entry.add_occurrence()
    return list(entry.tasks())


@hypothesis.given(steps=STEPS)
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_sums_match_the_tasks_that_hold_resources(steps):
    """Guards against counts that drift from what a worker has."""
    ledger = Ledger()
    tasks = _make_tasks()
    for start, index, worker in steps:
        task = tasks[index]
        if start and not ledger.holds(task):
            task.worker = worker
            ledger.hold(task)
        elif not start:
            held = ledger.holds(task)
            assert ledger.release(task) is held
        _check(ledger)


def _check(ledger):
    held = {worker: ledger.tasks_at(worker) for worker in WORKERS}
    for worker, tasks in held.items():
        needs = [task.group.spec.need for task in tasks]
        assert ledger.used_at(worker) == total(needs)
        assert ledger.group_runs_at(worker) == collections.Counter(
            task.group.group_id
            for task in tasks
            if task.group.spec.max_per_worker
        )
    every = [task for tasks in held.values() for task in tasks]
    assert ledger.used_by('w') == total(task.group.spec.need for task in every)
    assert ledger.used_by('another') == NOTHING
