"""The teams that have entries in one tier, in the order of service."""

from collections.abc import Callable
from typing import TypeAlias

from sortedcontainers import SortedList

from jayshore.clock import Millis
from jayshore.placement.aging import AgingCase, LinearAging
from jayshore.placement.entries import Entry, Order, Tier
from jayshore.placement.team_queue import TeamQueue

_Rank: TypeAlias = tuple[float, str]


class TierQueue:
    """Teams by rank; a change of a team's share moves one element."""

    def __init__(self, *, tier: Tier, share: Callable[[str], float]) -> None:
        """Start empty.

        Args:
            tier: the tier.
            share: gives the weighted dominant share of a team.
        """
        self._tier = tier
        self._share = share
        self._aging = LinearAging()
        self._teams: dict[str, TeamQueue] = {}
        self._ranks: dict[str, _Rank] = {}
        self._order: SortedList = SortedList()

    def add(self, bit: int, order: Order, entry: Entry) -> None:
        """Insert an entry.

        Args:
            bit: its shape.
            order: its place within its team.
            entry: the entry.
        """
        team = entry.first.team
        queue = self._teams.get(team)
        if queue is None:
            queue = TeamQueue()
            self._teams[team] = queue
        queue.add(bit, order, entry)
        self.refresh(team)

    def remove(self, bit: int, order: Order, team: str) -> None:
        """Remove an entry.

        Args:
            bit: its shape.
            order: its place within its team.
            team: its team.
        """
        queue = self._teams[team]
        queue.remove(bit, order)
        if not queue.waiting:
            self._teams.pop(team)
        self.refresh(team)

    def first(self, mask: int) -> tuple[int, Entry] | None:
        """Find the first entry of some shapes that has headroom.

        Args:
            mask: the shapes.

        Returns:
            The shape and the entry, or None.
        """
        for _, team in self._order:
            queue = self._teams[team]
            if queue.waiting & mask:
                found = queue.first(mask)
                if found is not None:
                    return found
        return None

    def block(self, team: str, bit: int) -> None:
        """Pass over a team for one shape.

        Args:
            team: a team without headroom.
            bit: the shape whose demand was too much.
        """
        self._teams[team].blocked |= bit

    def unblock(self, team: str) -> None:
        """Consider all entries of a team again.

        Args:
            team: the team, which need not have any.
        """
        queue = self._teams.get(team)
        if queue is not None:
            queue.blocked = 0

    def refresh(self, team: str) -> None:
        """Recompute the rank of a team.

        Args:
            team: a team whose share or queue changed.
        """
        known = self._ranks.get(team)
        if known is None and team not in self._teams:
            return
        rank = self._rank(team)
        if rank == known:
            return
        if known is not None:
            self._order.remove(known)
            self._ranks.pop(team)
        if rank is not None:
            self._order.add(rank)
            self._ranks[team] = rank

    def refresh_all(self) -> None:
        """Recompute all ranks, after all shares changed."""
        for team in self._teams:
            self.refresh(team)

    def _rank(self, team: str) -> _Rank | None:
        queue = self._teams.get(team)
        if queue is None:
            return None
        key = queue.first_key()
        if self._tier is Tier.RAISED:
            return (key, team)
        case = AgingCase(share=self._share(team), enqueued_at=Millis(key))
        return (self._aging.evaluate(case), team)
