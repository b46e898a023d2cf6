"""All waiting entries, indexed to find the next one to try."""

import dataclasses
import heapq
from collections.abc import Callable, Mapping

from jayshore.clock import Millis
from jayshore.placement.deadlines import SlackThreshold
from jayshore.placement.decisions import DuplicateError
from jayshore.placement.entries import (
    QueueEntry,
    Shape,
    SortKey,
    Tier,
    shape_of,
    sort_key_of,
    tier_changes_at,
    tier_of,
)
from jayshore.placement.feasibility_cache import FeasibilityCache
from jayshore.placement.reservation_limits import ReservationLimits
from jayshore.placement.settings import AgingSettings
from jayshore.placement.shape_table import ShapeTable
from jayshore.placement.tasks import TaskId
from jayshore.placement.tier_queue import TierQueue
from jayshore.placement.worker_registry import WorkerRecord

_MIN_TIER_CHANGES = 1000
"""Number of tier changes kept before stale ones are dropped.

It keeps a small backlog from being rebuilt often.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitingEntry:
    """A waiting entry and its position in the indexes.

    Attributes:
        entry: the entry.
        sort_key: its position within its team and tier.
        bit: the bit of its shape, as a mask.
        shape: its shape, which includes its tier.
        tier_changes_at: when its tier changes, None when it does not.
    """

    entry: QueueEntry
    sort_key: SortKey
    bit: int
    shape: Shape
    tier_changes_at: Millis | None


class Backlog:
    """The waiting entries by tier, team and shape."""

    def __init__(
        self,
        *,
        share: Callable[[str], float],
        records: Mapping[str, WorkerRecord],
        limits: ReservationLimits,
    ) -> None:
        """Create a backlog without entries.

        Args:
            share: returns the weighted dominant share of a team.
            records: the workers of the cell by id.
            limits: the reservation and what it leaves to other work.
        """
        self.waiting: dict[TaskId, WaitingEntry] = {}
        self._table = ShapeTable()
        self.feasibility = FeasibilityCache(
            table=self._table, records=records, limits=limits
        )
        self._tiers = {tier: TierQueue(tier=tier, share=share) for tier in Tier}
        self._tier_changes: list[tuple[Millis, str, int]] = []
        self._full_ms = AgingSettings().full_ms

    def add(self, entry: QueueEntry, now: Millis) -> None:
        """Insert an entry.

        Args:
            entry: an entry that is not waiting yet.
            now: the time of the last decision.

        Raises:
            DuplicateError: its first task is already waiting.
        """
        if entry.entry_id in self.waiting:
            raise DuplicateError(f'task {entry.entry_id} is already waiting')
        deadline_times = SlackThreshold().evaluate(entry.first)
        tier = tier_of(entry.first, deadline_times, now, self._full_ms)
        changes_at = tier_changes_at(
            entry.first, deadline_times, now, self._full_ms
        )
        if changes_at is not None:
            self._schedule_tier_change(changes_at, entry.entry_id)
        shape = shape_of(entry, tier)
        bit = self._table.acquire(shape)
        sort_key = sort_key_of(entry, deadline_times, tier)
        self.waiting[entry.entry_id] = WaitingEntry(
            entry=entry,
            sort_key=sort_key,
            bit=bit,
            shape=shape,
            tier_changes_at=changes_at,
        )
        self._tiers[tier].add(bit, sort_key, entry)

    def remove(self, entry_id: TaskId) -> QueueEntry | None:
        """Remove an entry.

        Args:
            entry_id: the id of its first task.

        Returns:
            The entry, None when it is not waiting.
        """
        waiting = self.waiting.pop(entry_id, None)
        if waiting is None:
            return None
        entry, tier = waiting.entry, waiting.shape.tier
        self._tiers[tier].remove(
            waiting.bit, waiting.sort_key, entry.first.team
        )
        if self._table.release(waiting.bit):
            self.feasibility.forget(waiting.bit)
        return entry

    def promote_due(self, now: Millis) -> None:
        """Move the entries that are due to another tier.

        These are entries whose deadline is near or that have aged. The time of
        all tiers is set as well.

        Args:
            now: the time.
        """
        while self._tier_changes and self._tier_changes[0][0] <= now:
            changes_at, job_id, index = heapq.heappop(self._tier_changes)
            entry_id = TaskId(job_id=job_id, index=index)
            waiting = self.waiting.get(entry_id)
            if waiting is not None and waiting.tier_changes_at == changes_at:
                self._requeue(entry_id, now)
        for queue in self._tiers.values():
            queue.advance(now)

    def replace_aging(self, settings: AgingSettings, now: Millis) -> None:
        """Change how waiting work ages.

        Args:
            settings: the new settings.
            now: the time of the last decision.
        """
        self._full_ms = settings.full_ms
        for queue in self._tiers.values():
            queue.replace_aging(settings)
        for entry_id in tuple(self.waiting):
            self._requeue(entry_id, now)

    def first(self, skipped: int | None) -> WaitingEntry | None:
        """Find the next entry to try.

        Args:
            skipped: mask of shapes to leave out while all others are tried,
                or None to try only the shapes that may fit.

        Returns:
            The entry, None when nothing is left to try.
        """
        if skipped is None:
            mask = self.feasibility.feasible_shapes()
        else:
            mask = self._table.live & ~skipped
        if not mask:
            return None
        for tier, queue in self._tiers.items():
            found = queue.first(mask & self._table.of_tier(tier))
            if found is not None:
                return self.waiting[found.entry_id]
        return None

    def block(self, waiting: WaitingEntry) -> None:
        """Skip the shape and team of an entry until the team is unblocked.

        Args:
            waiting: an entry whose demand exceeds the headroom of its team.
        """
        tier = self._tiers[waiting.shape.tier]
        tier.block(waiting.entry.first.team, waiting.bit)

    def share_changed(self, team: str) -> None:
        """Rank a team again after its share changed.

        Args:
            team: the team.
        """
        self._tiers[Tier.URGENT].mark_stale(team)
        self._tiers[Tier.ORDINARY].mark_stale(team)

    def all_shares_changed(self) -> None:
        """Rank all teams again after their shares changed."""
        for queue in self._tiers.values():
            queue.mark_all_stale()

    def unblock(self, team: str) -> None:
        """Consider the entries of a team that may have gained headroom.

        Args:
            team: the team.
        """
        for queue in self._tiers.values():
            queue.unblock(team)

    def _requeue(self, entry_id: TaskId, now: Millis) -> None:
        entry = self.remove(entry_id)
        if entry is not None:
            self.add(entry, now)

    def _schedule_tier_change(
        self, changes_at: Millis, entry_id: TaskId
    ) -> None:
        """Record when the tier of an entry changes.

        Most entries start long before. Stale records are dropped once there
        are more records than twice the waiting entries and
        `_MIN_TIER_CHANGES`, which costs little per entry.
        """
        new = (changes_at, entry_id.job_id, entry_id.index)
        if len(self._tier_changes) > 2 * len(self.waiting) + _MIN_TIER_CHANGES:
            self._tier_changes = [
                (waiting.tier_changes_at, name.job_id, name.index)
                for name, waiting in self.waiting.items()
                if waiting.tier_changes_at is not None
            ]
            heapq.heapify(self._tier_changes)
        heapq.heappush(self._tier_changes, new)
