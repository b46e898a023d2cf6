"""Measures the wait of urgent work in a full cell, and recovery of a leader.

Run with `python -m bench.urgent`. All processes are real and the upstreams
are stand-ins; starts are taken from the histories of the workers, whose clock
is the monotonic clock of the machine.
"""

import argparse
import dataclasses
import json
import pathlib
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from bench.control import team_entries
from bench.loads import repeat
from demo.cluster import Cluster, ClusterShape
from demo.history import Run, task_runs
from demo.processes import wait_until

_ACCEPTED = 202
_CORE = 1000
_WORKER_CORES = 8
_BATCH_MS = 1500
_URGENT_MS = 50
_CALLERS = 16
_WINDOW_MS = 1000
_STEP_MS = 100
_RECOVERED = 0.9
_P99 = 0.99
_FULL_S = 20
_END_S = 40


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """A job that was submitted.

    Attributes:
        at_ms: monotonic time of the submission, in ms.
        job_id: empty when it was not accepted.
    """

    at_ms: float
    job_id: str


class Submitter:
    """Submits jobs of one task from several threads."""

    def __init__(self, *, cluster: Cluster, daemons: list[str]) -> None:
        """Prepare to submit.

        Args:
            cluster: a running cluster.
            daemons: names of those that take the jobs, in turn.
        """
        self.sent: list[Sent] = []
        self._cluster = cluster
        self._daemons = daemons
        self._pool = ThreadPoolExecutor(_CALLERS)
        self._count = 0

    def submit_steadily(self, queue: str, rate: float, seconds: float) -> None:
        """Submit short jobs without waiting for the answers.

        Args:
            queue: their queue.
            rate: jobs a second.
            seconds: how long.
        """
        repeat(lambda: self._submit(queue), per_s=rate, seconds=seconds)

    def finish(self) -> None:
        """Wait for all answers."""
        self._pool.shutdown()

    def _submit(self, queue: str) -> None:
        through = self._daemons[self._count % len(self._daemons)]
        self._count += 1
        self._pool.submit(self._send, _job(queue, 1, _URGENT_MS), through)

    def _send(self, job: dict[str, Any], through: str) -> None:
        at_ms = _now_ms()
        job_id = ''
        try:
            answer = self._cluster.submit('team1', job, through=through)
        except OSError:
            self.sent.append(Sent(at_ms=at_ms, job_id=job_id))
            return
        if answer.status == _ACCEPTED:
            job_id = answer.content['job_id']
        self.sent.append(Sent(at_ms=at_ms, job_id=job_id))


