"""The only reservation, and what it leaves to other work."""

from jayshore.clock import Millis
from jayshore.placement.allocations import Load
from jayshore.placement.backfill import (
    BackfillCase,
    EasyBackfill,
    Reservation,
    ends_in_time,
)
from jayshore.placement.entries import Entry, Shape
from jayshore.placement.worker_registry import Member, projected_room
from jayshore.resources import Resources


class ReservedRooms:
    """Answers how much of a worker is open to a shape."""

    def __init__(self) -> None:
        """Start without reservation."""
        self.reservation: Reservation | None = None
        self.now = Millis(0)
        self._policy = EasyBackfill()
        self._spare: dict[tuple[str, bool], tuple[Load, Resources]] = {}

    def replace(self, reservation: Reservation | None) -> tuple[str, ...]:
        """Replace the reservation.

        Args:
            reservation: the new one, or None.

        Returns:
            The workers that the former one named.
        """
        former = self.reservation
        self.reservation = reservation
        self._spare.clear()
        return () if former is None else tuple(former.rooms)

    def is_for(self, entry: Entry) -> bool:
        """Tell whether the reservation belongs to an entry.

        Args:
            entry: a waiting entry.

        Returns:
            True when it does.
        """
        reservation = self.reservation
        return reservation is not None and (
            reservation.entry_id == entry.entry_id
        )

    def limits(self, member: Member) -> bool:
        """Tell whether room on a worker is reserved.

        Args:
            member: the worker.

        Returns:
            True when the reservation names it.
        """
        reservation = self.reservation
        return reservation is not None and (
            member.view.worker_id in reservation.rooms
        )

    def room(self, member: Member, shape: Shape) -> Resources:
        """Bound what entries of a shape may use, but for the reserved one.

        Args:
            member: the worker.
            shape: the shape.

        Returns:
            The room that is open to them.
        """
        reservation = self.reservation
        if (
            reservation is None
            or shape.tier < reservation.tier
            or member.view.worker_id not in reservation.rooms
            or ends_in_time(
                shape.run_ms, Millis(reservation.start_at - self.now)
            )
        ):
            return member.load.room_of(in_lane=shape.in_lane)
        return self.spare(member, in_lane=shape.in_lane)

    def spare(self, member: Member, *, in_lane: bool) -> Resources:
        """Bound what work may use that would outlast the start.

        Args:
            member: a worker that the reservation names.
            in_lane: whether the work may use the reserved lane.

        Returns:
            The room that is open to it.
        """
        key = (member.view.worker_id, in_lane)
        known = self._spare.get(key)
        if known is None or known[0] is not member.load:
            known = (member.load, self._bound(member, in_lane=in_lane))
            self._spare[key] = known
        return known[1]

    def _bound(self, member: Member, *, in_lane: bool) -> Resources:
        room = member.load.room_of(in_lane=in_lane)
        reservation = self.reservation
        if reservation is None:
            return room
        return self._policy.evaluate(
            BackfillCase(
                room=room,
                projected=projected_room(
                    member, in_lane=in_lane, at=reservation.start_at
                ),
                reserved=reservation.rooms[member.view.worker_id],
                run_ms=None,
                start_in_ms=Millis(reservation.start_at - self.now),
            )
        )
