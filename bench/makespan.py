"""Makespan of night runs, against first fit and the lower bound."""

import dataclasses
import random

from bench.baselines import FirstFitCell
from bench.simulation import Simulation
from bench.workload import make_workers
from jayshore.clock import Millis
from jayshore.placement.cell import Cell
from jayshore.placement.decisions import CellScheduler, UnlimitedHeadroom
from jayshore.placement.tasks import PendingTask, TaskId, TaskKind, WorkerView
from jayshore.placement.urgent_reserve import UrgentReserve
from jayshore.resources import Resources, total

_DAY_MS = 24 * 3_600_000
_RUNS = 1_200
_WORKERS = 24


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Makespan:
    """Times until the last run has ended, in s.

    Attributes:
        cell_s: with the policies of the cell.
        first_fit_s: with the baseline, which may fill the reserved lane.
        bound_s: the lower bound for the workers as they are.
        bound_without_lane_s: the lower bound when the lane stays free.
    """

    cell_s: float
    first_fit_s: float
    bound_s: float
    bound_without_lane_s: float


def measure_makespan(seed: int) -> Makespan:
    """Run the same night with each scheduler.

    Args:
        seed: the seed of the runs.

    Returns:
        The times.
    """
    runs = _night_runs(seed)
    workers = make_workers()[:_WORKERS]
    rooms = [worker.capacity for worker in workers]
    lane = UrgentReserve()
    open_rooms = [room - lane.evaluate(room) for room in rooms]
    return Makespan(
        cell_s=_play(Cell(headroom=UnlimitedHeadroom()), workers, runs),
        first_fit_s=_play(FirstFitCell(), workers, runs),
        bound_s=_lower_bound(runs, rooms),
        bound_without_lane_s=_lower_bound(runs, open_rooms),
    )


def _night_runs(seed: int) -> list[PendingTask]:
    pick = random.Random(seed)
    runs = []
    for number in range(_RUNS):
        cores = pick.choice((1, 2, 2, 4, 4, 8, 12))
        runs.append(
            PendingTask(
                task_id=TaskId(job_id=f'night-{number:05}', index=0),
                team=f'team-{pick.randrange(6)}',
                kind=TaskKind.BATCH,
                demand=Resources(
                    cpu_millis=cores * 1000,
                    memory_mb=cores * pick.choice((512, 1024, 1536)),
                ),
                enqueued_at=Millis(0),
                estimated_run_ms=Millis(round(pick.uniform(30, 900) * 1000)),
                deadline=Millis(_DAY_MS),
                idempotent=True,
            )
        )
    return runs


def _play(
    cell: CellScheduler, workers: list[WorkerView], runs: list[PendingTask]
) -> float:
    for worker in workers:
        cell.add_worker(worker)
    simulation = Simulation(
        cell=cell, arrivals=runs, on_end=lambda task, now: ()
    )
    simulation.run(_DAY_MS)
    if len(simulation.started) < len(runs):
        raise RuntimeError('some night runs never started')
    return simulation.ended_at / 1000


def _lower_bound(runs: list[PendingTask], rooms: list[Resources]) -> float:
    """Take the larger of total work over capacity and the longest run."""
    capacity = total(rooms)
    cpu = sum(
        one.demand.cpu_millis * (one.estimated_run_ms or 0) for one in runs
    )
    memory = sum(
        one.demand.memory_mb * (one.estimated_run_ms or 0) for one in runs
    )
    longest = max(one.estimated_run_ms or 0 for one in runs)
    bound = max(cpu / capacity.cpu_millis, memory / capacity.memory_mb, longest)
    return round(bound) / 1000
