"""Whether the workers together have room for gangs that failed before.

Gangs of one demand differ only in size and in whether the reservation limits
them, so the seats on each worker are counted once for all of them.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from jayshore.placement.allocations import Load
from jayshore.placement.entries import Shape
from jayshore.placement.feasible import slots
from jayshore.placement.reservation_limits import ReservedRooms
from jayshore.placement.worker_registry import Member
from jayshore.resources import Resources

_MAX_SEATS = 1 << 30


class _Seating(NamedTuple):
    """What decides how many tasks of a gang fit on a worker."""

    demand: Resources
    in_lane: bool
    allowed: frozenset[str] | None
    avoided: frozenset[str]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Group:
    """Failed gangs of one seating.

    Attributes:
        mask: their shapes.
        sizes: their shapes by the number of tasks.
        seats: upper bounds by worker for gangs that the reservation limits.
        exempt_seats: the same for those that it does not limit.
        loads: the accounts of workers when their seats were counted last.
    """

    mask: int = 0
    sizes: dict[int, int] = dataclasses.field(default_factory=dict)
    seats: dict[str, int] = dataclasses.field(default_factory=dict)
    exempt_seats: dict[str, int] = dataclasses.field(default_factory=dict)
    loads: dict[str, Load] = dataclasses.field(default_factory=dict)


class GangSeats:
    """Upper bounds of the seats of gangs, counted anew before they suffice.

    The bound of a worker holds until it gains room, since starts and the
    passing of time only take room away.
    """

    def __init__(
        self, *, members: Mapping[str, Member], reserved: ReservedRooms
    ) -> None:
        """Start without gangs.

        Args:
            members: the workers of the cell.
            reserved: the reservation.
        """
        self.mask = 0
        self._members = members
        self._reserved = reserved
        self._groups: dict[_Seating, _Group] = {}
        self._seatings: dict[int, tuple[_Seating, int]] = {}

    def fail(
        self, bit: int, shape: Shape, workers: Sequence[str], *, exempt: bool
    ) -> None:
        """Take note that a gang did not fit.

        Args:
            bit: its shape.
            shape: the same.
            workers: where some of its tasks found room, one id per task.
            exempt: whether the try was not limited by the reservation.
        """
        seating = _Seating(
            demand=shape.demand,
            in_lane=shape.in_lane,
            allowed=shape.allowed,
            avoided=shape.avoided,
        )
        group = self._groups.setdefault(seating, _Group())
        self.mask |= bit
        group.mask |= bit
        group.sizes[shape.size] = group.sizes.get(shape.size, 0) | bit
        self._seatings[bit] = (seating, shape.size)
        group.loads.clear()
        group.seats = dict(collections.Counter(workers))
        if exempt:
            group.exempt_seats = group.seats.copy()

    def forget(self, bit: int) -> None:
        """Forget the failure of a shape.

        Args:
            bit: the shape, which need not be known.
        """
        known = self._seatings.pop(bit, None)
        if known is None:
            return
        seating, size = known
        group = self._groups[seating]
        self.mask ^= bit
        group.mask ^= bit
        group.sizes[size] ^= bit
        if not group.sizes[size]:
            group.sizes.pop(size)
        if not group.mask:
            self._groups.pop(seating)

    def reservation_changed(self) -> None:
        """Take note that other gangs are limited, on other workers.

        Outside the workers of the former reservation, which gain room, it
        limited no gang.
        """
        for group in self._groups.values():
            group.loads.clear()
            group.exempt_seats = group.seats.copy()

    def places(self, bit: int, *, exempt: bool) -> Iterable[str]:
        """List the workers on which a failed gang may have seats.

        Args:
            bit: its shape.
            exempt: whether the reservation does not limit it.

        Returns:
            Worker ids, in no order.
        """
        group = self._groups[self._seatings[bit][0]]
        return group.exempt_seats if exempt else group.seats

    def short(self, worker_id: str, gangs: int, exempt: int) -> int:
        """Count the seats of gangs anew on a worker that gained room.

        Args:
            worker_id: the worker.
            gangs: shapes of which a task fits there.
            exempt: the shapes that the reservation does not limit.

        Returns:
            Those of them that still lack seats.
        """
        short = 0
        for seating, group in self._groups.items():
            present = group.mask & gangs
            if not present:
                continue
            self._count(seating, group, worker_id)
            limited = present & ~exempt
            if limited:
                short |= self._short_part(seating, group, limited, group.seats)
            if limited != present:
                short |= self._short_part(
                    seating, group, present & exempt, group.exempt_seats
                )
        return short

    def _short_part(
        self,
        seating: _Seating,
        group: _Group,
        part: int,
        seats: Mapping[str, int],
    ) -> int:
        lowest = min(group.sizes)
        total = sum(seats.values())
        if total >= lowest:
            for worker_id in tuple(seats):
                self._count(seating, group, worker_id)
            total = sum(seats.values())
        if total < lowest:
            return part
        short = 0
        for size, mask in group.sizes.items():
            if size > total:
                short |= part & mask
        return short

    def _count(self, seating: _Seating, group: _Group, worker_id: str) -> None:
        member = self._members.get(worker_id)
        if member is not None and group.loads.get(worker_id) is member.load:
            return
        if member is None or not _is_open(member, seating):
            group.loads.pop(worker_id, None)
            group.seats.pop(worker_id, None)
            group.exempt_seats.pop(worker_id, None)
            return
        load = member.load
        room = load.room_of(in_lane=seating.in_lane)
        exempt = slots(seating.demand, room, _MAX_SEATS)
        limited = exempt
        if exempt and self._reserved.limits(member):
            room = self._reserved.spare(member, in_lane=seating.in_lane)
            limited = slots(seating.demand, room, _MAX_SEATS)
        group.loads[worker_id] = load
        _put(group.exempt_seats, worker_id, exempt)
        _put(group.seats, worker_id, limited)


def _is_open(member: Member, seating: _Seating) -> bool:
    worker_id = member.view.worker_id
    return (
        member.is_usable
        and worker_id not in seating.avoided
        and (seating.allowed is None or worker_id in seating.allowed)
    )


def _put(seats: dict[str, int], worker_id: str, count: int) -> None:
    if count:
        seats[worker_id] = count
    else:
        seats.pop(worker_id, None)
