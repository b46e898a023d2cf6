"""Closeness to share with many teams whose demand shifts."""

import collections
import dataclasses
import random

from bench.simulation import Simulation
from bench.workload import TEAMS, make_workers
from jayshore.clock import Millis
from jayshore.placement.cell import Cell
from jayshore.placement.decisions import UnlimitedHeadroom
from jayshore.placement.tasks import PendingTask, TaskId, TaskKind
from jayshore.resources import Resources

_SHIFT_MS = 5_000
_SETTLED_MS = _SHIFT_MS + 30_000
_END_MS = _SETTLED_MS + 5_000
_ACTIVE = 170
_MAX_SHARE = 4
_CORES = 11_000
_SURPLUS = 2
_STEP_MS = 10


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Closeness:
    """Relative errors of the resource time that active teams obtained.

    Attributes:
        teams: all teams with a share.
        active: those with demand after the shift.
        mean_error: mean of `|obtained / entitled - 1|`.
        worst_error: its maximum.
        running: tasks running at the end.
    """

    teams: int
    active: int
    mean_error: float
    worst_error: float
    running: int


class ShiftingDemand:
    """Teams that are active before, after, or on both sides of a shift."""

    def __init__(self, seed: int) -> None:
        """Choose teams and shares.

        Args:
            seed: the seed of all choices.
        """
        self._random = random.Random(seed)
        names = [f'team-{number:03}' for number in range(TEAMS)]
        self._shares = {
            name: self._random.randint(1, _MAX_SHARE) for name in names
        }
        self._before = set(self._random.sample(names, _ACTIVE))
        self._after = set(self._random.sample(names, _ACTIVE))
        self._serial = 0
        self._cell = Cell(headroom=UnlimitedHeadroom())
        self._shifted = False
        self._last = _SETTLED_MS
        self._running: collections.Counter[str] = collections.Counter()
        self._obtained: dict[str, int] = dict.fromkeys(names, 0)
        self._arrivals: dict[TaskId, PendingTask] = {}

    def measure(self) -> Closeness:
        """Play the shift and compare from 30 s after it.

        Returns:
            The errors over the last 5 s.
        """
        self._cell.apply_shares(self._shares)
        for worker in make_workers():
            self._cell.add_worker(worker)
        arrivals = [
            *self._backlog(self._before, 0),
            *self._backlog(self._after - self._before, _SHIFT_MS),
        ]
        simulation = Simulation(
            cell=self._cell, arrivals=arrivals, on_end=self._replace
        )
        simulation.run(_END_MS, lambda now: self._observe(simulation, now))
        return self._closeness()

    def _closeness(self) -> Closeness:
        obtained = sum(self._obtained[name] for name in self._after)
        weight = sum(self._shares[name] for name in self._after)
        errors = [
            abs(
                self._obtained[name] * weight / obtained / self._shares[name]
                - 1
            )
            for name in self._after
        ]
        return Closeness(
            teams=TEAMS,
            active=len(errors),
            mean_error=round(sum(errors) / len(errors), 4),
            worst_error=round(max(errors), 4),
            running=sum(self._running.values()),
        )

    def _backlog(self, teams: set[str], instant: int) -> list[PendingTask]:
        weight = sum(self._shares[name] for name in self._after)
        return [
            self._task(name, instant)
            for name in sorted(teams)
            for _ in range(_SURPLUS * _CORES * self._shares[name] // weight)
        ]

    def _task(self, team: str, instant: int) -> PendingTask:
        self._serial += 1
        task = PendingTask(
            task_id=TaskId(job_id=f'job-{self._serial:07}', index=0),
            team=team,
            kind=TaskKind.BATCH,
            demand=Resources(cpu_millis=1000, memory_mb=1024),
            enqueued_at=Millis(instant),
            estimated_run_ms=Millis(_STEP_MS * self._random.randint(400, 1200)),
            idempotent=True,
        )
        self._arrivals[task.task_id] = task
        return task

    def _replace(self, task: PendingTask, now: Millis) -> list[PendingTask]:
        active = self._after if now >= _SHIFT_MS else self._before
        return [self._task(task.team, now)] if task.team in active else []

    def _observe(self, simulation: Simulation, now: Millis) -> None:
        if now >= _SHIFT_MS and not self._shifted:
            self._shifted = True
            self._withdraw(simulation, self._before - self._after)
        if now < _SETTLED_MS:
            return
        for team in self._after:
            self._obtained[team] += self._running[team] * (now - self._last)
        self._last = now
        self._running = simulation.running_by_team()

    def _withdraw(self, simulation: Simulation, teams: set[str]) -> None:
        for task_id, task in self._arrivals.items():
            if task.team in teams and task_id not in simulation.started:
                self._cell.withdraw(task_id)


def measure_shares(seed: int) -> Closeness:
    """Measure the closeness to share.

    Args:
        seed: the seed of all choices.

    Returns:
        The errors.
    """
    return ShiftingDemand(seed).measure()
