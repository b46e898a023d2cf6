"""Stop calls that fail before they reach a worker.

Guards against a task that keeps running because its stop was lost, for each
reason to stop a task, and against a second start of a stopped task.
"""

import pytest

from demo.history import task_runs
from demo.processes import wait_until
from jayshore.config.keys import generate_key
from tests.guarantee_support import IN_FORCE_S, print_figure
from tests.support import (
    COMPLETION_LIMIT_S,
    TAKEOVER_LIMIT_S,
    TEAM,
    JobTracker,
    job,
    set_faults,
    small_cluster,
    wait_runs,
)

pytestmark = pytest.mark.processes

# Design, 1.3: urgent work starts in a full cell within this time.
URGENT_S = 1.6
# Few enough that the retries stay within the bounds: a lost call fails at once,
# and the backoff between calls is 50 ms to 1 s.
LOST_STOPS = 2
ONE_PER_WORKER = {'cpu_millis': 20_000, 'memory_mb': 1024}
OTHER_TEAM = 'millrace'


def endless(tasks, **fields):
    """Build a submission of tasks that run until they are stopped."""
    body = job(tasks, 0, idempotent=True, **fields)
    return {**body, 'payload': {}}


def lose_stops(cluster):
    for worker in cluster.workers.values():
        set_faults(worker, drop_next_stops=LOST_STOPS)


def running_tasks(cluster, job_id):
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


def cancel_and_check(cluster, jobs, *job_ids):
    """Cancel endless jobs, then run all checks."""
    for job_id in job_ids:
        cancel(cluster, job_id)
    views = jobs.wait_all()
    for job_id in job_ids:
        assert views[job_id]['state'] == 'cancelled', views[job_id]
    return jobs.check(views)


def add_team(cluster):
    """Add a second team to a cluster that is not started yet."""
    cluster.teams.append({**cluster.teams[0], 'name': OTHER_TEAM})
    cluster.keys[OTHER_TEAM] = generate_key(OTHER_TEAM)
    return cluster


def test_lost_stops_of_preempted_tasks():
    """Guards against a preview that waits forever for a lost preemption."""
    with add_team(small_cluster()) as cluster:
        jobs = JobTracker(cluster)
        batch = jobs.submit(endless(12))
        wait_runs(cluster, 12, TAKEOVER_LIMIT_S)
        reserve_filler = jobs.submit(endless(4, queue='previews'))
        wait_runs(cluster, 16, TAKEOVER_LIMIT_S)
        lose_stops(cluster)
        urgent = cluster.submit(OTHER_TEAM, job(1, 50, queue='previews'))
        assert urgent.status == 202, urgent.body
        jobs.track(urgent, job(1, 50))
        took = wait_until(
            lambda: any(run.team == OTHER_TEAM for run in task_runs(cluster)),
            COMPLETION_LIMIT_S,
            'the preview starts',
        )
        print_figure('preview after lost stops', took, URGENT_S, 's')
        assert took <= URGENT_S
        cancel_and_check(cluster, jobs, batch, reserve_filler)


def test_lost_stops_above_a_lowered_limit():
    """Guards against a team that stays above its lowered limit."""
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        before = cluster.teams[0]['limit']
        batch = jobs.submit(endless(12))
        wait_runs(cluster, 12, TAKEOVER_LIMIT_S)
        lose_stops(cluster)
        allowed = 4
        cluster.teams[0]['limit'] = {**before, 'cpu_millis': allowed * 8000}
        answer = cluster.apply(cluster.document())
        assert answer.status == 200, answer.body
        took = wait_until(
            lambda: len(running_tasks(cluster, batch)) <= allowed,
            COMPLETION_LIMIT_S,
            'the lowered limit holds',
        )
        print_figure('lowered limit after lost stops', took, IN_FORCE_S, 's')
        assert took <= IN_FORCE_S
        # The checks compare all runs with one limit; the runs before the change
        # used the higher one.
        cluster.teams[0]['limit'] = before
        cancel_and_check(cluster, jobs, batch)


def test_lost_stops_of_the_rest_of_a_gang():
    """Guards against a gang that stays incomplete forever.

    One member is lost when its worker reboots, and the stops of the others are
    lost. The gang can only restart as a whole once those members have ended.
    """
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        gang = jobs.submit(endless(4, queue='gangs', demand=ONE_PER_WORKER))
        runs = wait_runs(cluster, 4, TAKEOVER_LIMIT_S)
        lose_stops(cluster)
        cluster.workers[runs[0].upstream].call('POST', '/admin/reboot')
        took = wait_until(
            lambda: (
                len(running_tasks(cluster, gang)) == 4
                and len(task_runs(cluster)) == 8
            ),
            COMPLETION_LIMIT_S,
            'the gang runs again as a whole',
        )
        print_figure('gang after lost stops', took, TAKEOVER_LIMIT_S, 's')
        assert took <= TAKEOVER_LIMIT_S
        cancel_and_check(cluster, jobs, gang)
