"""Waves of cancellations that cross starts and finishes."""

import collections
import concurrent.futures
import random
import time

import pytest

from demo.history import check_quiet_after
from tests.support import (
    END_S,
    TEAM,
    Jobs,
    job,
    now_ms,
    small_cluster,
)

pytestmark = pytest.mark.processes

_JOBS = 300


def test_wave_of_cancellations():
    """Guards against cancelled jobs that run on, never end, or cannot be.

    Half of the cancellations follow their submission at once and cross its
    claim; the others come together and cross starts and finishes.
    """
    source = random.Random(6)
    bodies = [
        job(1, source.randint(20, 300), idempotent=source.random() < 0.5)
        for _ in range(_JOBS)
    ]
    with small_cluster() as cluster:
        jobs = Jobs(cluster)
        names = list(cluster.daemons) * _JOBS
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            early = dict(
                pool.map(_submit_and_cancel, [jobs] * _JOBS, bodies, names)
            )
            late = [job_id for job_id, status in early.items() if not status]
            source.shuffle(late)
            statuses = pool.map(_cancel, [cluster] * _JOBS, late, names)
            answers = early | dict(zip(late, statuses, strict=True))
            started = time.monotonic()
            ended = dict(pool.map(_wait, [jobs] * _JOBS, answers))
        print(f'all ended {time.monotonic() - started:.1f} s after the wave')
        shown = {job_id: view for job_id, (view, _) in ended.items()}
        states = collections.Counter(view['state'] for view in shown.values())
        print(f'{dict(states)}, {collections.Counter(answers.values())}')
        assert set(states) == {'cancelled', 'finished'}, states
        for job_id, status in answers.items():
            assert status in {'cancelled', 'finished'}, status
            if status == 'finished':
                assert shown[job_id]['state'] == 'finished', shown[job_id]
        runs = jobs.check(shown)
        told = {job_id: told_ms for job_id, (_, told_ms) in ended.items()}
        assert not check_quiet_after(runs, told)


def _submit_and_cancel(jobs, body, name):
    """Submit a job; cancel it at once when it is not idempotent."""
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
    view = jobs.cluster.wait_job(jobs.accepted[job_id], END_S)
    assert view.get('is_final'), (job_id, view)
    return job_id, (view, now_ms())
