"""Tasks under suspicion, and where their next runs take place.

A suspect runs where no other task was started just before, and no other task is
started there until the suspect has settled. If the worker crashes, the cause is
then known.
"""

from collections.abc import Container, Iterable
from typing import Final

import eliot

from jayshore.clock import Millis
from jayshore.fleet.blame import SETTLED_MS
from jayshore.fleet.demands import Placement
from jayshore.fleet.jobtable import GroupEntry, TaskEntry
from jayshore.fleet.model import GroupId, format_task_id
from jayshore.fleet.phases import PLACED_PHASES

PATIENCE_MS: Final = Millis(1500)
"""How long a suspect waits for an empty worker, in ms.

A job with work that can start has to start it within 3 s.
"""

LIKELY_PATIENCE_MS: Final = Millis(8000)
"""The same for one that very likely crashes its workers, in ms."""

_PURGE_INTERVAL_MS: Final = Millis(2000)


class Probation:
    """The suspects of one leader, and the latest starts at each worker."""

    def __init__(self) -> None:
        """Create a probation without suspects."""
        self._suspects: dict[TaskEntry, bool] = {}
        self._waiting_since: dict[GroupId, Millis] = {}
        self._starts: dict[str, dict[GroupId, Millis]] = {}
        self._purge_at = Millis(0)

    @property
    def active(self) -> bool:
        """Whether there are suspects."""
        return bool(self._suspects)

    @property
    def groups(self) -> set[GroupId]:
        """Groups with tasks that are suspects, or were lately."""
        return {task.group.group_id for task in self._suspects}

    def add(self, task: TaskEntry, *, alone: bool = False) -> None:
        """Add a suspect.

        Args:
            task: the task, with at least one crash.
            alone: no other job was in doubt at its latest crash.
        """
        self._suspects[task] = alone
        self._waiting_since.pop(task.group.group_id, None)

    def note_starts(self, placements: list[Placement], now: Millis) -> None:
        """Record the placements of a round.

        Args:
            placements: the placements.
            now: time on the local clock, in ms.
        """
        for placement in placements:
            starts = self._starts.setdefault(placement.worker_id, {})
            starts[placement.group_id] = now
        if now >= self._purge_at:
            self._purge_at = Millis(now + _PURGE_INTERVAL_MS)
            self._starts = {
                worker_id: starts
                for worker_id, starts in self._starts.items()
                if now - max(starts.values()) < SETTLED_MS
            }
            groups = {suspect.group.group_id for suspect in self._suspects}
            self._waiting_since = {
                group_id: since
                for group_id, since in self._waiting_since.items()
                if group_id in groups
            }

    def is_likely(self, tasks: Iterable[TaskEntry]) -> bool:
        """Return whether one of some tasks very likely crashes its workers.

        Args:
            tasks: suspects.

        Returns:
            True when it alone was in doubt at its latest crash.
        """
        return any(self._suspects.get(task, False) for task in tasks)

    def is_patient(
        self, group: GroupEntry, now: Millis, *, likely: bool
    ) -> bool:
        """Return whether the suspects of a group may wait for an empty worker.

        Args:
            group: a group with waiting suspects.
            now: time on the local clock, in ms.
            likely: one of them very likely crashes its workers.

        Returns:
            True until they have waited for `PATIENCE_MS`, or for
            `LIKELY_PATIENCE_MS`.
        """
        since = self._waiting_since.setdefault(group.group_id, now)
        patience = LIKELY_PATIENCE_MS if likely else PATIENCE_MS
        return now - since < patience

    def new_groups_at(self, worker_id: str, now: Millis) -> set[GroupId]:
        """List the groups with a start at a worker that is not settled.

        Args:
            worker_id: the worker.
            now: time on the local clock, in ms.

        Returns:
            Their ids.
        """
        starts = self._starts.get(worker_id, {})
        return {
            group_id for group_id, at in starts.items() if now - at < SETTLED_MS
        }

    def occupied(
        self, usable: Container[str], now: Millis
    ) -> dict[str, GroupId]:
        """Find the workers at which suspects run that are not settled.

        A worker that does not reply may have crashed, so that its suspects are
        not settled however old they are.

        Args:
            usable: ids of the workers that reply.
            now: time on the local clock, in ms.

        Returns:
            Group of the suspect by worker.
        """
        self._suspects = {
            suspect: alone
            for suspect, alone in self._suspects.items()
            if is_suspect(suspect)
        }
        return {
            task.worker: task.group.group_id
            for task in self._suspects
            if task.phase in PLACED_PHASES
            and not (task.worker in usable and has_settled(task, now))
        }


def is_suspect(task: TaskEntry) -> bool:
    """Return whether a task has to run apart from other new ones.

    Args:
        task: the task.

    Returns:
        True from a crash in which it was in doubt until it has settled.
    """
    return bool(task.crashes) and not task.group.job.ended


def has_settled(task: TaskEntry, now: Millis) -> bool:
    """Return whether the current run of a task is older than its doubt.

    Args:
        task: the task.
        now: time until which its worker is known to be alive, on the local
            clock in ms.

    Returns:
        True when a crash of its worker would not be its fault.
    """
    return task.seen_at is not None and now - task.seen_at >= task.doubt_ms


def clear_suspicion(task: TaskEntry) -> None:
    """End the suspicion against a task that runs longer than its doubt.

    Args:
        task: a suspect whose current run has settled.
    """
    eliot.log_message(
        'task:cleared',
        task=format_task_id(task.task_id),
        run=task.run,
        crashes=task.crashes,
    )
    task.crashes = 0
    task.confirmed_crashes = 0
    task.exposures = 0
    task.doubt_ms = SETTLED_MS
