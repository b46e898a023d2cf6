"""Measures the size of job records, which every new leader reads in full.

Run with `python -m bench.records`.
"""

import sys

from bench.control import team_entries
from demo.cluster import Cluster, ClusterShape

_JOB_TIMEOUT_S = 20


def main() -> None:
    """Run jobs of several sizes and print the size of their records."""
    shape = ClusterShape(domains=('north',), daemons=1, workers=4, executors=1)
    with Cluster(shape=shape, teams=team_entries(1)) as cluster:
        for tasks in (1, 10, 50):
            job = {
                'queue': 'night',
                'tasks': tasks,
                'demand': {'cpu_millis': 20, 'memory_mb': 16},
                'payload': {'run_ms': 10},
                'idempotent': True,
            }
            submitted = cluster.submit('team0', job)
            cluster.wait_job(submitted, _JOB_TIMEOUT_S)
            key = f'jobs/{submitted.content["job_id"]}'
            entry = cluster.store.call('GET', f'/v1/kv/{key}').content
            size = len(entry['value'])
            sys.stdout.write(f'{tasks} tasks: {size} bytes when ended\n')


if __name__ == '__main__':
    main()
