"""What one team has waiting in one tier."""

import bisect

from jayshore.clock import Millis
from jayshore.placement.entries import QueueEntry, SortKey
from jayshore.placement.shape_table import single_bits

_MAX_SHAPES_COMPARED = 4
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
        self._keys_by_shape: dict[int, list[SortKey]] = {}
        self._entries: dict[SortKey, QueueEntry] = {}
        self._sorted: list[tuple[SortKey, int]] = []
        self._arrivals: list[Millis] = []

    def add(self, bit: int, sort_key: SortKey, entry: QueueEntry) -> None:
        """Insert an entry.

        Args:
            bit: its shape.
            order: its place.
            entry: the entry.
        """
        self._entries[sort_key] = entry
        bisect.insort(self._arrivals, entry.first.enqueued_at)
        bisect.insort(self._keys_by_shape.setdefault(bit, []), sort_key)
        bisect.insort(self._sorted, (sort_key, bit))
        self.waiting |= bit

    def remove(self, bit: int, sort_key: SortKey) -> None:
        """Remove an entry.

        Args:
            bit: its shape.
            order: its place.
        """
        entry = self._entries.pop(sort_key)
        self._sorted.pop(bisect.bisect_left(self._sorted, (sort_key, bit)))
        arrived = bisect.bisect_left(self._arrivals, entry.first.enqueued_at)
        self._arrivals.pop(arrived)
        keys = self._keys_by_shape[bit]
        keys.pop(bisect.bisect_left(keys, sort_key))
        if not keys:
            self._keys_by_shape.pop(bit)
            self.waiting ^= bit
            self.blocked &= ~bit

    def first_key(self) -> int:
        """Find the lowest key of all entries; there must be one.

        Returns:
            The first element of its order.
        """
        return self._sorted[0][0][0]

    def oldest(self) -> Millis:
        """Find the longest waiting entry; there must be one.

        Returns:
            When it was enqueued, which its order shows only roughly.
        """
        return self._arrivals[0]

    def first(self, mask: int) -> tuple[SortKey, QueueEntry] | None:
        """Find the first entry of some shapes that has headroom.

        Args:
            mask: the shapes.

        Returns:
            Its place and the entry, or None.
        """
        open_bits = self.waiting & mask & ~self.blocked
        if not open_bits:
            return None
        if open_bits.bit_count() > _MAX_SHAPES_COMPARED:
            sort_key, _ = next(
                one for one in self._sorted if one[1] & open_bits
            )
        else:
            sort_key = min(
                self._keys_by_shape[bit][0] for bit in single_bits(open_bits)
            )
        return sort_key, self._entries[sort_key]
