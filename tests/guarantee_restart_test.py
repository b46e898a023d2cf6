"""A rolling restart of all daemons under load, with separate processes.

Guards against a planned stop that interrupts a request, or loses or doubles a
job, for callers behind a load balancer that honours `/readyz`.
"""

import time

import pytest

from demo.cluster import Cluster
from demo.processes import wait_until
from tests.balancer import DRAIN_S, judge, judge_jobs, load
from tests.guarantee_support import small_shape, teams

pytestmark = pytest.mark.processes

CALLERS = 8


def test_rolling_restart_cuts_nothing_off():
    shape = small_shape(daemons=2)
    with Cluster(shape=shape, teams=teams()) as cluster:
        with load(cluster, CALLERS) as (balancer, background, accepted):
            stops = [
                restart(cluster, balancer, name)
                for name in list(cluster.daemons)
            ]
        judge(background, stops)
        judge_jobs(cluster, accepted)


def restart(cluster, balancer, name):
    daemon = cluster.daemons[name]
    daemon.terminate()
    began = time.monotonic()
    assert daemon.wait(DRAIN_S + 5) == 0
    took = time.monotonic() - began
    cluster.restart_daemon(name)
    wait_until(lambda: balancer.is_ready(name), 10, f'{name} is ready again')
    return took
