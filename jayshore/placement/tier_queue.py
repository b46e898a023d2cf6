"""The teams that have entries in one tier, in the order of service."""

import bisect
from collections.abc import Callable, Iterable
from typing import TypeAlias

from jayshore.clock import Millis
from jayshore.placement.aging import AgingCase, LinearAging
from jayshore.placement.entries import Entry, Order, Tier
from jayshore.placement.shape_table import single_bits
from jayshore.placement.team_queue import TeamQueue

_Rank: TypeAlias = tuple[float, str]
_FEW_SHAPES = 8
"""Up to here the teams that have such entries are looked up by shape.

A shape is held by about 8 of 280 teams when 5,000 entries wait, so more shapes
are found faster by a walk over all teams.
"""


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
        self._order: list[_Rank] = []
        self._stale: set[str] = set()
        self._holders: dict[int, set[str]] = {}

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
        self._holders.setdefault(bit, set()).add(team)
        self._stale.add(team)

    def remove(self, bit: int, order: Order, team: str) -> None:
        """Remove an entry.

        Args:
            bit: its shape.
            order: its place within its team.
            team: its team.
        """
        queue = self._teams[team]
        queue.remove(bit, order)
        if not queue.waiting & bit:
            self._holders[bit].remove(team)
            if not self._holders[bit]:
                self._holders.pop(bit)
        if not queue.waiting:
            self._teams.pop(team)
        self._stale.add(team)

    def first(self, mask: int) -> tuple[int, Entry] | None:
        """Find the first entry of some shapes that has headroom.

        Args:
            mask: the shapes.

        Returns:
            The shape and the entry, or None.
        """
        if not mask:
            return None
        self._sort_stale()
        for team in self._in_order(mask):
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
        """Take note that the rank of a team may have changed.

        Args:
            team: a team whose share changed.
        """
        if team in self._teams:
            self._stale.add(team)

    def refresh_all(self) -> None:
        """Take note that all shares changed."""
        self._stale.update(self._teams)

    def _in_order(self, mask: int) -> Iterable[str]:
        """List at least the teams that have entries of some shapes."""
        if mask.bit_count() > _FEW_SHAPES:
            return (team for _, team in self._order)
        teams: set[str] = set()
        for bit in single_bits(mask):
            teams |= self._holders.get(bit, teams)
        return sorted(teams, key=self._ranks.__getitem__)

    def _sort_stale(self) -> None:
        for team in self._stale:
            known = self._ranks.get(team)
            rank = self._rank(team)
            if rank == known:
                continue
            if known is not None:
                self._order.pop(bisect.bisect_left(self._order, known))
                self._ranks.pop(team)
            if rank is not None:
                bisect.insort(self._order, rank)
                self._ranks[team] = rank
        self._stale.clear()

    def _rank(self, team: str) -> _Rank | None:
        queue = self._teams.get(team)
        if queue is None:
            return None
        key = queue.first_key()
        if self._tier is Tier.RAISED:
            return (key, team)
        case = AgingCase(share=self._share(team), enqueued_at=Millis(key))
        return (self._aging.evaluate(case), team)
