"""Generates load on a cluster: jobs, services and configuration changes."""

import dataclasses
import random
import time
import types
from collections.abc import Callable

from bench.usage import Usage, read_totals, usage_between
from demo.cluster import Cluster
from demo.history import task_runs
from demo.processes import wait_until

_START_TIMEOUT_S = 30
_STATUS_ACCEPTED = 202
_STATUS_OK = 200
_DEMAND = types.MappingProxyType({'cpu_millis': 20, 'memory_mb': 16})


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadPlan:
    """Jobs at a steady rate.

    Attributes:
        jobs_per_s: rate of submissions.
        tasks: number of tasks in each job.
        run_ms: run time of a task, in ms.
        seconds: duration of the load.
        seed: seed for the choice of team and daemon.
    """

    jobs_per_s: float
    tasks: int
    run_ms: int
    seconds: float
    seed: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadResult:
    """Result of a load.

    Attributes:
        usage: usage of each daemon during the load.
        counts: achieved rate and number of refusals, by name.
    """

    usage: dict[str, Usage]
    counts: dict[str, float]


def run_job_load(cluster: Cluster, plan: LoadPlan) -> LoadResult:
    """Submit jobs at a steady rate and measure the daemons meanwhile.

    Args:
        cluster: a running cluster.
        plan: the load.

    Returns:
        Usage, starts per second as counted by the workers, and refusals.
    """
    rng = random.Random(plan.seed)  # noqa: S311
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
    before = read_totals(cluster, scrape_first=True)
    call_at_rate(
        lambda: statuses.append(
            cluster.submit(
                rng.choice(teams), job, through=rng.choice(daemons)
            ).status
        ),
        per_s=plan.jobs_per_s,
        seconds=plan.seconds,
    )
    after = read_totals(cluster, scrape_first=False)
    starts = len(task_runs(cluster)) - runs_before
    return LoadResult(
        usage=usage_between(before, after, cluster),
        counts={
            'starts_per_s': starts / (after.at_s - before.at_s),
            'refused': len(statuses) - statuses.count(_STATUS_ACCEPTED),
        },
    )


def start_services(cluster: Cluster, tasks: int) -> None:
    """Start long-running tasks and wait until they run.

    Args:
        cluster: a running cluster.
        tasks: number of tasks.
    """
    if not tasks:
        return
    expected_runs = len(task_runs(cluster)) + tasks
    job = {
        'queue': 'services',
        'tasks': tasks,
        'demand': dict(_DEMAND),
        'payload': {},
        'idempotent': True,
    }
    answer = cluster.submit(cluster.teams[0]['name'], job)
    if answer.status != _STATUS_ACCEPTED:
        raise RuntimeError(f'service job was refused: {answer.body!r}')
    wait_until(
        lambda: len(task_runs(cluster)) >= expected_runs,
        _START_TIMEOUT_S,
        'services run',
    )


def apply_at_rate(cluster: Cluster, seconds: float, per_s: float) -> LoadResult:
    """Apply the configuration at a steady rate and measure the daemons.

    Args:
        cluster: a running cluster.
        seconds: duration of the load.
        per_s: applies per second.

    Returns:
        Usage, successful applies per second, and refusals.
    """
    document = cluster.document()
    statuses: list[int] = []
    before = read_totals(cluster, scrape_first=True)
    call_at_rate(
        lambda: statuses.append(cluster.apply(document).status),
        per_s=per_s,
        seconds=seconds,
    )
    after = read_totals(cluster, scrape_first=False)
    applied = statuses.count(_STATUS_OK)
    return LoadResult(
        usage=usage_between(before, after, cluster),
        counts={
            'applies_per_s': applied / (after.at_s - before.at_s),
            'refused': len(statuses) - applied,
        },
    )


def call_at_rate(
    action: Callable[[], None], *, per_s: float, seconds: float
) -> None:
    """Call a function at a steady rate.

    A call that is due while the previous one runs follows at once. No call that
    is due before the end is skipped, so a slow function can run past it.

    Args:
        action: the function.
        per_s: calls per second; 0 only waits.
        seconds: duration.
    """
    end = time.monotonic() + seconds
    pause = 1 / per_s if per_s else seconds
    next_at = time.monotonic()
    while next_at < end:
        if per_s:
            action()
        next_at += pause
        time.sleep(max(0, min(next_at, end) - time.monotonic()))
