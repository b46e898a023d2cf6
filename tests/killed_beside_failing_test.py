"""A leader that is killed while a worker fails everything it starts.

Guards against work that is lost or doubled when what the leader has learned
about a worker is lost with it.
"""

import random
import time

import pytest

from tests.guarantee_support import show
from tests.support import (
    OWNED_AGAIN_S,
    Jobs,
    job,
    other,
    set_faults,
    small_cluster,
    wait_new_start,
    wait_runs,
)

pytestmark = pytest.mark.processes


@pytest.mark.parametrize('seed', [31, 32])
def test_leader_killed_beside_a_worker_that_fails_everything(seed):
    """Guards against retries used up by a worker that a leader knew as bad.

    What the former leader had learned about the worker is lost with it.
    """
    source = random.Random(seed)
    with small_cluster(workers=2) as cluster:
        jobs = Jobs(cluster)
        leader = cluster.leaders()['north']
        through = other(cluster, leader)
        set_faults(cluster.workers['north-w1'], fail_starts=True)
        again = [
            jobs.submit(job(12, 400, idempotent=True), through)
            for _ in range(3)
        ]
        once = jobs.submit(job(12, 400), through)
        wait_runs(cluster, source.randint(4, 12), OWNED_AGAIN_S)
        cluster.daemons[leader].kill()
        took = wait_new_start(cluster, through, time.monotonic())
        show(f'seed {seed}: owned again', took, OWNED_AGAIN_S, 's')
        assert took <= OWNED_AGAIN_S
        shown = jobs.wait_all(through=through)
        for job_id in again:
            assert shown[job_id]['state'] == 'finished', shown[job_id]
        runs = [run for run in jobs.check(shown) if run.job_id == once]
        failed = [run for run in runs if run.outcome == 'failed']
        assert shown[once]['tasks'].count('failed') == len(failed)
        assert shown[once]['tasks'].count('finished') == 12 - len(failed)
