"""Seeded cells and tasks of the sizes of the design target."""

import dataclasses
import random

from jayshore.clock import Millis
from jayshore.placement.tasks import PendingTask, TaskId, TaskKind, WorkerView
from jayshore.resources import Resources

WORKERS = 460
TEAMS = 280
BACKLOG = 5_000
ACCELERATOR_WORKERS = 110
"""Eight accelerators each: 880 in all."""
_ACCELERATORS = 8
_DOMAINS = 4
_PER_RACK = 8
_SIZES = (
    # (cores, MB per core, accelerators), weight
    ((1, 2048, 0), 20),
    ((2, 2048, 0), 20),
    ((4, 2048, 0), 16),
    ((4, 4096, 0), 8),
    ((8, 2048, 0), 10),
    ((8, 4096, 0), 6),
    ((16, 2048, 0), 2),
    ((2, 4096, 1), 8),
    ((4, 4096, 2), 6),
    ((8, 4096, 4), 3),
    ((16, 4096, 8), 1),
)
_RUNS_MS = (1_000, 4_000, 15_000, 60_000, 240_000, 900_000, 3_600_000)
_KINDS = (
    (TaskKind.BATCH, 75),
    (TaskKind.SERVICE, 20),
    (TaskKind.GANG, 3),
    (TaskKind.PREVIEW, 2),
)
_PREVIEW = Resources(cpu_millis=1000, memory_mb=1024)


def make_workers(scale: int = 1) -> list[WorkerView]:
    """Build the workers of a cell.

    Args:
        scale: a multiple of the design target.

    Returns:
        Half of them with 32 cores and 128 GB, half with 16 cores and 32 GB;
        the accelerators are on the larger ones.
    """
    workers = []
    for number in range(WORKERS * scale):
        large = number % 2 == 0
        cores = 16 * (large + 1)
        has_accelerators = large and number < 2 * ACCELERATOR_WORKERS * scale
        workers.append(
            WorkerView(
                worker_id=f'worker-{number:05}',
                rack=f'rack-{number // _PER_RACK:04}',
                failure_domain=f'domain-{number % _DOMAINS}',
                capacity=Resources(
                    cpu_millis=cores * 1000,
                    memory_mb=cores * 2048 * (large + 1),
                    accelerators=_ACCELERATORS * has_accelerators,
                ),
            )
        )
    return workers


class TaskSource:
    """Produces jobs of all kinds for many teams."""

    def __init__(self, *, seed: int, teams: int = TEAMS) -> None:
        """Start at the first job.

        Args:
            seed: the seed of all choices.
            teams: how many teams submit.
        """
        self._random = random.Random(seed)
        self._teams = teams
        self._serial = 0

    def job(self, now: Millis) -> list[PendingTask]:
        """Produce one job.

        Args:
            now: when it is enqueued.

        Returns:
            Its tasks: one, or those of a gang.
        """
        self._serial += 1
        pick = self._random
        kind = pick.choices(
            [one for one, _ in _KINDS], [weight for _, weight in _KINDS]
        )[0]
        size = pick.choice((2, 4, 8)) if kind is TaskKind.GANG else 1
        first = self._task(kind, size, now)
        return [
            dataclasses.replace(
                first,
                task_id=TaskId(job_id=f'job-{self._serial:07}', index=index),
            )
            for index in range(size)
        ]

    def _task(self, kind: TaskKind, size: int, now: Millis) -> PendingTask:
        pick = self._random
        cores, memory_mb, accelerators = pick.choices(
            [one for one, _ in _SIZES], [weight for _, weight in _SIZES]
        )[0]
        run_ms = Millis(round(pick.choice(_RUNS_MS) * pick.uniform(0.7, 1.3)))
        deadline = None
        if kind is TaskKind.BATCH and pick.randrange(10) == 0:
            deadline = Millis(now + run_ms + pick.randrange(4 * 3_600_000))
        demand = Resources(
            cpu_millis=cores * 1000,
            memory_mb=cores * memory_mb,
            accelerators=accelerators,
        )
        return PendingTask(
            task_id=TaskId(job_id='', index=0),
            team=f'team-{pick.randrange(self._teams):03}',
            kind=kind,
            demand=_PREVIEW if kind is TaskKind.PREVIEW else demand,
            enqueued_at=now,
            urgent=pick.randrange(50) == 0,
            estimated_run_ms=None if kind is TaskKind.SERVICE else run_ms,
            deadline=deadline,
            idempotent=pick.randrange(10) > 0,
            preemptible=kind is TaskKind.BATCH,
            gang_size=size,
        )
