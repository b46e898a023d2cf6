"""The reservation of a cell, and what it leaves to other work."""

from jayshore.clock import Millis
from jayshore.placement.allocations import WorkerAllocation
from jayshore.placement.backfill import (
    BackfillCase,
    EasyBackfill,
    Reservation,
    ends_in_time,
)
from jayshore.placement.entries import QueueEntry, Shape
from jayshore.placement.worker_registry import WorkerRecord, projected_capacity
from jayshore.resources import Resources


class ReservationLimits:
    """Computes what entries may use of the workers beside the reservation.

    Attributes:
        reservation: the reservation of the cell, if any.
        now: the time of the last decision.
    """

    def __init__(self) -> None:
        """Create limits without a reservation."""
        self.reservation: Reservation | None = None
        self.now = Millis(0)
        self._policy = EasyBackfill()
        self._spare_cache: dict[
            tuple[str, bool], tuple[WorkerAllocation, Resources]
        ] = {}

    def replace(self, reservation: Reservation | None) -> tuple[str, ...]:
        """Replace the reservation.

        Args:
            reservation: the new reservation, or None.

        Returns:
            The workers on which the former one reserved capacity.
        """
        former = self.reservation
        self.reservation = reservation
        self._spare_cache.clear()
        return () if former is None else tuple(former.amounts)

    def belongs_to(self, entry: QueueEntry) -> bool:
        """Return whether the reservation belongs to an entry.

        Args:
            entry: a waiting entry.

        Returns:
            True when the entry holds the reservation.
        """
        reservation = self.reservation
        return reservation is not None and (
            reservation.entry_id == entry.entry_id
        )

    def covers(self, record: WorkerRecord) -> bool:
        """Return whether capacity is reserved on a worker.

        Args:
            record: the worker.

        Returns:
            True when the reservation includes the worker.
        """
        reservation = self.reservation
        return reservation is not None and (
            record.view.worker_id in reservation.amounts
        )

    def available(self, record: WorkerRecord, shape: Shape) -> Resources:
        """Compute what entries of a shape may use of a worker.

        The entry that holds the reservation is not limited by it.

        Args:
            record: the worker.
            shape: the shape.

        Returns:
            The resources that are available to other entries.
        """
        reservation = self.reservation
        if (
            reservation is None
            or shape.tier < reservation.tier
            or record.view.worker_id not in reservation.amounts
            or ends_in_time(
                shape.run_ms, Millis(reservation.start_at - self.now)
            )
        ):
            return record.allocation.available_for(
                uses_reserve=shape.uses_reserve
            )
        return self.spare(record, uses_reserve=shape.uses_reserve)

    def spare(self, record: WorkerRecord, *, uses_reserve: bool) -> Resources:
        """Compute what work may use that would outlast the reserved start.

        Args:
            record: a worker that the reservation includes.
            uses_reserve: whether the work may use the urgent reserve.

        Returns:
            The resources that are available to such work.
        """
        key = (record.view.worker_id, uses_reserve)
        cached = self._spare_cache.get(key)
        if cached is None or cached[0] is not record.allocation:
            cached = (
                record.allocation,
                self._compute_spare(record, uses_reserve=uses_reserve),
            )
            self._spare_cache[key] = cached
        return cached[1]

    def _compute_spare(
        self, record: WorkerRecord, *, uses_reserve: bool
    ) -> Resources:
        available = record.allocation.available_for(uses_reserve=uses_reserve)
        reservation = self.reservation
        if reservation is None:
            return available
        return self._policy.evaluate(
            BackfillCase(
                available=available,
                projected=projected_capacity(
                    record, uses_reserve=uses_reserve, at=reservation.start_at
                ),
                reserved=reservation.amounts[record.view.worker_id],
                run_ms=None,
                start_in_ms=Millis(reservation.start_at - self.now),
            )
        )
