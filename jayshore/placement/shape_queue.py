"""Waiting entries of one shape, in order."""

from collections.abc import Callable
from typing import TypeAlias

from sortedcontainers import SortedDict, SortedList

from jayshore.clock import Millis
from jayshore.placement.aging import AgingCase, LinearAging
from jayshore.placement.deadlines import ShortSlack
from jayshore.placement.entries import Entry, Shape, Tier

Rank: TypeAlias = tuple[float, int, str, int]
"""Key, instant of enqueuing, job id and number of the first task."""


class ShapeQueue:
    """Entries that differ only in team and waiting time.

    Each team has its own queue; the head of each is kept in one sorted list. A
    change of a team's share then moves one element.
    """

    def __init__(
        self, *, shape: Shape, serial: int, share: Callable[[str], float]
    ) -> None:
        """Start empty.

        Args:
            shape: the common shape.
            serial: a number that tells queues apart.
            share: gives the weighted dominant share of a team.
        """
        self.shape = shape
        self.serial = serial
        self.parked = False
        self.constrained = False
        self.ready_key: tuple[object, ...] | None = None
        self.stale: set[str] = set()
        self._share = share
        self._aging = LinearAging()
        self._teams: dict[str, SortedDict] = {}
        self._blocked: set[str] = set()
        self._heads: SortedList = SortedList()
        self._head_of: dict[str, tuple[Rank, str]] = {}

    def __bool__(self) -> bool:
        """Tell whether any entry waits, also of a blocked team."""
        return bool(self._teams)

    def add(self, entry: Entry) -> None:
        """Insert an entry.

        Args:
            entry: an entry of this shape.
        """
        team = entry.first.team
        waiting = self._teams.setdefault(team, SortedDict())
        waiting[self._order(entry)] = entry
        self.refresh(team)

    def remove(self, entry: Entry) -> None:
        """Remove an entry.

        Args:
            entry: an entry that is in the queue.
        """
        team = entry.first.team
        waiting = self._teams[team]
        waiting.pop(self._order(entry))
        if not waiting:
            self._teams.pop(team)
            self._blocked.discard(team)
        self.refresh(team)

    def has_team(self, team: str) -> bool:
        """Tell whether a team has entries here.

        Args:
            team: the team.

        Returns:
            True when it has.
        """
        return team in self._teams

    def block(self, team: str) -> None:
        """Pass over a team until `unblock`.

        Args:
            team: a team without headroom for this shape.
        """
        self._blocked.add(team)
        self.refresh(team)

    def unblock(self, team: str) -> None:
        """Consider a team again.

        Args:
            team: the team.
        """
        if team in self._blocked:
            self._blocked.discard(team)
            self.refresh(team)

    def refresh(self, team: str) -> None:
        """Recompute the place of a team's head.

        Args:
            team: a team whose share, queue or headroom changed.
        """
        head = self._head(team)
        known = self._head_of.pop(team, None)
        if head is not None:
            self._head_of[team] = head
        if head == known:
            return
        if known is not None:
            self._heads.remove(known)
        if head is not None:
            self._heads.add(head)

    def refresh_stale(self) -> None:
        """Recompute the teams that changed while the queue was parked."""
        for team in self.stale:
            self.refresh(team)
        self.stale.clear()

    def first_rank(self) -> Rank | None:
        """Rank the first entry.

        Returns:
            Its rank, None when no team may start anything.
        """
        if not self._heads:
            return None
        rank: Rank = self._heads[0][0]
        return rank

    def first(self) -> Entry:
        """Find the first entry; there must be one.

        Returns:
            The entry.
        """
        entry: Entry = self._teams[self._heads[0][1]].peekitem(0)[1]
        return entry

    def _order(self, entry: Entry) -> Rank:
        first = entry.first
        key: int = first.enqueued_at
        if self.shape.tier is Tier.RAISED:
            urgency = ShortSlack().evaluate(first)
            key = key if urgency is None else urgency.latest_start
        task_id = first.task_id
        return (key, first.enqueued_at, task_id.job_id, task_id.index)

    def _head(self, team: str) -> tuple[Rank, str] | None:
        waiting = self._teams.get(team)
        if waiting is None or team in self._blocked:
            return None
        order: Rank = waiting.keys()[0]
        if self.shape.tier is Tier.RAISED:
            return (order, team)
        key = self._aging.evaluate(
            AgingCase(share=self._share(team), enqueued_at=Millis(order[1]))
        )
        return ((key, *order[1:]), team)
