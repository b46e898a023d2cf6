"""Workers that fail, restart, disappear, or lose answers."""

import collections
import random

import pytest

from demo.history import kill_worker
from demo.processes import wait_until
from tests.support import (
    OWNED_AGAIN_S,
    Jobs,
    finish,
    job,
    set_faults,
    small_cluster,
    wait_runs,
)

pytestmark = pytest.mark.processes


def test_worker_that_fails_everything():
    """Guards against a worker that attracts work by failing it at once."""
    with small_cluster() as cluster:
        jobs = Jobs(cluster)
        set_faults(cluster.workers['north-w1'], fail_starts=True)
        again = jobs.submit(job(24, 300, idempotent=True))
        once = jobs.submit(job(16, 300))
        shown = jobs.wait_all()
        runs = jobs.check(shown)
        assert shown[again]['state'] == 'finished', shown[again]
        assert shown[once]['state'] == 'failed', shown[once]
        counts = collections.Counter(
            run.name for run in runs if run.job_id == once
        )
        assert len(counts) == 16
        assert set(counts.values()) == {1}


def test_worker_reboots():
    """Guards against tasks of a forgotten boot that are run twice or lost."""
    with small_cluster() as cluster:
        jobs = Jobs(cluster)
        again = jobs.submit(job(6, 2000, idempotent=True))
        once = jobs.submit(job(6, 2000))
        gang = jobs.submit(job(6, 300, queue='gangs', idempotent=True))
        runs = wait_runs(cluster, 12, OWNED_AGAIN_S)
        lost = [run.job_id for run in runs if run.upstream == 'north-w2'].count(
            once
        )
        cluster.workers['north-w2'].call('POST', '/admin/reboot')
        _check_lost(jobs, jobs.wait_all(), again=again, once=once, lost=lost)
        assert jobs.wait_all()[gang]['state'] == 'finished'


def test_gang_member_lost_after_others_finished():
    """Guards against a gang that waits for members that have finished."""
    with small_cluster() as cluster:
        jobs = Jobs(cluster)
        gang = jobs.submit(job(4, 500, queue='gangs', idempotent=True))
        runs = wait_runs(cluster, 4, OWNED_AGAIN_S)
        slow = runs[-1]
        lease = cluster.workers[slow.upstream].call('GET', '/admin/history')
        answer = cluster.workers[slow.upstream].call(
            'POST',
            f'/v1/tasks/{slow.name}/throttle',
            {
                'lease_id': lease.content['leases'][-1]['lease_id'],
                'percent': 1,
            },
        )
        assert answer.status == 200
        wait_until(
            lambda: (
                'finished'
                in cluster.wait_job(jobs.accepted[gang], 0.1).get('tasks', ())
            ),
            OWNED_AGAIN_S,
            'the other members have finished',
        )
        cluster.workers[slow.upstream].call('POST', '/admin/reboot')
        finish(jobs)


def test_worker_killed_and_unlisted():
    """Guards against a further attempt without proof, and against none."""
    with small_cluster() as cluster:
        jobs = Jobs(cluster)
        again = jobs.submit(job(6, 2000, idempotent=True))
        once = jobs.submit(job(6, 2000))
        runs = wait_runs(cluster, 12, OWNED_AGAIN_S)
        on_worker = [run for run in runs if run.upstream == 'north-w0']
        lost = sum(run.job_id == once for run in on_worker)
        kill_worker(cluster, 'north-w0')
        cluster.list_instances({'north-w0': None})
        shown = jobs.wait_all()
        _check_lost(jobs, shown, again=again, once=once, lost=lost)


@pytest.mark.parametrize('seed', [4, 5])
def test_lost_and_delayed_answers_of_starts(seed):
    """Guards against starting again what an answer did not confirm.

    Records name one worker at first, so that many starts wait for the store
    while the lease of their worker is opened anew.
    """
    source = random.Random(seed)
    with small_cluster(limits={'intent_width': 1}) as cluster:
        jobs = Jobs(cluster)
        workers = list(cluster.workers.values())
        set_faults(cluster.store, mode='slow', delay_ms=source.randint(20, 90))
        for round_ in range(4):
            for worker in workers:
                set_faults(
                    worker,
                    lose_next_write_answers=source.randint(1, 6),
                    lose_kinds=['start'],
                )
            for _ in range(6):
                jobs.submit(job(source.randint(1, 6), source.randint(50, 400)))
            if round_ == 2:
                # Longer than the timeout of a start.
                set_faults(workers[0], mode='slow', delay_ms=3000)
        set_faults(cluster.store, mode='up')
        wait_runs(cluster, 40, OWNED_AGAIN_S)
        set_faults(workers[0], mode='up')
        finish(jobs)


def _check_lost(jobs, shown, *, again, once, lost):
    runs = jobs.check(shown)
    assert shown[again]['state'] == 'finished', shown[again]
    assert shown[once]['tasks'].count('unknown') == lost, shown[once]
    assert shown[once]['tasks'].count('finished') == 6 - lost, shown[once]
    assert sum(run.job_id == once for run in runs) == 6
