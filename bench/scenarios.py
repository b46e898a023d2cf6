"""Random settings, tasks and limits for `bench.differential`."""

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
_RUN_TIMES_MS = (None, 300, 2_000, 9_000, 70_000, 1_500_000)


class TeamLimits(TeamHeadroom):
    """Limits of the teams in processor time, and what their tasks use."""

    def __init__(self) -> None:
        """Start without limits and without running tasks."""
        self.limits: dict[str, int] = {}
        self.used: dict[str, int] = {}

    def has_headroom(self, team: str, demand: Resources) -> bool:
        """Return whether a demand fits within the limit of a team.

        Args:
            team: name of the team.
            demand: additional demand.

        Returns:
            True if the team has no limit or would not exceed it.
        """
        limit = self.limits.get(team)
        wanted = self.used.get(team, 0) + demand.cpu_millis
        return limit is None or wanted <= limit

    def adjust_used(self, task: PendingTask, sign: int) -> None:
        """Add a started task to the use of its team, or subtract an ended one.

        Args:
            task: the task.
            sign: 1 for a start, -1 for an end.
        """
        used = self.used.get(task.team, 0)
        self.used[task.team] = used + sign * task.demand.cpu_millis


def random_settings(rng: random.Random) -> PlacementSettings:
    """Choose random settings with clearly different effects.

    Args:
        rng: source of all choices.

    Returns:
        The settings.
    """
    after_ms = rng.choice((1, 400, 30_000))
    rising_ms = rng.choice((0, 2_000, 60_000, 14_400_000))
    return PlacementSettings(
        weights=ScoreWeights(
            packing=rng.choice((0, 0.3, 1, 40)),
            spread=rng.choice((0, 0.05, 1)),
            health=rng.choice((0, 1, 20)),
        ),
        aging=AgingSettings(
            after_ms=Millis(after_ms), full_ms=Millis(after_ms + rising_ms)
        ),
        preemption=PreemptionSettings(
            enabled=rng.randrange(4) > 0,
            above_share=rng.choice((1, 1.1, 2)),
        ),
    )


def random_task(
    rng: random.Random, now: int, workers: list[str]
) -> PendingTask:
    """Choose a random task.

    Args:
        rng: source of all choices.
        now: time of its submission, in ms.
        workers: ids of the workers that it may allow or avoid.

    Returns:
        The task, with an empty job id; the caller sets its id.
    """
    cores = rng.choice((1, 1, 2, 3, 8, 14))
    kind = rng.choice((*TaskKind, TaskKind.BATCH, TaskKind.BATCH))
    run_ms = rng.choice(_RUN_TIMES_MS)
    deadline = now + rng.choice((500_000, 900_000, 3_000_000))
    allowed = frozenset(rng.choices(workers, k=3))
    return PendingTask(
        task_id=TaskId(job_id='', index=0),
        team=f't{rng.randrange(TEAMS)}',
        kind=kind,
        demand=Resources(
            cpu_millis=cores * 1000,
            memory_mb=cores * rng.choice((256, 1024, 3000)),
            accelerators=rng.choice((0, 0, 0, 1, 2)),
        ),
        enqueued_at=Millis(now),
        urgent=rng.randrange(100) < 10,
        estimated_run_ms=None if run_ms is None else Millis(run_ms),
        deadline=Millis(deadline) if rng.randrange(100) < 30 else None,
        idempotent=rng.randrange(100) < 70,
        preemptible=rng.randrange(100) < 70,
        gang_size=rng.choice((2, 3, 6)) if kind is TaskKind.GANG else 1,
        allowed_workers=allowed if rng.randrange(100) < 15 else None,
        avoided_workers=allowed if rng.randrange(100) < 10 else frozenset(),
    )
