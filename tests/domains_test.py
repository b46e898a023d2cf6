"""Jobs that fit only in another failure domain."""

import pytest

from demo.cluster import Cluster, ClusterShape
from demo.history import check_all, finished_runs, task_runs
from demo.processes import start_stand_in, wait_until

pytestmark = pytest.mark.processes

TEAM = 'riverbend'
LARGE = {'cpu_millis': 64_000, 'memory_mb': 131_072}


def team():
    """Describe the only team of the cluster."""
    return {
        'name': TEAM,
        'share': 1,
        'limit': {'cpu_millis': 200_000, 'memory_mb': 400_000, 'requests': 9},
        'max_waiting': 100,
    }


def test_job_goes_to_the_domain_where_it_fits():
    """Guards against a wrong refusal of a job that only another domain can run.

    Also guards against accepting a job that fits on no worker of any domain.
    """
    shape = ClusterShape(domains=('north', 'south'), workers=1, executors=1)
    with Cluster(shape=shape, teams=[team()]) as cluster:
        large = start_stand_in('worker', {'capacity': LARGE})
        cluster.add_worker('south-w1', 'south', large)
        leader = cluster.daemons[cluster.leaders()['south']]
        wait_until(
            lambda: leader.call('GET', '/v1/status').content['workers'] == 2,
            10,
            'the added worker is used',
        )
        for through in cluster.daemons:
            submitted = cluster.submit(
                TEAM,
                {
                    'queue': 'night',
                    'demand': {'cpu_millis': 48_000},
                    'payload': {'run_ms': 50},
                },
                through=through,
            )
            assert submitted.status == 202, submitted.body
            assert cluster.wait_job(submitted, 10)['state'] == 'finished'
            job_id = submitted.content['job_id']
            runs = finished_runs(task_runs(cluster), job_id)
            assert [run.upstream for run in runs] == ['south-w1']
        refused = cluster.submit(
            TEAM, {'queue': 'night', 'demand': {'cpu_millis': 65_000}}
        )
        assert refused.status == 422
        assert 'cpu_millis' in refused.content['detail']
        cluster.shape.worker_capacity.update(LARGE)
        assert not check_all(cluster)
