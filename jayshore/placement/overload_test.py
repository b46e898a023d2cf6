"""Tests of the overload policy and of the predicted waits."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies as st

from jayshore.clock import Millis
from jayshore.placement.fairness import ShareCase
from jayshore.placement.overload import OverloadPolicy, choose_promoted
from jayshore.placement.waiting_jobs import (
    DeferReason,
    OverloadCase,
    Prospect,
    WaitingJob,
    job_value,
)
from jayshore.resources import Resources


def make_waiting(**fields):
    """Make a waiting job; fields override the defaults."""
    return WaitingJob(
        **{
            'job_id': 'j',
            'queue': 'q',
            'priority': 1,
            'workspace': 'a',
            'work': 1000,
            'path_ms': 100,
            'objective_ms': 1000,
            'accepted_at': Millis(0),
            **fields,
        }
    )


@st.composite
def waiting_jobs(draw):
    """Draw jobs for a capacity of one core."""
    shapes = draw(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.sampled_from('abc'),
                st.integers(1, 2000),
                st.integers(100, 5000),
                st.booleans(),
            ),
            min_size=1,
            max_size=9,
        )
    )
    return [
        make_waiting(
            job_id=str(number),
            priority=priority,
            workspace=workspace,
            work=work,
            value=job_value(work, 700),
            objective_ms=objective,
            over_rate=over,
        )
        for number, (priority, workspace, work, objective, over) in enumerate(
            shapes
        )
    ]


SHARES = {
    'a': ShareCase(
        used=Resources(cpu_millis=800),
        capacity=Resources(cpu_millis=1000),
        weight=1,
        weight_sum=3,
    )
}


@hypothesis.given(
    jobs=waiting_jobs(), index=st.integers(0, 8), less=st.floats(0.01, 1)
)
@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
def test_more_urgent_or_smaller_job_never_waits_longer(jobs, index, less):
    """Guards against callers who gain by understating or overstating a job."""
    index %= len(jobs)
    job = jobs[index]

    def is_deferred(changed):
        others = [*jobs[:index], changed, *jobs[index + 1 :]]
        plan = OverloadPolicy().evaluate(
            OverloadCase(jobs=others, cores=1, now=Millis(0), shares=SHARES)
        )
        return changed.job_id in plan.deferred

    work = job.work * less
    changes = (
        {'priority': max(0, job.priority - 1)},
        {'work': work, 'value': job_value(work, 700)},
    )
    for change in changes:
        fields = {
            field.name: getattr(job, field.name)
            for field in dataclasses.fields(job)
            if field.init
        }
        changed = WaitingJob(**{**fields, **change})
        assert is_deferred(job) or not is_deferred(changed)


REASONS = (
    ('others are worth more', {'work': 3000}, DeferReason.COSTLIER),
    ('beyond its rate', {'over_rate': True}, DeferReason.OVER_RATE),
    ('its workspace uses too much', {'workspace': 'a'}, DeferReason.OVER_SHARE),
    ('late', {'accepted_at': Millis(-2000)}, DeferReason.LATE),
)


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [row[1:] for row in REASONS],
    ids=[row[0] for row in REASONS],
)
def test_deferred_job_has_its_reason(fields, reason):
    """Guards against a share that yields to cost, and a false explanation."""
    small = make_waiting(job_id='small', workspace='b', work=700)
    odd = make_waiting(**{'workspace': 'b', 'work': 600, **fields})
    plan = OverloadPolicy().evaluate(
        OverloadCase(jobs=[odd, small], cores=1, now=Millis(0), shares=SHARES)
    )
    assert plan.deferred == {'j': reason}


def test_promoted_work_is_bounded_and_the_oldest_goes_first():
    """Guards against missed jobs that take the capacity of those in time."""
    missed = [
        make_waiting(job_id=str(age), accepted_at=Millis(-age))
        for age in range(5)
    ]
    chosen, left = choose_promoted(missed, 1500)
    assert (chosen, left) == (['4', '3'], -500)
    assert choose_promoted(missed, left) == ([], left)


WAITS = (
    ('urgent', 0, 1e-9, 200),
    ('kept', 1, 1e-2, 700),
    ('deferred with its like', 1, 1e-4, 2700),
)


@pytest.mark.parametrize(
    ('priority', 'density', 'wait'),
    [row[1:] for row in WAITS],
    ids=[row[0] for row in WAITS],
)
def test_wait_counts_what_goes_before(priority, density, wait):
    """Guards against refusing urgent jobs for work that runs after them."""
    shape = {'accepted_at': Millis(-800), 'objective_ms': 1800}
    jobs = [
        make_waiting(job_id='urgent', priority=0, work=200, **shape),
        make_waiting(job_id='kept', work=500, **shape),
        make_waiting(job_id='large', work=2000, **shape),
    ]
    prospect = Prospect(queue='q', priority=priority, density=density)
    plan = OverloadPolicy().evaluate(
        OverloadCase(jobs=jobs, cores=1, now=Millis(0), prospects=[prospect])
    )
    assert list(plan.deferred) == ['large']
    assert plan.waits['q'].in_rate_ms == pytest.approx(wait)


def test_wait_is_bounded_by_what_was_seen():
    """Guards against refusals while jobs of the same kind hardly wait."""
    job = make_waiting(work=900_000, accepted_at=Millis(-10))
    prospect = Prospect(queue='q', priority=0, density=1)
    plan = OverloadPolicy().evaluate(
        OverloadCase(jobs=[job], cores=1, now=Millis(0), prospects=[prospect])
    )
    assert plan.waits['q'].in_rate_ms <= 40
