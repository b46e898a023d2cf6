"""Stops that are lost on their way to a worker.

Guards against a task that should make room and runs on, for each reason to
stop one, and against a second start of a task that was stopped.
"""

import pytest

from demo.history import task_runs
from demo.processes import wait_until
from jayshore.config.keys import generate_key
from tests.guarantee_support import IN_FORCE_S, show
from tests.support import (
    END_S,
    OWNED_AGAIN_S,
    TEAM,
    Jobs,
    job,
    set_faults,
    small_cluster,
    wait_runs,
)

pytestmark = pytest.mark.processes

# Design, 1.3: urgent work starts in a full cell within this time.
URGENT_S = 1.6
# A stop that is lost again each time must not use up the bounds: the calls
# fail at once, and a backoff of 50 ms to 1 s lies between them.
LOST = 2
ONE_PER_WORKER = {'cpu_millis': 20_000, 'memory_mb': 1024}
OTHER_TEAM = 'millrace'


def endless(tasks, **fields):
    """Describe a job that runs until it is stopped."""
    body = job(tasks, 0, idempotent=True, **fields)
    return {**body, 'payload': {}}


def lose_stops(cluster):
    for worker in cluster.workers.values():
        set_faults(worker, drop_next_stops=LOST)


def running(cluster, job_id):
    return [
        run
        for run in task_runs(cluster)
        if run.job_id == job_id and run.outcome is None
    ]


def cancel(cluster, job_id):
    path = f'/v1/jobs/{job_id}/cancel'
    answer = next(iter(cluster.daemons.values())).call(
        'POST', path, headers=cluster.key(TEAM)
    )
    assert answer.content['outcome'] == 'cancelled', answer.body


def finish_cancelled(cluster, jobs, *job_ids):
    """Cancel what runs for ever, and check everything."""
    for job_id in job_ids:
        cancel(cluster, job_id)
    shown = jobs.wait_all()
    for job_id in job_ids:
        assert shown[job_id]['state'] == 'cancelled', shown[job_id]
    return jobs.check(shown)


def with_teams(cluster):
    """Add a second team before the cluster starts."""
    cluster.teams.append({**cluster.teams[0], 'name': OTHER_TEAM})
    cluster.keys[OTHER_TEAM] = generate_key(OTHER_TEAM)
    return cluster


def test_lost_stops_of_preempted_tasks():
    """Guards against a preview that waits for room that is never made."""
    with with_teams(small_cluster()) as cluster:
        jobs = Jobs(cluster)
        batch = jobs.submit(endless(12))
        wait_runs(cluster, 12, OWNED_AGAIN_S)
        lane = jobs.submit(endless(4, queue='previews'))
        wait_runs(cluster, 16, OWNED_AGAIN_S)
        lose_stops(cluster)
        urgent = cluster.submit(OTHER_TEAM, job(1, 50, queue='previews'))
        assert urgent.status == 202, urgent.body
        jobs.expect(urgent, job(1, 50))
        took = wait_until(
            lambda: any(run.team == OTHER_TEAM for run in task_runs(cluster)),
            END_S,
            'the preview starts',
        )
        show('preview after lost stops', took, URGENT_S, 's')
        assert took <= URGENT_S
        finish_cancelled(cluster, jobs, batch, lane)


def test_lost_stops_above_a_lowered_limit():
    """Guards against a team that stays above its lowered limit."""
    with small_cluster() as cluster:
        jobs = Jobs(cluster)
        before = cluster.teams[0]['limit']
        batch = jobs.submit(endless(12))
        wait_runs(cluster, 12, OWNED_AGAIN_S)
        lose_stops(cluster)
        allowed = 4
        cluster.teams[0]['limit'] = {**before, 'cpu_millis': allowed * 8000}
        answer = cluster.apply(cluster.document())
        assert answer.status == 200, answer.body
        took = wait_until(
            lambda: len(running(cluster, batch)) <= allowed,
            END_S,
            'the lowered limit holds',
        )
        show('lowered limit after lost stops', took, IN_FORCE_S, 's')
        assert took <= IN_FORCE_S
        # The checker knows one limit; the runs before it was lowered keep to
        # the first one.
        cluster.teams[0]['limit'] = before
        finish_cancelled(cluster, jobs, batch)


def test_lost_stops_of_the_rest_of_a_gang():
    """Guards against a gang that runs in part for ever.

    One member is lost with its worker's boot; the stops of the others are
    lost, and only when they have ended can the gang start again as a whole.
    """
    with small_cluster() as cluster:
        jobs = Jobs(cluster)
        gang = jobs.submit(endless(4, queue='gangs', demand=ONE_PER_WORKER))
        runs = wait_runs(cluster, 4, OWNED_AGAIN_S)
        lose_stops(cluster)
        cluster.workers[runs[0].upstream].call('POST', '/admin/reboot')
        took = wait_until(
            lambda: (
                len(running(cluster, gang)) == 4
                and len(task_runs(cluster)) == 8
            ),
            END_S,
            'the gang runs again as a whole',
        )
        show('gang after lost stops', took, OWNED_AGAIN_S, 's')
        assert took <= OWNED_AGAIN_S
        finish_cancelled(cluster, jobs, gang)
