"""Workers that fail tasks, reboot, disappear or lose answers."""

import collections
import random

import pytest

from demo.history import kill_worker
from demo.processes import wait_until
from tests.support import (
    TAKEOVER_LIMIT_S,
    JobTracker,
    job,
    set_faults,
    small_cluster,
    wait_all_finished,
    wait_runs,
)

pytestmark = pytest.mark.processes


def test_worker_that_fails_everything():
    """Guards against a worker that attracts work because it fails at once."""
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        set_faults(cluster.workers['north-w1'], fail_starts=True)
        idempotent_id = jobs.submit(job(24, 300, idempotent=True))
        non_idempotent_id = jobs.submit(job(16, 300))
        views = jobs.wait_all()
        runs = jobs.check(views)
        assert views[idempotent_id]['state'] == 'finished', views[idempotent_id]
        assert views[non_idempotent_id]['state'] == 'failed', views[
            non_idempotent_id
        ]
        counts = collections.Counter(
            run.name for run in runs if run.job_id == non_idempotent_id
        )
        assert len(counts) == 16
        assert set(counts.values()) == {1}


def test_worker_reboots():
    """Guards against losing or repeating tasks that a worker reboot ends."""
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        non_idempotent_id = jobs.submit(job(6, 2000))
        wait_runs(cluster, 6, TAKEOVER_LIMIT_S)
        idempotent_id = jobs.submit(job(6, 2000, idempotent=True))
        worker, lost = _busiest(
            wait_runs(cluster, 12, TAKEOVER_LIMIT_S), non_idempotent_id
        )
        gang = jobs.submit(job(6, 300, queue='gangs', idempotent=True))
        cluster.workers[worker].call('POST', '/admin/reboot')
        _check_lost(
            jobs,
            jobs.wait_all(),
            idempotent_id=idempotent_id,
            non_idempotent_id=non_idempotent_id,
            lost=lost,
        )
        assert jobs.wait_all()[gang]['state'] == 'finished'


def test_gang_member_lost_after_others_finished():
    """Guards against a gang that waits for members that have finished."""
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        gang = jobs.submit(job(4, 500, queue='gangs', idempotent=True))
        runs = wait_runs(cluster, 4, TAKEOVER_LIMIT_S)
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
            TAKEOVER_LIMIT_S,
            'the other members have finished',
        )
        cluster.workers[slow.upstream].call('POST', '/admin/reboot')
        wait_all_finished(jobs)


def test_worker_killed_and_unlisted():
    """Guards against a wrong decision on retries after a worker is gone.

    A new attempt needs proof that the former one has ended; with this proof an
    idempotent task must get one.
    """
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        non_idempotent_id = jobs.submit(job(6, 2000))
        wait_runs(cluster, 6, TAKEOVER_LIMIT_S)
        idempotent_id = jobs.submit(job(6, 2000, idempotent=True))
        worker, lost = _busiest(
            wait_runs(cluster, 12, TAKEOVER_LIMIT_S), non_idempotent_id
        )
        kill_worker(cluster, worker)
        cluster.list_instances({worker: None})
        views = jobs.wait_all()
        _check_lost(
            jobs,
            views,
            idempotent_id=idempotent_id,
            non_idempotent_id=non_idempotent_id,
            lost=lost,
        )


@pytest.mark.parametrize('seed', [4, 5])
def test_lost_and_delayed_answers_of_starts(seed):
    """Guards against a second start of a task whose first start may have run.

    Records name one worker at first, so that many starts wait for the store
    while the lease on their worker is reopened.
    """
    rng = random.Random(seed)
    with small_cluster(limits={'intent_width': 1}) as cluster:
        jobs = JobTracker(cluster)
        workers = list(cluster.workers.values())
        set_faults(cluster.store, mode='slow', delay_ms=rng.randint(20, 90))
        for round_ in range(4):
            for worker in workers:
                set_faults(
                    worker,
                    lose_next_write_answers=rng.randint(1, 6),
                    lose_kinds=['start'],
                )
            for _ in range(6):
                jobs.submit(job(rng.randint(1, 6), rng.randint(50, 400)))
            if round_ == 2:
                # Longer than the timeout of a start call.
                set_faults(workers[0], mode='slow', delay_ms=3000)
        set_faults(cluster.store, mode='up')
        wait_runs(cluster, 40, TAKEOVER_LIMIT_S)
        set_faults(workers[0], mode='up')
        wait_all_finished(jobs)


def _busiest(runs, job_id):
    """Find the worker with the most tasks of a job, and their number."""
    counts = collections.Counter(
        run.upstream for run in runs if run.job_id == job_id
    )
    return counts.most_common(1)[0]


def _check_lost(jobs, views, *, idempotent_id, non_idempotent_id, lost):
    runs = jobs.check(views)
    assert views[idempotent_id]['state'] == 'finished', views[idempotent_id]
    assert views[non_idempotent_id]['tasks'].count('unknown') == lost, views[
        non_idempotent_id
    ]
    assert views[non_idempotent_id]['tasks'].count('finished') == 6 - lost, (
        views[non_idempotent_id]
    )
    assert sum(run.job_id == non_idempotent_id for run in runs) == 6
