"""Checks guarantees on the histories that the stand-ins record.

The checks do not rely on what the daemons report.
"""

import dataclasses
import time
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping
from typing import Any, TypeAlias

from demo.cluster import Cluster

_NOT_ENDED_MS = float('inf')
_NS_PER_MS = 1_000_000

_UsageChange: TypeAlias = tuple[float, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One run of a task on a worker, or of a request on an executor.

    Attributes:
        upstream: name of the worker or executor.
        name: id of the task or request.
        job_id: job of the task; empty for a request.
        team: team that submitted it.
        start_ms: monotonic time of the machine, in ms.
        end_ms: monotonic time, infinite while it runs.
        outcome: how a task ended; None for a request.
        resources: resources charged for it; `requests` is 1 for a request.
    """

    upstream: str
    name: str
    job_id: str
    team: str
    start_ms: float
    end_ms: float
    outcome: str | None
    resources: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A guarantee that a history contradicts.

    Attributes:
        rule: name of the guarantee.
        detail: the runs or resources that contradict it.
    """

    rule: str
    detail: str

    def __str__(self) -> str:
        """Format as `rule: detail`."""
        return f'{self.rule}: {self.detail}'


def task_runs(cluster: Cluster) -> list[Run]:
    """Collect the runs of tasks on all workers.

    Args:
        cluster: each worker must be reachable or ended by `kill_worker`.

    Returns:
        All runs, including those that have not ended.
    """
    runs = []
    for name, worker in cluster.workers.items():
        history = cluster.ended_histories.get(name)
        if history is None:
            history = worker.call('GET', '/admin/history').content
        runs += [_task_run(name, record) for record in history['tasks']]
    return runs


def kill_worker(cluster: Cluster, name: str) -> None:
    """Kill a worker and keep its history for the checks.

    Its fault mode is set to `down` before its history is read, so that no task
    starts afterwards. Tasks that still run end at the time of the kill.

    Args:
        cluster: cluster of the worker.
        name: a running worker.
    """
    worker = cluster.workers[name]
    worker.call('POST', '/admin/faults', {'mode': 'down'})
    history = worker.call('GET', '/admin/history').content
    worker.kill()
    now_ms = time.monotonic_ns() // _NS_PER_MS
    for task in history['tasks']:
        if task['end_ms'] is None:
            task['end_ms'] = now_ms
    cluster.ended_histories[name] = history


def request_runs(cluster: Cluster) -> list[Run]:
    """Collect the runs of requests on all running executors.

    Args:
        cluster: its running executors must be reachable.

    Returns:
        All runs, including those that have not ended.
    """
    runs = []
    for name, executor in cluster.executors.items():
        if not executor.is_running:
            continue
        history = executor.call('GET', '/admin/history').content
        runs += [_request_run(name, record) for record in history['runs']]
    return runs


def finished_runs(runs: Iterable[Run], job_id: str) -> list[Run]:
    """List the runs of a job that succeeded.

    Args:
        runs: runs of tasks.
        job_id: the job.

    Returns:
        Its successful runs.
    """
    return [
        run
        for run in runs
        if run.job_id == job_id and run.outcome == 'succeeded'
    ]


def check_all(cluster: Cluster) -> list[Violation]:
    """Check the guarantees that hold for every cluster with fixed limits.

    Args:
        cluster: its running upstreams must be reachable.

    Returns:
        The violations found.
    """
    runs = task_runs(cluster)
    return [
        *check_one_place(runs),
        *check_finished_once(runs),
        *check_capacity(cluster, runs),
        *check_slots(cluster),
        *check_limits(cluster, runs),
    ]


def check_one_place(runs: Iterable[Run]) -> list[Violation]:
    """Check that no task ran twice at the same time.

    Args:
        runs: runs of tasks.

    Returns:
        One violation for each pair of overlapping runs.
    """
    violations = []
    by_name = defaultdict(list)
    for run in runs:
        by_name[run.name].append(run)
    for name, task_runs_in_order in by_name.items():
        task_runs_in_order.sort(key=_start_ms)
        for earlier, later in zip(
            task_runs_in_order, task_runs_in_order[1:], strict=False
        ):
            if later.start_ms < earlier.end_ms:
                violations.append(
                    Violation(
                        rule='one place',
                        detail=f'{name} on {earlier.upstream}, '
                        f'{later.upstream}',
                    )
                )
    return violations


def check_finished_once(runs: Iterable[Run]) -> list[Violation]:
    """Check that no task succeeded twice.

    Args:
        runs: runs of tasks.

    Returns:
        One violation for each task that did.
    """
    counts: dict[str, int] = defaultdict(int)
    for run in runs:
        counts[run.name] += run.outcome == 'succeeded'
    return [
        Violation(rule='runs once', detail=f'{name}: {count} times')
        for name, count in counts.items()
        if count > 1
    ]


def check_started_once(
    runs: Iterable[Run], job_ids: Collection[str]
) -> list[Violation]:
    """Check that no task of a non-idempotent job was started twice.

    Args:
        runs: runs of tasks.
        job_ids: the non-idempotent jobs.

    Returns:
        One violation for each task that was.
    """
    counts = Counter(run.name for run in runs if run.job_id in job_ids)
    return [
        Violation(rule='starts once', detail=f'{name}: {count} times')
        for name, count in counts.items()
        if count > 1
    ]


def check_not_run(
    runs: Iterable[Run], accepted: Collection[str]
) -> list[Violation]:
    """Check that no task of a refused job ran.

    Args:
        runs: runs of tasks.
        accepted: ids of all jobs that may run.

    Returns:
        One violation for each run of another job.
    """
    return [
        Violation(rule='not run', detail=f'{run.name} on {run.upstream}')
        for run in runs
        if run.job_id not in accepted
    ]


def check_quiet_after(
    runs: Iterable[Run], ended_ms: Mapping[str, float]
) -> list[Violation]:
    """Check that no task of a job ran after the end of the job was reported.

    Args:
        runs: runs of tasks.
        ended_ms: by job id, when its end was reported, in monotonic ms.

    Returns:
        One violation for each run that ended later.
    """
    return [
        Violation(rule='quiet after end', detail=f'{run.name}: {run.end_ms}')
        for run in runs
        if run.job_id in ended_ms and run.end_ms > ended_ms[run.job_id]
    ]


def check_capacity(cluster: Cluster, runs: list[Run]) -> list[Violation]:
    """Check that the tasks on a worker never exceeded its capacity.

    Args:
        cluster: cluster of the workers.
        runs: runs of tasks.

    Returns:
        One violation for each overcommitted resource of a worker.
    """
    capacity = cluster.shape.worker_capacity
    by_worker = defaultdict(list)
    for run in runs:
        by_worker[run.upstream].append(run)
    return [
        Violation(rule='capacity', detail=f'{worker}: {resource} {peak}')
        for worker, own_runs in by_worker.items()
        for resource, peak in peak_use(own_runs).items()
        if peak > capacity.get(resource, 0)
    ]


def check_limits(cluster: Cluster, runs: list[Run]) -> list[Violation]:
    """Check that the running tasks of a team never exceeded its limit.

    Args:
        cluster: cluster of the teams, whose limits must not have changed.
        runs: runs of tasks.

    Returns:
        One violation for each resource that a team exceeded.
    """
    limits = {team['name']: team['limit'] for team in cluster.teams}
    by_team = defaultdict(list)
    for run in runs:
        by_team[run.team].append(run)
    return [
        Violation(rule='limit', detail=f'{team}: {resource} {peak}')
        for team, own_runs in by_team.items()
        for resource, peak in peak_use(own_runs).items()
        if peak > limits[team].get(resource, 0)
    ]


def check_slots(cluster: Cluster) -> list[Violation]:
    """Check that no executor exceeded its slots, and no request ran twice.

    Args:
        cluster: its running executors must be reachable.

    Returns:
        One violation for each such executor or request.
    """
    by_executor = defaultdict(list)
    run_counts: Counter[str] = Counter()
    for run in request_runs(cluster):
        by_executor[run.upstream].append(run)
        run_counts[run.name] += 1
    duplicates = [name for name, count in run_counts.items() if count > 1]
    slots = cluster.shape.executor_slots
    violations = [
        Violation(rule='request once', detail=name) for name in duplicates
    ]
    for executor, own_runs in by_executor.items():
        peak = peak_use(own_runs).get('requests', 0)
        if peak > slots:
            violations.append(
                Violation(rule='slots', detail=f'{executor}: {peak}')
            )
    return violations


def peak_use(runs: Iterable[Run]) -> dict[str, int]:
    """Compute the peak use of each resource.

    Args:
        runs: runs of one worker, executor or team.

    Returns:
        Peak by resource. Two runs do not overlap if one starts in the
        millisecond in which the other ends.
    """
    changes: dict[str, list[_UsageChange]] = defaultdict(list)
    for run in runs:
        for resource, amount in run.resources.items():
            if amount:
                changes[resource].append((run.start_ms, amount))
                changes[resource].append((run.end_ms, -amount))
    return {name: _peak(deltas) for name, deltas in changes.items()}


def _peak(changes: list[_UsageChange]) -> int:
    running = 0
    peak = 0
    for _, amount in sorted(changes):
        running += amount
        peak = max(peak, running)
    return peak


def _task_run(worker: str, record: dict[str, Any]) -> Run:
    return Run(
        upstream=worker,
        name=record['task_id'],
        job_id=record['job_id'],
        team=record['team'],
        start_ms=record['start_ms'],
        end_ms=_end_ms(record),
        outcome=record['outcome'],
        resources=record['resources'],
    )


def _request_run(executor: str, record: dict[str, Any]) -> Run:
    return Run(
        upstream=executor,
        name=record['request_id'],
        job_id='',
        team=record['team'],
        start_ms=record['start_ms'],
        end_ms=_end_ms(record),
        outcome=None,
        resources={'requests': 1},
    )


def _start_ms(run: Run) -> float:
    return run.start_ms


def _end_ms(record: dict[str, Any]) -> float:
    end = record['end_ms']
    return _NOT_ENDED_MS if end is None else float(end)
