"""A store that is down, slow, loses answers, or is unreachable for some."""

import random
import time

import pytest

from demo.history import task_runs
from demo.processes import wait_until
from tests.support import (
    COMPLETION_LIMIT_S,
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

_LONG_RUN_MS = 4000
"""Longer than the store lease on leadership of 3000 ms."""

_OUTAGE_DETECTION_LIMIT_S = 3
"""Bound on the age of the evidence on which keyed work is accepted."""


@pytest.mark.parametrize(
    'faults',
    [{'mode': 'down'}, {'mode': 'slow', 'delay_ms': 2500}],
    ids=['down', 'slow'],
)
def test_work_goes_on_without_store(faults):
    """Guards against an outage that stops accepted work.

    Also guards against work that was refused in the outage and runs later.
    """
    with small_cluster(daemons=3) as cluster:
        jobs = JobTracker(cluster)
        leader = cluster.leaders()['north']
        long = jobs.submit(job(8, _LONG_RUN_MS), leader)
        queued = jobs.submit(job(16, 1000), leader)
        before = len(wait_runs(cluster, 12, TAKEOVER_LIMIT_S))
        assert before < 24
        set_faults(cluster.store, **faults)
        names = list(cluster.daemons)
        for name in names:
            jobs.try_submit(job(1, 10), name)
        wait_until(
            lambda: all(
                not daemon.call('GET', '/v1/status').content[
                    'is_store_reachable'
                ]
                for daemon in cluster.daemons.values()
            ),
            _OUTAGE_DETECTION_LIMIT_S,
            'all daemons know of the outage',
        )
        for name in names:
            answer = jobs.try_submit(job(1, 10), name)
            assert answer.status == 503, answer.body
            assert answer.content['outcome'] == 'refused'
            assert answer.content['reason'] == 'store_unavailable'
        wait_ended(cluster, long, TAKEOVER_LIMIT_S)
        wait_ended(cluster, queued, TAKEOVER_LIMIT_S)
        assert len(wait_runs(cluster, 24, TAKEOVER_LIMIT_S)) > before
        set_faults(cluster.store, mode='up')
        back_at = time.monotonic()
        views = jobs.wait_all(TAKEOVER_LIMIT_S)
        print(f'recorded {time.monotonic() - back_at:.1f} s after the return')
        assert {view['state'] for view in views.values()} == {'finished'}
        jobs.check(views)


def test_lost_answers_of_writes_leave_one_job():
    """Guards against a lost write answer that creates two jobs, or none.

    The writer must find out whether the stored value is its own.
    """
    rng = random.Random(3)
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        names = list(cluster.daemons)
        for number in range(12):
            body = job(2, 200, idempotency_key=f'run-{number}')
            set_faults(
                cluster.store,
                lose_next_write_answers=rng.randint(1, 4),
                lose_kinds=['put'],
            )
            first = jobs.submit(body, rng.choice(names))
            assert jobs.submit(body, rng.choice(names)) == first
        # Covers every claim and every result that follows.
        set_faults(cluster.store, lose_next_write_answers=24)
        runs = wait_all_finished(jobs)
        assert len(runs) == 24


def test_one_leader_cut_from_the_store_is_replaced():
    """Guards against a replaced leader that can never lead again."""
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        leader = cluster.leaders()['north']
        through = other_daemon(cluster, leader)
        jobs.submit(job(8, _LONG_RUN_MS), through)
        jobs.submit(job(24, 1000), through)
        wait_runs(cluster, 12, TAKEOVER_LIMIT_S)
        set_faults(cluster.store, refuse_from=[leader])
        wait_until(
            lambda: cluster.leaders().get('north') == through,
            TAKEOVER_LIMIT_S,
            'another leader',
        )
        wait_all_finished(jobs, through)
        set_faults(cluster.store, refuse_from=[])
        wait_until(
            lambda: (
                cluster.daemons[leader]
                .call('GET', '/v1/status')
                .content['is_store_reachable']
            ),
            _OUTAGE_DETECTION_LIMIT_S,
            'the store is reachable again',
        )
        cluster.daemons[through].kill()
        killed_at = time.monotonic()
        jobs.submit(job(4, 100), leader)
        took = wait_new_start(cluster, leader, killed_at)
        print(f'first new start {took:.1f} s after the kill')
        assert took <= TAKEOVER_LIMIT_S
        wait_all_finished(jobs, leader)


def test_domain_cut_from_the_store_heals():
    """Guards against work that runs twice after a domain lost the store.

    All daemons of the domain are cut off, so none can take over from another.
    """
    with small_cluster(domains=('north', 'south')) as cluster:
        jobs = JobTracker(cluster)
        north = [name for name in cluster.daemons if name.startswith('north')]
        leaders = cluster.leaders()
        long = jobs.submit(job(8, _LONG_RUN_MS), leaders['north'])
        jobs.submit(job(24, 500), leaders['north'])
        jobs.submit(job(24, 500, idempotent=True), leaders['south'])
        wait_runs(cluster, 24, TAKEOVER_LIMIT_S)
        set_faults(cluster.store, refuse_from=north)
        wait_until(
            lambda: (
                not cluster.daemons[leaders['north']]
                .call('GET', '/v1/status')
                .content['is_store_reachable']
            ),
            _OUTAGE_DETECTION_LIMIT_S,
            'the cut is known',
        )
        answer = jobs.try_submit(job(1, 10), leaders['north'])
        assert answer.content['reason'] == 'store_unavailable'
        jobs.submit(job(8, 500), leaders['south'])
        wait_ended(cluster, long, COMPLETION_LIMIT_S)
        # Queued tasks of the domain start where recorded intents allow it.
        wait_runs(cluster, 64, COMPLETION_LIMIT_S)
        set_faults(cluster.store, refuse_from=[])
        healed_at = time.monotonic()
        views = jobs.wait_all(TAKEOVER_LIMIT_S)
        print(f'recorded {time.monotonic() - healed_at:.1f} s after healing')
        assert {view['state'] for view in views.values()} == {'finished'}
        jobs.check(views)
        assert len(task_runs(cluster)) == 64
