"""Loads on a cluster: jobs at a steady rate, services, configurations."""

import dataclasses
import random
import time
import types
from collections.abc import Callable

from bench.usage import Usage, compare, read_usage
from demo.cluster import Cluster
from demo.history import task_runs
from demo.processes import wait_until

_START_S = 30
_ACCEPTED = 202
_APPLIED = 200
_DEMAND = types.MappingProxyType({'cpu_millis': 20, 'memory_mb': 16})


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadPlan:
    """Jobs at a steady rate.

    Attributes:
        jobs_per_s: rate of submissions.
        tasks: tasks of each job.
        run_ms: run time of a task, in ms.
        seconds: length of the load.
        seed: of the teams that submit.
    """

    jobs_per_s: float
    tasks: int
    run_ms: int
    seconds: float
    seed: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loaded:
    """What a load did.

    Attributes:
        usage: of the daemons meanwhile.
        counts: what was done, by name.
    """

    usage: dict[str, Usage]
    counts: dict[str, float]


def run_load(cluster: Cluster, plan: LoadPlan) -> Loaded:
    """Submit jobs at a steady rate and measure meanwhile.

    Args:
        cluster: a running cluster.
        plan: the load.

    Returns:
        Usage, and the starts seen by the workers.
    """
    source = random.Random(plan.seed)  # noqa: S311
    teams = [team['name'] for team in cluster.teams]
    job = {
        'queue': 'night',
        'tasks': plan.tasks,
        'demand': dict(_DEMAND),
        'run_ms': plan.run_ms,
        'payload': {'run_ms': plan.run_ms},
        'idempotent': True,
    }
    daemons = list(cluster.daemons)
    statuses: list[int] = []
    runs_before = len(task_runs(cluster))
    before = read_usage(cluster, scrape_first=True)
    repeat(
        lambda: statuses.append(
            cluster.submit(
                source.choice(teams), job, through=source.choice(daemons)
            ).status
        ),
        per_s=plan.jobs_per_s,
        seconds=plan.seconds,
    )
    after = read_usage(cluster, scrape_first=False)
    starts = len(task_runs(cluster)) - runs_before
    return Loaded(
        usage=compare(before, after, cluster),
        counts={
            'starts_per_s': starts / (after.at - before.at),
            'refused': len(statuses) - statuses.count(_ACCEPTED),
        },
    )


def start_services(cluster: Cluster, tasks: int) -> None:
    """Start long-running tasks and wait until they run.

    Args:
        cluster: a running cluster.
        tasks: how many.
    """
    if not tasks:
        return
    wanted = len(task_runs(cluster)) + tasks
    job = {
        'queue': 'services',
        'tasks': tasks,
        'demand': dict(_DEMAND),
        'payload': {},
        'idempotent': True,
    }
    answer = cluster.submit(cluster.teams[0]['name'], job)
    if answer.status != _ACCEPTED:
        raise RuntimeError(f'refused: {answer.body!r}')
    wait_until(
        lambda: len(task_runs(cluster)) >= wanted, _START_S, 'services run'
    )


def apply_steadily(cluster: Cluster, seconds: float, per_s: float) -> Loaded:
    """Apply configurations at a steady rate and measure meanwhile.

    Args:
        cluster: a running cluster.
        seconds: length of the load.
        per_s: applies per second.

    Returns:
        Usage, and the applies that were accepted.
    """
    document = cluster.document()
    statuses: list[int] = []
    before = read_usage(cluster, scrape_first=True)
    repeat(
        lambda: statuses.append(cluster.apply(document).status),
        per_s=per_s,
        seconds=seconds,
    )
    after = read_usage(cluster, scrape_first=False)
    applied = statuses.count(_APPLIED)
    return Loaded(
        usage=compare(before, after, cluster),
        counts={
            'applies_per_s': applied / (after.at - before.at),
            'refused': len(statuses) - applied,
        },
    )


def repeat(action: Callable[[], None], *, per_s: float, seconds: float) -> None:
    """Do something at a steady rate; a late one is not made up for.

    Args:
        action: what to do.
        per_s: rate, 0 for not at all.
        seconds: how long.
    """
    end = time.monotonic() + seconds
    pause = 1 / per_s if per_s else seconds
    following = time.monotonic()
    while following < end:
        if per_s:
            action()
        following += pause
        time.sleep(max(0, min(following, end) - time.monotonic()))
