"""Leaders that die or pause while they hold work."""

import random
import time

import pytest

from demo.processes import wait_until
from tests.support import (
    OWNED_AGAIN_S,
    Jobs,
    finish,
    job,
    other,
    set_faults,
    small_cluster,
    wait_ended,
    wait_new_start,
    wait_runs,
)

pytestmark = pytest.mark.processes


@pytest.mark.parametrize('seed', [1, 2])
def test_killed_leader_work_is_owned_again(seed):
    """Guards against work that is lost or doubled by a takeover."""
    source = random.Random(seed)
    with small_cluster() as cluster:
        jobs = Jobs(cluster)
        leader = cluster.leaders()['north']
        through = other(cluster, leader)
        jobs.submit(job(4, 1000, queue='gangs'), through)
        jobs.submit(job(16, 1000), through)
        jobs.submit(job(16, 1000, idempotent=True), through)
        jobs.submit(job(12, 500, queue='gangs', idempotent=True), through)
        wait_runs(cluster, source.randint(1, 24), OWNED_AGAIN_S)
        cluster.daemons[leader].kill()
        took = wait_new_start(cluster, through, time.monotonic())
        print(f'seed {seed}: first new start {took:.1f} s after the kill')
        assert took <= OWNED_AGAIN_S
        finish(jobs, through)


def test_paused_leader_starts_nothing_twice():
    """Guards against starts of a former leader that arrive late.

    The starts that are under way when the leader is paused arrive after the
    new leader has started the same tasks.
    """
    with small_cluster() as cluster:
        jobs = Jobs(cluster)
        leader = cluster.leaders()['north']
        through = other(cluster, leader)
        for worker in cluster.workers.values():
            set_faults(worker, mode='slow', delay_ms=8000)
        sent_at = time.monotonic()
        jobs.submit(job(12, 4000), through)
        jobs.submit(job(12, 500), through)
        wait_until(
            lambda: (
                sum(
                    worker.call('GET', '/admin/calls')
                    .content['by_kind']
                    .get('start', 0)
                    for worker in cluster.workers.values()
                )
                >= 12
            ),
            OWNED_AGAIN_S,
            'starts under way',
        )
        cluster.daemons[leader].pause()
        for worker in cluster.workers.values():
            set_faults(worker, mode='up')
        took = wait_new_start(cluster, through, time.monotonic())
        print(f'first new start {took:.1f} s after the pause')
        cluster.daemons[leader].resume()
        jobs.submit(job(8, 500), through)
        wait_until(
            lambda: time.monotonic() > sent_at + 8.5, 9, 'late starts arrived'
        )
        finish(jobs, through)
        # The daemon that was replaced can lead again.
        cluster.daemons[through].kill()
        killed_at = time.monotonic()
        jobs.submit(job(4, 100), leader)
        assert wait_new_start(cluster, leader, killed_at) <= OWNED_AGAIN_S
        finish(jobs, leader)


def test_leader_killed_while_the_store_is_down():
    """Guards against results that are lost with the leader that held them.

    Some tasks end in the outage before the leader is killed, some after it.
    """
    with small_cluster() as cluster:
        jobs = Jobs(cluster)
        leader = cluster.leaders()['north']
        through = other(cluster, leader)
        long = jobs.submit(job(6, 4000), through)
        wait_runs(cluster, 6, OWNED_AGAIN_S)
        jobs.submit(job(6, 1000), through)
        jobs.submit(job(12, 500), through)
        jobs.submit(job(8, 300, idempotent=True), through)
        wait_runs(cluster, 12, OWNED_AGAIN_S)
        set_faults(cluster.store, mode='down')
        # Room was found for queued tasks, so the first ends were reported.
        wait_runs(cluster, 18, OWNED_AGAIN_S)
        cluster.daemons[leader].kill()
        wait_ended(cluster, long, OWNED_AGAIN_S)
        status = cluster.daemons[through].call('GET', '/v1/status').content
        assert not status['is_store_reachable']
        set_faults(cluster.store, mode='up')
        took = wait_new_start(cluster, through, time.monotonic())
        print(f'first new start {took:.1f} s after the return of the store')
        assert took <= OWNED_AGAIN_S
        finish(jobs, through)
