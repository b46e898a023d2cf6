"""What one team has waiting in one tier."""

import bisect

from jayshore.clock import Millis
from jayshore.placement.entries import Entry, Order
from jayshore.placement.shape_table import single_bits


class TeamQueue:
    """The entries of a team, by shape and in order.

    Plain lists with binary search serve here: most hold a few entries, and
    there is one for each team and shape.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.waiting = 0
        self.blocked = 0
        self._orders: dict[int, list[Order]] = {}
        self._entries: dict[Order, Entry] = {}
        self._first_key: int | None = None
        self._arrivals: list[Millis] = []

    def add(self, bit: int, order: Order, entry: Entry) -> None:
        """Insert an entry.

        Args:
            bit: its shape.
            order: its place.
            entry: the entry.
        """
        self._entries[order] = entry
        bisect.insort(self._arrivals, entry.first.enqueued_at)
        bisect.insort(self._orders.setdefault(bit, []), order)
        self.waiting |= bit
        if self._first_key is not None:
            self._first_key = min(self._first_key, order[0])

    def remove(self, bit: int, order: Order) -> None:
        """Remove an entry.

        Args:
            bit: its shape.
            order: its place.
        """
        entry = self._entries.pop(order)
        arrived = bisect.bisect_left(self._arrivals, entry.first.enqueued_at)
        self._arrivals.pop(arrived)
        orders = self._orders[bit]
        orders.pop(bisect.bisect_left(orders, order))
        if not orders:
            self._orders.pop(bit)
            self.waiting ^= bit
            self.blocked &= ~bit
        if self._first_key == order[0]:
            self._first_key = None

    def first_key(self) -> int:
        """Find the lowest key of all entries; there must be one.

        Returns:
            The first element of its order.
        """
        if self._first_key is None:
            lowest = min(orders[0] for orders in self._orders.values())
            self._first_key = lowest[0]
        return self._first_key

    def oldest(self) -> Millis:
        """Find the longest waiting entry; there must be one.

        Returns:
            When it was enqueued, which its order shows only roughly.
        """
        return self._arrivals[0]

    def first(self, mask: int) -> tuple[Order, Entry] | None:
        """Find the first entry of some shapes that has headroom.

        Args:
            mask: the shapes.

        Returns:
            Its place and the entry, or None.
        """
        open_bits = self.waiting & mask & ~self.blocked
        if not open_bits:
            return None
        order = min(self._orders[bit][0] for bit in single_bits(open_bits))
        return order, self._entries[order]
