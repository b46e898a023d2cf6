"""Decides when to retry the entry that holds the reservation.

The reservation does not limit its own entry, so the capacity available to this
entry is tracked apart from that of its shape. Without tracking, a gang that
waits for its reservation would be retried whenever a worker gains capacity.
"""

import collections
from collections.abc import Mapping, Sequence

from jayshore.placement.entries import QueueEntry
from jayshore.placement.feasible import count_fitting
from jayshore.placement.worker_registry import WorkerRecord, is_eligible


class ReservedEntryTracker:
    """Upper bounds, by worker, of how many tasks of the entry fit.

    The bound of a worker holds until the worker gains capacity, as starts only
    take capacity. All bounds are recounted before a sum that is large enough
    leads to a retry.
    """

    def __init__(self, *, records: Mapping[str, WorkerRecord]) -> None:
        """Create a tracker that asks for a retry of any entry.

        Args:
            records: the workers of the cell by id.
        """
        self._retry_due = True
        self._records = records
        self._entry: QueueEntry | None = None
        self._fit_counts: dict[str, int] = {}

    def request_retry(self) -> None:
        """Request a retry regardless of the known bounds."""
        self._retry_due = True

    def should_retry(self, entry: QueueEntry) -> bool:
        """Return whether to try the reserved entry.

        Args:
            entry: the entry that holds the reservation.

        Returns:
            True when the entry may fit, or is not the one marked infeasible.
        """
        return self._retry_due or entry is not self._entry

    def mark_infeasible(
        self, entry: QueueEntry, workers: Sequence[str]
    ) -> None:
        """Record that the reserved entry does not fit now.

        Args:
            entry: the entry.
            workers: the workers on which some of its tasks fitted, one id per
                task.
        """
        self._retry_due = False
        self._entry = entry
        self._fit_counts = dict(collections.Counter(workers))

    def capacity_gained(self, worker_id: str) -> None:
        """Update the bounds after a worker may have gained free capacity.

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
