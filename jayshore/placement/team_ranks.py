"""The order of teams, some of whose ranks depend on the time.

Until aging starts for a team, its rank grows with time, at the same rate for
all such teams. These ranks are stored without the time, apart from the fixed
ranks of the teams that age, so a team moves only when its aging starts.
"""

import bisect
import heapq
from collections.abc import Iterable, Iterator
from typing import TypeAlias

TeamRank: TypeAlias = tuple[int, str]
"""A key, of which the lowest is served first, and the name of the team."""


class TeamRanks:
    """Teams by rank, in plain lists, as there are a few hundred teams."""

    def __init__(self) -> None:
        """Create an order without teams."""
        self._positions: dict[str, tuple[int, int | None]] = {}
        self._fixed: list[TeamRank] = []
        self._time_dependent: list[TeamRank] = []
        self._aging_starts: list[TeamRank] = []

    def put(
        self, team: str, key: int, aging_starts_at: int | None = None
    ) -> None:
        """Insert or move a team.

        Args:
            team: the team.
            key: its key, without the time if the rank depends on the time.
            aging_starts_at: until when the rank depends on the time, None when
                it is fixed.
        """
        position = (key, aging_starts_at)
        if self._positions.get(team) == position:
            return
        self.remove(team)
        self._positions[team] = position
        if aging_starts_at is None:
            bisect.insort(self._fixed, (key, team))
        else:
            bisect.insort(self._time_dependent, (key, team))
            bisect.insort(self._aging_starts, (aging_starts_at, team))

    def remove(self, team: str) -> None:
        """Remove a team if it is there.

        Args:
            team: the team.
        """
        position = self._positions.pop(team, None)
        if position is None:
            return
        key, aging_starts_at = position
        if aging_starts_at is None:
            _discard(self._fixed, (key, team))
        else:
            _discard(self._time_dependent, (key, team))
            _discard(self._aging_starts, (aging_starts_at, team))

    def aging_due(self, now: int) -> list[str]:
        """List the teams whose aging has started.

        Args:
            now: the time.

        Returns:
            The teams, whose ranks have to be put again.
        """
        starts = self._aging_starts
        if not starts or starts[0][0] > now:
            return []
        end = bisect.bisect_left(starts, (now + 1, ''))
        return [team for _, team in starts[:end]]

    def in_order(self, time_term: int) -> Iterator[TeamRank]:
        """Iterate over all teams by rank.

        Args:
            time_term: what the time adds to the keys that depend on it.

        Returns:
            The ranks, the lowest first; without the time term if the ranks of
            all teams depend on the time.
        """
        if not self._fixed:
            return iter(self._time_dependent)
        if not self._time_dependent:
            return iter(self._fixed)
        shifted = (
            (key + time_term, team) for key, team in self._time_dependent
        )
        return heapq.merge(self._fixed, shifted)

    def in_order_of(
        self, teams: Iterable[str], time_term: int
    ) -> list[TeamRank]:
        """Sort some teams by rank.

        Args:
            teams: teams that have a rank.
            time_term: what the time adds to the keys that depend on it.

        Returns:
            The ranks with the time term, the lowest first.
        """
        ranks = []
        for team in teams:
            key, aging_starts_at = self._positions[team]
            ranks.append(
                (key if aging_starts_at is None else key + time_term, team)
            )
        return sorted(ranks)


def _discard(ranks: list[TeamRank], rank: TeamRank) -> None:
    ranks.pop(bisect.bisect_left(ranks, rank))
