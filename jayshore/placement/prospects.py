"""Which shapes are worth a try.

A shape that fitted nowhere is not tried again until something changed that
could let it fit: some worker gained room, and a task of it fits there now.
"""

from collections.abc import Iterable, Mapping

from jayshore.placement.feasible import slots
from jayshore.placement.loads import Load
from jayshore.placement.reserved_rooms import ReservedRooms
from jayshore.placement.roster import Member
from jayshore.placement.shape_table import ShapeTable, single_bits


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
        self._lacking: dict[int, int] = {}
        self._hopeless = 0
        self._fitting: dict[str, tuple[Load, int]] = {}

    def promising(self) -> int:
        """Collect the shapes that are worth a try.

        Returns:
            A mask of those that did not fail yet, and those that fit on a
            worker that gained room since they failed.
        """
        mask = self._table.live & ~self._failed
        for worker_id, tried in tuple(self._tried.items()):
            hopeful = self._failed & ~tried & ~self._hopeless
            if hopeful:
                hopeful &= self._fits(worker_id)
            if hopeful:
                mask |= hopeful
            else:
                self._tried.pop(worker_id)
        return mask

    def fail(self, bit: int, *, lacking: int) -> None:
        """Take note that a shape fits nowhere.

        Args:
            bit: the shape.
            lacking: how many of its tasks found no room. A gang that lacks
                several is not tried again before workers gained that many.
        """
        self._failed |= bit
        for worker_id in self._tried:
            self._tried[worker_id] |= bit
        if lacking > 1:
            self._lacking[bit] = lacking
            self._hopeless |= bit

    def forget(self, mask: int) -> None:
        """Forget the failures of some shapes.

        Args:
            mask: the shapes, such as ones whose number is used anew.
        """
        self._failed &= ~mask
        self._hopeless &= ~mask

    def gain(self, worker_id: str) -> None:
        """Take note that a worker may have gained room.

        The end of a reservation is such a gain too, but only on the workers
        that it named.

        Args:
            worker_id: the worker.
        """
        self._tried[worker_id] = 0
        self._fitting.pop(worker_id, None)
        for bit in single_bits(self._hopeless & self._fits(worker_id)):
            shape = self._table.shape(bit)
            room = self._members[worker_id].load.room_of(in_lane=shape.in_lane)
            self._lacking[bit] -= slots(shape.demand, room, shape.size)
            if self._lacking[bit] <= 0:
                self._hopeless ^= bit

    def reservation_changed(self, former: Iterable[str]) -> None:
        """Take note of a new reservation or the end of one.

        Args:
            former: the workers that the former one named.
        """
        self._fitting.clear()
        for worker_id in former:
            self.gain(worker_id)

    def _fits(self, worker_id: str) -> int:
        member = self._members.get(worker_id)
        if member is None or not member.is_usable:
            return 0
        known = self._fitting.get(worker_id)
        if known is not None and known[0] is member.load:
            return known[1]
        mask = self._table.fitting(member)
        if self._reserved.limits(member):
            mask = self._limited(member, mask)
        self._fitting[worker_id] = (member.load, mask)
        return mask

    def _limited(self, member: Member, mask: int) -> int:
        for bit in single_bits(mask):
            shape = self._table.shape(bit)
            if not shape.demand.fits_in(self._reserved.room(member, shape)):
                mask ^= bit
        return mask
