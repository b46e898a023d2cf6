"""Work that waits for quota, in units that start whole or not at all.

A grant is raised by whole units only: two domains that each hold half of what
a task needs would both wait forever.
"""

import dataclasses
from collections.abc import Iterable

from jayshore.quota.amounts import saturating_sub
from jayshore.resources import Resources, total


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DemandUnit:
    """Identical pieces of waiting work, each of which starts whole or not.

    Attributes:
        amount: resources of one piece: a request, a task, or all waiting tasks
            of a gang.
        count: number of such pieces.
    """

    amount: Resources
    count: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingDemand:
    """All waiting work of one team in one domain."""

    units: tuple[DemandUnit, ...] = ()

    @property
    def total(self) -> Resources:
        """Sum of the resources of all units."""
        return total(unit.amount.scaled(unit.count) for unit in self.units)

    def usable(self, available: Resources) -> Resources:
        """Compute how much of the available resources the units can use.

        Units are fitted largest first: small units fit into what large ones
        leave over, but not the other way round.

        Args:
            available: upper bound of what can be started.

        Returns:
            The sum of the units that fit, at most `available`.
        """
        remaining = available
        for unit in sorted(self.units, key=_size_key, reverse=True):
            fitting = min(unit.count, _count_fits(unit.amount, remaining))
            remaining -= unit.amount.scaled(fitting)
        return saturating_sub(available, remaining)


NO_DEMAND = PendingDemand()


def group_demand(pieces: Iterable[Resources]) -> PendingDemand:
    """Group equal pieces of waiting work into units.

    Args:
        pieces: resources of each piece, which starts whole or not at all.

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


def _size_key(unit: DemandUnit) -> tuple[int, int, int]:
    amount = unit.amount
    return amount.accelerators, amount.cpu_millis, amount.memory_mb


def _count_fits(amount: Resources, available: Resources) -> int:
    """Count how often an amount fits in the available resources."""
    pairs = zip(amount, available, strict=True)
    return min((free // need for need, free in pairs if need), default=0)
