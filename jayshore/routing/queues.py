"""Fair queueing of waiting requests among teams.

Start-time fair queueing (Goyal, Vin, Cheng, IEEE/ACM ToN 1997): each team has a
virtual time that advances by the slot time it uses divided by its share, and
the team with the lowest virtual time is served next. The expected slot time is
charged when a request starts and corrected when it ends.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

import curio

from jayshore.clock import Millis
from jayshore.outcomes import JayshoreError
from jayshore.routing.executor import RoutedRequest
from jayshore.routing.headroom import Shares
from jayshore.routing.slots import (
    NO_EXECUTORS,
    ExecutorSlots,
    SlotReservation,
)

_PRUNE_ABOVE_TEAMS: Final = 512


class QueueFullError(JayshoreError):
    """The team has as many waiting requests as it may have."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReservedSlot:
    """A slot reserved for a waiting request."""

    executor: ExecutorSlots
    reservation: SlotReservation


class Waiter:
    """A request that waits for a slot.

    Attributes:
        request: the waiting request.
        avoid: executors on which earlier attempts have failed.
        slot: the reserved slot, None until there is one and again once the
            request has taken it over.
        slot_ready: set after a slot was reserved.
    """

    def __init__(
        self,
        *,
        request: RoutedRequest,
        avoid: frozenset[str] = NO_EXECUTORS,
    ) -> None:
        """Create a waiter without a slot.

        Args:
            request: the waiting request.
            avoid: executors on which earlier attempts have failed.
        """
        self.request = request
        self.avoid = avoid
        self.slot: ReservedSlot | None = None
        self.slot_ready = curio.Event()


class _TeamQueue:
    """The waiting requests of one team and its virtual time."""

    def __init__(self, *, virtual_time: float) -> None:
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.virtual_time = virtual_time


class FairQueue:
    """Start-time fair queue of the waiting requests of one service."""

    def __init__(self, *, shares: Shares, max_per_team: int) -> None:
        """Create an empty queue.

        Args:
            shares: weights of the teams.
            max_per_team: longest queue of each team.
        """
        self._shares = shares
        self._max_per_team = max_per_team
        self._teams: dict[str, _TeamQueue] = {}
        self._waiting: dict[str, _TeamQueue] = {}
        self._size = 0
        self._virtual_time = float(0)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._size

    def push(self, waiter: Waiter) -> None:
        """Append a request to the queue of its team.

        Args:
            waiter: the request to queue.

        Raises:
            QueueFullError: the queue of the team is full.
        """
        queue = self._activate(waiter.request.team)
        if len(queue.waiters) >= self._max_per_team:
            raise QueueFullError(f'{len(queue.waiters)} requests are waiting')
        queue.waiters.append(waiter)
        self._waiting[waiter.request.team] = queue
        self._size += 1

    def push_front(self, waiter: Waiter) -> None:
        """Queue a request that has waited before ahead of its team's others.

        Args:
            waiter: the request; it is queued even if the queue is full.
        """
        queue = self._activate(waiter.request.team)
        queue.waiters.appendleft(waiter)
        self._waiting[waiter.request.team] = queue
        self._size += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a request whose caller has stopped waiting.

        Args:
            waiter: the request; ignored when it is not in the queue any more.
        """
        queue = self._waiting.get(waiter.request.team)
        if queue is not None and waiter in queue.waiters:
            queue.waiters.remove(waiter)
            self._record_removal(waiter.request.team, queue)

    def pop(self, may_start: Callable[[str], bool]) -> Waiter | None:
        """Remove and return the next request in fair order that may start.

        Args:
            may_start: tells whether a request of the named team may start now;
                called in fair order until it returns True, so that teams at
                their limit are skipped.

        Returns:
            The request, or None when none may start.
        """
        for team in self._teams_in_order():
            if may_start(team):
                queue = self._waiting[team]
                self._virtual_time = max(
                    self._virtual_time,
                    queue.virtual_time,
                )
                waiter = queue.waiters.popleft()
                self._record_removal(team, queue)
                return waiter
        return None

    def charge(self, team: str, slot_time: Millis) -> None:
        """Charge slot time to a team.

        Args:
            team: name of the team.
            slot_time: in ms; may be negative, to correct an earlier charge.
        """
        queue = self._activate(team)
        queue.virtual_time += slot_time / self._shares.share_of(team)

    def requests_ahead(self, team: str) -> float:
        """Estimate how many waiting requests start before a new one of a team.

        While the team's own queue is served, every other team starts no more
        than its waiting requests, and no more than its share allows.

        Args:
            team: name of the team.

        Returns:
            A number of requests.
        """
        own_queue = self._waiting.get(team)
        own = len(own_queue.waiters) if own_queue else 0
        rounds = (own + 1) / self._shares.share_of(team)
        others = sum(
            min(len(queue.waiters), rounds * self._shares.share_of(name))
            for name, queue in self._waiting.items()
            if name != team
        )
        return own + others

    def _activate(self, team: str) -> _TeamQueue:
        queue = self._teams.get(team)
        if queue is None:
            self._prune()
            queue = _TeamQueue(virtual_time=self._virtual_time)
            self._teams[team] = queue
        if not queue.waiters:
            # A team gains no credit for the time in which it was idle.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        return queue

    def _teams_in_order(self) -> Iterable[str]:
        return sorted(self._waiting, key=self._virtual_time_of)

    def _virtual_time_of(self, team: str) -> float:
        return self._waiting[team].virtual_time

    def _record_removal(self, team: str, queue: _TeamQueue) -> None:
        self._size -= 1
        if not queue.waiters:
            self._waiting.pop(team)

    def _prune(self) -> None:
        """Drop idle teams whose virtual time is not ahead of the queue's."""
        if len(self._teams) < _PRUNE_ABOVE_TEAMS:
            return
        self._teams = {
            name: queue
            for name, queue in self._teams.items()
            if queue.waiters or queue.virtual_time > self._virtual_time
        }
