"""Tests of objectives and of the rank of task groups."""

import dataclasses

import pytest

from jayshore.clock import Millis
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.model import GroupId, Job, Queue, TaskGroup
from jayshore.fleet.ranking import (
    DeadlineStatus,
    Rank,
    has_objective,
    longest_chain_ms,
    objective_ms,
    rank_group,
)
from jayshore.fleet.standing import Standing
from jayshore.resources import NOTHING

QUEUE = Queue(
    name='q',
    host='h',
    prefix='/',
    service='s',
    stretch=2,
    objective_ms=Millis(500),
)


def make_job(*groups):
    """Make a job from pairs of an estimate and preceding groups."""
    return Job(
        job_id='j',
        queue=QUEUE,
        workspace='t',
        payload='',
        groups=tuple(
            TaskGroup(
                count=1, need=NOTHING, estimate_ms=Millis(estimate), after=after
            )
            for estimate, after in groups
        ),
        accepted_at_ms=0,
    )


CHAINS = (
    ('one group', ((100, ()),), 100),
    ('side by side', ((100, ()), (300, ())), 300),
    ('one after another', ((100, ()), (300, (0,))), 400),
    ('two ways', ((100, ()), (300, ()), (50, (0, 1))), 350),
)


@pytest.mark.parametrize(
    ('groups', 'chain'),
    [row[1:] for row in CHAINS],
    ids=[row[0] for row in CHAINS],
)
def test_objective_follows_the_longest_chain(groups, chain):
    """Guards against objectives that ignore dependencies between groups."""
    job = make_job(*groups)
    assert longest_chain_ms(job) == chain
    assert objective_ms(job, QUEUE) == 2 * chain + 500


DEADLINE_STATUSES = (
    (0, DeadlineStatus.IN_TIME),
    (2400, DeadlineStatus.LATE),
    (7000, DeadlineStatus.MISSED),
)


@pytest.mark.parametrize(('now', 'deadline_status'), DEADLINE_STATUSES)
def test_deadline_status_says_whether_a_job_can_be_in_time(
    now, deadline_status
):
    """Guards against ranking missed work before work that can be in time."""
    entry = JobEntry(job=make_job((1000, ())), accepted_at=Millis(0))
    JobTable().add(entry)
    group = entry.groups[GroupId('j', 0, 0)]
    rank = rank_group(group, entry, QUEUE, Millis(now))
    assert rank.deadline_status is deadline_status
    assert rank.due_at == 2500


IN_TIME = DeadlineStatus.IN_TIME
STANDINGS = (
    ('capacity is not full', Standing.USUAL, (False, True, IN_TIME, 2, 2500)),
    ('in time', Standing.PLANNED, (False, True, IN_TIME, 1, 1800)),
    ('deferred', Standing.DEFERRED, (True, True, IN_TIME, 1, 1800)),
    ('behind urgent work', Standing.PROMOTED, (False, False, IN_TIME, 1, 2500)),
)


@pytest.mark.parametrize(
    ('standing', 'rank'),
    [row[1:] for row in STANDINGS],
    ids=[row[0] for row in STANDINGS],
)
def test_standing_decides_first(standing, rank):
    """Guards against deferred work before work that callers still wait for."""
    entry = JobEntry(
        job=make_job((1000, ())),
        accepted_at=Millis(0),
        over_rate=True,
        standing=standing,
    )
    JobTable().add(entry)
    group = entry.groups[GroupId('j', 0, 0)]
    queue = dataclasses.replace(QUEUE, priority=2)
    assert rank_group(group, entry, queue, Millis(0)) == Rank(*rank)


@pytest.mark.parametrize(
    ('stretch', 'constant', 'expected'),
    [(1, 0, False), (2, 0, True), (1, 250, True)],
)
def test_default_queue_has_no_objective(stretch, constant, expected):
    """Guards against planning jobs for which no objective is configured."""
    queue = dataclasses.replace(
        QUEUE, stretch=stretch, objective_ms=Millis(constant)
    )
    assert has_objective(queue) is expected
