"""Measures the rate of task starts before and after the leader is killed.

Jobs are submitted at a steady rate to one domain with two daemons; its leader
is killed after a third of the time. Lost and duplicate tasks are found in the
histories of the workers.
"""

import argparse
import json
import pathlib
import threading
import time
from collections import Counter
from typing import Any

from bench.results import write_result
from demo.cluster import Cluster, ClusterShape
from demo.history import check_all, finished_runs, task_runs
from demo.processes import Answer

_NANOS_PER_MS = 1_000_000
_MS_PER_S = 1000
_TARGET_RECOVERY_S = 10
_RECOVERED_RATE_RATIO = 0.9
_TASKS_PER_JOB = 5
_JOB_TIMEOUT_S = 60


def main() -> None:
    """Run the measurement and write the result file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rate', type=int, default=25, help='task starts/s')
    parser.add_argument('--seconds', type=int, default=30)
    options = parser.parse_args()
    shape = ClusterShape(domains=('north',), workers=6, executors=1)
    with Cluster(shape=shape, teams=[_team()]) as cluster:
        result = _measure(cluster, options.rate, options.seconds)
    write_result(pathlib.Path('out/recovery.json'), result)
    print(json.dumps(result))


def _measure(cluster: Cluster, rate: int, seconds: int) -> dict[str, Any]:
    leader = cluster.leaders()['north']
    through = next(name for name in cluster.daemons if name != leader)
    accepted: list[Answer] = []
    submitting = threading.Thread(
        target=_submit_jobs, args=(cluster, through, rate, seconds, accepted)
    )
    submitting.start()
    time.sleep(seconds / 3)
    killed_ms = time.monotonic_ns() / _NANOS_PER_MS
    cluster.daemons[leader].kill()
    submitting.join()
    final_jobs = [
        cluster.wait_job(answer, _JOB_TIMEOUT_S, through=through)
        for answer in accepted
    ]
    runs = task_runs(cluster)
    lost = sum(
        len(finished_runs(runs, answer.content['job_id'])) != _TASKS_PER_JOB
        for answer in accepted
    )
    starts = Counter(
        int((run.start_ms - killed_ms) // _MS_PER_S) for run in runs
    )
    first_start_ms = min(
        run.start_ms for run in runs if run.start_ms > killed_ms
    )
    recovered_second = next(
        second
        for second in range(seconds)
        if starts[second] >= _RECOVERED_RATE_RATIO * rate
    )
    return {
        'rate': rate,
        'jobs': len(accepted),
        'not_finished': sum(job['state'] != 'finished' for job in final_jobs),
        'lost_jobs': lost,
        'violations': [str(violation) for violation in check_all(cluster)],
        'first_start_s': round((first_start_ms - killed_ms) / _MS_PER_S, 2),
        'rate_back_within_s': recovered_second + 1,
        'target_s': _TARGET_RECOVERY_S,
        'starts_per_s': [starts[second] for second in range(-5, 15)],
    }


def _team() -> dict[str, Any]:
    return {
        'name': 'bulk',
        'share': 1,
        'limit': {
            'cpu_millis': 1_000_000,
            'memory_mb': 4_000_000,
            'requests': 10,
        },
        'max_waiting': 10_000,
    }


def _submit_jobs(
    cluster: Cluster,
    through: str,
    rate: int,
    seconds: int,
    accepted: list[Answer],
) -> None:
    started_at = time.monotonic()
    for number in range(rate * seconds // _TASKS_PER_JOB):
        due_at = started_at + number * _TASKS_PER_JOB / rate
        time.sleep(max(0, due_at - time.monotonic()))
        answer = cluster.submit(
            'bulk',
            {
                'queue': 'night',
                'tasks': _TASKS_PER_JOB,
                'demand': {'cpu_millis': 1000, 'memory_mb': 256},
                'run_ms': 300,
                'payload': {'run_ms': 300},
                'idempotent': True,
                'idempotency_key': f'recovery-{number}',
            },
            through=through,
        )
        if answer.status == 202:
            accepted.append(answer)


if __name__ == '__main__':
    main()
