"""Whether the entry that holds the reservation is worth a try.

The reservation does not limit its own entry, so the room that this entry finds
is counted apart from that of its shape. Without a count, a gang that waits for
its reservation would be tried after every gain of room.
"""

import collections
from collections.abc import Mapping, Sequence

from jayshore.placement.entries import QueueEntry
from jayshore.placement.feasible import count_fitting
from jayshore.placement.worker_registry import WorkerRecord, is_eligible


class ReservedEntryTracker:
    """Upper bounds of the seats of the entry, by worker.

    The bound of a worker holds until it gains room, as starts only take room
    away. Bounds are counted anew before their sum suffices.
    """

    def __init__(self, *, records: Mapping[str, WorkerRecord]) -> None:
        """Start with an entry that was not tried.

        Args:
            members: the workers of the cell.
        """
        self._retry_due = True
        self._records = records
        self._entry: QueueEntry | None = None
        self._fit_counts: dict[str, int] = {}

    def request_retry(self) -> None:
        """Ask for a try whatever was found before."""
        self._retry_due = True

    def should_retry(self, entry: QueueEntry) -> bool:
        """Tell whether to try the entry.

        Args:
            entry: the entry that holds the reservation.

        Returns:
            True when it may fit, or is not the one that failed.
        """
        return self._retry_due or entry is not self._entry

    def mark_infeasible(
        self, entry: QueueEntry, workers: Sequence[str]
    ) -> None:
        """Take note that the entry did not fit.

        Args:
            entry: the entry.
            workers: where some of its tasks found room, one id per task.
        """
        self._retry_due = False
        self._entry = entry
        self._fit_counts = dict(collections.Counter(workers))

    def capacity_gained(self, worker_id: str) -> None:
        """Take note that a worker may have gained room.

        Args:
            worker_id: the worker.
        """
        entry = self._entry
        if self._retry_due or entry is None:
            return
        self._recount(entry, worker_id)
        size = len(entry.tasks)
        if sum(self._fit_counts.values()) < size:
            return
        for name in tuple(self._fit_counts):
            self._recount(entry, name)
        self._retry_due = sum(self._fit_counts.values()) >= size

    def _recount(self, entry: QueueEntry, worker_id: str) -> None:
        first = entry.first
        record = self._records.get(worker_id)
        count = 0
        if record is not None and is_eligible(record, first):
            available = record.allocation.available_to(first)
            count = count_fitting(first.demand, available, len(entry.tasks))
        if count:
            self._fit_counts[worker_id] = count
        else:
            self._fit_counts.pop(worker_id, None)
