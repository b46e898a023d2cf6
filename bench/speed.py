"""Measures placements per second and the time of a decision by cell size.

The cell is full and has a backlog. Randomly chosen tasks end, new jobs arrive
to keep the backlog constant, and the cell decides after every end until it
waits.
"""

import dataclasses
import gc
import random
import time
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from bench.workload import BACKLOG_TASKS, TaskSource, make_workers
from jayshore.clock import Millis
from jayshore.placement.cell import Cell
from jayshore.placement.decisions import Place, UnlimitedHeadroom, Wait
from jayshore.placement.tasks import TaskId, TaskKind

_MAX_DECISION_NS = 10_000_000_000
_SIGNIFICANT_DIGITS = 3
_NANOS_PER_SECOND = 1_000_000_000
_PLACEMENTS_PER_MS = 4
_WARM_UP_PLACEMENTS = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Speed:
    """Speed of a cell of one size.

    Attributes:
        scale: size as a multiple of the design target.
        placements: number of tasks placed.
        placements_per_s: tasks placed per second spent in calls to the cell.
        running: number of tasks running at the end.
        waiting: number of tasks waiting at the end.
        decisions: number of calls of `decide`.
        mean_us: mean duration of a call of `decide`, in us.
        p50_us: median duration.
        p99_us: 99th percentile of the duration.
        max_us: maximum duration.
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


class FullCell:
    """A full cell with a backlog of constant size."""

    def __init__(self, *, scale: int, seed: int) -> None:
        """Create the workers and enqueue the backlog.

        Args:
            scale: size as a multiple of the design target.
            seed: seed of all random choices.
        """
        self._scale = scale
        self._rng = random.Random(seed)
        self._task_source = TaskSource(seed=seed)
        self._cell = Cell(headroom=UnlimitedHeadroom())
        self._running: list[TaskId] = []
        self._kinds: dict[TaskId, TaskKind] = {}
        self._placed = 0
        self._cell_time_ns = 0
        self._histogram = HdrHistogram(1, _MAX_DECISION_NS, _SIGNIFICANT_DIGITS)
        for worker in make_workers(scale):
            self._cell.add_worker(worker)
        self._refill_backlog()

    def run(self, placements: int) -> Speed:
        """Measure after a warm-up.

        Args:
            placements: number of tasks to place.

        Returns:
            The speed without the warm-up.
        """
        self._run_until_placed(self._placed + _WARM_UP_PLACEMENTS)
        self._histogram.reset()
        self._cell_time_ns = 0
        before = self._placed
        self._run_until_placed(before + placements)
        return self._speed(self._placed - before)

    def _speed(self, placed: int) -> Speed:
        histogram = self._histogram
        return Speed(
            scale=self._scale,
            placements=placed,
            placements_per_s=round(
                placed * _NANOS_PER_SECOND / self._cell_time_ns, 1
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

    def _refill_backlog(self) -> None:
        while (
            len(self._kinds) - len(self._running) < BACKLOG_TASKS * self._scale
        ):
            for task in self._task_source.make_job(self._now()):
                self._kinds[task.task_id] = task.kind
                started_ns = time.perf_counter_ns()
                self._cell.enqueue(task)
                self._cell_time_ns += time.perf_counter_ns() - started_ns

    def _run_until_placed(self, placed: int) -> None:
        self._decide_until_wait()
        while self._placed < placed:
            self._finish_random_task()
            self._refill_backlog()
            self._decide_until_wait()

    def _finish_random_task(self) -> None:
        index = self._rng.randrange(len(self._running))
        task_id = self._running[index]
        self._running[index] = self._running[-1]
        self._running.pop()
        self._kinds.pop(task_id)
        started_ns = time.perf_counter_ns()
        self._cell.finish(task_id)
        self._cell_time_ns += time.perf_counter_ns() - started_ns

    def _decide_until_wait(self) -> None:
        while True:
            started_ns = time.perf_counter_ns()
            decision = self._cell.decide(self._now())
            decided_ns = time.perf_counter_ns()
            self._histogram.record_value(decided_ns - started_ns)
            if isinstance(decision, Place):
                for placed in decision.assignments:
                    self._cell.start(
                        placed.task_id, placed.worker_id, self._now()
                    )
                    self._running.append(placed.task_id)
                    self._placed += 1
            elif not isinstance(decision, Wait):
                self._cell.preempt(decision)
            self._cell_time_ns += time.perf_counter_ns() - started_ns
            if isinstance(decision, Wait):
                return


def measure_speeds(
    *, scales: Sequence[int], placements: int, seed: int
) -> list[Speed]:
    """Measure the speed of cells of several sizes.

    Args:
        scales: multiples of the design target, for workers and backlog.
        placements: number of tasks to place at each size.
        seed: seed of all random choices.

    Returns:
        One result for each scale.
    """
    results = []
    for scale in scales:
        full_cell = FullCell(scale=scale, seed=seed)
        gc.collect()
        results.append(full_cell.run(placements))
    return results
