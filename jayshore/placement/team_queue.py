"""What one team has waiting in one tier."""

import bisect

from jayshore.placement.entries import Entry, Order
from jayshore.placement.shape_table import single_bits

_FEW_SHAPES = 4
"""Up to here the first entry of each shape is compared.

Entries of more shapes are so frequent among all of a team that a walk in order
meets one after a few steps, however many entries wait.
"""


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
        self._sorted: list[tuple[Order, int]] = []

    def add(self, bit: int, order: Order, entry: Entry) -> None:
        """Insert an entry.

        Args:
            bit: its shape.
            order: its place.
            entry: the entry.
        """
        self._entries[order] = entry
        bisect.insort(self._orders.setdefault(bit, []), order)
        bisect.insort(self._sorted, (order, bit))
        self.waiting |= bit

    def remove(self, bit: int, order: Order) -> None:
        """Remove an entry.

        Args:
            bit: its shape.
            order: its place.
        """
        self._entries.pop(order)
        self._sorted.pop(bisect.bisect_left(self._sorted, (order, bit)))
        orders = self._orders[bit]
        orders.pop(bisect.bisect_left(orders, order))
        if not orders:
            self._orders.pop(bit)
            self.waiting ^= bit
            self.blocked &= ~bit

    def first_key(self) -> int:
        """Find the lowest key of all entries; there must be one.

        Returns:
            The first element of its order.
        """
        return self._sorted[0][0][0]

    def first(self, mask: int) -> tuple[int, Entry] | None:
        """Find the first entry of some shapes that has headroom.

        Args:
            mask: the shapes.

        Returns:
            The shape and the entry, or None.
        """
        open_bits = self.waiting & mask & ~self.blocked
        if not open_bits:
            return None
        if open_bits.bit_count() > _FEW_SHAPES:
            order, bit = next(one for one in self._sorted if one[1] & open_bits)
        else:
            order, bit = min(
                (self._orders[bit][0], bit) for bit in single_bits(open_bits)
            )
        return bit, self._entries[order]
