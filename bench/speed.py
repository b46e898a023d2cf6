"""Placements per second, time of one decision, and its growth with size.

The cell is full and has a full backlog; tasks end at random, new jobs arrive to
keep the backlog constant, and every end is followed by a round of decisions.
"""

import dataclasses
import gc
import random
import time
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from bench.workload import BACKLOG, TaskSource, make_workers
from jayshore.clock import Millis
from jayshore.placement.cell import Cell
from jayshore.placement.decisions import Place, UnlimitedHeadroom, Wait
from jayshore.placement.tasks import TaskId, TaskKind

_MAX_NS = 10_000_000_000
_DIGITS = 3
_NANOS_PER_SECOND = 1_000_000_000
_PLACEMENTS_PER_MS = 4
_WARM_UP = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Speed:
    """What one run measured.

    Attributes:
        scale: multiple of the design target.
        placements: tasks placed.
        placements_per_s: tasks placed per second spent in calls to the cell.
        running: tasks running at the end.
        waiting: tasks waiting at the end.
        decisions: calls of `decide`.
        mean_us: mean time of one call of `decide`.
        p50_us: its median.
        p99_us: its 99th percentile.
        max_us: its maximum.
    """

    scale: int
    placements: int
    placements_per_s: float
    running: int
    waiting: int
    decisions: int
    mean_us: float
    p50_us: float
    p99_us: float
    max_us: float


class Load:
    """A cell in steady state."""

    def __init__(self, *, scale: int, seed: int) -> None:
        """Fill the cell and its backlog.

        Args:
            scale: multiple of the design target.
            seed: the seed of all choices.
        """
        self._scale = scale
        self._random = random.Random(seed)
        self._source = TaskSource(seed=seed)
        self._cell = Cell(headroom=UnlimitedHeadroom())
        self._running: list[TaskId] = []
        self._kinds: dict[TaskId, TaskKind] = {}
        self._placed = 0
        self._spent_ns = 0
        self._histogram = HdrHistogram(1, _MAX_NS, _DIGITS)
        for worker in make_workers(scale):
            self._cell.add_worker(worker)
        self._fill()

    def run(self, placements: int) -> Speed:
        """Measure after a warm-up.

        Args:
            placements: how many tasks to place.

        Returns:
            The figures.
        """
        self._step_until(self._placed + _WARM_UP)
        self._histogram.reset()
        self._spent_ns = 0
        before = self._placed
        self._step_until(before + placements)
        return self._speed(self._placed - before)

    def _speed(self, placed: int) -> Speed:
        histogram = self._histogram
        return Speed(
            scale=self._scale,
            placements=placed,
            placements_per_s=round(
                placed * _NANOS_PER_SECOND / self._spent_ns, 1
            ),
            running=len(self._running),
            waiting=len(self._kinds) - len(self._running),
            decisions=histogram.get_total_count(),
            mean_us=round(histogram.get_mean_value() / 1000, 1),
            p50_us=histogram.get_value_at_percentile(50) / 1000,
            p99_us=histogram.get_value_at_percentile(99) / 1000,
            max_us=histogram.get_max_value() / 1000,
        )

    def _now(self) -> Millis:
        return Millis(self._placed // _PLACEMENTS_PER_MS)

    def _fill(self) -> None:
        while len(self._kinds) - len(self._running) < BACKLOG * self._scale:
            for task in self._source.job(self._now()):
                self._kinds[task.task_id] = task.kind
                started = time.perf_counter_ns()
                self._cell.enqueue(task)
                self._spent_ns += time.perf_counter_ns() - started

    def _step_until(self, placed: int) -> None:
        self._round()
        while self._placed < placed:
            self._finish()
            self._fill()
            self._round()

    def _finish(self) -> None:
        position = self._random.randrange(len(self._running))
        task_id = self._running[position]
        self._running[position] = self._running[-1]
        self._running.pop()
        self._kinds.pop(task_id)
        started = time.perf_counter_ns()
        self._cell.finish(task_id)
        self._spent_ns += time.perf_counter_ns() - started

    def _round(self) -> None:
        while True:
            started = time.perf_counter_ns()
            decision = self._cell.decide(self._now())
            decided = time.perf_counter_ns()
            self._histogram.record_value(decided - started)
            if isinstance(decision, Place):
                for one in decision.assignments:
                    self._cell.start(one.task_id, one.worker_id, self._now())
                    self._running.append(one.task_id)
                    self._placed += 1
            elif not isinstance(decision, Wait):
                self._cell.preempt(decision)
            self._spent_ns += time.perf_counter_ns() - started
            if isinstance(decision, Wait):
                return


def measure(
    *, scales: Sequence[int], placements: int, seed: int
) -> list[Speed]:
    """Measure several sizes.

    Args:
        scales: multiples of the design target, which also scale the backlog.
        placements: how many tasks to place at each size.
        seed: the seed of all choices.

    Returns:
        One result per size.
    """
    results = []
    for scale in scales:
        load = Load(scale=scale, seed=seed)
        gc.collect()
        results.append(load.run(placements))
    return results
