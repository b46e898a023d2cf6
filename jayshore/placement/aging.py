"""Aging: the waiting time of a team counts against the share a team uses.

Source: linear aging as in the decay-usage schedulers (Kay and Lauder, "A Fair
Share Scheduler", CACM 31(1), 1988), applied to the dominant share.
"""

import dataclasses

from jayshore.clock import Millis
from jayshore.placement.policy import Policy
from jayshore.placement.settings import AgingSettings

_SHARE_UNITS = 1 << 40
"""Units per share: ranks are integers with this resolution.

Integers make ranks compare the same with and without the time term.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgingCase:
    """The longest waiting task of a team and its usage.

    Attributes:
        share: the weighted dominant share of the team.
        enqueued_at: when that task began to wait.
        now: the time.
    """

    share: float
    enqueued_at: Millis
    now: Millis


class LinearAging(Policy[AgingCase, int]):
    """Ranks a team by its share less a linear credit for its waiting time.

    The order is that of
    `share - max(0, now - enqueued_at - after_ms) / (full_ms - after_ms)`.
    The rank is a multiple of this plus a term in `now` that all cases have in
    common: `share * (full_ms - after_ms) + min(now, enqueued_at + after_ms)`.
    Once `after_ms` have passed it does not depend on the time. Before that all
    ranks grow by `time_term`, so an index need not be rebuilt as time passes.
    """

    def __init__(self, *, settings: AgingSettings) -> None:
        """Create the policy.

        Args:
            settings: when aging starts and how fast work ages.
        """
        self._after_ms = settings.after_ms
        self._span_ms = max(1, settings.full_ms - settings.after_ms)

    def evaluate(self, case: AgingCase) -> int:
        """Rank a team.

        Args:
            case: its longest wait and its share.

        Returns:
            The rank; the lowest is served first.
        """
        share = round(case.share * _SHARE_UNITS)
        since = min(case.now, self.aging_starts_at(case.enqueued_at))
        return share * self._span_ms + since * _SHARE_UNITS

    def aging_starts_at(self, enqueued_at: Millis) -> Millis:
        """Return when the aging of work starts.

        Args:
            enqueued_at: when the work began to wait.

        Returns:
            The time `after_ms` later.
        """
        return Millis(enqueued_at + self._after_ms)

    def time_term(self, now: Millis) -> int:
        """Return the part of a rank that grows with time until aging starts.

        Args:
            now: the time.

        Returns:
            The same for all work that has not waited for `after_ms`.
        """
        return now * _SHARE_UNITS
