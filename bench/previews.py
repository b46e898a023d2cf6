"""Waiting time of previews beside a full batch load."""

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

_WORKERS = 24
_SPAN_MS = 600_000
_BATCH = 4_000
_PREVIEW_GAP_MS = 250
_MAX_MS = 10 * _SPAN_MS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreviewWaits:
    """Waiting times in ms; one that never started counts the whole span.

    Attributes:
        scheduler: which one.
        previews: how many were submitted.
        started: how many started within the span.
        p50_ms: the median.
        p99_ms: the 99th percentile.
    """

    scheduler: str
    previews: int
    started: int
    p50_ms: int
    p99_ms: int


def measure_previews(seed: int) -> list[PreviewWaits]:
    """Play the same load with each scheduler.

    Args:
        seed: the seed of the load.

    Returns:
        One result for the cell and one for the baseline.
    """
    return [
        _play('cell', Cell(headroom=UnlimitedHeadroom()), seed),
        _play('first-come-first-served first-fit', FirstFitCell(), seed),
    ]


def _play(name: str, cell: CellScheduler, seed: int) -> PreviewWaits:
    for worker in make_workers()[:_WORKERS]:
        cell.add_worker(worker)
    pick = random.Random(seed)
    batch = [_batch_task(pick, number) for number in range(_BATCH)]
    previews = [
        _preview(pick, number, instant)
        for number, instant in enumerate(range(1, _SPAN_MS, _PREVIEW_GAP_MS))
    ]
    simulation = Simulation(
        cell=cell, arrivals=batch + previews, on_end=lambda task, now: ()
    )
    simulation.run(_SPAN_MS)
    waits = HdrHistogram(1, _MAX_MS, 3)
    started = 0
    for task in previews:
        wait_ms = simulation.waits_ms.get(task.task_id)
        started += wait_ms is not None
        unmet_ms = _SPAN_MS - task.enqueued_at
        waits.record_value(unmet_ms if wait_ms is None else wait_ms)
    return PreviewWaits(
        scheduler=name,
        previews=len(previews),
        started=started,
        p50_ms=waits.get_value_at_percentile(50),
        p99_ms=waits.get_value_at_percentile(99),
    )


def _batch_task(pick: random.Random, number: int) -> PendingTask:
    cores = pick.choice((1, 2, 4, 8))
    return PendingTask(
        task_id=TaskId(job_id=f'batch-{number:05}', index=0),
        team=f'team-{pick.randrange(6)}',
        kind=TaskKind.BATCH,
        demand=Resources(cpu_millis=cores * 1000, memory_mb=cores * 1024),
        enqueued_at=Millis(0),
        estimated_run_ms=Millis(round(pick.uniform(20, 300) * 1000)),
        idempotent=True,
    )


def _preview(pick: random.Random, number: int, instant: int) -> PendingTask:
    return PendingTask(
        task_id=TaskId(job_id=f'preview-{number:05}', index=0),
        team=f'team-{pick.randrange(6)}',
        kind=TaskKind.PREVIEW,
        demand=Resources(cpu_millis=1000, memory_mb=1024),
        enqueued_at=Millis(instant),
        estimated_run_ms=Millis(round(pick.uniform(0.3, 3) * 1000)),
        idempotent=True,
    )
