"""The teams that have entries in one tier, in the order of service."""

from collections.abc import Callable, Iterable

from jayshore.clock import Millis
from jayshore.placement.aging import AgingCase, LinearAging
from jayshore.placement.entries import QueueEntry, SortKey, Tier
from jayshore.placement.settings import AgingSettings
from jayshore.placement.shape_table import single_bits
from jayshore.placement.team_queue import TeamQueue
from jayshore.placement.team_ranks import TeamRank, TeamRanks

BY_ARRIVAL = frozenset((Tier.AGED_URGENT, Tier.AGED))
"""Tiers in which entries go by arrival, whatever their team."""
BY_SHARE = frozenset((Tier.URGENT, Tier.ORDINARY))
"""Tiers in which teams go by share and waiting time."""
_MAX_SHAPES_LOOKED_UP = 8
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
        self._aging = LinearAging(settings=AgingSettings())
        self._now = Millis(0)
        self._teams: dict[str, TeamQueue] = {}
        self._ranks = TeamRanks()
        self._stale: set[str] = set()
        self._teams_by_shape: dict[int, set[str]] = {}

    def add(self, bit: int, sort_key: SortKey, entry: QueueEntry) -> None:
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
        queue.add(bit, sort_key, entry)
        self._teams_by_shape.setdefault(bit, set()).add(team)
        self._stale.add(team)

    def remove(self, bit: int, sort_key: SortKey, team: str) -> None:
        """Remove an entry.

        Args:
            bit: its shape.
            order: its place within its team.
            team: its team.
        """
        queue = self._teams[team]
        queue.remove(bit, sort_key)
        if not queue.waiting & bit:
            self._teams_by_shape[bit].remove(team)
            if not self._teams_by_shape[bit]:
                self._teams_by_shape.pop(bit)
        if not queue.waiting:
            self._teams.pop(team)
        self._stale.add(team)

    def first(self, mask: int) -> QueueEntry | None:
        """Find the first entry of some shapes that has headroom.

        Args:
            mask: the shapes.

        Returns:
            The entry, or None.
        """
        if not (mask and self._teams):
            return None
        self._update_stale_ranks()
        if self._tier in BY_ARRIVAL:
            return self._first_arrived(mask)
        for _, team in self._in_order(mask):
            queue = self._teams[team]
            if queue.waiting & mask:
                found = queue.first(mask)
                if found is not None:
                    return found[1]
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

    def advance(self, now: Millis) -> None:
        """Take note of the time.

        Args:
            now: the time, never earlier than before.
        """
        self._now = now
        self._stale.update(self._ranks.aging_due(now))

    def replace_aging(self, settings: AgingSettings) -> None:
        """Change how waiting work rises.

        Args:
            settings: the new settings.
        """
        self._aging = LinearAging(settings=settings)
        self.mark_all_stale()

    def mark_stale(self, team: str) -> None:
        """Take note that the rank of a team may have changed.

        Args:
            team: a team whose share changed.
        """
        if team in self._teams:
            self._stale.add(team)

    def mark_all_stale(self) -> None:
        """Take note that all shares changed."""
        self._stale.update(self._teams)

    def _in_order(self, mask: int) -> Iterable[TeamRank]:
        """List at least the teams that have entries of some shapes."""
        time_term = self._aging.time_term(self._now)
        if mask.bit_count() > _MAX_SHAPES_LOOKED_UP:
            return self._ranks.in_order(time_term)
        teams: set[str] = set()
        for bit in single_bits(mask):
            teams |= self._teams_by_shape.get(bit, teams)
        return self._ranks.in_order_of(teams, time_term)

    def _update_stale_ranks(self) -> None:
        for team in self._stale:
            queue = self._teams.get(team)
            if queue is None:
                self._ranks.remove(team)
            elif self._tier in BY_SHARE:
                self._rank_by_share(team, queue.oldest())
            else:
                self._ranks.put(team, queue.first_key())
        self._stale.clear()

    def _first_arrived(self, mask: int) -> QueueEntry | None:
        """Compare the first entries of the teams that may have the first."""
        earliest: tuple[SortKey, QueueEntry] | None = None
        for key, team in self._in_order(mask):
            if earliest is not None and earliest[0][0] < key:
                break
            found = self._teams[team].first(mask)
            if found is not None and (
                earliest is None or found[0] < earliest[0]
            ):
                earliest = found
        return None if earliest is None else earliest[1]

    def _rank_by_share(self, team: str, oldest: Millis) -> None:
        aging, now = self._aging, self._now
        rank = aging.evaluate(
            AgingCase(share=self._share(team), enqueued_at=oldest, now=now)
        )
        aging_starts_at = aging.aging_starts_at(oldest)
        if aging_starts_at > now:
            self._ranks.put(team, rank - aging.time_term(now), aging_starts_at)
        else:
            self._ranks.put(team, rank)
