"""Measures the waiting time of previews while batch tasks fill the cell."""

import dataclasses
import random

from hdrh.histogram import HdrHistogram

from bench.baselines import FirstFitCell
from bench.simulation import Simulation
from bench.workload import make_workers
from jayshore.clock import Millis
from jayshore.placement.cell import Cell
from jayshore.placement.decisions import CellScheduler, UnlimitedHeadroom
from jayshore.placement.tasks import PendingTask, TaskId, TaskKind
from jayshore.resources import Resources

_WORKER_COUNT = 24
_DURATION_MS = 600_000
_BATCH_TASKS = 4_000
_PREVIEW_INTERVAL_MS = 250
_MAX_WAIT_MS = 10 * _DURATION_MS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreviewWaits:
    """Waiting times of previews with one scheduler.

    A preview that never started counts with the time from its submission to the
    end of the simulation.

    Attributes:
        scheduler: name of the scheduler.
        previews: number of submitted previews.
        started: number of previews that started.
        p50_ms: median waiting time, in ms.
        p99_ms: 99th percentile of the waiting time, in ms.
    """

    scheduler: str
    previews: int
    started: int
    p50_ms: int
    p99_ms: int


def measure_previews(seed: int) -> list[PreviewWaits]:
    """Simulate the same load with each scheduler.

    Args:
        seed: seed of the load.

    Returns:
        One result for the cell and one for the baseline.
    """
    return [
        _simulate('cell', Cell(headroom=UnlimitedHeadroom()), seed),
        _simulate('first-come-first-served first-fit', FirstFitCell(), seed),
    ]


def _simulate(name: str, cell: CellScheduler, seed: int) -> PreviewWaits:
    for worker in make_workers()[:_WORKER_COUNT]:
        cell.add_worker(worker)
    rng = random.Random(seed)
    batch = [_batch_task(rng, number) for number in range(_BATCH_TASKS)]
    previews = [
        _preview(rng, number, at_ms)
        for number, at_ms in enumerate(
            range(1, _DURATION_MS, _PREVIEW_INTERVAL_MS)
        )
    ]
    simulation = Simulation(
        cell=cell, arrivals=batch + previews, on_end=lambda task, now: ()
    )
    simulation.run(_DURATION_MS)
    waits = HdrHistogram(1, _MAX_WAIT_MS, 3)
    started = 0
    for task in previews:
        wait_ms = simulation.waits_ms.get(task.task_id)
        started += wait_ms is not None
        unstarted_wait_ms = _DURATION_MS - task.enqueued_at
        waits.record_value(unstarted_wait_ms if wait_ms is None else wait_ms)
    return PreviewWaits(
        scheduler=name,
        previews=len(previews),
        started=started,
        p50_ms=waits.get_value_at_percentile(50),
        p99_ms=waits.get_value_at_percentile(99),
    )


def _batch_task(rng: random.Random, number: int) -> PendingTask:
    cores = rng.choice((1, 2, 4, 8))
    return PendingTask(
        task_id=TaskId(job_id=f'batch-{number:05}', index=0),
        team=f'team-{rng.randrange(6)}',
        kind=TaskKind.BATCH,
        demand=Resources(cpu_millis=cores * 1000, memory_mb=cores * 1024),
        enqueued_at=Millis(0),
        estimated_run_ms=Millis(round(rng.uniform(20, 300) * 1000)),
        idempotent=True,
    )


def _preview(rng: random.Random, number: int, at_ms: int) -> PendingTask:
    return PendingTask(
        task_id=TaskId(job_id=f'preview-{number:05}', index=0),
        team=f'team-{rng.randrange(6)}',
        kind=TaskKind.PREVIEW,
        demand=Resources(cpu_millis=1000, memory_mb=1024),
        enqueued_at=Millis(at_ms),
        estimated_run_ms=Millis(round(rng.uniform(0.3, 3) * 1000)),
        idempotent=True,
    )
