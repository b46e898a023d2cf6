"""Discrete-event simulation of a cell, for comparing schedulers.

A task runs for exactly its estimated run time.
"""

import collections
import heapq
from collections.abc import Callable, Iterable

from jayshore.clock import Millis
from jayshore.placement.decisions import CellScheduler, Place, Wait
from jayshore.placement.tasks import PendingTask, TaskId


class Simulation:
    """Processes arrivals and ends in order of time.

    After all events of one time, the cell decides until it waits.
    """

    def __init__(
        self,
        *,
        cell: CellScheduler,
        arrivals: Iterable[PendingTask],
        on_end: Callable[[PendingTask, Millis], Iterable[PendingTask]],
    ) -> None:
        """Schedule the arrivals.

        Args:
            cell: the scheduler, with its workers.
            arrivals: tasks, each of which arrives at its `enqueued_at`.
            on_end: called when a task has ended; returns tasks to enqueue.
        """
        self.waits_ms: dict[TaskId, int] = {}
        self.started: dict[TaskId, PendingTask] = {}
        self.ended_at = Millis(0)
        self._cell = cell
        self._on_end = on_end
        self._tasks: dict[TaskId, PendingTask] = {}
        self._run_serials: dict[TaskId, int] = {}
        self._event_serial = 0
        self._events: list[tuple[int, int, PendingTask, int]] = []
        for task in arrivals:
            self._schedule(task.enqueued_at, task, 0)

    def run(
        self, until: int, observe: Callable[[Millis], None] | None = None
    ) -> None:
        """Run until a time, or until no event is left.

        Args:
            until: simulated time of the last events to process, in ms.
            observe: called with the time after the decisions of each time.
        """
        while self._events and self._events[0][0] <= until:
            now = Millis(self._events[0][0])
            while self._events and self._events[0][0] == now:
                _, _, task, run_serial = heapq.heappop(self._events)
                self._process_event(task, run_serial, now)
            self._decide_until_wait(now)
            if observe is not None:
                observe(now)

    def running_by_team(self) -> collections.Counter[str]:
        """Count the running tasks.

        Returns:
            Number of running tasks with a scheduled end, by team.
        """
        return collections.Counter(
            self._tasks[task_id].team for task_id in self._run_serials
        )

    def _process_event(
        self, task: PendingTask, run_serial: int, now: Millis
    ) -> None:
        if not run_serial:
            self._tasks[task.task_id] = task
            self._cell.enqueue(task)
        elif self._run_serials.get(task.task_id) == run_serial:
            self._run_serials.pop(task.task_id)
            self._cell.finish(task.task_id)
            self.ended_at = now
            for next_task in self._on_end(task, now):
                self._schedule(next_task.enqueued_at, next_task, 0)

    def _schedule(self, at_ms: int, task: PendingTask, run_serial: int) -> None:
        self._event_serial += 1
        heapq.heappush(
            self._events, (at_ms, self._event_serial, task, run_serial)
        )

    def _decide_until_wait(self, now: Millis) -> None:
        while True:
            decision = self._cell.decide(now)
            if isinstance(decision, Wait):
                return
            if isinstance(decision, Place):
                for placed in decision.assignments:
                    self._start(placed.task_id, placed.worker_id, now)
                continue
            self._cell.preempt(decision)
            for task_id in decision.task_ids:
                preempted = self._tasks[task_id]
                self._cell.finish(task_id)
                self._run_serials.pop(task_id)
                self._cell.enqueue(preempted)

    def _start(self, task_id: TaskId, worker_id: str, now: Millis) -> None:
        task = self._tasks[task_id]
        self._cell.start(task_id, worker_id, now)
        self.waits_ms.setdefault(task_id, now - task.enqueued_at)
        self.started[task_id] = task
        run_ms = task.estimated_run_ms
        if run_ms is not None:
            self._run_serials[task_id] = self._event_serial + 1
            self._schedule(now + run_ms, task, self._event_serial + 1)
