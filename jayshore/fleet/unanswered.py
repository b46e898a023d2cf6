"""Starts without an answer, which a worker may still carry out.

A worker refuses a late start of a run that was stopped or has ended there, but
only as long as it lives: a later incarnation under the same id knows nothing.
"""

from typing import Final, NamedTuple

from jayshore.clock import Millis
from jayshore.fleet.model import TaskId

LATEST_MS: Final = Millis(15_000)
"""How long after it was sent a start may be carried out, in ms.

Workers of the platform carry orders out up to 12 s late.
"""


class UnansweredStart(NamedTuple):
    """A start that got no answer.

    Attributes:
        run: number of the run.
        sent_at: when it was last sent, on the local clock in ms.
    """

    run: int
    sent_at: Millis


class UnansweredStarts:
    """The latest starts without an answer, by worker and task."""

    def __init__(self) -> None:
        """Start without any."""
        self._by_worker: dict[str, dict[TaskId, UnansweredStart]] = {}

    def note(
        self, worker_id: str, task_id: TaskId, start: UnansweredStart
    ) -> None:
        """Add a start, and drop those that are too old to be carried out.

        Args:
            worker_id: the worker.
            task_id: the task.
            start: the start.
        """
        oldest = start.sent_at - LATEST_MS
        for name, starts in list(self._by_worker.items()):
            kept = {
                task: known
                for task, known in starts.items()
                if known.sent_at >= oldest
            }
            if kept:
                self._by_worker[name] = kept
            else:
                self._by_worker.pop(name)
        self._by_worker.setdefault(worker_id, {})[task_id] = start

    def at(self, worker_id: str, now: Millis) -> dict[TaskId, int]:
        """Find the runs that a worker may still start.

        Args:
            worker_id: the worker.
            now: time on the local clock, in ms.

        Returns:
            Number of the run by task.
        """
        return {
            task_id: start.run
            for task_id, start in self._by_worker.get(worker_id, {}).items()
            if now - start.sent_at <= LATEST_MS
        }
