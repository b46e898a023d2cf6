"""Runs the main job of the scheduler on stand-ins, from start to finish.

Three failure domains with two daemons each; previews, batch, gangs and a
service of six teams. It ends with exit code 0 only if every piece of work ran
exactly once.
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
_JOB_LIMIT_S = 30


def main() -> None:
    """Run the demonstration."""
    started = time.monotonic()
    with Cluster(shape=ClusterShape(), teams=_teams()) as cluster:
        _say(f'{len(cluster.daemons)} daemons lead {cluster.leaders()}')
        problems = _run(cluster)
        problems += [str(found) for found in check_all(cluster)]
    _say(f'took {time.monotonic() - started:.1f} s')
    _say('\n'.join(f'FAILED {problem}' for problem in problems))
    _say('failed' if problems else 'every piece of work ran exactly once')
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
        _finish(cluster, name, answer) for name, answer in jobs.items()
    )
    problems += _end_service(cluster, service)
    previews.join()
    problems += _check_once(cluster, jobs)
    wanted = _PREVIEWS_PER_TEAM * len(_TEAMS)
    ran = len(request_runs(cluster))
    if ran != wanted:
        problems.append(f'{ran} previews ran instead of {wanted}')
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
    again = cluster.submit(
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
    first = jobs['riverbend batch'].content
    same = again.content == first
    _say(f'submitted again with the same idempotency key: same job is {same}')
    return jobs


def _finish(cluster: Cluster, name: str, answer: Answer) -> list[str]:
    if answer.status != 202:
        return [f'{name}: {answer.body!r}']
    shown = cluster.wait_job(answer, _JOB_LIMIT_S)
    state = shown.get('state')
    _say(f'{name}: {state}, tasks {len(shown.get("tasks", ()))}')
    return [] if state == 'finished' else [f'{name} is {state}']


def _end_service(cluster: Cluster, answer: Answer) -> list[str]:
    job_id = answer.content['job_id']
    first = next(iter(cluster.daemons.values()))
    cancelled = first.call(
        'POST', f'/v1/jobs/{job_id}/cancel', headers=cluster.key('riverbend')
    )
    shown = cluster.wait_job(answer, _JOB_LIMIT_S)
    _say(f'riverbend service: {shown.get("state")}')
    if cancelled.status == 200 and shown.get('state') == 'cancelled':
        return []
    return [f'service: {cancelled.body!r}, {shown}']


def _run_previews(cluster: Cluster, problems: list[str]) -> None:
    """Send previews through all daemons in turn."""
    daemons = list(cluster.daemons.values())
    times = []
    answered = 0
    for number in range(_PREVIEWS_PER_TEAM * len(_TEAMS)):
        team = _TEAMS[number % len(_TEAMS)][0]
        body = f'preview {number} of {team}'.encode()
        sent = time.monotonic()
        answer = daemons[number % len(daemons)].call(
            'POST', f'/v1/requests/{SERVICE}', body, headers=cluster.key(team)
        )
        times.append(time.monotonic() - sent)
        answered += answer.body == body
        if answer.body != body:
            problems.append(f'preview {number}: {answer.body!r}')
    times.sort()
    median = times[len(times) // 2] * 1000
    worst = times[-1] * 1000
    _say(f'{answered} previews: median {median:.0f} ms, worst {worst:.0f} ms')


def _check_once(cluster: Cluster, jobs: dict[str, Answer]) -> list[str]:
    runs = task_runs(cluster)
    problems = []
    for name, answer in jobs.items():
        job_id = answer.content['job_id']
        count = len(finished_runs(runs, job_id))
        wanted = 6 if name.endswith('gang') else 12
        if count != wanted:
            problems.append(f'{name}: {count} runs instead of {wanted}')
    return problems


def _say(text: str) -> None:
    print(text, flush=True)


if __name__ == '__main__':
    main()
