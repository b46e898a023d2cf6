"""Many cancellations that race with starts and ends of their jobs."""

import collections
import concurrent.futures
import random
import time

import pytest

from demo.history import check_quiet_after
from tests.support import (
    COMPLETION_LIMIT_S,
    TEAM,
    JobTracker,
    job,
    now_ms,
    small_cluster,
)

pytestmark = pytest.mark.processes

_JOBS = 300


def test_wave_of_cancellations():
    """Guards against cancelled jobs that run on, never end or stay uncancelled.

    Half of the cancellations follow their submission at once, while a leader
    claims the job; the rest come together and race with starts and ends.
    """
    rng = random.Random(6)
    bodies = [
        job(1, rng.randint(20, 300), idempotent=rng.random() < 0.5)
        for _ in range(_JOBS)
    ]
    with small_cluster() as cluster:
        jobs = JobTracker(cluster)
        names = list(cluster.daemons) * _JOBS
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            early = dict(
                pool.map(_submit_and_cancel, [jobs] * _JOBS, bodies, names)
            )
            late = [job_id for job_id, status in early.items() if not status]
            rng.shuffle(late)
            statuses = pool.map(_cancel, [cluster] * _JOBS, late, names)
            answers = early | dict(zip(late, statuses, strict=True))
            started = time.monotonic()
            ended = dict(pool.map(_wait, [jobs] * _JOBS, answers))
        print(f'all ended {time.monotonic() - started:.1f} s after the wave')
        views = {job_id: view for job_id, (view, _) in ended.items()}
        states = collections.Counter(view['state'] for view in views.values())
        print(f'{dict(states)}, {collections.Counter(answers.values())}')
        assert set(states) == {'cancelled', 'finished'}, states
        for job_id, status in answers.items():
            assert status in {'cancelled', 'finished'}, status
            if status == 'finished':
                assert views[job_id]['state'] == 'finished', views[job_id]
        runs = jobs.check(views)
        end_reported_ms = {
            job_id: reported_ms for job_id, (_, reported_ms) in ended.items()
        }
        assert not check_quiet_after(runs, end_reported_ms)


def _submit_and_cancel(jobs, body, name):
    """Submit a job and, unless it is idempotent, cancel it at once."""
    job_id = jobs.submit(body, name)
    if body['idempotent']:
        return job_id, None
    return job_id, _cancel(jobs.cluster, job_id, name)


def _cancel(cluster, job_id, name):
    daemon = cluster.daemons[name]
    path = f'/v1/jobs/{job_id}/cancel'
    answer = daemon.call('POST', path, headers=cluster.key(TEAM)).content
    return answer.get('outcome') or answer['error']


def _wait(jobs, job_id):
    view = jobs.cluster.wait_job(jobs.accepted[job_id], COMPLETION_LIMIT_S)
    assert view.get('is_final'), (job_id, view)
    return job_id, (view, now_ms())
