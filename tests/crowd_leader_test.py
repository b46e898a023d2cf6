"""A crowd of untrusted clients at the instance that leads.

Guards against clients that keep a leader from renewing its leases: it would
be deposed, and its work delayed. One crowd runs at a time.
"""

import pytest

from tests.crowd_payloads import FRONT_CASES
from tests.crowd_support import ProcessBounds, meet_crowd, one_crowd_at_a_time
from tests.platform_path_test import (
    SUBMISSION,
    Deployment,
    call,
    job_url,
    wait_for,
)
from tests.support import TAKEOVER_LIMIT_S

pytestmark = pytest.mark.processes

BOUNDS = ProcessBounds(memory_mb=100, descriptors=640)
LIMITS = {'MemoryMb': BOUNDS.memory_mb, 'MaxFds': BOUNDS.descriptors}
CROWDS = (
    'bodies in chunks of one byte',
    'bodies within the limit, never finished',
    'connections opened and left',
)


@pytest.fixture
def deployment(tmp_path):
    """Run a deployment whose first instance leads, with lowered limits."""
    running = Deployment(tmp_path)
    with one_crowd_at_a_time():
        try:
            running.start(0)
            running.fronts = [running.add('i0', Limits=LIMITS)]
            url = f'http://127.0.0.1:{running.fronts[0][1]}/checks/'
            wait_for(
                lambda: call('GET', url)[0] == 200,
                'the first instance leads',
                TAKEOVER_LIMIT_S,
            )
            running.fronts.append(running.add('i1', Limits=LIMITS))
            yield running
        finally:
            running.stop()


def count_lines(running, text):
    return sum(
        log.read_text().count(text)
        for name, log in running.logs.items()
        if name != 'platform'
    )


def test_leader_keeps_its_leases_beside_crowds(deployment):
    """Guards against a leader that a crowd of callers gets deposed.

    A task that ran longer than its lease would be started again, so each run
    has to be the only one of its task.
    """
    leader, other = deployment.fronts
    cases = {case.name: case for case in FRONT_CASES}
    for number, name in enumerate(CROWDS):
        assert call('POST', job_url(other, number), SUBMISSION)[0] == 200
        meet_crowd(
            port=leader[1],
            pid=leader[0].pid,
            case=cases[name],
            bounds=BOUNDS,
            is_answered=lambda: call('GET', job_url(leader, 99))[0] == 410,
        )
    for number in range(len(CROWDS)):
        wait_for(
            lambda number=number: (
                call('GET', job_url(other, number))
                == (200, {'State': 'completed'})
            ),
            f'submission {number} is completed',
        )
    assert count_lines(deployment, '"leadership:elected"') == 1
    assert count_lines(deployment, '"leadership:deposed"') == 0
    runs = deployment.call_test_api('runs')
    assert len(runs) == len({task for task, *_ in runs})
