"""Generates workers and seeded random jobs at the size of the design target."""

import dataclasses
import random

from jayshore.clock import Millis
from jayshore.placement.tasks import PendingTask, TaskId, TaskKind, WorkerView
from jayshore.resources import Resources

WORKERS = 460
TEAMS = 280
BACKLOG_TASKS = 5_000
ACCELERATOR_WORKERS = 110
"""Each has 8 accelerators: 880 in all."""
_ACCELERATORS_PER_WORKER = 8
_DOMAINS = 4
_WORKERS_PER_RACK = 8
_DEMAND_WEIGHTS = (
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
_RUN_TIMES_MS = (1_000, 4_000, 15_000, 60_000, 240_000, 900_000, 3_600_000)
_KIND_WEIGHTS = (
    (TaskKind.BATCH, 75),
    (TaskKind.SERVICE, 20),
    (TaskKind.GANG, 3),
    (TaskKind.PREVIEW, 2),
)
_PREVIEW_DEMAND = Resources(cpu_millis=1000, memory_mb=1024)


def make_workers(scale: int = 1) -> list[WorkerView]:
    """Build the workers of a cell.

    Half of them have 32 cores and 128 GB, half 16 cores and 32 GB; the
    accelerators are on the larger ones.

    Args:
        scale: size as a multiple of the design target.

    Returns:
        The workers, large and small ones in turn.
    """
    workers = []
    for number in range(WORKERS * scale):
        is_large = number % 2 == 0
        cores = 16 * (is_large + 1)
        has_accelerators = is_large and number < 2 * ACCELERATOR_WORKERS * scale
        workers.append(
            WorkerView(
                worker_id=f'worker-{number:05}',
                rack=f'rack-{number // _WORKERS_PER_RACK:04}',
                failure_domain=f'domain-{number % _DOMAINS}',
                capacity=Resources(
                    cpu_millis=cores * 1000,
                    memory_mb=cores * 2048 * (is_large + 1),
                    accelerators=_ACCELERATORS_PER_WORKER * has_accelerators,
                ),
            )
        )
    return workers


class TaskSource:
    """Produces random jobs of all kinds for many teams."""

    def __init__(self, *, seed: int, teams: int = TEAMS) -> None:
        """Start at the first job.

        Args:
            seed: seed of all random choices.
            teams: number of teams that submit.
        """
        self._rng = random.Random(seed)
        self._teams = teams
        self._job_serial = 0

    def make_job(self, now: Millis) -> list[PendingTask]:
        """Produce one job.

        Args:
            now: time of its submission.

        Returns:
            Its tasks: one, or those of a gang.
        """
        self._job_serial += 1
        rng = self._rng
        kind = rng.choices(
            [choice for choice, _ in _KIND_WEIGHTS],
            [weight for _, weight in _KIND_WEIGHTS],
        )[0]
        gang_size = rng.choice((2, 4, 8)) if kind is TaskKind.GANG else 1
        first = self._task(kind, gang_size, now)
        return [
            dataclasses.replace(
                first,
                task_id=TaskId(
                    job_id=f'job-{self._job_serial:07}', index=index
                ),
            )
            for index in range(gang_size)
        ]

    def _task(self, kind: TaskKind, gang_size: int, now: Millis) -> PendingTask:
        rng = self._rng
        cores, memory_mb, accelerators = rng.choices(
            [amounts for amounts, _ in _DEMAND_WEIGHTS],
            [weight for _, weight in _DEMAND_WEIGHTS],
        )[0]
        run_ms = Millis(
            round(rng.choice(_RUN_TIMES_MS) * rng.uniform(0.7, 1.3))
        )
        deadline = None
        if kind is TaskKind.BATCH and rng.randrange(10) == 0:
            deadline = Millis(now + run_ms + rng.randrange(4 * 3_600_000))
        demand = Resources(
            cpu_millis=cores * 1000,
            memory_mb=cores * memory_mb,
            accelerators=accelerators,
        )
        return PendingTask(
            task_id=TaskId(job_id='', index=0),
            team=f'team-{rng.randrange(self._teams):03}',
            kind=kind,
            demand=_PREVIEW_DEMAND if kind is TaskKind.PREVIEW else demand,
            enqueued_at=now,
            urgent=rng.randrange(50) == 0,
            estimated_run_ms=None if kind is TaskKind.SERVICE else run_ms,
            deadline=deadline,
            idempotent=rng.randrange(10) > 0,
            preemptible=kind is TaskKind.BATCH,
            gang_size=gang_size,
        )
