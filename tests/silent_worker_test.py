"""A worker that stops answering while tasks are started on it.

Guards against work that waits for a worker which left a start unanswered while
other workers have free capacity, and against an unanswered start that is lost,
repeated or not counted.
"""

import time

import pytest

from demo.history import kill_worker
from demo.processes import wait_until
from tests.guarantee_support import print_figure
from tests.support import (
    COMPLETION_LIMIT_S,
    TAKEOVER_LIMIT_S,
    JobTracker,
    job,
    small_cluster,
    wait_all_finished,
    wait_runs,
)

pytestmark = pytest.mark.processes

# Design, 1.3: urgent work starts within this time.
URGENT_S = 1.6
# The daemons' setting `call_timeout_ms`, in seconds.
START_TIMEOUT_S = 2


def test_start_without_an_answer_takes_its_worker_out_of_use():
    """Guards against placing further tasks on a silent worker.

    Bin packing prefers the worker that holds the unanswered start.
    """
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        jobs.submit(job(1, 100))
        first = wait_runs(cluster, 1, TAKEOVER_LIMIT_S)[0].upstream
        jobs.wait_all()
        silent = cluster.workers[first]
        silent.pause()
        silent_job = jobs.submit(job(1, 100))
        time.sleep(START_TIMEOUT_S + 0.5)

        def runs_elsewhere():
            others = dict(cluster.workers)
            others.pop(first)
            return [
                task
                for worker in others.values()
                for task in worker.call('GET', '/admin/history').content[
                    'tasks'
                ]
            ]

        for _ in range(3):
            sent = time.monotonic()
            before = len(runs_elsewhere())
            jobs.submit(job(1, 100, queue='previews'))
            wait_until(
                lambda before=before: len(runs_elsewhere()) > before,
                COMPLETION_LIMIT_S,
                'a preview starts elsewhere',
            )
            took = time.monotonic() - sent
            print_figure('preview beside a silent worker', took, URGENT_S, 's')
            assert took <= URGENT_S
        silent.resume()
        runs = wait_all_finished(jobs)
        assert [r.upstream for r in runs if r.job_id == silent_job] == [first]


def test_task_of_a_dead_worker_that_stays_listed():
    """Guards against work that waits forever for a dead worker.

    The instance list still contains the worker, so only the expiry of its task
    lease proves that the task has ended.
    """
    timing = {'task_lease_ms': 1000, 'renew_wait_ms': 200}
    with small_cluster(timing=timing) as cluster:
        jobs = JobTracker(cluster)
        idempotent_id = jobs.submit(job(1, 3000, idempotent=True))
        non_idempotent_id = jobs.submit(job(1, 3000))
        runs = wait_runs(cluster, 2, TAKEOVER_LIMIT_S)
        dead = {run.upstream for run in runs}
        for name in dead:
            kill_worker(cluster, name)
        began = time.monotonic()
        wait_runs(cluster, 3, TAKEOVER_LIMIT_S)
        print_figure(
            'task runs elsewhere',
            time.monotonic() - began,
            TAKEOVER_LIMIT_S,
            's',
        )
        views = jobs.wait_all()
        assert views[idempotent_id]['state'] == 'finished', views[idempotent_id]
        assert views[non_idempotent_id]['state'] == 'unknown', views[
            non_idempotent_id
        ]
        jobs.check(views)
