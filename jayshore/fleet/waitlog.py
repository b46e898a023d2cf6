"""Says in the log why tasks wait, once for each reason of a group."""

from collections.abc import Mapping
from typing import Final

import eliot

from jayshore.clock import Millis
from jayshore.fleet.demands import WaitReason
from jayshore.fleet.model import GroupId

_SILENT_MS: Final = Millis(1500)
"""How long a reason holds before it is logged, in ms.

Most tasks wait for advice for some milliseconds, which nobody has to read.
"""


class WaitReasonLog:
    """Remembers since when each group waits, and for which reason."""

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self._since: dict[GroupId, tuple[WaitReason, Millis]] = {}
        self._told: dict[GroupId, WaitReason] = {}

    def note(self, waiting: Mapping[GroupId, WaitReason], now: Millis) -> None:
        """Take the result of a round over.

        Args:
            waiting: why groups wait.
            now: on the leader's clock, in ms.
        """
        for group in [known for known in self._since if known not in waiting]:
            self._since.pop(group)
            self._told.pop(group, None)
        for group, reason in waiting.items():
            known, since = self._since.get(group, (None, now))
            if known is not reason:
                self._since[group] = (reason, now)
            elif (
                now - since >= _SILENT_MS
                and self._told.get(group) is not reason
            ):
                self._told[group] = reason
                eliot.log_message(
                    'group:waiting',
                    job=group.job_id,
                    group=group.group,
                    reason=reason,
                    since_ms=now - since,
                )
