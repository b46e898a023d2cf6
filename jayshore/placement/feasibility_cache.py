"""Remembers which shapes could not be placed, to skip useless attempts.

A shape that fitted nowhere is tried again only after a change that may let it
fit: a worker gained free capacity and a task of the shape fits there now; for
a gang, all its tasks must fit on the workers together.
"""

from collections.abc import Iterable, Mapping, Sequence

from jayshore.clock import Millis
from jayshore.placement.allocations import WorkerAllocation
from jayshore.placement.gang_capacity import GangCapacity
from jayshore.placement.reservation_limits import ReservationLimits
from jayshore.placement.shape_table import ShapeTable
from jayshore.placement.worker_registry import WorkerRecord


class FeasibilityCache:
    """Infeasible shapes, and the workers that gained capacity since."""

    def __init__(
        self,
        *,
        table: ShapeTable,
        records: Mapping[str, WorkerRecord],
        limits: ReservationLimits,
    ) -> None:
        """Create a cache in which no shape is infeasible.

        Args:
            table: the shapes of the waiting entries.
            records: the workers of the cell by id.
            limits: the reservation and what it leaves to other work.
        """
        self._table = table
        self._records = records
        self._limits = limits
        self._infeasible = 0
        # For each worker that gained capacity, the shapes tried since then.
        self._tried_since_gain: dict[str, int] = {}
        self._gangs = GangCapacity(records=records, limits=limits)
        self._fitting_cache: dict[str, tuple[WorkerAllocation, int]] = {}

    def feasible_shapes(self) -> int:
        """Collect the shapes that may fit.

        Returns:
            A mask of the shapes that are not marked infeasible and of those
            that fit on a worker that gained capacity since they were marked.
        """
        mask = self._table.live & ~self._infeasible
        for worker_id, tried in tuple(self._tried_since_gain.items()):
            candidates = self._infeasible & ~tried
            if candidates:
                candidates &= self._fitting_shapes(worker_id)
            gangs = candidates & self._gangs.mask
            if gangs:
                candidates &= ~self._gangs.still_infeasible(
                    worker_id, gangs, self._exempt()
                )
            if candidates:
                mask |= candidates
            else:
                self._tried_since_gain.pop(worker_id)
        return mask

    def candidate_workers(self, bit: int) -> Iterable[str] | None:
        """List the workers on which a shape may fit.

        Valid for a shape of `feasible_shapes` and an entry that does not hold
        the reservation.

        Args:
            bit: the bit of the shape.

        Returns:
            Worker ids in no particular order, None for all workers.
        """
        if not self._infeasible & bit:
            return None
        if self._gangs.mask & bit:
            exempt = bool(self._exempt() & bit)
            return self._gangs.candidate_workers(bit, exempt=exempt)
        return (
            worker_id
            for worker_id, tried in self._tried_since_gain.items()
            if not tried & bit and self._fitting_shapes(worker_id) & bit
        )

    def mark_infeasible(
        self, bit: int, workers: Sequence[str], *, has_reservation: bool = False
    ) -> None:
        """Record that no entry of a shape fits now.

        Args:
            bit: the bit of the shape.
            workers: the workers on which some tasks of a gang fitted, one id
                per task; empty for a single task.
            has_reservation: whether the reservation is for the entry tried.
        """
        self._infeasible |= bit
        for worker_id in self._tried_since_gain:
            self._tried_since_gain[worker_id] |= bit
        shape = self._table.shape(bit)
        if shape.size > 1:
            exempt = has_reservation or bool(self._exempt() & bit)
            self._gangs.mark_infeasible(bit, shape, workers, exempt=exempt)

    def forget(self, bit: int) -> None:
        """Drop a shape that no waiting entry has, as its bit may be reused.

        Args:
            bit: the bit of the shape.
        """
        self._infeasible &= ~bit
        self._gangs.forget(bit)

    def capacity_gained(self, worker_id: str) -> None:
        """Record that a worker may have gained free capacity.

        The end of a reservation is such a gain too, but only on the workers
        on which it reserved capacity.

        Args:
            worker_id: the worker.
        """
        self._tried_since_gain[worker_id] = 0
        self._fitting_cache.pop(worker_id, None)

    def reservation_changed(self, former: Iterable[str]) -> None:
        """Update the cache after the reservation was replaced or dropped.

        Args:
            former: the workers of the former reservation.
        """
        self._fitting_cache.clear()
        self._gangs.reservation_changed()
        for worker_id in former:
            self.capacity_gained(worker_id)

    def _exempt(self) -> int:
        reservation = self._limits.reservation
        if reservation is None:
            return self._table.live
        start_in_ms = Millis(reservation.start_at - self._limits.now)
        return self._table.exempt(reservation.tier, start_in_ms)

    def _fitting_shapes(self, worker_id: str) -> int:
        record = self._records.get(worker_id)
        if record is None or not record.is_usable:
            return 0
        cached = self._fitting_cache.get(worker_id)
        if cached is not None and cached[0] is record.allocation:
            return cached[1]
        mask = self._table.fitting(record, record.allocation.available_by_class)
        if self._limits.covers(record):
            spare = (
                self._limits.spare(record, uses_reserve=False),
                self._limits.spare(record, uses_reserve=True),
            )
            mask &= self._exempt() | self._table.fitting(record, spare)
        self._fitting_cache[worker_id] = (record.allocation, mask)
        return mask
