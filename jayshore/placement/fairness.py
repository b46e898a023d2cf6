"""Weighted dominant-resource fairness, for the order among teams.

Source: Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple
Resource Types", NSDI 2011, section 4.3 for weights.
"""

import dataclasses

from jayshore.placement.policy import Policy
from jayshore.resources import Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareCase:
    """What one team uses of the cell.

    Attributes:
        used: the sum of the demands of its running tasks.
        capacity: the capacity of all workers of the cell.
        weight: the configured share of the team, positive.
        weight_sum: the sum of all configured shares.
    """

    used: Resources
    capacity: Resources
    weight: float
    weight_sum: float


class DominantShare(Policy[ShareCase, float]):
    """Weighted dominant share: `max_r(used_r / capacity_r) * sum(w) / w`.

    The value is 1 for a team that uses exactly its share of the cell. The team
    with the lowest value is served first. No capacity is reserved for a team
    without waiting work, so the policy is work-conserving.
    """

    def evaluate(self, case: ShareCase) -> float:
        """Compute the weighted dominant share.

        Args:
            case: the usage and weight of a team.

        Returns:
            0 or more; 1 when the team uses exactly its share. Resources that
            the cell does not have do not count.
        """
        used, capacity = case.used, case.capacity
        dominant = max(
            used.cpu_millis / (capacity.cpu_millis or 1),
            used.memory_mb / (capacity.memory_mb or 1),
            used.accelerators / (capacity.accelerators or 1),
        )
        return dominant * case.weight_sum / case.weight
