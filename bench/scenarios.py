"""What the histories of `bench.differential` are made of."""

import random

from jayshore.clock import Millis
from jayshore.placement.decisions import TeamHeadroom
from jayshore.placement.settings import (
    AgingSettings,
    PlacementSettings,
    PreemptionSettings,
    ScoreWeights,
)
from jayshore.placement.tasks import PendingTask, TaskId, TaskKind
from jayshore.resources import Resources

TEAMS = 5
_RUNS_MS = (None, 300, 2_000, 9_000, 70_000, 1_500_000)


class TeamLimits(TeamHeadroom):
    """Limits in processors, against what the history runs."""

    def __init__(self) -> None:
        """Start without limits."""
        self.limits: dict[str, int] = {}
        self.used: dict[str, int] = {}

    def has_headroom(self, team: str, demand: Resources) -> bool:
        """Compare with the limit.

        Args:
            team: the team.
            demand: what it would take.

        Returns:
            True when there is no limit or it is not exceeded.
        """
        limit = self.limits.get(team)
        wanted = self.used.get(team, 0) + demand.cpu_millis
        return limit is None or wanted <= limit

    def count(self, task: PendingTask, sign: int) -> None:
        """Count a task that starts (1) or ends (-1).

        Args:
            task: the task.
            sign: 1 or -1.
        """
        used = self.used.get(task.team, 0)
        self.used[task.team] = used + sign * task.demand.cpu_millis


def random_settings(pick: random.Random) -> PlacementSettings:
    """Make settings that differ in effect.

    Args:
        pick: the source of all choices.

    Returns:
        The settings.
    """
    after_ms = pick.choice((1, 400, 30_000))
    rising_ms = pick.choice((0, 2_000, 60_000, 14_400_000))
    return PlacementSettings(
        weights=ScoreWeights(
            packing=pick.choice((0, 0.3, 1, 40)),
            spread=pick.choice((0, 0.05, 1)),
            health=pick.choice((0, 1, 20)),
        ),
        aging=AgingSettings(
            after_ms=Millis(after_ms), full_ms=Millis(after_ms + rising_ms)
        ),
        preemption=PreemptionSettings(
            enabled=pick.randrange(4) > 0,
            above_share=pick.choice((1, 1.1, 2)),
        ),
    )


def random_task(
    pick: random.Random, now: int, workers: list[str]
) -> PendingTask:
    """Make a task; the caller sets its id.

    Args:
        pick: the source of all choices.
        now: when it is enqueued, in ms.
        workers: ids of the workers.

    Returns:
        The task.
    """
    cores = pick.choice((1, 1, 2, 3, 8, 14))
    kind = pick.choice((*TaskKind, TaskKind.BATCH, TaskKind.BATCH))
    run_ms = pick.choice(_RUNS_MS)
    deadline = now + pick.choice((500_000, 900_000, 3_000_000))
    allowed = frozenset(pick.choices(workers, k=3))
    return PendingTask(
        task_id=TaskId(job_id='', index=0),
        team=f't{pick.randrange(TEAMS)}',
        kind=kind,
        demand=Resources(
            cpu_millis=cores * 1000,
            memory_mb=cores * pick.choice((256, 1024, 3000)),
            accelerators=pick.choice((0, 0, 0, 1, 2)),
        ),
        enqueued_at=Millis(now),
        urgent=pick.randrange(100) < 10,
        estimated_run_ms=None if run_ms is None else Millis(run_ms),
        deadline=Millis(deadline) if pick.randrange(100) < 30 else None,
        idempotent=pick.randrange(100) < 70,
        preemptible=pick.randrange(100) < 70,
        gang_size=pick.choice((2, 3, 6)) if kind is TaskKind.GANG else 1,
        allowed_workers=allowed if pick.randrange(100) < 15 else None,
        avoided_workers=allowed if pick.randrange(100) < 10 else frozenset(),
    )
