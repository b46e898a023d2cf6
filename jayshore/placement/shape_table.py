"""Assigns a bit to each shape of the waiting entries.

A set of shapes is a bit mask. Intersecting the shapes that a team has waiting
with those that fit somewhere is then one operation, however many entries wait.
"""

from collections.abc import Hashable, Iterator
from typing import TypeVar

from jayshore.clock import Millis
from jayshore.placement.backfill import ends_in_time
from jayshore.placement.entries import Shape, Tier
from jayshore.placement.worker_registry import WorkerRecord
from jayshore.resources import Resources

_KeyT = TypeVar('_KeyT', bound=Hashable)


class ShapeTable:
    """The shapes in use, with reference counts; unused bits are reused.

    Attributes:
        live: mask of all shapes that some waiting entry has.
    """

    def __init__(self) -> None:
        """Create a table without shapes."""
        self.live = 0
        self._shapes: dict[int, Shape] = {}
        self._bits: dict[Shape, int] = {}
        self._counts: dict[int, int] = {}
        self._demands: dict[tuple[Resources, bool], int] = {}
        self._tiers: dict[Tier, int] = {}
        self._runs: dict[Millis | None, int] = {}
        self._restricted = 0
        self._allowed: dict[str, int] = {}
        self._avoided: dict[str, int] = {}

    def acquire(self, shape: Shape) -> int:
        """Add a reference to a shape.

        Args:
            shape: the shape of an entry that is added.

        Returns:
            The bit of the shape, as a mask.
        """
        bit = self._bits.get(shape)
        if bit is None:
            bit = ~self.live & (self.live + 1)
            self._bits[shape] = bit
            self._shapes[bit] = shape
            self._counts[bit] = 0
            self._toggle(shape, bit)
        self._counts[bit] += 1
        return bit

    def release(self, bit: int) -> bool:
        """Drop a reference to a shape.

        Args:
            bit: the bit of the shape.

        Returns:
            True when it was the last reference; the bit may then be reused.
        """
        self._counts[bit] -= 1
        if self._counts[bit]:
            return False
        shape = self._shapes.pop(bit)
        self._bits.pop(shape)
        self._counts.pop(bit)
        self._toggle(shape, bit)
        return True

    def shape(self, bit: int) -> Shape:
        """Find the shape of a bit.

        Args:
            bit: the bit of a live shape.

        Returns:
            The shape.
        """
        return self._shapes[bit]

    def of_tier(self, tier: Tier) -> int:
        """Collect the shapes of a tier.

        Args:
            tier: the tier.

        Returns:
            A mask of live shapes.
        """
        return self._tiers.get(tier, 0)

    def exempt(self, tier: Tier, start_in_ms: Millis) -> int:
        """Collect the shapes that a reservation does not limit.

        Args:
            tier: the tier of the reservation.
            start_in_ms: the time in ms until the reservation falls due.

        Returns:
            A mask of the shapes of tiers that are served before that one, and
            of those that end before the reservation falls due.
        """
        mask = 0
        for own_tier, same_tier in self._tiers.items():
            if own_tier < tier:
                mask |= same_tier
        for run_ms, same_run in self._runs.items():
            if ends_in_time(run_ms, start_in_ms):
                mask |= same_run
        return mask

    def fitting(
        self,
        record: WorkerRecord,
        available_by_class: tuple[Resources, Resources],
    ) -> int:
        """Collect the shapes of which a task fits on a worker.

        Args:
            record: a usable worker.
            available_by_class: what ordinary work may use there, and what work
                may use that uses the urgent reserve.

        Returns:
            A mask of live shapes.
        """
        worker_id = record.view.worker_id
        fitting = 0
        for (demand, uses_reserve), mask in self._demands.items():
            if demand.fits_in(available_by_class[uses_reserve]):
                fitting |= mask
        disallowed = self._restricted & ~self._allowed.get(worker_id, 0)
        return fitting & ~disallowed & ~self._avoided.get(worker_id, 0)

    def _toggle(self, shape: Shape, bit: int) -> None:
        """Flip the bit of a shape in every set that it belongs to."""
        self.live ^= bit
        _flip(self._tiers, shape.tier, bit)
        _flip(self._runs, shape.run_ms, bit)
        _flip(self._demands, (shape.demand, shape.uses_reserve), bit)
        for avoided in shape.avoided:
            _flip(self._avoided, avoided, bit)
        if shape.allowed is not None:
            self._restricted ^= bit
            for allowed in shape.allowed:
                _flip(self._allowed, allowed, bit)


def single_bits(mask: int) -> Iterator[int]:
    """Split a mask into its bits.

    Args:
        mask: a mask of shapes.

    Yields:
        Masks of one bit each, the lowest first.
    """
    while mask:
        bit = mask & -mask
        yield bit
        mask ^= bit


def _flip(masks: dict[_KeyT, int], key: _KeyT, bit: int) -> None:
    mask = masks.get(key, 0) ^ bit
    if mask:
        masks[key] = mask
    else:
        masks.pop(key)
