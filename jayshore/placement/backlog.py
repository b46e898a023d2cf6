"""All waiting entries, sorted so that the next one to try is at hand."""

import dataclasses
import heapq
from collections.abc import Callable, Mapping

from jayshore.clock import Millis
from jayshore.placement.deadlines import ShortSlack
from jayshore.placement.decisions import DuplicateError
from jayshore.placement.entries import (
    Entry,
    Order,
    Shape,
    Tier,
    order_of,
    shape_of,
    tier_ends_at,
    tier_of,
)
from jayshore.placement.feasibility_cache import Prospects
from jayshore.placement.reservation_limits import ReservedRooms
from jayshore.placement.settings import AgingSettings
from jayshore.placement.shape_table import ShapeTable
from jayshore.placement.tasks import TaskId
from jayshore.placement.tier_queue import TierQueue
from jayshore.placement.worker_registry import Member

_MIN_ENDS = 1000
"""Instants that are kept at least, so that few entries are not sorted often."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """An entry and its place.

    Attributes:
        entry: the entry.
        order: its place within its team.
        bit: the number of its shape.
        shape: its shape, which includes its tier.
        tier_ends_at: when it gets another tier, None when it keeps it.
    """

    entry: Entry
    order: Order
    bit: int
    shape: Shape
    tier_ends_at: Millis | None


class Backlog:
    """Waiting entries by tier, team and shape."""

    def __init__(
        self,
        *,
        share: Callable[[str], float],
        members: Mapping[str, Member],
        reserved: ReservedRooms,
    ) -> None:
        """Start empty.

        Args:
            share: gives the weighted dominant share of a team.
            members: the workers of the cell.
            reserved: the reservation.
        """
        self.waiting: dict[TaskId, Waiting] = {}
        self._table = ShapeTable()
        self.prospects = Prospects(
            table=self._table, members=members, reserved=reserved
        )
        self._tiers = {tier: TierQueue(tier=tier, share=share) for tier in Tier}
        self._tier_ends: list[tuple[Millis, str, int]] = []
        self._full_ms = AgingSettings().full_ms

    def add(self, entry: Entry, now: Millis) -> None:
        """Insert an entry.

        Args:
            entry: an entry that is not there yet.
            now: the time of the last decision.

        Raises:
            DuplicateError: its first task waits already.
        """
        if entry.entry_id in self.waiting:
            raise DuplicateError(f'task {entry.entry_id} waits already')
        urgency = ShortSlack().evaluate(entry.first)
        tier = tier_of(entry.first, urgency, now, self._full_ms)
        ends_at = tier_ends_at(entry.first, urgency, now, self._full_ms)
        if ends_at is not None:
            self._note_end(ends_at, entry.entry_id)
        shape = shape_of(entry, tier)
        bit = self._table.acquire(shape)
        order = order_of(entry, urgency, tier)
        self.waiting[entry.entry_id] = Waiting(
            entry=entry,
            order=order,
            bit=bit,
            shape=shape,
            tier_ends_at=ends_at,
        )
        self._tiers[tier].add(bit, order, entry)

    def remove(self, entry_id: TaskId) -> Entry | None:
        """Remove an entry.

        Args:
            entry_id: its first task.

        Returns:
            The entry, None when it does not wait.
        """
        waiting = self.waiting.pop(entry_id, None)
        if waiting is None:
            return None
        entry, tier = waiting.entry, waiting.shape.tier
        self._tiers[tier].remove(waiting.bit, waiting.order, entry.first.team)
        if self._table.release(waiting.bit):
            self.prospects.forget(waiting.bit)
        return entry

    def raise_due(self, now: Millis) -> None:
        """Move the entries whose slack got short or that have aged.

        Args:
            now: the time.
        """
        while self._tier_ends and self._tier_ends[0][0] <= now:
            ends_at, job_id, index = heapq.heappop(self._tier_ends)
            entry_id = TaskId(job_id=job_id, index=index)
            waiting = self.waiting.get(entry_id)
            if waiting is not None and waiting.tier_ends_at == ends_at:
                self._file_again(entry_id, now)
        for queue in self._tiers.values():
            queue.advance(now)

    def replace_aging(self, settings: AgingSettings, now: Millis) -> None:
        """Change how waiting work rises.

        Args:
            settings: the new settings.
            now: the time of the last decision.
        """
        self._full_ms = settings.full_ms
        for queue in self._tiers.values():
            queue.replace_aging(settings)
        for entry_id in tuple(self.waiting):
            self._file_again(entry_id, now)

    def first(self, skipping: int | None) -> Waiting | None:
        """Find the first entry to try.

        Args:
            skipping: shapes to leave out while all others are tried, or None
                to try only what is worth it.

        Returns:
            The entry, None when nothing is left to try.
        """
        if skipping is None:
            mask = self.prospects.promising()
        else:
            mask = self._table.live & ~skipping
        if not mask:
            return None
        for tier, queue in self._tiers.items():
            found = queue.first(mask & self._table.of_tier(tier))
            if found is not None:
                return self.waiting[found.entry_id]
        return None

    def block(self, waiting: Waiting) -> None:
        """Pass over a team without headroom for one shape.

        Args:
            waiting: the entry whose demand was too much.
        """
        tier = self._tiers[waiting.shape.tier]
        tier.block(waiting.entry.first.team, waiting.bit)

    def share_changed(self, team: str) -> None:
        """Take note of a change of a team's share.

        Args:
            team: the team.
        """
        self._tiers[Tier.LANE].refresh(team)
        self._tiers[Tier.ORDINARY].refresh(team)

    def all_shares_changed(self) -> None:
        """Take note of a change of every team's share."""
        for queue in self._tiers.values():
            queue.refresh_all()

    def unblock(self, team: str) -> None:
        """Consider a team again that may have gained headroom.

        Args:
            team: the team.
        """
        for queue in self._tiers.values():
            queue.unblock(team)

    def _file_again(self, entry_id: TaskId, now: Millis) -> None:
        entry = self.remove(entry_id)
        if entry is not None:
            self.add(entry, now)

    def _note_end(self, ends_at: Millis, entry_id: TaskId) -> None:
        """Note when an entry gets another tier.

        Most entries start long before. What they leave behind is dropped once
        it exceeds what waits, which costs little per entry.
        """
        new = (ends_at, entry_id.job_id, entry_id.index)
        if len(self._tier_ends) > 2 * len(self.waiting) + _MIN_ENDS:
            self._tier_ends = [
                (waiting.tier_ends_at, name.job_id, name.index)
                for name, waiting in self.waiting.items()
                if waiting.tier_ends_at is not None
            ]
            heapq.heapify(self._tier_ends)
        heapq.heappush(self._tier_ends, new)
