"""Checks what the stand-ins really did, whatever the daemons say."""

import dataclasses
import time
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping
from typing import Any, TypeAlias

from demo.cluster import Cluster

_OVER = float('inf')
_NS_PER_MS = 1_000_000

_Change: TypeAlias = tuple[float, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One run of a task on a worker, or of a request on an executor.

    Attributes:
        upstream: where it ran.
        name: id of the task or request.
        job_id: the job of a task.
        team: whose it was.
        start_ms: monotonic time of the machine, in ms.
        end_ms: the same, infinite while it runs.
        outcome: how a task ended.
        resources: what was counted for a task.
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
    """Something that must never happen.

    Attributes:
        rule: which guarantee.
        detail: what was seen.
    """

    rule: str
    detail: str

    def __str__(self) -> str:
        """Format for people."""
        return f'{self.rule}: {self.detail}'


def task_runs(cluster: Cluster) -> list[Run]:
    """Collect every start of a task on any worker.

    Args:
        cluster: with all its workers reachable, or ended by `kill_worker`.

    Returns:
        All runs.
    """
    runs = []
    for name, worker in cluster.workers.items():
        history = cluster.ended_histories.get(name)
        if history is None:
            history = worker.call('GET', '/admin/history').content
        runs += [_task_run(name, record) for record in history['tasks']]
    return runs


def kill_worker(cluster: Cluster, name: str) -> None:
    """Kill a worker and keep what it did for the checks.

    It is cut off first, so that nothing starts after its history is read.

    Args:
        cluster: whose worker it is.
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
    """Collect every run of a request on any executor.

    Args:
        cluster: with all its executors reachable.

    Returns:
        All runs.
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
    """Check every rule that the histories show.

    Args:
        cluster: with all its upstreams reachable.

    Returns:
        What must never happen and did.
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
    """Check that no task ran twice at a time.

    Args:
        runs: runs of tasks.

    Returns:
        Pairs of runs that overlap.
    """
    found = []
    by_name = defaultdict(list)
    for run in runs:
        by_name[run.name].append(run)
    for name, same in by_name.items():
        same.sort(key=_start_of)
        for earlier, later in zip(same, same[1:], strict=False):
            if later.start_ms < earlier.end_ms:
                found.append(
                    Violation(
                        rule='one place',
                        detail=f'{name} on {earlier.upstream}, '
                        f'{later.upstream}',
                    )
                )
    return found


def check_finished_once(runs: Iterable[Run]) -> list[Violation]:
    """Check that no task succeeded twice.

    Args:
        runs: runs of tasks.

    Returns:
        Tasks that did.
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
        Tasks that were.
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
    """Check that nothing ran for which the caller was told a refusal.

    Args:
        runs: runs of tasks.
        accepted: ids of all jobs that may run.

    Returns:
        Tasks of other jobs.
    """
    return [
        Violation(rule='not run', detail=f'{run.name} on {run.upstream}')
        for run in runs
        if run.job_id not in accepted
    ]


def check_quiet_after(
    runs: Iterable[Run], ended_ms: Mapping[str, float]
) -> list[Violation]:
    """Check that nothing of a job ran after its end was reported.

    Args:
        runs: runs of tasks.
        ended_ms: by job id, when its end was reported, in monotonic ms.

    Returns:
        Tasks that ran later.
    """
    return [
        Violation(rule='quiet after end', detail=f'{run.name}: {run.end_ms}')
        for run in runs
        if run.job_id in ended_ms and run.end_ms > ended_ms[run.job_id]
    ]


def check_capacity(cluster: Cluster, runs: list[Run]) -> list[Violation]:
    """Check that no worker ran more than its capacity.

    Args:
        cluster: whose workers they are.
        runs: runs of tasks.

    Returns:
        Resources that were overcommitted, once per worker.
    """
    capacity = cluster.shape.worker_capacity
    by_worker = defaultdict(list)
    for run in runs:
        by_worker[run.upstream].append(run)
    return [
        Violation(rule='capacity', detail=f'{worker}: {resource} {peak}')
        for worker, own in by_worker.items()
        for resource, peak in peak_use(own).items()
        if peak > capacity.get(resource, 0)
    ]


def check_limits(cluster: Cluster, runs: list[Run]) -> list[Violation]:
    """Check that no team had more running than its upper limit.

    Args:
        cluster: whose teams they are; limits did not change.
        runs: runs of tasks.

    Returns:
        Resources that a team exceeded.
    """
    limits = {team['name']: team['limit'] for team in cluster.teams}
    by_team = defaultdict(list)
    for run in runs:
        by_team[run.team].append(run)
    return [
        Violation(rule='limit', detail=f'{team}: {resource} {peak}')
        for team, own in by_team.items()
        for resource, peak in peak_use(own).items()
        if peak > limits[team].get(resource, 0)
    ]


def check_slots(cluster: Cluster) -> list[Violation]:
    """Check that no executor ran more requests than it has slots.

    Args:
        cluster: with all its executors reachable.

    Returns:
        Executors that did.
    """
    by_executor = defaultdict(list)
    names: Counter[str] = Counter()
    for run in request_runs(cluster):
        by_executor[run.upstream].append(run)
        names[run.name] += 1
    twice = [name for name, count in names.items() if count > 1]
    slots = cluster.shape.executor_slots
    found = [Violation(rule='request once', detail=name) for name in twice]
    for executor, own in by_executor.items():
        peak = peak_use(own).get('requests', 0)
        if peak > slots:
            found.append(Violation(rule='slots', detail=f'{executor}: {peak}'))
    return found


def peak_use(runs: Iterable[Run]) -> dict[str, int]:
    """Compute the most that ran at a time.

    Args:
        runs: of one worker, executor or team.

    Returns:
        The peak of each resource. A run that starts in the millisecond in
        which another ends does not count as overlapping.
    """
    changes: dict[str, list[_Change]] = defaultdict(list)
    for run in runs:
        for resource, amount in run.resources.items():
            if amount:
                changes[resource].append((run.start_ms, amount))
                changes[resource].append((run.end_ms, -amount))
    return {name: _peak(found) for name, found in changes.items()}


def _peak(changes: list[_Change]) -> int:
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
        end_ms=_end(record),
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
        end_ms=_end(record),
        outcome=None,
        resources={'requests': 1},
    )


def _start_of(run: Run) -> float:
    return run.start_ms


def _end(record: dict[str, Any]) -> float:
    end = record['end_ms']
    return _OVER if end is None else float(end)
