"""All waiting entries, sorted so that the next one to try is at hand.

An entry that does not fit is not tried again until something changed that could
let it fit: its shape is parked until a worker gains enough room. A decision
therefore looks at few shapes, however many entries wait.
"""

import dataclasses
from collections.abc import Callable

from sortedcontainers import SortedDict, SortedList

from jayshore.clock import Millis
from jayshore.placement.deadlines import ShortSlack
from jayshore.placement.decisions import DuplicateError
from jayshore.placement.entries import Entry, Shape, Tier, shape_of, tier_of
from jayshore.placement.parking import Parking
from jayshore.placement.roster import Member
from jayshore.placement.shape_queue import ShapeQueue
from jayshore.placement.tasks import TaskId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """An entry and the queue it is in."""

    entry: Entry
    queue: ShapeQueue


class Backlog:
    """Queues by shape, and the order of their first entries."""

    def __init__(self, *, share: Callable[[str], float]) -> None:
        """Start empty.

        Args:
            share: gives the weighted dominant share of a team.
        """
        self.waiting: dict[TaskId, Waiting] = {}
        self._share = share
        self._serial = 0
        self._queues: dict[Shape, ShapeQueue] = {}
        self._by_team: dict[str, dict[int, ShapeQueue]] = {}
        self._parking = Parking()
        self._ready: SortedDict = SortedDict()
        self._to_raise: SortedList = SortedList()

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
        tier = tier_of(entry.first, urgency, now)
        if tier is Tier.ORDINARY and urgency is not None:
            self._to_raise.add((urgency.raise_at, entry.entry_id))
        queue = self._queue(shape_of(entry, tier))
        queue.add(entry)
        team = entry.first.team
        self._by_team.setdefault(team, {})[queue.serial] = queue
        self.waiting[entry.entry_id] = Waiting(entry=entry, queue=queue)
        self._resort(queue)

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
        entry, queue = waiting.entry, waiting.queue
        queue.remove(entry)
        if not queue.has_team(entry.first.team):
            self._by_team[entry.first.team].pop(queue.serial)
        self._resort(queue)
        if not queue:
            self._queues.pop(queue.shape)
            self._parking.remove(queue)
        return entry

    def raise_due(self, now: Millis) -> None:
        """Move the entries whose slack has got short to their new tier.

        Args:
            now: the time.
        """
        while self._to_raise and self._to_raise[0][0] <= now:
            entry_id = self._to_raise.pop(0)[1]
            entry = self.remove(entry_id)
            if entry is not None:
                self.add(entry, now)

    def first(self) -> ShapeQueue | None:
        """Find the queue of the first entry that is worth a try.

        Returns:
            The queue, None when nothing is.
        """
        if not self._ready:
            return None
        queue: ShapeQueue = self._ready.peekitem(0)[1]
        return queue

    def park(self, queue: ShapeQueue, *, constrained: bool) -> None:
        """Set a queue aside whose entries fit nowhere.

        Args:
            queue: the queue.
            constrained: whether a reservation played a part.
        """
        queue.parked = True
        queue.constrained = constrained
        self._parking.add(queue)
        self._resort(queue)

    def unpark_all(self, *, constrained_only: bool = False) -> None:
        """Make parked queues worth a try again.

        Args:
            constrained_only: leave out those that no reservation played a
                part in.
        """
        for queue in self._parking.all_queues():
            if queue.constrained or not constrained_only:
                self._unpark(queue)

    def unpark_fitting(self, member: Member) -> None:
        """Make the queues worth a try whose entries fit on a worker.

        Args:
            member: a usable worker whose room grew.
        """
        for queue in self._parking.fitting(member):
            self._unpark(queue)

    def block(self, queue: ShapeQueue, team: str) -> None:
        """Pass over a team without headroom.

        Args:
            queue: the queue in which its demand was too much.
            team: the team.
        """
        queue.block(team)
        self._resort(queue)

    def touch(self, team: str, *, unblock: bool) -> None:
        """Take note of a change of a team's share or headroom.

        Args:
            team: the team.
            unblock: whether it may have gained headroom.
        """
        for queue in self._by_team.get(team, {}).values():
            if unblock:
                queue.unblock(team)
            if queue.parked:
                queue.stale.add(team)
            elif queue.shape.tier is not Tier.RAISED or unblock:
                queue.refresh(team)
                self._resort(queue)

    def touch_all(self) -> None:
        """Take note of a change of every team's share."""
        for team in self._by_team:
            self.touch(team, unblock=False)

    def _queue(self, shape: Shape) -> ShapeQueue:
        queue = self._queues.get(shape)
        if queue is None:
            self._serial += 1
            queue = ShapeQueue(
                shape=shape, serial=self._serial, share=self._share
            )
            self._queues[shape] = queue
        return queue

    def _unpark(self, queue: ShapeQueue) -> None:
        self._parking.remove(queue)
        queue.parked = False
        queue.refresh_stale()
        self._resort(queue)

    def _resort(self, queue: ShapeQueue) -> None:
        rank = None if queue.parked else queue.first_rank()
        key = None if rank is None else (queue.shape.tier, rank, queue.serial)
        if key == queue.ready_key:
            return
        if queue.ready_key is not None:
            self._ready.pop(queue.ready_key)
        if key is not None:
            self._ready[key] = queue
        queue.ready_key = key
