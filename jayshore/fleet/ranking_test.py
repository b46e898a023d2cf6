"""Objectives and the order of task groups."""

import pytest

from jayshore.clock import Millis
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.model import GroupId, Job, Queue, TaskGroup
from jayshore.fleet.ranking import (
    DeadlineStatus,
    longest_chain_ms,
    objective_ms,
    rank_group,
)
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
    """Make a job of groups given as estimate and predecessors."""
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
    """Guards against objectives that ignore what has to wait."""
    job = make_job(*groups)
    assert longest_chain_ms(job) == chain
    assert objective_ms(job, QUEUE) == 2 * chain + 500


STANDINGS = (
    (0, DeadlineStatus.IN_TIME),
    (2400, DeadlineStatus.LATE),
    (7000, DeadlineStatus.MISSED),
)


@pytest.mark.parametrize(('now', 'deadline_status'), STANDINGS)
def test_standing_says_what_a_job_can_achieve(now, deadline_status):
    """Guards against work without worth before work with worth."""
    entry = JobEntry(job=make_job((1000, ())), accepted_at=Millis(0))
    JobTable().add(entry)
    group = entry.groups[GroupId('j', 0, 0)]
    rank = rank_group(group, entry, QUEUE, Millis(now))
    assert rank.deadline_status is deadline_status
    assert rank.due_at == 2500