def measure_urgent(options: argparse.Namespace) -> dict[str, float]:
    """Measure the wait of urgent jobs while batch work fills all workers.

    Args:
        options: of the command line.

    Returns:
        Figures by name.
    """
    shape = _shape(domains=('north', 'south'), daemons=2)
    cores = len(shape.domains) * shape.workers * _WORKER_CORES
    with Cluster(shape=shape, teams=team_entries(2)) as cluster:
        _fill(cluster, cores, options.seconds)
        submitter = Submitter(cluster=cluster, daemons=list(cluster.daemons))
        submitter.submit_steadily('previews', options.rate, options.seconds)
        submitter.finish()
        time.sleep(2)
        runs = task_runs(cluster)
    waits = sorted(_waits(submitter.sent, runs))
    batch = Counter(run.outcome for run in runs if run.team == 'team0')
    return {
        'submitted': len(submitter.sent),
        'started': len(waits),
        'p50_ms': waits[len(waits) // 2],
        'p99_ms': waits[int(_P99 * (len(waits) - 1))],
        'max_ms': waits[-1],
        'batch_running_at_end': batch[None],
    }


def measure_recovery(options: argparse.Namespace) -> dict[str, float]:
    """Kill the leader of a domain at a steady rate of starts.

    Args:
        options: of the command line.

    Returns:
        Figures by name.
    """
    shape = _shape(domains=('north',), daemons=3)
    with Cluster(shape=shape, teams=team_entries(2)) as cluster:
        leader = cluster.leaders()['north']
        others = [name for name in cluster.daemons if name != leader]
        submitter = Submitter(cluster=cluster, daemons=others)
        submitter.submit_steadily('night', options.rate, options.seconds / 2)
        cluster.daemons[leader].kill()
        killed_ms = _now_ms()
        submitter.submit_steadily('night', options.rate, options.seconds / 2)
        submitter.finish()
        jobs = {sent.job_id for sent in submitter.sent if sent.job_id}
        _wait_ended(cluster, jobs)
        runs = [run for run in task_runs(cluster) if run.job_id in jobs]
    finished = Counter(run.job_id for run in runs if run.outcome == 'succeeded')
    started = Counter(run.job_id for run in runs)
    return {
        'submitted': len(submitter.sent),
        'accepted': len(jobs),
        'recovered_after_ms': _recovery_ms(runs, killed_ms, options.rate),
        'lost': len(jobs - finished.keys()),
        'doubled': sum(count > 1 for count in finished.values()),
        'started_twice': sum(count > 1 for count in started.values()),
    }


def _shape(domains: tuple[str, ...], daemons: int) -> ClusterShape:
    return ClusterShape(
        domains=domains,
        daemons=daemons,
        workers=4,
        executors=1,
        worker_capacity={
            'cpu_millis': _WORKER_CORES * _CORE,
            'memory_mb': 65_536,
        },
    )


def _job(queue: str, tasks: int, run_ms: int) -> dict[str, Any]:
    return {
        'queue': queue,
        'tasks': tasks,
        'demand': {'cpu_millis': _CORE, 'memory_mb': 64},
        'run_ms': run_ms,
        'payload': {'run_ms': run_ms},
        'idempotent': True,
    }


def _fill(cluster: Cluster, cores: int, seconds: float) -> None:
    """Submit more batch work than fits, in every domain."""
    rounds = 2 + int((seconds + 5) * 1000 / _BATCH_MS)
    for _ in range(rounds):
        for domain in cluster.shape.domains:
            cluster.submit(
                'team0',
                _job('night', cores // 2, _BATCH_MS),
                through=f'{domain}-0',
            )
    wait_until(
        lambda: len(task_runs(cluster)) >= cores // 2, _FULL_S, 'a full cell'
    )


def _waits(sent: list[Sent], runs: list[Run]) -> list[float]:
    starts = {run.job_id: run.start_ms for run in runs}
    return [
        starts[one.job_id] - one.at_ms for one in sent if one.job_id in starts
    ]


def _wait_ended(cluster: Cluster, jobs: set[str]) -> None:
    end = time.monotonic() + _END_S
    while time.monotonic() < end:
        done = {
            run.job_id
            for run in task_runs(cluster)
            if run.outcome == 'succeeded'
        }
        if jobs <= done:
            return
        time.sleep(1 / 2)


def _recovery_ms(runs: list[Run], killed_ms: float, rate: float) -> float:
    """Find the first window of 1 s after the kill with 90% of the rate.

    The window begins after the last start that the killed leader ordered.
    """
    wanted = _RECOVERED * rate * _WINDOW_MS / 1000
    starts = sorted(run.start_ms for run in runs if run.start_ms > killed_ms)
    if not starts:
        return float('inf')
    begin = killed_ms + _WINDOW_MS
    while begin < starts[-1]:
        window = [begin <= start < begin + _WINDOW_MS for start in starts]
        if sum(window) >= wanted:
            return begin - killed_ms
        begin += _STEP_MS
    return float('inf')


def _now_ms() -> float:
    return time.monotonic() * 1000


def main() -> None:
    """Measure and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--rate', type=float, default=8)
    parser.add_argument('--output', default='out/urgent.json')
    options = parser.parse_args()
    found = {
        'urgent': measure_urgent(options),
        'recovery': measure_recovery(options),
    }
    for name, figures in found.items():
        sys.stdout.write(f'{name}: {figures}\n')
    path = pathlib.Path(options.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(found, indent=2))


if __name__ == '__main__':
    main()
