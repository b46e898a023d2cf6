"""A rolling restart of all daemons under load, with separate processes.

Guards against a graceful shutdown that interrupts a request, or that loses a
job or runs it twice, for callers behind a load balancer that honours `/readyz`.
"""

import time

import pytest

from demo.cluster import Cluster
from demo.processes import wait_until
from tests.balancer import (
    DRAIN_S,
    balanced_load,
    check_accepted_jobs,
    check_replies,
)
from tests.guarantee_support import small_shape, teams

pytestmark = pytest.mark.processes

CALLERS = 8


def test_rolling_restart_cuts_nothing_off():
    shape = small_shape(daemons=2)
    with Cluster(shape=shape, teams=teams()) as cluster:
        with balanced_load(cluster, CALLERS) as (
            balancer,
            background,
            accepted,
        ):
            stop_durations_s = [
                restart(cluster, balancer, name)
                for name in list(cluster.daemons)
            ]
        check_replies(background, stop_durations_s)
        check_accepted_jobs(cluster, accepted)


def restart(cluster, balancer, name):
    daemon = cluster.daemons[name]
    daemon.terminate()
    began = time.monotonic()
    assert daemon.wait(DRAIN_S + 5) == 0
    took = time.monotonic() - began
    cluster.restart_daemon(name)
    wait_until(lambda: balancer.is_ready(name), 10, f'{name} is ready again')
    return took
