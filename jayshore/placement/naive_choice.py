"""Chooses workers by full scan for `jayshore.placement.naive`."""

import collections

from jayshore.clock import Millis
from jayshore.placement import naive_scan as scan
from jayshore.placement.entries import QueueEntry, fit_key
from jayshore.placement.feasible import count_fitting
from jayshore.placement.scoring import (
    SCORED_WORKERS,
    PlacementScore,
    ScoreCase,
)
from jayshore.placement.spreading import topology_keys
from jayshore.placement.tasks import TaskKind, WorkerView
from jayshore.resources import Resources


def choose(
    state: scan.NaiveState, entry: QueueEntry, now: Millis
) -> tuple[str, ...]:
    """Choose the workers for an entry.

    Args:
        state: the state of the cell.
        entry: a waiting entry.
        now: the time.

    Returns:
        One worker id per task, or none when not all tasks fit.
    """
    demand, size = entry.first.demand, len(entry.tasks)
    workers = [
        worker
        for worker in scan.eligible_workers(state, entry.first)
        if count_fitting(
            demand, scan.usable_capacity(state, entry, worker, now), 1
        )
    ]
    workers.sort(
        key=lambda one: fit_key(_free(state, entry, one), one.worker_id)
    )
    scored = workers[:SCORED_WORKERS]
    scores = _scores(state, entry, scored)
    scored.sort(
        key=lambda one: (
            scores[one.worker_id],
            fit_key(Resources(), one.worker_id),
        )
    )
    chosen: list[str] = []
    for worker in scored + workers[SCORED_WORKERS:]:
        available = scan.usable_capacity(state, entry, worker, now)
        count = count_fitting(demand, available, size - len(chosen))
        chosen.extend([worker.worker_id] * count)
    return tuple(chosen) if len(chosen) == size else ()


def _free(
    state: scan.NaiveState, entry: QueueEntry, worker: WorkerView
) -> Resources:
    return scan.allocation_of(state, worker).available_to(entry.first)


def _scores(
    state: scan.NaiveState, entry: QueueEntry, workers: list[WorkerView]
) -> dict[str, float]:
    counts = _replica_counts(state, entry.entry_id.job_id)
    is_service = entry.first.kind is TaskKind.SERVICE
    scores = PlacementScore().evaluate(
        ScoreCase(
            weights=state.settings.weights,
            free_capacities=[
                fit_key(_free(state, entry, one), '')[:3] for one in workers
            ],
            replica_counts=[
                tuple(counts[key] for key in topology_keys(one))
                if is_service
                else ()
                for one in workers
            ],
            failures=[state.failures.get(one.worker_id, 0) for one in workers],
        )
    )
    names = [worker.worker_id for worker in workers]
    return dict(zip(names, scores, strict=True))


def _replica_counts(
    state: scan.NaiveState, job_id: str
) -> collections.Counter[str]:
    return collections.Counter(
        key
        for running in state.running.values()
        if running.task.task_id.job_id == job_id
        for key in topology_keys(state.workers[running.worker_id])
    )
