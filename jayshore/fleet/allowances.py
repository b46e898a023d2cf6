"""What a workspace may still start within its limit during a placement round.

Answers the load of a workspace near its limit that submits gangs beside
smaller work: what each ended run sets free is soon taken by a task that needs
little, and a gang never finds enough at once. The best ranked gang that waits
for the limit therefore reserves what it needs against lower ranked work.
"""

import dataclasses
from typing import Final

from jayshore.fleet.demands import GroupDemand
from jayshore.fleet.ranking import DeadlineStatus
from jayshore.resources import NOTHING, Resources

_UNLIMITED: Final = 1 << 60


@dataclasses.dataclass(kw_only=True, slots=True)
class Allowance:
    """Limit of one workspace; a round reduces what remains.

    Attributes:
        maximum: resources of its running tasks at most.
        remaining: resources that it may still start; negative when usage
            exceeds a limit that was lowered, or when a gang has reserved more
            than is free.
    """

    maximum: Resources
    remaining: Resources

    @classmethod
    def of_usage(cls, maximum: Resources, used: Resources) -> 'Allowance':
        """Compute what a workspace may still start.

        Args:
            maximum: limit of the workspace; a component of 0 has no limit.
            used: resources of its running tasks.

        Returns:
            The allowance at the start of a round.
        """
        limit = Resources(
            cpu_millis=maximum.cpu_millis or _UNLIMITED,
            memory_mb=maximum.memory_mb or _UNLIMITED,
            accelerators=maximum.accelerators or _UNLIMITED,
        )
        return cls(maximum=limit, remaining=limit - used)

    def count(self, demand: GroupDemand) -> int:
        """Count how many tasks of a demand may start.

        Args:
            demand: the demand.

        Returns:
            A number that may exceed the number of waiting tasks.
        """
        return count_fits(demand, self.remaining)

    def charge(self, demand: GroupDemand) -> None:
        """Use up the resources of one task.

        Args:
            demand: demand of the task.
        """
        self.remaining -= demand.need

    def reserve(self, demand: GroupDemand) -> None:
        """Reserve the resources of a gang that has to wait for the limit.

        Nothing is reserved for a gang that exceeds the whole limit or is late,
        as others would wait for it in vain, nor beside an earlier reservation.

        Args:
            demand: the gang.
        """
        need = demand.need.scaled(len(demand.indexes))
        if (
            demand.rank.deadline_status is DeadlineStatus.IN_TIME
            and need.fits_in(self.maximum)
            and NOTHING.fits_in(self.remaining)
        ):
            self.remaining -= need


def count_fits(demand: GroupDemand, available: Resources) -> int:
    """Count how many tasks of a demand fit in an amount of resources.

    Args:
        demand: the demand.
        available: the resources, negative components for none.

    Returns:
        The number, not limited by the number of waiting tasks.
    """
    if not NOTHING.fits_in(available):
        return 0
    counts = [
        free // wanted
        for wanted, free in zip(demand.need, available, strict=True)
        if wanted
    ]
    return min(counts, default=len(demand.indexes))
