"""Aging: the waiting time of a team counts against the share a team uses.

Source: linear aging as in the decay-usage schedulers (Kay and Lauder, "A Fair
Share Scheduler", CACM 31(1), 1988), applied to the dominant share.
"""

import dataclasses

from jayshore.clock import Millis
from jayshore.placement.policy import Policy
from jayshore.placement.settings import AgingSettings

_SHARE_UNITS = 1 << 40
"""Parts of a share that are told apart.

Ranks are whole numbers, so that a rank that leaves out the time and one that
includes it compare alike.
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
    """`share - max(0, now - enqueued_at - after_ms) / (full_ms - after_ms)`.

    The rank is a multiple of this plus a term in `now` that all cases have in
    common: `share * (full_ms - after_ms) + min(now, enqueued_at + after_ms)`.
    Beyond `after_ms` it does not depend on time. Before that all ranks rise by
    `elapsed`, so an index need not be rebuilt as time passes.
    """

    def __init__(self, *, settings: AgingSettings) -> None:
        """Use the settings.

        Args:
            settings: from when on and how fast work rises.
        """
        self._after_ms = settings.after_ms
        self._span_ms = max(1, settings.full_ms - settings.after_ms)

    def evaluate(self, case: AgingCase) -> int:
        """Rank a team.

        Args:
            case: its wait and its usage.

        Returns:
            The rank; the lowest is served first.
        """
        share = round(case.share * _SHARE_UNITS)
        since = min(case.now, self.aging_starts_at(case.enqueued_at))
        return share * self._span_ms + since * _SHARE_UNITS

    def aging_starts_at(self, enqueued_at: Millis) -> Millis:
        """Tell when work begins to rise.

        Args:
            enqueued_at: when it began to wait.

        Returns:
            The instant.
        """
        return Millis(enqueued_at + self._after_ms)

    def time_term(self, now: Millis) -> int:
        """Give the part of a rank that grows until the work rises.

        Args:
            now: the time.

        Returns:
            The same for all work that has not waited for `after_ms`.
        """
        return now * _SHARE_UNITS
