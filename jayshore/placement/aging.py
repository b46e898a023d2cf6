"""Aging: the waiting time of a team counts against the share a team uses.

Source: linear aging as in the decay-usage schedulers (Kay and Lauder, "A Fair
Share Scheduler", CACM 31(1), 1988), applied to the dominant share.
"""

import dataclasses

from jayshore.clock import Millis
from jayshore.placement.policy import Policy

AGING_MS_PER_SHARE = 4 * 60 * 60 * 1000
"""The wait that outweighs one whole share of the cell.

Starvation is bounded by it, and a backlog of a minute shifts the shares by
less than half a percent.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgingCase:
    """The longest waiting task of a team and its usage.

    Attributes:
        share: the weighted dominant share of the team.
        enqueued_at: when that task began to wait.
    """

    share: float
    enqueued_at: Millis


class LinearAging(Policy[AgingCase, float]):
    """`share - (now - enqueued_at) / AGING_MS_PER_SHARE`, without `now`.

    The term in `now` is the same for every task, so leaving it out keeps the
    order and makes a rank independent of time; an index need not be rebuilt as
    time passes.
    """

    def evaluate(self, case: AgingCase) -> float:
        """Rank a team.

        Args:
            case: its wait and its team's usage.

        Returns:
            The rank; the lowest is served first.
        """
        return case.share + case.enqueued_at / AGING_MS_PER_SHARE
