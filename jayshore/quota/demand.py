"""What waits for room under a team's limit, in units that start together.

A part that is raised by less than a unit is of no use: two domains that each
hold half of what a task needs would both wait for ever.
"""

import dataclasses
from collections.abc import Iterable

from jayshore.quota.amounts import saturating_sub
from jayshore.resources import Resources, total


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DemandUnit:
    """Equal pieces of waiting work, each of which starts whole or not.

    Attributes:
        amount: of one piece: a request, a task, or all waiting tasks of a
            gang.
        count: how many wait.
    """

    amount: Resources
    count: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingDemand:
    """All that waits of one team in one domain."""

    units: tuple[DemandUnit, ...] = ()

    @property
    def total(self) -> Resources:
        """Sum of all units."""
        return total(unit.amount.scaled(unit.count) for unit in self.units)

    def usable(self, room: Resources) -> Resources:
        """Compute how much of a room the waiting units can use.

        The largest units are fitted in first, as small ones fit in what is
        left but not the other way round.

        Args:
            room: what could be started at most.

        Returns:
            The sum of the units that fit in, at most the room.
        """
        left = room
        for unit in sorted(self.units, key=_by_size, reverse=True):
            fitting = min(unit.count, _times(unit.amount, left))
            left -= unit.amount.scaled(fitting)
        return saturating_sub(room, left)


NO_DEMAND = PendingDemand()


def group_demand(pieces: Iterable[Resources]) -> PendingDemand:
    """Gather waiting pieces into units.

    Args:
        pieces: one amount for each piece that starts whole or not.

    Returns:
        The demand, with one unit for each distinct amount.
    """
    counts: dict[Resources, int] = {}
    for piece in pieces:
        counts[piece] = counts.get(piece, 0) + 1
    return PendingDemand(
        units=tuple(
            DemandUnit(amount=amount, count=count)
            for amount, count in counts.items()
        )
    )


def _by_size(unit: DemandUnit) -> tuple[int, int, int]:
    amount = unit.amount
    return amount.accelerators, amount.cpu_millis, amount.memory_mb


def _times(amount: Resources, room: Resources) -> int:
    """Count how often an amount fits in a room."""
    pairs = zip(amount, room, strict=True)
    return min((free // need for need, free in pairs if need), default=0)
