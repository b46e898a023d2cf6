"""Compares the decisions of the cell with those of a full-scan oracle.

`python -m bench.differential --rounds 10000` prints the result. A scenario is a
small cell to which seeded random changes are applied. After a few changes a
round of decisions is made by both implementations, and each pair of decisions
is compared by value.
"""

import argparse
import dataclasses
import json
import operator
import random
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import TypeAlias

from bench.scenarios import (
    TEAMS,
    TeamLimits,
    random_settings,
    random_task,
)
from jayshore.clock import Millis
from jayshore.outcomes import JayshoreError
from jayshore.placement.cell import Cell
from jayshore.placement.decisions import (
    CellScheduler,
    Decision,
    Place,
    Preempt,
    Wait,
)
from jayshore.placement.naive import NaiveCell
from jayshore.placement.tasks import (
    PendingTask,
    PlacedTask,
    TaskId,
    TaskKind,
    WorkerState,
    WorkerView,
)
from jayshore.resources import NOTHING, Resources

_WeightedChange: TypeAlias = tuple[Callable[[], None], int]
ROUNDS_PER_SCENARIO = 100
_MAX_PENDING = 40
_TIME_STEPS_MS = (0, 1, 20, 400, 3_000, 40_000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Disagreement:
    """Two decisions that differ.

    Attributes:
        seed: seed of the scenario.
        number: number of the round within the scenario.
        fast: decision of the cell.
        naive: decision of the oracle.
    """

    seed: int
    number: int
    fast: Decision
    naive: Decision


@dataclasses.dataclass(kw_only=True, slots=True)
class Tally:
    """Counts over all scenarios of a run.

    Attributes:
        rounds: rounds of decisions.
        places, preempts, waits: decisions of each kind.
        gangs: `Place` decisions with more than one task.
        settings: changes of the settings.
    """

    rounds: int = 0
    places: int = 0
    gangs: int = 0
    preempts: int = 0
    waits: int = 0
    settings: int = 0


class InvariantError(JayshoreError):
    """A decision violates a guarantee, even if both cells agree on it."""


class Scenario:
    """The same small cell in both implementations."""

    def __init__(self, *, seed: int, tally: Tally) -> None:
        """Create both cells with 2 to 9 workers.

        Args:
            seed: seed of all random choices.
            tally: counts to add to.
        """
        self._seed = seed
        self._tally = tally
        self._rng = random.Random(seed)
        # Scenarios with an even seed keep the default settings.
        self._settings_weight = 4 if seed % 2 else 0
        self._limits = TeamLimits()
        self._cells: tuple[CellScheduler, ...] = (
            Cell(headroom=self._limits),
            NaiveCell(headroom=self._limits),
        )
        self._now = 0
        self._serial = 0
        self._pending: dict[TaskId, PendingTask] = {}
        self._running: dict[TaskId, PlacedTask] = {}
        self._workers: list[str] = []
        self._capacity: dict[str, Resources] = {}
        for _ in range(self._rng.randint(2, 9)):
            self._add_worker()

    def run(self, rounds: int) -> Disagreement | None:
        """Apply random changes and compare the decisions of each round.

        Args:
            rounds: number of rounds.

        Returns:
            The first disagreement, or None.
        """
        for number in range(rounds):
            for _ in range(self._rng.randint(1, 4)):
                self._apply_random_change()
            self._now += self._rng.choice(_TIME_STEPS_MS)
            self._tally.rounds += 1
            for fast, naive in self._decisions():
                if fast != naive:
                    return Disagreement(
                        seed=self._seed, number=number, fast=fast, naive=naive
                    )
        return None

    def _decisions(self) -> Iterator[tuple[Decision, Decision]]:
        """Decide and execute until the cell waits."""
        while True:
            fast, naive = (
                cell.decide(Millis(self._now)) for cell in self._cells
            )
            yield fast, naive
            if isinstance(fast, Wait):
                self._tally.waits += 1
                return
            self._execute(fast)

    def _execute(self, decision: Place | Preempt) -> None:
        if isinstance(decision, Preempt):
            self._tally.preempts += 1
            for task_id in decision.task_ids:
                _check_preemptible(self._running[task_id])
            for implementation in self._cells:
                implementation.preempt(decision)
            return
        self._tally.places += 1
        self._tally.gangs += len(decision.assignments) > 1
        for assignment in decision.assignments:
            task = self._pending.pop(assignment.task_id)
            if not self._limits.has_headroom(task.team, task.demand):
                raise InvariantError(
                    f'a placement exceeds the limit of {task.team}'
                )
            self._limits.adjust_used(task, 1)
            self._running[assignment.task_id] = PlacedTask(
                task=task,
                worker_id=assignment.worker_id,
                started_at=Millis(self._now),
            )
            _check_capacity(
                self._capacity[assignment.worker_id],
                assignment.worker_id,
                self._running.values(),
            )
            for cell in self._cells:
                cell.start(
                    assignment.task_id, assignment.worker_id, Millis(self._now)
                )

    def _apply_random_change(self) -> None:
        weighted_changes: tuple[_WeightedChange, ...] = (
            (self._submit, 40),
            (self._finish, 30),
            (self._withdraw, 4),
            (self._report_usage, 8),
            (self._change_limit, 5),
            (self._change_shares, 2),
            (self._add_worker, 2),
            (self._remove_worker, 1),
            (self._change_state, 4),
            (self._change_settings, self._settings_weight),
            (self._change_failures, self._settings_weight),
        )
        weights = [weight for _, weight in weighted_changes]
        self._rng.choices(weighted_changes, weights)[0][0]()

    def _add_worker(self) -> None:
        self._serial += 1
        cores = self._rng.choice((4, 8, 16, 32))
        view = WorkerView(
            worker_id=f'w{self._serial}',
            rack=f'r{self._rng.randint(0, 3)}',
            failure_domain=f'd{self._rng.randint(0, 1)}',
            capacity=Resources(
                cpu_millis=cores * 1000,
                memory_mb=cores * self._rng.choice((1024, 4096)),
                accelerators=self._rng.choice((0, 0, 2, 4)),
            ),
        )
        self._workers.append(view.worker_id)
        self._capacity[view.worker_id] = view.capacity
        for cell in self._cells:
            cell.add_worker(view)

    def _remove_worker(self) -> None:
        if len(self._workers) < 3:
            return
        worker_id = self._rng.choice(self._workers)
        self._workers.remove(worker_id)
        for cell in self._cells:
            cell.remove_worker(worker_id)
        for task_id, running in tuple(self._running.items()):
            if running.worker_id == worker_id:
                self._limits.adjust_used(self._running.pop(task_id).task, -1)

    def _change_state(self) -> None:
        worker_id = self._rng.choice(self._workers)
        state = self._rng.choice(
            (WorkerState.USABLE, WorkerState.USABLE, *WorkerState)
        )
        for cell in self._cells:
            cell.set_worker_state(worker_id, state)

    def _change_settings(self) -> None:
        self._tally.settings += 1
        settings = random_settings(self._rng)
        for cell in self._cells:
            cell.apply_settings(settings)

    def _change_failures(self) -> None:
        worker_id = self._rng.choice(self._workers)
        failures = self._rng.choice((0, 1, 5, 32))
        for cell in self._cells:
            cell.set_worker_failures(worker_id, failures)

    def _submit(self) -> None:
        if len(self._pending) > _MAX_PENDING:
            return
        self._serial += 1
        first = random_task(self._rng, self._now, self._workers)
        count = self._rng.choice((1, 1, 2, 5))
        if first.kind is TaskKind.GANG:
            count = first.gang_size
        for index in range(count):
            task_id = TaskId(job_id=f'j{self._serial}', index=index)
            task = dataclasses.replace(first, task_id=task_id)
            self._pending[task_id] = task
            for cell in self._cells:
                cell.enqueue(task)

    def _finish(self) -> None:
        if not self._running:
            return
        task_id = self._rng.choice(tuple(self._running))
        self._limits.adjust_used(self._running.pop(task_id).task, -1)
        for cell in self._cells:
            cell.finish(task_id)

    def _withdraw(self) -> None:
        if not self._pending:
            return
        task_id = self._rng.choice(tuple(self._pending))
        self._pending.pop(task_id)
        for cell in self._cells:
            cell.withdraw(task_id)

    def _report_usage(self) -> None:
        if not self._running:
            return
        task_id = self._rng.choice(tuple(self._running))
        cores = self._rng.choice((0, 1, 4, 20))
        usage = NOTHING
        if cores:
            usage = Resources(cpu_millis=cores * 1000, memory_mb=cores * 512)
        self._running[task_id] = dataclasses.replace(
            self._running[task_id], usage=usage
        )
        for cell in self._cells:
            cell.update_usage(task_id, usage)

    def _change_limit(self) -> None:
        team = f't{self._rng.randrange(TEAMS)}'
        self._limits.limits[team] = self._rng.choice((4_000, 12_000, 90_000))
        for cell in self._cells:
            cell.headroom_changed(team)

    def _change_shares(self) -> None:
        shares = {
            f't{number}': self._rng.choice((1, 2, 5)) for number in range(TEAMS)
        }
        for cell in self._cells:
            cell.apply_shares(shares)


def _check_capacity(
    capacity: Resources, worker_id: str, running: Iterable[PlacedTask]
) -> None:
    charges = [
        tuple(map(max, placed.task.demand, placed.usage))
        for placed in running
        if placed.worker_id == worker_id
    ]
    charged = [sum(column) for column in zip(*charges, strict=True)]
    if any(map(operator.gt, charged, capacity)):
        raise InvariantError(f'a placement overcommits {worker_id}')


def _check_preemptible(running: PlacedTask) -> None:
    if not (running.task.idempotent and running.task.preemptible):
        raise InvariantError(f'{running.task.task_id} may not be preempted')


def run_scenarios(
    *, first_seed: int, rounds: int
) -> tuple[Tally, Disagreement | None]:
    """Run scenarios until a disagreement or the number of rounds is reached.

    Args:
        first_seed: seed of the first scenario; later ones count up.
        rounds: number of rounds in all scenarios together.

    Returns:
        The counts, and the first disagreement or None.
    """
    tally = Tally()
    seed = first_seed
    while tally.rounds < rounds:
        scenario = Scenario(seed=seed, tally=tally)
        remaining = rounds - tally.rounds
        disagreement = scenario.run(min(ROUNDS_PER_SCENARIO, remaining))
        if disagreement is not None:
            return tally, disagreement
        seed += 1
    return tally, None


def main() -> None:
    """Run the comparison and print its result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=10_000)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    tally, disagreement = run_scenarios(
        first_seed=options.seed, rounds=options.rounds
    )
    report = {'tally': dataclasses.asdict(tally), 'found': str(disagreement)}
    sys.stdout.write(f'{json.dumps(report)}\n')


if __name__ == '__main__':
    main()
