"""The waiting entries of one team in one tier."""

import bisect

from jayshore.clock import Millis
from jayshore.placement.entries import QueueEntry, SortKey
from jayshore.placement.shape_table import single_bits

_MAX_SHAPES_COMPARED = 4
"""Up to this many shapes, the first entries of the shapes are compared.

Entries of more shapes are so frequent among those of a team that a scan in
order meets one after a few steps, however many entries wait.
"""


class TeamQueue:
    """The entries of a team, sorted and by shape.

    Plain lists with binary search suffice: there is one for each team and
    shape, and most hold a few entries.

    Attributes:
        waiting: mask of the shapes of the entries.
        blocked: mask of the shapes for which the team lacks headroom.
    """

    def __init__(self) -> None:
        """Create a queue without entries."""
        self.waiting = 0
        self.blocked = 0
        self._keys_by_shape: dict[int, list[SortKey]] = {}
        self._entries: dict[SortKey, QueueEntry] = {}
        self._sorted: list[tuple[SortKey, int]] = []
        self._arrivals: list[Millis] = []

    def add(self, bit: int, sort_key: SortKey, entry: QueueEntry) -> None:
        """Insert an entry.

        Args:
            bit: the bit of its shape.
            sort_key: its position within the team.
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
            bit: the bit of its shape.
            sort_key: its position within the team.
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
        """Return the first element of the lowest sort key.

        The queue must not be empty.

        Returns:
            The element by which the team is ranked.
        """
        return self._sorted[0][0][0]

    def oldest(self) -> Millis:
        """Return when the longest waiting entry was enqueued.

        The queue must not be empty.

        Returns:
            The exact time; the sort key of an ordinary entry has it only
            rounded.
        """
        return self._arrivals[0]

    def first(self, mask: int) -> tuple[SortKey, QueueEntry] | None:
        """Find the first entry of some shapes that has headroom.

        Args:
            mask: mask of the shapes.

        Returns:
            Its sort key and the entry, or None.
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
