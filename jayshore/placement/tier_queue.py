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
"""Tiers in which entries go in order of arrival, whatever their team."""
BY_SHARE = frozenset((Tier.URGENT, Tier.ORDINARY))
"""Tiers in which teams are ranked by share and waiting time."""
_MAX_SHAPES_LOOKED_UP = 8
"""Up to this many shapes, the teams that have such entries are looked up.

About 8 of 280 teams have entries of a given shape when 5,000 entries wait, so
for more shapes a scan over all teams is faster.
"""


class TierQueue:
    """The teams of a tier by rank; a change of a share moves one element."""

    def __init__(self, *, tier: Tier, share: Callable[[str], float]) -> None:
        """Create a queue without entries.

        Args:
            tier: the tier.
            share: returns the weighted dominant share of a team.
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
            bit: the bit of its shape.
            sort_key: its position within its team.
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
            bit: the bit of its shape.
            sort_key: its position within its team.
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
            mask: mask of the shapes.

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
        """Skip the entries of one shape of a team until it is unblocked.

        Args:
            team: a team without headroom.
            bit: the bit of the shape whose demand exceeds the headroom.
        """
        self._teams[team].blocked |= bit

    def unblock(self, team: str) -> None:
        """Stop skipping entries of a team.

        Args:
            team: the team, which need not have entries here.
        """
        queue = self._teams.get(team)
        if queue is not None:
            queue.blocked = 0

    def advance(self, now: Millis) -> None:
        """Set the time and mark the teams whose aging has started.

        Args:
            now: the time, never earlier than before.
        """
        self._now = now
        self._stale.update(self._ranks.aging_due(now))

    def replace_aging(self, settings: AgingSettings) -> None:
        """Change how waiting work ages.

        Args:
            settings: the new settings.
        """
        self._aging = LinearAging(settings=settings)
        self.mark_all_stale()

    def mark_stale(self, team: str) -> None:
        """Rank a team again before the next lookup.

        Args:
            team: a team whose share changed.
        """
        if team in self._teams:
            self._stale.add(team)

    def mark_all_stale(self) -> None:
        """Rank all teams again before the next lookup."""
        self._stale.update(self._teams)

    def _in_order(self, mask: int) -> Iterable[TeamRank]:
        """List by rank at least the teams that have entries of the shapes."""
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
        """Find the earliest entry among the first entries of the teams."""
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
