"""A policy change in a running cell, with separate processes."""

import time

import pytest

from demo.cluster import Cluster
from demo.history import task_runs
from demo.processes import wait_until
from tests.guarantee_support import IN_FORCE_S
from tests.support import job, small_cluster

pytestmark = pytest.mark.processes

FULL_TEAM = 'riverbend'
WAITING_TEAM = 'millrace'
RUN_MS = 60_000
# Urgent work waits 500 ms before it may preempt, and blocked work is examined
# every 500 ms.
PREEMPTION_WAIT_S = 1.0


def _apply(cluster, **preemption):
    document = cluster.document()
    document['policies'] = {'preemption': preemption}
    answer = cluster.apply(document)
    assert answer.status == 200, answer.body


def _job(tasks, run_ms, **fields):
    """Build a submission; 3 of its tasks fill a worker up to the reserve."""
    demand = {'cpu_millis': 10_000, 'memory_mb': 1024}
    return job(tasks, run_ms, idempotent=True, demand=demand, **fields)


def _submit(cluster, team, body):
    answer = cluster.submit(team, body)
    assert answer.status == 202, answer.body
    return answer.content['job_id']


def _count_starts(cluster, job_id):
    return sum(run.job_id == job_id for run in task_runs(cluster))


def test_changed_policies_are_in_force_in_a_running_cell():
    """Guards against a changed policy that only the next leader uses.

    One team fills the cell, and the urgent task of another team is larger than
    the urgent reserve. It starts only once preemption is enabled, and the
    change must not lose pending tasks.
    """
    planned = small_cluster()
    both = [
        {**planned.teams[0], 'name': name} for name in (FULL_TEAM, WAITING_TEAM)
    ]
    with Cluster(shape=planned.shape, teams=both) as cluster:
        _apply(cluster, enabled=False)
        time.sleep(IN_FORCE_S)
        full = _submit(cluster, FULL_TEAM, _job(20, RUN_MS))
        wait_until(
            lambda: _count_starts(cluster, full) == 12, 10, 'the cell is full'
        )
        urgent = _submit(
            cluster,
            WAITING_TEAM,
            _job(1, 100, queue='previews'),
        )
        time.sleep(IN_FORCE_S + PREEMPTION_WAIT_S)
        assert not _count_starts(cluster, urgent)
        assert _count_starts(cluster, full) == 12
        _apply(cluster, enabled=True)
        took = wait_until(
            lambda: _count_starts(cluster, urgent) == 1,
            IN_FORCE_S + PREEMPTION_WAIT_S,
            'the urgent task started',
        )
        print(f'in force and started after {took:.2f} s')
        # The rest of the batch job still waits, and gets the freed capacity.
        wait_until(
            lambda: _count_starts(cluster, full) == 13, 10, 'the next starts'
        )
