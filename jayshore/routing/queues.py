"""Waiting requests, in fair order among teams.

Start-time fair queueing (Goyal, Vin, Cheng, IEEE/ACM ToN 1997): each team has a
virtual time that advances by the slot time it uses divided by its share, and
the team furthest behind is next. The expected slot time is charged at the start
and corrected at the end.
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
    Occupant,
)

_PRUNE_ABOVE_TEAMS: Final = 512


class QueueFullError(JayshoreError):
    """The queue of the team is full."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """A slot that was reserved for a waiting request."""

    executor: ExecutorSlots
    occupant: Occupant


class Waiter:
    """A request that waits for a slot.

    Attributes:
        request: the request.
        avoid: executors on which it has failed.
        grant: the slot, once reserved.
        granted: set together with the grant.
    """

    def __init__(
        self,
        *,
        request: RoutedRequest,
        avoid: frozenset[str] = NO_EXECUTORS,
    ) -> None:
        """Prepare to wait.

        Args:
            request: the request.
            avoid: executors on which it has failed.
        """
        self.request = request
        self.avoid = avoid
        self.grant: Grant | None = None
        self.granted = curio.Event()


class _TeamQueue:
    """The waiting requests of one team."""

    def __init__(self, *, virtual_time: float) -> None:
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.virtual_time = virtual_time


class FairQueue:
    """The waiting requests of one service."""

    def __init__(self, *, shares: Shares, max_per_team: int) -> None:
        """Start empty.

        Args:
            shares: weights of the teams.
            max_per_team: bound of the queue of each team.
        """
        self._shares = shares
        self._max_per_team = max_per_team
        self._teams: dict[str, _TeamQueue] = {}
        self._waiting: dict[str, _TeamQueue] = {}
        self._size = 0
        self._virtual_time = float(0)

    def __len__(self) -> int:
        """Count the waiting requests."""
        return self._size

    def push(self, waiter: Waiter) -> None:
        """Append a request to the queue of its team.

        Args:
            waiter: the request.

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
        """Put back a request that has waited before, whatever the bound.

        Args:
            waiter: the request.
        """
        queue = self._activate(waiter.request.team)
        queue.waiters.appendleft(waiter)
        self._waiting[waiter.request.team] = queue
        self._size += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a request whose caller has stopped waiting.

        Args:
            waiter: the request; it need not be in the queue any more.
        """
        queue = self._waiting.get(waiter.request.team)
        if queue is not None and waiter in queue.waiters:
            queue.waiters.remove(waiter)
            self._note_removed(waiter.request.team, queue)

    def pop(self, may_start: Callable[[str], bool]) -> Waiter | None:
        """Remove the request that is next in fair order.

        Args:
            may_start: whether a request of a team may start now; asked in fair
                order until it agrees. Teams at their limit are passed over.

        Returns:
            The request, or None when none may start.
        """
        for team in self._in_order():
            if may_start(team):
                queue = self._waiting[team]
                self._virtual_time = max(
                    self._virtual_time,
                    queue.virtual_time,
                )
                waiter = queue.waiters.popleft()
                self._note_removed(team, queue)
                return waiter
        return None

    def charge(self, team: str, slot_time: Millis) -> None:
        """Count slot time as used by a team.

        Args:
            team: name of the team.
            slot_time: in ms; negative to correct an earlier charge.
        """
        queue = self._activate(team)
        queue.virtual_time += slot_time / self._shares.share_of(team)

    def starts_before(self, team: str) -> float:
        """Estimate how many requests start before a new one of a team.

        While the team's own queue is served, every other team starts at most
        its waiting requests, and at most in proportion to its share.

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
            # Idle time is not saved up.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        return queue

    def _in_order(self) -> Iterable[str]:
        return sorted(self._waiting, key=self._virtual_time_of)

    def _virtual_time_of(self, team: str) -> float:
        return self._waiting[team].virtual_time

    def _note_removed(self, team: str, queue: _TeamQueue) -> None:
        self._size -= 1
        if not queue.waiters:
            self._waiting.pop(team)

    def _prune(self) -> None:
        """Forget teams without waiting requests and without debt."""
        if len(self._teams) < _PRUNE_ABOVE_TEAMS:
            return
        self._teams = {
            name: queue
            for name, queue in self._teams.items()
            if queue.waiters or queue.virtual_time > self._virtual_time
        }
