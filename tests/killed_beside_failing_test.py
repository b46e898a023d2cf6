"""A leader that is killed while a worker fails every task it starts.

Guards against work that is lost or runs twice when the leader's failure
statistics of the worker are lost with the leader.
"""

import random
import time

import pytest

from tests.guarantee_support import print_figure
from tests.support import (
    TAKEOVER_LIMIT_S,
    JobTracker,
    job,
    other_daemon,
    set_faults,
    small_cluster,
    wait_new_start,
    wait_runs,
)

pytestmark = pytest.mark.processes


@pytest.mark.parametrize('seed', [31, 32])
def test_leader_killed_beside_a_worker_that_fails_everything(seed):
    """Guards against retries that a known failing worker uses up.

    The new leader does not have the former leader's failure statistics.
    """
    rng = random.Random(seed)
    with small_cluster(workers=2) as cluster:
        jobs = JobTracker(cluster)
        leader = cluster.leaders()['north']
        through = other_daemon(cluster, leader)
        set_faults(cluster.workers['north-w1'], fail_starts=True)
        idempotent_ids = [
            jobs.submit(job(12, 400, idempotent=True), through)
            for _ in range(3)
        ]
        non_idempotent_id = jobs.submit(job(12, 400), through)
        wait_runs(cluster, rng.randint(4, 12), TAKEOVER_LIMIT_S)
        cluster.daemons[leader].kill()
        took = wait_new_start(cluster, through, time.monotonic())
        print_figure(f'seed {seed}: owned again', took, TAKEOVER_LIMIT_S, 's')
        assert took <= TAKEOVER_LIMIT_S
        views = jobs.wait_all(through=through)
        for job_id in idempotent_ids:
            assert views[job_id]['state'] == 'finished', views[job_id]
        runs = [
            run for run in jobs.check(views) if run.job_id == non_idempotent_id
        ]
        failed = [run for run in runs if run.outcome == 'failed']
        assert views[non_idempotent_id]['tasks'].count('failed') == len(failed)
        assert views[non_idempotent_id]['tasks'].count('finished') == 12 - len(
            failed
        )
