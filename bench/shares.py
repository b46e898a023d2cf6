"""Measures how close teams come to their shares after their demand shifts."""

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
_MEASURE_FROM_MS = _SHIFT_MS + 30_000
_END_MS = _MEASURE_FROM_MS + 5_000
_ACTIVE_TEAMS = 170
_MAX_SHARE = 4
_CELL_CORES = 11_000
_BACKLOG_FACTOR = 2
_RUN_TIME_STEP_MS = 10


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Closeness:
    """Relative errors of the resource time that active teams obtained.

    Attributes:
        teams: number of teams with a share.
        active: number of teams with demand after the shift.
        mean_error: mean of `|obtained / entitled - 1|` over the active teams.
        worst_error: maximum of the same.
        running: number of tasks running at the end.
    """

    teams: int
    active: int
    mean_error: float
    worst_error: float
    running: int


class ShiftingDemand:
    """A cell whose set of teams with demand changes once, at the shift."""

    def __init__(self, seed: int) -> None:
        """Choose the shares, and the active teams before and after the shift.

        Args:
            seed: seed of all random choices.
        """
        self._rng = random.Random(seed)
        names = [f'team-{number:03}' for number in range(TEAMS)]
        self._shares = {
            name: self._rng.randint(1, _MAX_SHARE) for name in names
        }
        self._active_before = set(self._rng.sample(names, _ACTIVE_TEAMS))
        self._active_after = set(self._rng.sample(names, _ACTIVE_TEAMS))
        self._job_serial = 0
        self._cell = Cell(headroom=UnlimitedHeadroom())
        self._has_shifted = False
        self._last_observed_ms = _MEASURE_FROM_MS
        self._running: collections.Counter[str] = collections.Counter()
        self._obtained: dict[str, int] = dict.fromkeys(names, 0)
        self._submitted: dict[TaskId, PendingTask] = {}

    def measure(self) -> Closeness:
        """Simulate the shift and measure from 30 s after it.

        Returns:
            The errors over the 5 s that are measured.
        """
        self._cell.apply_shares(self._shares)
        for worker in make_workers():
            self._cell.add_worker(worker)
        arrivals = [
            *self._backlog(self._active_before, 0),
            *self._backlog(self._active_after - self._active_before, _SHIFT_MS),
        ]
        simulation = Simulation(
            cell=self._cell, arrivals=arrivals, on_end=self._resubmit
        )
        simulation.run(_END_MS, lambda now: self._observe(simulation, now))
        return self._closeness()

    def _closeness(self) -> Closeness:
        obtained = sum(self._obtained[name] for name in self._active_after)
        total_share = sum(self._shares[name] for name in self._active_after)
        errors = [
            abs(
                self._obtained[name]
                * total_share
                / obtained
                / self._shares[name]
                - 1
            )
            for name in self._active_after
        ]
        return Closeness(
            teams=TEAMS,
            active=len(errors),
            mean_error=round(sum(errors) / len(errors), 4),
            worst_error=round(max(errors), 4),
            running=sum(self._running.values()),
        )

    def _backlog(self, teams: set[str], at_ms: int) -> list[PendingTask]:
        total_share = sum(self._shares[name] for name in self._active_after)
        return [
            self._make_task(name, at_ms)
            for name in sorted(teams)
            for _ in range(
                _BACKLOG_FACTOR
                * _CELL_CORES
                * self._shares[name]
                // total_share
            )
        ]

    def _make_task(self, team: str, at_ms: int) -> PendingTask:
        self._job_serial += 1
        task = PendingTask(
            task_id=TaskId(job_id=f'job-{self._job_serial:07}', index=0),
            team=team,
            kind=TaskKind.BATCH,
            demand=Resources(cpu_millis=1000, memory_mb=1024),
            enqueued_at=Millis(at_ms),
            estimated_run_ms=Millis(
                _RUN_TIME_STEP_MS * self._rng.randint(400, 1200)
            ),
            idempotent=True,
        )
        self._submitted[task.task_id] = task
        return task

    def _resubmit(self, task: PendingTask, now: Millis) -> list[PendingTask]:
        active = self._active_after if now >= _SHIFT_MS else self._active_before
        return [self._make_task(task.team, now)] if task.team in active else []

    def _observe(self, simulation: Simulation, now: Millis) -> None:
        if now >= _SHIFT_MS and not self._has_shifted:
            self._has_shifted = True
            self._withdraw_waiting(
                simulation, self._active_before - self._active_after
            )
        if now < _MEASURE_FROM_MS:
            return
        for team in self._active_after:
            self._obtained[team] += self._running[team] * (
                now - self._last_observed_ms
            )
        self._last_observed_ms = now
        self._running = simulation.running_by_team()

    def _withdraw_waiting(
        self, simulation: Simulation, teams: set[str]
    ) -> None:
        for task_id, task in self._submitted.items():
            if task.team in teams and task_id not in simulation.started:
                self._cell.withdraw(task_id)


def measure_shares(seed: int) -> Closeness:
    """Measure the deviation from the shares after a shift of demand.

    Args:
        seed: seed of all random choices.

    Returns:
        The errors.
    """
    return ShiftingDemand(seed).measure()
