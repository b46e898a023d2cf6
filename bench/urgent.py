"""Measures the time from submission to start of urgent tasks in a full cluster.

The path includes all processes: caller, daemon, store, leader and worker. The
start is taken from the history of the worker, on the monotonic clock that all
processes of one machine share.
"""

import argparse
import json
import pathlib
import time
from typing import Any

from hdrh.histogram import HdrHistogram

from bench.results import percentiles, write_result
from demo.cluster import Cluster, ClusterShape
from demo.history import check_all, task_runs
from demo.processes import wait_until

_NANOS_PER_MS = 1_000_000
_MAX_WAIT_MS = 60_000
_SIGNIFICANT_DIGITS = 3
_TARGET_P99_MS = 1600
_START_TIMEOUT_S = 30
_TEAMS = ('bulk', 'designers')


def main() -> None:
    """Run the measurement and write the result file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--jobs', type=int, default=100)
    parser.add_argument('--pause-ms', type=int, default=50)
    options = parser.parse_args()
    shape = ClusterShape(domains=('north',), workers=6, executors=1)
    with Cluster(
        shape=shape, teams=[_team(name) for name in _TEAMS]
    ) as cluster:
        _fill_workers(cluster)
        sent_at_ms = _submit_urgent(cluster, options.jobs, options.pause_ms)
        waits_ms = _wait_times_ms(cluster, sent_at_ms)
        violations = [str(violation) for violation in check_all(cluster)]
    histogram = HdrHistogram(1, _MAX_WAIT_MS, _SIGNIFICANT_DIGITS)
    for wait in waits_ms:
        histogram.record_value(max(1, round(wait)))
    result = {
        'urgent_jobs': options.jobs,
        'started': len(waits_ms),
        'wait_ms': percentiles(histogram),
        'target_p99_ms': _TARGET_P99_MS,
        'violations': violations,
    }
    write_result(pathlib.Path('out/urgent.json'), result)
    print(json.dumps(result))


def _team(name: str) -> dict[str, Any]:
    return {
        'name': name,
        'share': 1,
        'limit': {
            'cpu_millis': 1_000_000,
            'memory_mb': 4_000_000,
            'requests': 10,
        },
        'max_waiting': 10_000,
    }


def _fill_workers(cluster: Cluster) -> None:
    """Fill the workers with batch tasks and leave a backlog of them."""
    for _ in range(4):
        answer = cluster.submit(
            'bulk',
            {
                'queue': 'night',
                'tasks': 200,
                'demand': {'cpu_millis': 1000, 'memory_mb': 1024},
                'run_ms': 3000,
                'payload': {'run_ms': 3000},
                'idempotent': True,
            },
        )
        if answer.status != 202:
            raise RuntimeError(f'batch job was refused: {answer.body!r}')
    # A sixteenth of each worker, 2 of 32 cores, is the urgent reserve.
    batch_capacity = cluster.shape.workers * 30
    wait_until(
        lambda: _running_tasks(cluster) >= batch_capacity,
        _START_TIMEOUT_S,
        'all workers are full',
    )


def _running_tasks(cluster: Cluster) -> int:
    return sum(run.end_ms == float('inf') for run in task_runs(cluster))


def _submit_urgent(
    cluster: Cluster, count: int, pause_ms: int
) -> dict[str, float]:
    sent_at_ms = {}
    for _ in range(count):
        now = time.monotonic_ns() / _NANOS_PER_MS
        answer = cluster.submit(
            'designers',
            {
                'queue': 'previews',
                'demand': {'cpu_millis': 1000, 'memory_mb': 512},
                'run_ms': 100,
                'payload': {'run_ms': 100},
                'idempotent': True,
            },
        )
        sent_at_ms[answer.content['job_id']] = now
        time.sleep(pause_ms / 1000)
    return sent_at_ms


def _wait_times_ms(
    cluster: Cluster, sent_at_ms: dict[str, float]
) -> list[float]:
    wait_until(
        lambda: len(_first_starts_ms(cluster, sent_at_ms)) == len(sent_at_ms),
        _START_TIMEOUT_S,
        'all urgent tasks have started',
    )
    return [
        start - sent_at_ms[job_id]
        for job_id, start in _first_starts_ms(cluster, sent_at_ms).items()
    ]


def _first_starts_ms(
    cluster: Cluster, sent_at_ms: dict[str, float]
) -> dict[str, float]:
    first_start_ms: dict[str, float] = {}
    for run in task_runs(cluster):
        if run.job_id in sent_at_ms:
            first_start_ms.setdefault(run.job_id, run.start_ms)
    return first_start_ms


if __name__ == '__main__':
    main()
