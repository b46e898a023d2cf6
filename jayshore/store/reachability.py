"""Tracks whether the store answers this instance, directly or by relay.

The store may refuse calls of one instance, leave them unanswered, or be cut
off from it, while another instance still reaches it. Callers get a different
answer in each case, so one class tracks all of them.
"""

import itertools
from typing import Final

import eliot

from jayshore.clock import Clock, Millis

DIRECT_RETRY_INTERVAL_MS: Final = Millis(1000)
"""Time in ms for which calls are relayed before a read retries the store."""

ANSWER_OVERDUE_MS: Final = Millis(600)
"""Time in ms after which an answer of the store is overdue.

A slow store takes up to 400 ms. A network partition shows as an overdue answer
before any call has timed out.
"""

_MAX_CONSECUTIVE_UNCERTAIN: Final = 2
"""Consecutive uncertain calls after which the store counts as unavailable.

One is not enough: the store can lose the answers of single writes while it
serves everything else.
"""


PEER_CALL_RECENT_MS: Final = Millis(2000)
"""Time in ms for which a call from another instance proves a connection."""


class StoreReachability:
    """Records the outcomes of recent calls to the store.

    The store counts as available to begin with.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Create a tracker.

        Args:
            clock: measures outages and overdue answers.
        """
        self._clock = clock
        self._unavailable_since = Millis(0)
        self._direct_retry_at: Millis | None = None
        self._consecutive_uncertain = 0
        self._no_route = False
        self._isolated = False
        self._peer_called_at: Millis | None = None
        self._call_numbers = itertools.count()
        self._due_times: dict[int, Millis] = {}

    @property
    def direct_unavailable(self) -> bool:
        """Whether the store counts as unavailable to direct calls."""
        return self._direct_retry_at is not None

    @property
    def unavailable_for_ms(self) -> Millis:
        """Duration of the current outage of direct calls, 0 without one."""
        if self._direct_retry_at is None:
            return Millis(0)
        return Millis(self._clock.now() - self._unavailable_since)

    @property
    def reachable(self) -> bool:
        """Whether there is a route to the store and no answer is overdue."""
        return not self._no_route and not self._overdue

    @property
    def no_route(self) -> bool:
        """Whether the last call got through neither directly nor by relay.

        Reads still try the store directly; a write that fails meanwhile
        certainly had no effect.
        """
        return self._no_route

    @property
    def isolated(self) -> bool:
        """Whether this instance is cut off from the store and all others.

        In an outage of the store, busy instances answer too late but go on
        calling each other.
        """
        if self._peer_called_at is not None:
            age = self._clock.now() - self._peer_called_at
            if age < PEER_CALL_RECENT_MS:
                return False
        return self._no_route and self._isolated

    def should_call_directly(self, *, is_read: bool) -> bool:
        """Tell whether a call tries the store before it is relayed.

        Only reads probe an unavailable store. A write left unanswered would
        block everything that waits for it, and its outcome would be unknown.

        Args:
            is_read: whether the call changes nothing.

        Returns:
            False when the call is relayed at once.
        """
        if self._direct_retry_at is None:
            return True
        return is_read and self._clock.now() >= self._direct_retry_at

    def begin_call(self, wait_ms: Millis) -> int:
        """Record the start of a direct call.

        Args:
            wait_ms: how long the store may delay its answer, in ms.

        Returns:
            The number of the call, for `end_call`.
        """
        number = next(self._call_numbers)
        self._due_times[number] = Millis(
            self._clock.now() + wait_ms + ANSWER_OVERDUE_MS
        )
        return number

    def end_call(self, number: int) -> None:
        """Record the end of a direct call, answered or not.

        Args:
            number: number of the call.
        """
        self._due_times.pop(number)

    def note_answer(self) -> None:
        """Record that the store answered a direct call."""
        self._consecutive_uncertain = 0
        self._no_route = False
        if self._direct_retry_at is not None:
            eliot.log_message('store:regained')
            self._direct_retry_at = None

    def note_unavailable(self, error: Exception) -> None:
        """Record that the store is unavailable to direct calls.

        Args:
            error: cause of the failure.
        """
        if self._direct_retry_at is None:
            self._unavailable_since = self._clock.now()
            eliot.log_message('store:lost', error=str(error))
        self._direct_retry_at = Millis(
            self._clock.now() + DIRECT_RETRY_INTERVAL_MS
        )

    def note_uncertain(self, error: Exception) -> None:
        """Record a direct call that was not answered but may have had effect.

        Args:
            error: cause of the failure.
        """
        self._consecutive_uncertain += 1
        if self._consecutive_uncertain >= _MAX_CONSECUTIVE_UNCERTAIN:
            self.note_unavailable(error)

    def note_peer_call(self) -> None:
        """Record a call from another instance."""
        self._peer_called_at = self._clock.now()

    def note_relayed(self) -> None:
        """Record that another instance relayed a call to the store."""
        self._no_route = False

    def note_no_route(self, *, isolated: bool) -> None:
        """Record that no other instance could relay a call.

        Args:
            isolated: whether no other instance answered at all.
        """
        self._no_route = True
        self._isolated = isolated
        self._direct_retry_at = self._clock.now()

    @property
    def _overdue(self) -> bool:
        now = self._clock.now()
        return any(due <= now for due in self._due_times.values())
