"""Crowds of untrusted clients at processes of `jayshored`.

Guards against clients that end or block a daemon, or use more memory or
descriptors than its settings give it. One crowd runs at a time.
"""

import pytest

from demo.cluster import Cluster
from tests.crowd_payloads import DAEMON_CASES, WAITING_CLIENTS, head
from tests.crowd_support import (
    CrowdCase,
    ProcessBounds,
    meet_crowd,
    one_crowd_at_a_time,
)
from tests.guarantee_support import send_request, small_shape, teams
from tests.support import job

pytestmark = pytest.mark.processes

BOUNDS = ProcessBounds(memory_mb=110, descriptors=640)
LIMITS = {'memory_mb': BOUNDS.memory_mb, 'max_fds': BOUNDS.descriptors}


@pytest.fixture(scope='module')
def cluster():
    """Run one domain, with a daemon for each crowd."""
    shape = small_shape(
        domains=('north',), daemons=len(DAEMON_CASES) + 1, limits=LIMITS
    )
    with one_crowd_at_a_time(), Cluster(shape=shape, teams=teams()) as started:
        yield started


def meet_at(cluster, number, case):
    """Let a crowd meet a daemon that no other crowd has met."""
    daemon = cluster.daemons[f'north-{number}']
    headers = cluster.key('millrace')
    host, port = daemon.address.split(':')
    meet_crowd(
        port=int(port),
        pid=daemon.popen.pid,
        case=case,
        bounds=BOUNDS,
        is_answered=lambda: send_request(daemon, headers).status == 200,
    )


@pytest.mark.parametrize(
    ('number', 'case'),
    list(enumerate(DAEMON_CASES)),
    ids=[case.name for case in DAEMON_CASES],
)
def test_daemon_outlives_a_crowd(cluster, number, case):
    """Guards against a daemon that a crowd of callers ends or blocks."""
    meet_at(cluster, number, case)


def test_daemon_outlives_callers_that_wait(cluster):
    """Guards against GETs that wait and keep every connection."""
    number = len(DAEMON_CASES)
    daemon = cluster.daemons[f'north-{number}']
    accepted = daemon.call('POST', '/v1/jobs', job(1, 60_000, queue='public'))
    assert accepted.status == 202, accepted.body
    content = accepted.content
    case = CrowdCase(
        name='GETs that wait at a daemon',
        clients=WAITING_CLIENTS,
        payload=head(
            f'jayshore-ticket: {content["ticket"]}',
            path=f'/v1/jobs/{content["job_id"]}?wait_ms=30000',
            method='GET',
        ),
    )
    meet_at(cluster, number, case)
