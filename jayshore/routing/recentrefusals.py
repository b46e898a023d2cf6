"""Repeats a refusal to a team whose queue was found full a moment ago.

Answers the load of one team that calls without pauses after its queue is full:
each refusal would otherwise be decided by the leaders of all failure domains,
and the other teams' calls wait for the processor meanwhile.
"""

import dataclasses
from typing import Final

from jayshore.clock import Clock, Millis
from jayshore.outcomes import NotRun, NotRunReason, RequestOutcome
from jayshore.routing.executor import RoutedRequest

_REUSE_DIVISOR: Final = 10
"""A refusal is repeated for this fraction of the refused request's timeout."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Refusal:
    outcome: NotRun
    timeout_ms: Millis
    valid_until: Millis


class RecentRefusals:
    """The last refusal of each team and service for lack of time."""

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty memory.

        Args:
            clock: monotonic time.
        """
        self._clock = clock
        self._refusals: dict[tuple[str, str], _Refusal] = {}

    def find(self, request: RoutedRequest) -> NotRun | None:
        """Find a refusal that holds for a request as well.

        Args:
            request: the request, which has not been sent anywhere.

        Returns:
            The refusal of a request of the same team and service that had at
            least as much time, or None when there is no recent one.
        """
        key = (request.service, request.team)
        refusal = self._refusals.get(key)
        if refusal is None:
            return None
        if self._clock.now() >= refusal.valid_until:
            self._refusals.pop(key)
            return None
        if request.timeout_ms > refusal.timeout_ms:
            return None
        return refusal.outcome

    def note(self, request: RoutedRequest, outcome: RequestOutcome) -> None:
        """Record the outcome of a request that was routed.

        Args:
            request: the request.
            outcome: its outcome.
        """
        if not isinstance(outcome, NotRun):
            return
        if outcome.reason is not NotRunReason.WOULD_MISS_DEADLINE:
            return
        reuse_ms = request.timeout_ms // _REUSE_DIVISOR
        self._refusals[request.service, request.team] = _Refusal(
            outcome=outcome,
            timeout_ms=request.timeout_ms,
            valid_until=Millis(self._clock.now() + reuse_ms),
        )
