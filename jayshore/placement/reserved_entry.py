"""Whether the entry that holds the reservation is worth a try.

The reservation does not limit its own entry, so the room that this entry finds
is counted apart from that of its shape. Without a count, a gang that waits for
its reservation would be tried after every gain of room.
"""

import collections
from collections.abc import Mapping, Sequence

from jayshore.placement.entries import Entry
from jayshore.placement.feasible import slots
from jayshore.placement.worker_registry import Member, is_open


class HeldEntry:
    """Upper bounds of the seats of the entry, by worker.

    The bound of a worker holds until it gains room, as starts only take room
    away. Bounds are counted anew before their sum suffices.
    """

    def __init__(self, *, members: Mapping[str, Member]) -> None:
        """Start with an entry that was not tried.

        Args:
            members: the workers of the cell.
        """
        self._is_pending = True
        self._members = members
        self._entry: Entry | None = None
        self._seats: dict[str, int] = {}

    def renew(self) -> None:
        """Ask for a try whatever was found before."""
        self._is_pending = True

    def is_due(self, entry: Entry) -> bool:
        """Tell whether to try the entry.

        Args:
            entry: the entry that holds the reservation.

        Returns:
            True when it may fit, or is not the one that failed.
        """
        return self._is_pending or entry is not self._entry

    def fail(self, entry: Entry, workers: Sequence[str]) -> None:
        """Take note that the entry did not fit.

        Args:
            entry: the entry.
            workers: where some of its tasks found room, one id per task.
        """
        self._is_pending = False
        self._entry = entry
        self._seats = dict(collections.Counter(workers))

    def gain(self, worker_id: str) -> None:
        """Take note that a worker may have gained room.

        Args:
            worker_id: the worker.
        """
        entry = self._entry
        if self._is_pending or entry is None:
            return
        self._count(entry, worker_id)
        size = len(entry.tasks)
        if sum(self._seats.values()) < size:
            return
        for name in tuple(self._seats):
            self._count(entry, name)
        self._is_pending = sum(self._seats.values()) >= size

    def _count(self, entry: Entry, worker_id: str) -> None:
        first = entry.first
        member = self._members.get(worker_id)
        count = 0
        if member is not None and is_open(member, first):
            room = member.load.room_for(first)
            count = slots(first.demand, room, len(entry.tasks))
        if count:
            self._seats[worker_id] = count
        else:
            self._seats.pop(worker_id, None)
