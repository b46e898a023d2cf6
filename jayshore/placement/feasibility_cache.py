"""Which shapes are worth a try.

A shape that fitted nowhere is not tried again until something changed that
could let it fit: some worker gained room, and a task of it fits there now; for
a gang, all its tasks fit on the workers together.
"""

from collections.abc import Iterable, Mapping, Sequence

from jayshore.clock import Millis
from jayshore.placement.allocations import WorkerAllocation
from jayshore.placement.gang_capacity import GangCapacity
from jayshore.placement.reservation_limits import ReservationLimits
from jayshore.placement.shape_table import ShapeTable
from jayshore.placement.worker_registry import WorkerRecord


class FeasibilityCache:
    """Shapes that failed, and workers that gained room since."""

    def __init__(
        self,
        *,
        table: ShapeTable,
        records: Mapping[str, WorkerRecord],
        limits: ReservationLimits,
    ) -> None:
        """Start without failures.

        Args:
            table: the shapes.
            members: the workers of the cell.
            reserved: the reservation.
        """
        self._table = table
        self._records = records
        self._limits = limits
        self._infeasible = 0
        self._tried_since_gain: dict[str, int] = {}
        self._gangs = GangCapacity(records=records, limits=limits)
        self._fitting_cache: dict[str, tuple[WorkerAllocation, int]] = {}

    def feasible_shapes(self) -> int:
        """Collect the shapes that are worth a try.

        Returns:
            A mask of those that did not fail yet, and those that fit on a
            worker that gained room since they failed.
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
        """Narrow the workers on which a shape may fit.

        To be asked of a promising shape, for an entry that does not hold the
        reservation.

        Args:
            bit: the shape.

        Returns:
            Worker ids in no order, None when every worker is in question.
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
        """Take note that a shape does not fit.

        Args:
            bit: the shape.
            workers: where some of its tasks found room, one id per task; empty
                unless it is a gang.
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
        """Forget the failure of a shape whose number is used anew.

        Args:
            bit: the shape.
        """
        self._infeasible &= ~bit
        self._gangs.forget(bit)

    def capacity_gained(self, worker_id: str) -> None:
        """Take note that a worker may have gained room.

        The end of a reservation is such a gain too, but only on the workers
        that it named.

        Args:
            worker_id: the worker.
        """
        self._tried_since_gain[worker_id] = 0
        self._fitting_cache.pop(worker_id, None)

    def reservation_changed(self, former: Iterable[str]) -> None:
        """Take note of a new reservation or the end of one.

        Args:
            former: the workers that the former one named.
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
