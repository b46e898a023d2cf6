"""What an instance knows of its ways to the store.

The store may turn an instance away, leave it without answers, or be cut off
from it; another instance may reach it meanwhile. Callers are told different
things in each case, so the knowledge stands in one place.
"""

import itertools
from typing import Final

import eliot

from jayshore.clock import Clock, Millis

DIRECT_RETRY_INTERVAL_MS: Final = Millis(1000)
"""How long calls go through others before the store is tried again, in ms."""

ANSWER_OVERDUE_MS: Final = Millis(600)
"""Time in ms after which an answer of the store is overdue.

A slow store takes up to 400 ms. A cut shows as an overdue answer before any
call has failed.
"""

_MAX_CONSECUTIVE_UNCERTAIN: Final = 2
"""Calls without an answer in a row after which others are asked.

The store can lose the answers of single writes while it serves all else.
"""


class StoreReachability:
    """Remembers how the last calls went."""

    def __init__(self, *, clock: Clock) -> None:
        """Start with a store that answers.

        Args:
            clock: our clock.
        """
        self._clock = clock
        self._unavailable_since = Millis(0)
        self._direct_retry_at: Millis | None = None
        self._consecutive_uncertain = 0
        self._no_route = False
        self._isolated = False
        self._call_numbers = itertools.count()
        self._due_times: dict[int, Millis] = {}

    @property
    def direct_unavailable(self) -> bool:
        """Whether the store did not answer this instance the last time."""
        return self._direct_retry_at is not None

    @property
    def unavailable_for_ms(self) -> Millis:
        """How long the store has not answered this instance, 0 if it does."""
        if self._direct_retry_at is None:
            return Millis(0)
        return Millis(self._clock.now() - self._unavailable_since)

    @property
    def reachable(self) -> bool:
        """Whether the last calls were answered, directly or through others."""
        return not self._no_route and not self._overdue

    @property
    def no_route(self) -> bool:
        """Whether the last call found no way to the store.

        Reads go on trying; a write that is refused meanwhile has certainly
        had no effect.
        """
        return self._no_route

    @property
    def isolated(self) -> bool:
        """Whether neither the store nor any other instance answered."""
        return self._no_route and self._isolated

    def should_call_directly(self, *, is_read: bool) -> bool:
        """Tell whether a call goes to the store, not through others at once.

        Only reads try a lost store again. A write that it leaves unanswered
        would hold up all that waits for it, and its outcome would be unknown.

        Args:
            is_read: the call changes nothing.

        Returns:
            False when the call goes through others.
        """
        if self._direct_retry_at is None:
            return True
        return is_read and self._clock.now() >= self._direct_retry_at

    def begin_call(self, wait_ms: Millis) -> int:
        """Note that a call is sent to the store.

        Args:
            wait_ms: how long the store may hold back its answer, in ms.

        Returns:
            A number for `end_call`.
        """
        number = next(self._call_numbers)
        self._due_times[number] = Millis(
            self._clock.now() + wait_ms + ANSWER_OVERDUE_MS
        )
        return number

    def end_call(self, number: int) -> None:
        """Note that a call was answered or given up.

        Args:
            number: of the call.
        """
        self._due_times.pop(number)

    def note_answer(self) -> None:
        """Note that the store answered."""
        self._consecutive_uncertain = 0
        self._no_route = False
        if self._direct_retry_at is not None:
            eliot.log_message('store:regained')
            self._direct_retry_at = None

    def note_unavailable(self, error: Exception) -> None:
        """Note that the store did not take a call.

        Args:
            error: why.
        """
        if self._direct_retry_at is None:
            self._unavailable_since = self._clock.now()
            eliot.log_message('store:lost', error=str(error))
        self._direct_retry_at = Millis(
            self._clock.now() + DIRECT_RETRY_INTERVAL_MS
        )

    def note_uncertain(self, error: Exception) -> None:
        """Note that the store may have taken a call and did not answer.

        Args:
            error: why.
        """
        self._consecutive_uncertain += 1
        if self._consecutive_uncertain >= _MAX_CONSECUTIVE_UNCERTAIN:
            self.note_unavailable(error)

    def note_relayed(self) -> None:
        """Note that another instance carried a call."""
        self._no_route = False

    def note_no_route(self, *, isolated: bool) -> None:
        """Note that no other instance carried a call.

        Args:
            isolated: no other instance answered at all.
        """
        self._no_route = True
        self._isolated = isolated
        self._direct_retry_at = self._clock.now()

    @property
    def _overdue(self) -> bool:
        now = self._clock.now()
        return any(due <= now for due in self._due_times.values())
