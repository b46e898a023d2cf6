"""Which shapes are worth a try.

A shape that fitted nowhere is not tried again until something changed that
could let it fit: some worker gained room, and a task of it fits there now; for
a gang, all its tasks fit on the workers together.
"""

from collections.abc import Iterable, Mapping, Sequence

from jayshore.clock import Millis
from jayshore.placement.allocations import Load
from jayshore.placement.gang_capacity import GangSeats
from jayshore.placement.reservation_limits import ReservedRooms
from jayshore.placement.shape_table import ShapeTable
from jayshore.placement.worker_registry import Member


class Prospects:
    """Shapes that failed, and workers that gained room since."""

    def __init__(
        self,
        *,
        table: ShapeTable,
        members: Mapping[str, Member],
        reserved: ReservedRooms,
    ) -> None:
        """Start without failures.

        Args:
            table: the shapes.
            members: the workers of the cell.
            reserved: the reservation.
        """
        self._table = table
        self._members = members
        self._reserved = reserved
        self._failed = 0
        self._tried: dict[str, int] = {}
        self._gangs = GangSeats(members=members, reserved=reserved)
        self._fitting: dict[str, tuple[Load, int]] = {}

    def promising(self) -> int:
        """Collect the shapes that are worth a try.

        Returns:
            A mask of those that did not fail yet, and those that fit on a
            worker that gained room since they failed.
        """
        mask = self._table.live & ~self._failed
        for worker_id, tried in tuple(self._tried.items()):
            hopeful = self._failed & ~tried
            if hopeful:
                hopeful &= self._fits(worker_id)
            gangs = hopeful & self._gangs.mask
            if gangs:
                hopeful &= ~self._gangs.short(worker_id, gangs, self._exempt())
            if hopeful:
                mask |= hopeful
            else:
                self._tried.pop(worker_id)
        return mask

    def places(self, bit: int) -> Iterable[str] | None:
        """Narrow the workers on which a shape may fit.

        To be asked of a promising shape, for an entry that does not hold the
        reservation.

        Args:
            bit: the shape.

        Returns:
            Worker ids in no order, None when every worker is in question.
        """
        if not self._failed & bit:
            return None
        if self._gangs.mask & bit:
            exempt = bool(self._exempt() & bit)
            return self._gangs.places(bit, exempt=exempt)
        return (
            worker_id
            for worker_id, tried in self._tried.items()
            if not tried & bit and self._fits(worker_id) & bit
        )

    def fail(
        self, bit: int, workers: Sequence[str], *, is_held: bool = False
    ) -> None:
        """Take note that a shape does not fit.

        Args:
            bit: the shape.
            workers: where some of its tasks found room, one id per task; empty
                unless it is a gang.
            is_held: whether the entry that was tried holds the reservation.
        """
        self._failed |= bit
        for worker_id in self._tried:
            self._tried[worker_id] |= bit
        shape = self._table.shape(bit)
        if shape.size > 1:
            exempt = is_held or bool(self._exempt() & bit)
            self._gangs.fail(bit, shape, workers, exempt=exempt)

    def forget(self, bit: int) -> None:
        """Forget the failure of a shape whose number is used anew.

        Args:
            bit: the shape.
        """
        self._failed &= ~bit
        self._gangs.forget(bit)

    def gain(self, worker_id: str) -> None:
        """Take note that a worker may have gained room.

        The end of a reservation is such a gain too, but only on the workers
        that it named.

        Args:
            worker_id: the worker.
        """
        self._tried[worker_id] = 0
        self._fitting.pop(worker_id, None)

    def reservation_changed(self, former: Iterable[str]) -> None:
        """Take note of a new reservation or the end of one.

        Args:
            former: the workers that the former one named.
        """
        self._fitting.clear()
        self._gangs.reservation_changed()
        for worker_id in former:
            self.gain(worker_id)

    def _exempt(self) -> int:
        reservation = self._reserved.reservation
        if reservation is None:
            return self._table.live
        start_in_ms = Millis(reservation.start_at - self._reserved.now)
        return self._table.exempt(reservation.tier, start_in_ms)

    def _fits(self, worker_id: str) -> int:
        member = self._members.get(worker_id)
        if member is None or not member.is_usable:
            return 0
        known = self._fitting.get(worker_id)
        if known is not None and known[0] is member.load:
            return known[1]
        mask = self._table.fitting(member, member.load.rooms)
        if self._reserved.limits(member):
            spare = (
                self._reserved.spare(member, in_lane=False),
                self._reserved.spare(member, in_lane=True),
            )
            mask &= self._exempt() | self._table.fitting(member, spare)
        self._fitting[worker_id] = (member.load, mask)
        return mask
