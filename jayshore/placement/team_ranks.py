"""The order of teams, of which some ranks move with time.

The ranks of all teams that do not rise yet grow alike, so they are kept without
the time, apart from those of the other teams. Only the instant at which a team
begins to rise moves it.
"""

import bisect
import heapq
from collections.abc import Iterable, Iterator
from typing import TypeAlias

Rank: TypeAlias = tuple[int, str]
"""A key, of which the lowest is served first, and a team."""


class TeamRanks:
    """Teams by rank, in plain lists, as there are some hundred teams."""

    def __init__(self) -> None:
        """Start empty."""
        self._placed: dict[str, tuple[int, int | None]] = {}
        self._fixed: list[Rank] = []
        self._moving: list[Rank] = []
        self._rising: list[Rank] = []

    def place(self, team: str, key: int, rises_at: int | None = None) -> None:
        """Insert or move a team.

        Args:
            team: the team.
            key: its key, without the time if it moves.
            rises_at: until when the rank moves with time, None when it does
                not.
        """
        placed = (key, rises_at)
        if self._placed.get(team) == placed:
            return
        self.remove(team)
        self._placed[team] = placed
        if rises_at is None:
            bisect.insort(self._fixed, (key, team))
        else:
            bisect.insort(self._moving, (key, team))
            bisect.insort(self._rising, (rises_at, team))

    def remove(self, team: str) -> None:
        """Remove a team if it is there.

        Args:
            team: the team.
        """
        placed = self._placed.pop(team, None)
        if placed is None:
            return
        key, rises_at = placed
        if rises_at is None:
            _discard(self._fixed, (key, team))
        else:
            _discard(self._moving, (key, team))
            _discard(self._rising, (rises_at, team))

    def due(self, now: int) -> list[str]:
        """List the teams that have begun to rise.

        Args:
            now: the time.

        Returns:
            The teams, which have to be placed again.
        """
        rising = self._rising
        if not rising or rising[0][0] > now:
            return []
        end = bisect.bisect_left(rising, (now + 1, ''))
        return [team for _, team in rising[:end]]

    def in_order(self, elapsed: int) -> Iterator[Rank]:
        """Go through the teams.

        Args:
            elapsed: what the time adds to the keys that move.

        Returns:
            The ranks, the lowest first; without the time if all move.
        """
        if not self._fixed:
            return iter(self._moving)
        if not self._moving:
            return iter(self._fixed)
        moving = ((key + elapsed, team) for key, team in self._moving)
        return heapq.merge(self._fixed, moving)

    def in_order_of(self, teams: Iterable[str], elapsed: int) -> list[Rank]:
        """Sort some teams.

        Args:
            teams: teams that were placed.
            elapsed: what the time adds to the keys that move.

        Returns:
            The ranks, the lowest first.
        """
        ranks = []
        for team in teams:
            key, rises_at = self._placed[team]
            ranks.append((key if rises_at is None else key + elapsed, team))
        return sorted(ranks)


def _discard(ranks: list[Rank], rank: Rank) -> None:
    ranks.pop(bisect.bisect_left(ranks, rank))
