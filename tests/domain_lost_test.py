"""A failure domain that fails as a whole and is declared `lost`.

Guards against a team that cannot use the grant that the lost domain held, or
that exceeds its limit once other domains get this grant, and against work of
the domain that is lost or runs twice when the domain returns.
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
    BackgroundCalls,
    print_figure,
    send_request,
    small_shape,
    submit_endless,
    teams,
)
from tests.support import COMPLETION_LIMIT_S, TAKEOVER_LIMIT_S

pytestmark = pytest.mark.processes

TEAM = 'millrace'
LIMIT_TASKS = 18
LOST_DOMAIN = 'east'
HELD_TASKS = 10


class LostDomainCluster(Cluster):
    """A cluster in which one domain can fail and be declared lost."""

    lost_state = 'active'

    def document(self):
        document = super().document()
        for domain in document['domains']:
            if domain['name'] == LOST_DOMAIN:
                domain['state'] = self.lost_state
        return document

    def declare(self, state):
        self.lost_state = state
        answer = self.apply(self.document(), through='north-0')
        assert answer.status == 200, answer.body

    def lose_domain(self):
        """Kill the daemon, the worker and the executor of the domain."""
        self.daemons[f'{LOST_DOMAIN}-0'].kill()
        kill_worker(self, f'{LOST_DOMAIN}-w0')
        self.executors[f'{LOST_DOMAIN}-x0'].kill()

    def unlist_domain(self):
        self.list_instances(
            {f'{LOST_DOMAIN}-w0': None, f'{LOST_DOMAIN}-x0': None}
        )


def count_running(cluster, *, domain='', submitted=None):
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
    with LostDomainCluster(
        shape=small_shape(), teams=teams(**limit)
    ) as cluster:
        idempotent_job = submit_endless(cluster, TEAM, 'east-0', HELD_TASKS - 2)
        non_idempotent_job = submit_endless(
            cluster, TEAM, 'east-0', 2, idempotent=False
        )
        wait_running(cluster, HELD_TASKS)
        other_jobs = [
            submit_endless(cluster, TEAM, name, 30)
            for name in ('north-0', 'south-0')
        ]
        wait_running(cluster, LIMIT_TASKS)
        with BackgroundCalls(pause_s=0.02) as background:
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
            assert count_running(cluster) == kept, 'not declared lost yet'
            cluster.declare('lost')
            took = wait_running(cluster, LIMIT_TASKS)
            print_figure(
                'grant of the lost domain used elsewhere', took, IN_FORCE_S, 's'
            )
            assert took <= IN_FORCE_S
        check_requests(cluster, background)
        restart_domain(cluster, non_idempotent_job)
        for submitted in other_jobs:
            cancel(cluster, submitted)
        took = wait_until(
            lambda: (
                count_running(cluster, submitted=idempotent_job)
                == HELD_TASKS - 2
            ),
            TAKEOVER_LIMIT_S,
            'idempotent work of the domain runs again',
        )
        print_figure(
            'work runs again after capacity is freed',
            took,
            TAKEOVER_LIMIT_S,
            's',
        )
        cancel(cluster, idempotent_job)
        for ended in (*other_jobs, idempotent_job):
            assert (
                cluster.wait_job(ended, COMPLETION_LIMIT_S)['state']
                == 'cancelled'
            )
        runs = task_runs(cluster)
        assert not check_all(cluster)
        assert not check_started_once(
            runs, {non_idempotent_job.content['job_id']}
        )


def wait_running(cluster, count):
    return wait_until(
        lambda: count_running(cluster) == count,
        2 * TAKEOVER_LIMIT_S,
        f'{count} run',
    )


def restart_domain(cluster, non_idempotent_job):
    """Start the domain again with a new worker, and declare it active."""
    worker = start_stand_in(
        'worker', {'capacity': cluster.shape.worker_capacity}
    )
    cluster.add_worker(f'{LOST_DOMAIN}-w1', LOST_DOMAIN, worker)
    cluster.restart_daemon(f'{LOST_DOMAIN}-0')
    cluster.declare('active')
    began = time.monotonic()
    view = cluster.wait_job(non_idempotent_job, TAKEOVER_LIMIT_S)
    print_figure('owned again', time.monotonic() - began, TAKEOVER_LIMIT_S, 's')
    assert view['state'] == 'unknown', view


def check_requests(cluster, background):
    """Check that exactly the requests that ran were answered with 200."""
    replies = background.all_replies()
    lost = [r for r in replies if r.status not in {200, 429, 503}]
    print_figure('requests lost', len(lost), 0, f'of {len(replies)}')
    assert not lost, lost[0]
    answered = [reply for reply in replies if reply.status == 200]
    assert len(answered) == len(request_runs(cluster))
    assert len(answered) > 100
