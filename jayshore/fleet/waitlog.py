"""Logs why task groups wait, once for each reason of a group."""

from collections.abc import Callable, Mapping
from typing import Final

import eliot

from jayshore.clock import Millis
from jayshore.fleet.demands import WaitReason
from jayshore.fleet.model import GroupId

_LOG_AFTER_MS: Final = Millis(1500)
"""How long a reason must last before it is logged, in ms.

Most tasks wait some milliseconds for advice, which is not worth a log line.
"""

_LARGE_BACKLOG: Final = 300
_INTERVAL_MS: Final = Millis(100)
"""Time between the records of a large backlog, in ms.

A record looks at every waiting group, which takes milliseconds.
"""

_MAX_LINES: Final = 20
"""Lines of one record; a line takes about 0.05 ms, and thousands may be due."""


class WaitReasonLog:
    """Tracks for which reason, and since when, each group waits."""

    def __init__(self) -> None:
        """Create a log without waiting groups."""
        self._since: dict[GroupId, tuple[WaitReason, Millis]] = {}
        self._logged: dict[GroupId, WaitReason] = {}
        self._recorded_at: Millis | None = None

    def record(
        self,
        waiting: Mapping[GroupId, WaitReason],
        now: Millis,
        describe: Callable[[GroupId], Mapping[str, str | float]],
    ) -> None:
        """Record the waiting groups of a round and log lasting reasons.

        While many groups wait, rounds shortly after a record are left out.

        Args:
            waiting: reason by waiting group.
            now: time on the leader's clock, in ms.
            describe: returns further fields for the line of a group.
        """
        last = self._recorded_at
        if (
            len(waiting) > _LARGE_BACKLOG
            and last is not None
            and now - last < _INTERVAL_MS
        ):
            return
        self._recorded_at = now
        for group in [known for known in self._since if known not in waiting]:
            self._since.pop(group)
            self._logged.pop(group, None)
        lines = 0
        for group, reason in waiting.items():
            known, since = self._since.get(group, (None, now))
            if known is not reason:
                self._since[group] = (reason, now)
            elif (
                now - since >= _LOG_AFTER_MS
                and lines < _MAX_LINES
                and self._logged.get(group) is not reason
            ):
                lines += 1
                self._logged[group] = reason
                eliot.log_message(
                    'group:waiting',
                    job=group.job_id,
                    group=group.group,
                    reason=reason,
                    since_ms=now - since,
                    **describe(group),
                )
