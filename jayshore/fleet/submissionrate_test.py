"""Which jobs exceed the rate of their workspace."""

import pytest

from jayshore.fleet.model import FleetConfig, Workspace
from jayshore.fleet.submissionrate import SubmissionRateMeter

CONFIG = FleetConfig(
    version=1,
    workspaces=(
        Workspace(name='small', keys=frozenset(), weight=2),
        Workspace(name='large', keys=frozenset(), weight=20),
        Workspace(name='none', keys=frozenset(), weight=0),
    ),
)
RATES = (
    ('within its rate', 'small', 2, 20),
    ('seven times its rate', 'small', 14, 21),
    ('a larger one', 'large', 14, 140),
    ('without a weight', 'none', 50, 500),
    ('unknown', 'other', 50, 500),
)


@pytest.mark.parametrize(
    ('workspace', 'per_s', 'admitted'),
    [row[1:] for row in RATES],
    ids=[row[0] for row in RATES],
)
def test_ten_seconds_of_jobs(workspace, per_s, admitted):
    """Guards against one workspace's flood before the work of the others."""
    meter = SubmissionRateMeter()
    counted = sum(
        meter.admit(CONFIG, workspace, number * 1000 // per_s)
        for number in range(10 * per_s)
    )
    assert abs(counted - admitted) <= 1
