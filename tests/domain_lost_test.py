"""A failure domain that is lost as a whole, and declared `lost`.

Guards against a team that is left without the part of its limit that a lost
domain held, against one that exceeds its limit when the part is given out
again, and against work of the domain that is lost or doubled when it returns.
"""

import time

import pytest

from demo.cluster import Cluster
from demo.history import (
    check_all,
    check_started_once,
    kill_worker,
    request_runs,
    task_runs,
)
from demo.processes import start_stand_in, wait_until
from tests.guarantee_support import (
    IN_FORCE_S,
    TASK_CPU,
    Background,
    send_request,
    show,
    small_shape,
    submit_endless,
    teams,
)
from tests.support import END_S, OWNED_AGAIN_S

pytestmark = pytest.mark.processes

TEAM = 'millrace'
LIMIT_TASKS = 18
LOST = 'east'
HELD_TASKS = 10


class LosingCluster(Cluster):
    """A cluster that declares a domain lost."""

    lost_state = 'active'

    def document(self):
        document = super().document()
        for domain in document['domains']:
            if domain['name'] == LOST:
                domain['state'] = self.lost_state
        return document

    def declare(self, state):
        self.lost_state = state
        answer = self.apply(self.document(), through='north-0')
        assert answer.status == 200, answer.body

    def lose_domain(self):
        """End all of the domain, as far as it was started."""
        self.daemons[f'{LOST}-0'].kill()
        kill_worker(self, f'{LOST}-w0')
        self.executors[f'{LOST}-x0'].kill()

    def unlist_domain(self):
        self.list_instances({f'{LOST}-w0': None, f'{LOST}-x0': None})


def running(cluster, *, domain='', submitted=None):
    job_id = submitted.content['job_id'] if submitted else None
    return sum(
        run.outcome is None
        and run.end_ms == float('inf')
        and run.upstream.startswith(domain)
        and job_id in {None, run.job_id}
        for run in task_runs(cluster)
    )


def cancel(cluster, submitted):
    path = f'/v1/jobs/{submitted.content["job_id"]}/cancel'
    cluster.daemons['north-0'].call('POST', path, headers=cluster.key(TEAM))


def test_domain_lost_and_declared_lost():
    limit = {'cpu_millis': LIMIT_TASKS * TASK_CPU}
    with LosingCluster(shape=small_shape(), teams=teams(**limit)) as cluster:
        again = submit_endless(cluster, TEAM, 'east-0', HELD_TASKS - 2)
        once = submit_endless(cluster, TEAM, 'east-0', 2, idempotent=False)
        wait_running(cluster, HELD_TASKS)
        rest = [
            submit_endless(cluster, TEAM, name, 30)
            for name in ('north-0', 'south-0')
        ]
        wait_running(cluster, LIMIT_TASKS)
        with Background(pause_s=0.02) as background:
            for name in ('north-0', 'south-0'):
                background.add(
                    name,
                    send_request,
                    cluster.daemons[name],
                    cluster.key('fenland'),
                )
            cluster.lose_domain()
            cluster.unlist_domain()
            time.sleep(IN_FORCE_S)
            kept = LIMIT_TASKS - HELD_TASKS
            assert running(cluster) == kept, 'not declared lost yet'
            cluster.declare('lost')
            took = wait_running(cluster, LIMIT_TASKS)
            show('lost part used elsewhere', took, IN_FORCE_S, 's')
            assert took <= IN_FORCE_S
        judge_requests(cluster, background)
        bring_back(cluster, once)
        for submitted in rest:
            cancel(cluster, submitted)
        took = wait_until(
            lambda: running(cluster, submitted=again) == HELD_TASKS - 2,
            OWNED_AGAIN_S,
            'idempotent work of the domain runs again',
        )
        show('work runs again after room', took, OWNED_AGAIN_S, 's')
        cancel(cluster, again)
        for ended in (*rest, again):
            assert cluster.wait_job(ended, END_S)['state'] == 'cancelled'
        runs = task_runs(cluster)
        assert not check_all(cluster)
        assert not check_started_once(runs, {once.content['job_id']})


def wait_running(cluster, count):
    return wait_until(
        lambda: running(cluster) == count, 2 * OWNED_AGAIN_S, f'{count} run'
    )


def bring_back(cluster, once):
    """Start the domain anew with another worker."""
    worker = start_stand_in(
        'worker', {'capacity': cluster.shape.worker_capacity}
    )
    cluster.add_worker(f'{LOST}-w1', LOST, worker)
    cluster.restart_daemon(f'{LOST}-0')
    cluster.declare('active')
    began = time.monotonic()
    view = cluster.wait_job(once, OWNED_AGAIN_S)
    show('owned again', time.monotonic() - began, OWNED_AGAIN_S, 's')
    assert view['state'] == 'unknown', view


def judge_requests(cluster, background):
    """Check that what ran was answered, and nothing else was."""
    replies = background.all()
    lost = [r for r in replies if r.status not in {200, 429, 503}]
    show('requests lost', len(lost), 0, f'of {len(replies)}')
    assert not lost, lost[0]
    answered = [reply for reply in replies if reply.status == 200]
    assert len(answered) == len(request_runs(cluster))
    assert len(answered) > 100
