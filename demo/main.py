"""Runs every kind of work of the scheduler on stand-ins.

The cluster has three failure domains with two daemons each. Six teams submit
previews, batch jobs, a gang and a service. The exit code is 0 only if each task
of the jobs and each preview ran exactly once, the service was cancelled, and no
history of a stand-in contradicts a guarantee.
"""

import itertools
import sys
import threading
import time
from typing import Any

from demo.cluster import Cluster, ClusterShape
from demo.document import SERVICE
from demo.history import (
    check_all,
    finished_runs,
    request_runs,
    task_runs,
)
from demo.processes import Answer

_TEAMS = (
    ('riverbend', 4),
    ('millrace', 3),
    ('fenland', 2),
    ('highfield', 1),
    ('catalog', 3),
    ('designers', 2),
)
_PREVIEWS_PER_TEAM = 20
_JOB_TIMEOUT_S = 30


def main() -> None:
    """Run the demonstration and exit with 1 if any check failed."""
    started = time.monotonic()
    with Cluster(shape=ClusterShape(), teams=_teams()) as cluster:
        _print_line(
            f'{len(cluster.daemons)} daemons, leaders: {cluster.leaders()}'
        )
        problems = _run(cluster)
        problems += [str(found) for found in check_all(cluster)]
    _print_line(f'took {time.monotonic() - started:.1f} s')
    _print_line('\n'.join(f'FAILED {problem}' for problem in problems))
    _print_line(
        'failed' if problems else 'every piece of work ran exactly once'
    )
    sys.exit(1 if problems else 0)


def _run(cluster: Cluster) -> list[str]:
    problems: list[str] = []
    previews = threading.Thread(target=_run_previews, args=(cluster, problems))
    previews.start()
    jobs = _submit_jobs(cluster)
    service = cluster.submit(
        'riverbend',
        {
            'queue': 'services',
            'tasks': 3,
            'demand': {'cpu_millis': 2000, 'memory_mb': 1024},
            'payload': {},
            'idempotent': True,
        },
    )
    problems += itertools.chain.from_iterable(
        _wait_finished(cluster, name, answer) for name, answer in jobs.items()
    )
    problems += _cancel_service(cluster, service)
    previews.join()
    problems += _check_run_counts(cluster, jobs)
    expected = _PREVIEWS_PER_TEAM * len(_TEAMS)
    actual = len(request_runs(cluster))
    if actual != expected:
        problems.append(f'{actual} previews ran instead of {expected}')
    return problems


def _teams() -> list[dict[str, Any]]:
    return [
        {
            'name': name,
            'share': share,
            'limit': {
                'cpu_millis': 96_000,
                'memory_mb': 384_000,
                'requests': 30,
            },
            'max_waiting': 500,
        }
        for name, share in _TEAMS
    ]


def _submit_jobs(cluster: Cluster) -> dict[str, Answer]:
    daemons = list(cluster.daemons)
    jobs = {}
    for number, (team, _) in enumerate(_TEAMS):
        through = daemons[number % len(daemons)]
        jobs[f'{team} batch'] = cluster.submit(
            team,
            {
                'queue': 'night',
                'tasks': 12,
                'demand': {'cpu_millis': 2000, 'memory_mb': 4096},
                'run_ms': 400,
                'payload': {'run_ms': 400, 'output': team},
                'idempotent': number % 2 == 0,
                'idempotency_key': f'night-{team}',
            },
            through=through,
        )
    jobs['catalog gang'] = cluster.submit(
        'catalog',
        {
            'queue': 'gangs',
            'tasks': 6,
            'demand': {'cpu_millis': 4000, 'memory_mb': 8192},
            'payload': {'run_ms': 600, 'output': 'glyphs'},
            'idempotent': True,
        },
        through=daemons[-1],
    )
    resubmitted = cluster.submit(
        'riverbend',
        {
            'queue': 'night',
            'tasks': 12,
            'demand': {'cpu_millis': 2000, 'memory_mb': 4096},
            'run_ms': 400,
            'payload': {'run_ms': 400, 'output': 'riverbend'},
            'idempotent': True,
            'idempotency_key': 'night-riverbend',
        },
        through=daemons[-1],
    )
    original = jobs['riverbend batch'].content
    is_same_job = resubmitted.content == original
    _print_line(
        f'resubmitted with the same idempotency key: same job: {is_same_job}'
    )
    return jobs


def _wait_finished(cluster: Cluster, name: str, answer: Answer) -> list[str]:
    if answer.status != 202:
        return [f'{name}: {answer.body!r}']
    job = cluster.wait_job(answer, _JOB_TIMEOUT_S)
    state = job.get('state')
    _print_line(f'{name}: {state}, tasks {len(job.get("tasks", ()))}')
    return [] if state == 'finished' else [f'{name} is {state}']


def _cancel_service(cluster: Cluster, answer: Answer) -> list[str]:
    job_id = answer.content['job_id']
    first_daemon = next(iter(cluster.daemons.values()))
    cancelled = first_daemon.call(
        'POST', f'/v1/jobs/{job_id}/cancel', headers=cluster.key('riverbend')
    )
    job = cluster.wait_job(answer, _JOB_TIMEOUT_S)
    _print_line(f'riverbend service: {job.get("state")}')
    if cancelled.status == 200 and job.get('state') == 'cancelled':
        return []
    return [f'service: {cancelled.body!r}, {job}']


def _run_previews(cluster: Cluster, problems: list[str]) -> None:
    """Send previews of all teams through the daemons in turn."""
    daemons = list(cluster.daemons.values())
    latencies_s = []
    answered = 0
    for number in range(_PREVIEWS_PER_TEAM * len(_TEAMS)):
        team = _TEAMS[number % len(_TEAMS)][0]
        body = f'preview {number} of {team}'.encode()
        sent_at = time.monotonic()
        answer = daemons[number % len(daemons)].call(
            'POST', f'/v1/requests/{SERVICE}', body, headers=cluster.key(team)
        )
        latencies_s.append(time.monotonic() - sent_at)
        answered += answer.body == body
        if answer.body != body:
            problems.append(f'preview {number}: {answer.body!r}')
    latencies_s.sort()
    median = latencies_s[len(latencies_s) // 2] * 1000
    worst = latencies_s[-1] * 1000
    _print_line(
        f'{answered} previews: median {median:.0f} ms, worst {worst:.0f} ms'
    )


def _check_run_counts(cluster: Cluster, jobs: dict[str, Answer]) -> list[str]:
    runs = task_runs(cluster)
    problems = []
    for name, answer in jobs.items():
        job_id = answer.content['job_id']
        count = len(finished_runs(runs, job_id))
        expected = 6 if name.endswith('gang') else 12
        if count != expected:
            problems.append(f'{name}: {count} runs instead of {expected}')
    return problems


def _print_line(text: str) -> None:
    print(text, flush=True)


if __name__ == '__main__':
    main()
