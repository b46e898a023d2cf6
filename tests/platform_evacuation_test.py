"""Processes of `platform/edge.py` whose operator evacuates a zone."""

import time

import pytest

from tests.platform_path_test import (
    SUBMISSION,
    call,
    job_url,
    running_deployment,
    wait_for,
)

pytestmark = pytest.mark.processes

EVACUATION_S = 5
"""Bound of an evacuation in these tests, in s."""


def test_evacuated_zone_starts_nothing_until_it_is_taken_back(tmp_path):
    """Guards against a key that is not read, or holds beyond its removal.

    All executors are in one zone, so that accepted work has to wait.
    """
    bounds = {'EvacuateMs': 1000 * EVACUATION_S}
    with running_deployment(tmp_path, Bounds=bounds) as deployment:
        front = deployment.fronts[0]
        deployment.put('op/evacuate/nowhere', '{}')
        assert call('POST', job_url(front, 1), SUBMISSION)[0] == 200
        wait_completed(front, 1)
        deployment.put('op/evacuate/north', '{}')
        time.sleep(EVACUATION_S)
        assert call('POST', job_url(front, 2), SUBMISSION)[0] == 200
        time.sleep(2)
        assert len(deployment.call_test_api('runs')) == 5
        deployment.put('op/evacuate/north', None)
        wait_completed(front, 2)
        logs = ''.join(log.read_text() for log in deployment.logs.values())
    assert 'evacuation:begun' in logs
    assert 'evacuation:ended' in logs


def wait_completed(front, number):
    """Wait until a submission is completed."""
    wait_for(
        lambda: (
            call('GET', job_url(front, number)) == (200, {'State': 'completed'})
        ),
        f'submission {number} is completed',
    )
