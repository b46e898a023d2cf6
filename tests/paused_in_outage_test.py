"""A leader that is paused past its lease while the store is down.

Guards against work that is lost or runs twice because a former leader cannot
read in the store that it was replaced.
"""

import random
import time

import pytest

from demo.history import task_runs
from demo.processes import wait_until
from tests.guarantee_support import print_figure
from tests.support import (
    COMPLETION_LIMIT_S,
    TAKEOVER_LIMIT_S,
    JobTracker,
    job,
    other_daemon,
    set_faults,
    small_cluster,
    wait_all_finished,
    wait_runs,
)

pytestmark = pytest.mark.processes

# The daemons' setting `leadership_ttl_ms`, in seconds.
LEADERSHIP_TTL_S = 3
# Longer than the timeout of a start call, so that starts arrive after the
# takeover.
START_DELAY_MS = 8000


def starts_received(cluster):
    """Count the start calls; a slow worker may not have executed them yet."""
    calls = (
        worker.call('GET', '/admin/calls').content['by_kind']
        for worker in cluster.workers.values()
    )
    return sum(kinds.get('start', 0) for kinds in calls)


def wait_serving(jobs, through, since):
    """Measure how long it takes until a new job is accepted and starts.

    Jobs that were submitted earlier may still be pending.
    """
    wait_until(
        lambda: jobs.try_submit(job(1, 50), through).status == 202,
        TAKEOVER_LIMIT_S,
        'a job is accepted',
    )
    newest = list(jobs.accepted)[-1]
    wait_until(
        lambda: any(run.job_id == newest for run in task_runs(jobs.cluster)),
        COMPLETION_LIMIT_S,
        'it starts',
    )
    return time.monotonic() - since


@pytest.mark.parametrize(('seed', 'resumes_first'), [(21, True), (22, False)])
def test_leader_paused_while_the_store_is_down(seed, resumes_first):
    """Guards against a former leader that keeps starting tasks.

    Its leadership lease has expired when it resumes, but it cannot read this
    while the store is down, and its starts from before the pause arrive late.
    """
    rng = random.Random(seed)
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        leader = cluster.leaders()['north']
        through = other_daemon(cluster, leader)
        jobs.submit(job(6, 3000), through)
        wait_runs(cluster, 6, TAKEOVER_LIMIT_S)
        for worker in cluster.workers.values():
            set_faults(worker, mode='slow', delay_ms=START_DELAY_MS)
        late_starts = rng.randint(3, 6)
        jobs.submit(job(late_starts, 500), through)
        jobs.submit(job(12, 300, idempotent=True), through)
        wait_until(
            lambda: starts_received(cluster) >= 6 + late_starts,
            TAKEOVER_LIMIT_S,
            'starts under way',
        )
        sent_at = time.monotonic()
        set_faults(cluster.store, mode='down')
        cluster.daemons[leader].pause()
        for slow in cluster.workers.values():
            set_faults(slow, mode='up')
        past = time.monotonic() + LEADERSHIP_TTL_S + 1
        wait_until(
            lambda: time.monotonic() > past,
            COMPLETION_LIMIT_S,
            'the lease is over',
        )
        if resumes_first:
            cluster.daemons[leader].resume()
        set_faults(cluster.store, mode='up')
        took = wait_serving(jobs, through, time.monotonic())
        print_figure(f'seed {seed}: owned again', took, TAKEOVER_LIMIT_S, 's')
        assert took <= TAKEOVER_LIMIT_S
        cluster.daemons[leader].resume()
        arrived = sent_at + START_DELAY_MS / 1000 + 0.5
        wait_until(
            lambda: time.monotonic() > arrived,
            COMPLETION_LIMIT_S,
            'late starts',
        )
        wait_all_finished(jobs, through)
