"""Time from submission to start of urgent work while the cell is full.

The whole path through real processes: callers, daemon, store, leader, worker.
The start is taken from the history of the worker, on the monotonic clock that
all processes of one machine share.
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

_NS_PER_MS = 1_000_000
_LONGEST_MS = 60_000
_DIGITS = 3
_TARGET_MS = 1600
_FULL_S = 30
_TEAMS = ('bulk', 'designers')


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--jobs', type=int, default=100)
    parser.add_argument('--pause-ms', type=int, default=50)
    arguments = parser.parse_args()
    shape = ClusterShape(domains=('north',), workers=6, executors=1)
    with Cluster(shape=shape, teams=[_team(name) for name in _TEAMS]) as cell:
        _fill(cell)
        sent = _submit_urgent(cell, arguments.jobs, arguments.pause_ms)
        waits = _waits(cell, sent)
        problems = [str(found) for found in check_all(cell)]
    histogram = HdrHistogram(1, _LONGEST_MS, _DIGITS)
    for wait in waits:
        histogram.record_value(max(1, round(wait)))
    result = {
        'urgent_jobs': arguments.jobs,
        'started': len(waits),
        'wait_ms': percentiles(histogram),
        'target_p99_ms': _TARGET_MS,
        'violations': problems,
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


def _fill(cell: Cluster) -> None:
    """Fill the cell with batch work, of which more waits than fits."""
    for _ in range(4):
        answer = cell.submit(
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
            raise RuntimeError(f'not accepted: {answer.body!r}')
    # A sixteenth of each worker is kept free of batch work.
    room = cell.shape.workers * 30
    wait_until(lambda: _running(cell) >= room, _FULL_S, 'a full cell')


def _running(cell: Cluster) -> int:
    return sum(run.end_ms == float('inf') for run in task_runs(cell))


def _submit_urgent(
    cell: Cluster, count: int, pause_ms: int
) -> dict[str, float]:
    sent = {}
    for _ in range(count):
        now = time.monotonic_ns() / _NS_PER_MS
        answer = cell.submit(
            'designers',
            {
                'queue': 'previews',
                'demand': {'cpu_millis': 1000, 'memory_mb': 512},
                'run_ms': 100,
                'payload': {'run_ms': 100},
                'idempotent': True,
            },
        )
        sent[answer.content['job_id']] = now
        time.sleep(pause_ms / 1000)
    return sent


def _waits(cell: Cluster, sent: dict[str, float]) -> list[float]:
    wait_until(
        lambda: len(_starts(cell, sent)) == len(sent), _FULL_S, 'urgent starts'
    )
    return [
        start - sent[job_id] for job_id, start in _starts(cell, sent).items()
    ]


def _starts(cell: Cluster, sent: dict[str, float]) -> dict[str, float]:
    first: dict[str, float] = {}
    for run in task_runs(cell):
        if run.job_id in sent:
            first.setdefault(run.job_id, run.start_ms)
    return first


if __name__ == '__main__':
    main()
