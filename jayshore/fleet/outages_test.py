"""Tests of what is known of runs when their worker stops replying."""

import pytest

from jayshore.clock import Millis
from jayshore.fleet.jobtable import TaskEntry
from jayshore.fleet.model import TaskId
from jayshore.fleet.outages import Outage, age_in_outage
from jayshore.fleet.phases import Phase

OUTAGE = Outage(alive_at=Millis(1000), noticed_at=Millis(1400))

AGES = (
    ('confirmed long before', {'ordered_at': 90, 'seen_at': 100}, 900),
    ('confirmed just before', {'ordered_at': 985, 'seen_at': 990}, 10),
    ('confirmed within', {'ordered_at': 1100, 'seen_at': 1110}, 0),
    ('reply lost', {'current_phase': Phase.STARTING, 'ordered_at': 990}, 0),
    ('given up', {'current_phase': Phase.STOPPING, 'ordered_at': 990}, 0),
    (
        'ordered later',
        {'current_phase': Phase.STARTING, 'ordered_at': 1500},
        None,
    ),
    ('not ordered yet', {'current_phase': Phase.STARTING}, None),
    ('of a former leader', {'current_phase': Phase.UNKNOWN}, 0),
    ('not placed', {'current_phase': Phase.WAITING, 'ordered_at': 10}, None),
)


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [row[1:] for row in AGES],
    ids=[row[0] for row in AGES],
)
def test_age_of_a_run_in_an_outage(fields, expected):
    """Guards against a run that is taken for older than it may have been."""
    task = TaskEntry(
        task_id=TaskId('j', 0, 0, 0),
        group=None,
        **{'current_phase': Phase.RUNNING, **fields},
    )
    assert age_in_outage(task, OUTAGE) == expected


OVERLAPS = (
    ('apart', (2000, 2100), False),
    ('within the slack', (1500, 1600), True),
    ('before', (100, 700), False),
    ('around it', (500, 3000), True),
)


@pytest.mark.parametrize(
    ('span', 'expected'),
    [row[1:] for row in OVERLAPS],
    ids=[row[0] for row in OVERLAPS],
)
def test_outages_at_the_same_time(span, expected):
    """Guards against failures of two workers that are matched wrongly."""
    other = Outage(alive_at=Millis(span[0]), noticed_at=Millis(span[1]))
    assert OUTAGE.overlaps(other, Millis(200)) is expected
    assert other.overlaps(OUTAGE, Millis(200)) is expected
