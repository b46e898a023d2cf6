"""Numbers the shapes of the waiting entries, so that sets of them are integers.

A set of shapes is a bit mask. Intersecting what a team has waiting with what
fits somewhere then costs one operation, however many entries wait.
"""

from collections.abc import Hashable, Iterator
from typing import TypeVar

from jayshore.clock import Millis
from jayshore.placement.backfill import ends_in_time
from jayshore.placement.entries import Shape, Tier
from jayshore.placement.worker_registry import Member
from jayshore.resources import Resources

_KeyT = TypeVar('_KeyT', bound=Hashable)


class ShapeTable:
    """The shapes in use; numbers are reused once no entry has the shape."""

    def __init__(self) -> None:
        """Start empty."""
        self.live = 0
        self._shapes: dict[int, Shape] = {}
        self._bits: dict[Shape, int] = {}
        self._counts: dict[int, int] = {}
        self._sizes: dict[tuple[Resources, bool], int] = {}
        self._tiers: dict[Tier, int] = {}
        self._runs: dict[Millis | None, int] = {}
        self._limited = 0
        self._allowed: dict[str, int] = {}
        self._avoided: dict[str, int] = {}

    def acquire(self, shape: Shape) -> int:
        """Count one more entry of a shape.

        Args:
            shape: the shape.

        Returns:
            A mask with the one bit of the shape.
        """
        bit = self._bits.get(shape)
        if bit is None:
            bit = ~self.live & (self.live + 1)
            self._bits[shape] = bit
            self._shapes[bit] = shape
            self._counts[bit] = 0
            self._file(shape, bit)
        self._counts[bit] += 1
        return bit

    def release(self, bit: int) -> bool:
        """Count one entry of a shape less.

        Args:
            bit: the bit of the shape.

        Returns:
            True when it was the last, and the bit may be used anew.
        """
        self._counts[bit] -= 1
        if self._counts[bit]:
            return False
        shape = self._shapes.pop(bit)
        self._bits.pop(shape)
        self._counts.pop(bit)
        self._file(shape, bit)
        return True

    def shape(self, bit: int) -> Shape:
        """Find a shape.

        Args:
            bit: its bit.

        Returns:
            The shape.
        """
        return self._shapes[bit]

    def of_tier(self, tier: Tier) -> int:
        """Collect the shapes of a tier.

        Args:
            tier: the tier.

        Returns:
            A mask.
        """
        return self._tiers.get(tier, 0)

    def exempt(self, tier: Tier, start_in_ms: Millis) -> int:
        """Collect the shapes that a reservation does not limit.

        Args:
            tier: the tier of the reservation.
            start_in_ms: the time until it falls due.

        Returns:
            A mask of the shapes of a lower tier and of those that end in time.
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
        self, member: Member, rooms: tuple[Resources, Resources]
    ) -> int:
        """Collect the shapes of which a task fits on a worker.

        Args:
            member: a usable worker.
            rooms: what is open there to ordinary work and to that of the lane.

        Returns:
            A mask.
        """
        worker_id = member.view.worker_id
        fitting = 0
        for (demand, in_lane), mask in self._sizes.items():
            if demand.fits_in(rooms[in_lane]):
                fitting |= mask
        barred = self._limited & ~self._allowed.get(worker_id, 0)
        return fitting & ~barred & ~self._avoided.get(worker_id, 0)

    def _file(self, shape: Shape, bit: int) -> None:
        """Flip the bit of a shape in every set that it belongs to."""
        self.live ^= bit
        _flip(self._tiers, shape.tier, bit)
        _flip(self._runs, shape.run_ms, bit)
        _flip(self._sizes, (shape.demand, shape.in_lane), bit)
        for avoided in shape.avoided:
            _flip(self._avoided, avoided, bit)
        if shape.allowed is not None:
            self._limited ^= bit
            for allowed in shape.allowed:
                _flip(self._allowed, allowed, bit)


def single_bits(mask: int) -> Iterator[int]:
    """Split a mask.

    Args:
        mask: any mask.

    Yields:
        Masks of one bit, the lowest first.
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
