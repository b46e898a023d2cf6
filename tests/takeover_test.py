"""Leaders that are killed or paused while they own work."""

import random
import time

import pytest

from demo.processes import wait_until
from tests.support import (
    TAKEOVER_LIMIT_S,
    JobTracker,
    job,
    other_daemon,
    set_faults,
    small_cluster,
    wait_all_finished,
    wait_ended,
    wait_new_start,
    wait_runs,
)

pytestmark = pytest.mark.processes


@pytest.mark.parametrize('seed', [1, 2])
def test_killed_leader_work_is_owned_again(seed):
    """Guards against work that a takeover loses or runs twice."""
    rng = random.Random(seed)
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        leader = cluster.leaders()['north']
        through = other_daemon(cluster, leader)
        jobs.submit(job(4, 1000, queue='gangs'), through)
        jobs.submit(job(16, 1000), through)
        jobs.submit(job(16, 1000, idempotent=True), through)
        jobs.submit(job(12, 500, queue='gangs', idempotent=True), through)
        wait_runs(cluster, rng.randint(1, 24), TAKEOVER_LIMIT_S)
        cluster.daemons[leader].kill()
        took = wait_new_start(cluster, through, time.monotonic())
        print(f'seed {seed}: first new start {took:.1f} s after the kill')
        assert took <= TAKEOVER_LIMIT_S
        wait_all_finished(jobs, through)


def test_paused_leader_starts_nothing_twice():
    """Guards against late starts of a former leader that run a task twice.

    Starts in flight when the leader is paused reach the workers after the new
    leader has started the same tasks.
    """
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        leader = cluster.leaders()['north']
        through = other_daemon(cluster, leader)
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
            TAKEOVER_LIMIT_S,
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
        wait_all_finished(jobs, through)
        # The daemon that was replaced can lead again.
        cluster.daemons[through].kill()
        killed_at = time.monotonic()
        jobs.submit(job(4, 100), leader)
        assert wait_new_start(cluster, leader, killed_at) <= TAKEOVER_LIMIT_S
        wait_all_finished(jobs, leader)


def test_leader_killed_while_the_store_is_down():
    """Guards against results that are lost with a killed leader.

    Some tasks end in the outage before the leader is killed, some afterwards.
    """
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        leader = cluster.leaders()['north']
        through = other_daemon(cluster, leader)
        long = jobs.submit(job(6, 4000), through)
        wait_runs(cluster, 6, TAKEOVER_LIMIT_S)
        jobs.submit(job(6, 1000), through)
        jobs.submit(job(12, 500), through)
        jobs.submit(job(8, 300, idempotent=True), through)
        wait_runs(cluster, 12, TAKEOVER_LIMIT_S)
        set_faults(cluster.store, mode='down')
        # 24 starts mean that capacity was freed for queued tasks twice, so the
        # first ends were reported and renewals, which carry acks, followed.
        wait_runs(cluster, 24, TAKEOVER_LIMIT_S)
        cluster.daemons[leader].kill()
        wait_ended(cluster, long, TAKEOVER_LIMIT_S)
        status = cluster.daemons[through].call('GET', '/v1/status').content
        assert not status['is_store_reachable']
        set_faults(cluster.store, mode='up')
        took = wait_new_start(cluster, through, time.monotonic())
        print(f'first new start {took:.1f} s after the return of the store')
        assert took <= TAKEOVER_LIMIT_S
        wait_all_finished(jobs, through)
