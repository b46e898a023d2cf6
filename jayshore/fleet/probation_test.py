"""Tests of when suspects may start again."""

import pytest

from jayshore.clock import Millis
from jayshore.fleet.blame import SETTLED_MS
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.model import Job, Queue, TaskGroup
from jayshore.fleet.probation import DELAY_MS, Probation
from jayshore.resources import Resources

NOW = Millis(5000)


def make_task(**fields):
    """Make a task that may be a suspect."""
    entry = JobEntry(
        job=Job(
            job_id='j1',
            queue=Queue(name='q', host='h', prefix='/', service='s'),
            workspace='t',
            payload='text',
            groups=(
                TaskGroup(count=1, need=Resources(), estimate_ms=Millis(9)),
            ),
            accepted_at_ms=12,
        ),
        accepted_at=Millis(0),
    )
    JobTable().add(entry)
    (task,) = entry.tasks()
    for name, setting in fields.items():
        setattr(task, name, setting)
    return task


DELAYS = (
    ('lost at the same age', {'recurrent': True, 'lost_age_ms': 900}, True),
    (
        'lost right after the start',
        {'recurrent': True, 'lost_age_ms': SETTLED_MS - 1},
        False,
    ),
    ('lost at another age', {'crashes': 1, 'lost_age_ms': 900}, False),
)


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [row[1:] for row in DELAYS],
    ids=[row[0] for row in DELAYS],
)
def test_every_other_start_of_a_suspect_is_delayed(fields, expected):
    """Guards against suspects that a repeated power loss hits alike."""
    task = make_task(**fields)
    probation = Probation()
    found = []
    for _ in range(4):
        probation.add(task)
        found.append(probation.is_delayed(task, NOW))
        assert not probation.is_delayed(task, Millis(NOW + DELAY_MS))
    assert found == [expected, False, expected, False]
