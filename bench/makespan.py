"""Measures the makespan of nightly tasks against first fit and lower bounds."""

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
_TASK_COUNT = 1_200
_WORKER_COUNT = 24


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Makespan:
    """Time until the last task has ended, in s.

    Attributes:
        cell_s: with the scheduler under test.
        first_fit_s: with the baseline, which may fill the urgent reserve.
        bound_s: lower bound with the whole capacity of the workers.
        bound_without_lane_s: lower bound when the urgent reserve stays free.
    """

    cell_s: float
    first_fit_s: float
    bound_s: float
    bound_without_lane_s: float


def measure_makespan(seed: int) -> Makespan:
    """Simulate the same tasks with each scheduler.

    Args:
        seed: seed of the tasks.

    Returns:
        The makespans and their lower bounds.
    """
    tasks = _nightly_tasks(seed)
    workers = make_workers()[:_WORKER_COUNT]
    capacities = [worker.capacity for worker in workers]
    reserve = UrgentReserve()
    unreserved = [
        capacity - reserve.evaluate(capacity) for capacity in capacities
    ]
    return Makespan(
        cell_s=_simulate(Cell(headroom=UnlimitedHeadroom()), workers, tasks),
        first_fit_s=_simulate(FirstFitCell(), workers, tasks),
        bound_s=_lower_bound(tasks, capacities),
        bound_without_lane_s=_lower_bound(tasks, unreserved),
    )


def _nightly_tasks(seed: int) -> list[PendingTask]:
    rng = random.Random(seed)
    tasks = []
    for number in range(_TASK_COUNT):
        cores = rng.choice((1, 2, 2, 4, 4, 8, 12))
        tasks.append(
            PendingTask(
                task_id=TaskId(job_id=f'night-{number:05}', index=0),
                team=f'team-{rng.randrange(6)}',
                kind=TaskKind.BATCH,
                demand=Resources(
                    cpu_millis=cores * 1000,
                    memory_mb=cores * rng.choice((512, 1024, 1536)),
                ),
                enqueued_at=Millis(0),
                estimated_run_ms=Millis(round(rng.uniform(30, 900) * 1000)),
                deadline=Millis(_DAY_MS),
                idempotent=True,
            )
        )
    return tasks


def _simulate(
    cell: CellScheduler, workers: list[WorkerView], tasks: list[PendingTask]
) -> float:
    for worker in workers:
        cell.add_worker(worker)
    simulation = Simulation(
        cell=cell, arrivals=tasks, on_end=lambda task, now: ()
    )
    simulation.run(_DAY_MS)
    if len(simulation.started) < len(tasks):
        raise RuntimeError('some nightly tasks never started')
    return simulation.ended_at / 1000


def _lower_bound(
    tasks: list[PendingTask], capacities: list[Resources]
) -> float:
    """Return the larger of total work over capacity and longest run time."""
    capacity = total(capacities)
    cpu_work = sum(
        task.demand.cpu_millis * (task.estimated_run_ms or 0) for task in tasks
    )
    memory_work = sum(
        task.demand.memory_mb * (task.estimated_run_ms or 0) for task in tasks
    )
    longest_ms = max(task.estimated_run_ms or 0 for task in tasks)
    bound_ms = max(
        cpu_work / capacity.cpu_millis,
        memory_work / capacity.memory_mb,
        longest_ms,
    )
    return round(bound_ms) / 1000
