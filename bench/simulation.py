"""Simulated time for comparing policies; tasks run as long as they say."""

import collections
import heapq
from collections.abc import Callable, Iterable

from jayshore.clock import Millis
from jayshore.placement.decisions import CellScheduler, Place, Wait
from jayshore.placement.tasks import PendingTask, TaskId


class Simulation:
    """Arrivals and ends in order of time, a round after each instant."""

    def __init__(
        self,
        *,
        cell: CellScheduler,
        arrivals: Iterable[PendingTask],
        on_end: Callable[[PendingTask, Millis], Iterable[PendingTask]],
    ) -> None:
        """Plan the arrivals.

        Args:
            cell: the scheduler, with its workers.
            arrivals: tasks, each enqueued at its own instant.
            on_end: called when a task has ended; gives tasks to enqueue.
        """
        self.waits_ms: dict[TaskId, int] = {}
        self.started: dict[TaskId, PendingTask] = {}
        self.ended_at = Millis(0)
        self._cell = cell
        self._on_end = on_end
        self._tasks: dict[TaskId, PendingTask] = {}
        self._runs: dict[TaskId, int] = {}
        self._serial = 0
        self._events: list[tuple[int, int, PendingTask, int]] = []
        for task in arrivals:
            self._push(task.enqueued_at, task, 0)

    def run(
        self, until: int, observe: Callable[[Millis], None] | None = None
    ) -> None:
        """Play until an instant, or until nothing is left to happen.

        Args:
            until: the instant in ms.
            observe: called after the round of each instant.
        """
        while self._events and self._events[0][0] <= until:
            now = Millis(self._events[0][0])
            while self._events and self._events[0][0] == now:
                _, _, task, run = heapq.heappop(self._events)
                self._take_in(task, run, now)
            self._round(now)
            if observe is not None:
                observe(now)

    def running_by_team(self) -> collections.Counter[str]:
        """Count the running tasks.

        Returns:
            The number of tasks that have an end, by team.
        """
        return collections.Counter(
            self._tasks[task_id].team for task_id in self._runs
        )

    def _take_in(self, task: PendingTask, run: int, now: Millis) -> None:
        if not run:
            self._tasks[task.task_id] = task
            self._cell.enqueue(task)
        elif self._runs.get(task.task_id) == run:
            self._runs.pop(task.task_id)
            self._cell.finish(task.task_id)
            self.ended_at = now
            for follower in self._on_end(task, now):
                self._push(follower.enqueued_at, follower, 0)

    def _push(self, instant: int, task: PendingTask, run: int) -> None:
        self._serial += 1
        heapq.heappush(self._events, (instant, self._serial, task, run))

    def _round(self, now: Millis) -> None:
        while True:
            decision = self._cell.decide(now)
            if isinstance(decision, Wait):
                return
            if isinstance(decision, Place):
                for one in decision.assignments:
                    self._start(one.task_id, one.worker_id, now)
                continue
            self._cell.preempt(decision)
            for task_id in decision.task_ids:
                stopped = self._tasks[task_id]
                self._cell.finish(task_id)
                self._runs.pop(task_id)
                self._cell.enqueue(stopped)

    def _start(self, task_id: TaskId, worker_id: str, now: Millis) -> None:
        task = self._tasks[task_id]
        self._cell.start(task_id, worker_id, now)
        self.waits_ms.setdefault(task_id, now - task.enqueued_at)
        self.started[task_id] = task
        run_ms = task.estimated_run_ms
        if run_ms is not None:
            self._runs[task_id] = self._serial + 1
            self._push(now + run_ms, task, self._serial + 1)
