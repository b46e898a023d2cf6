"""Chooses which waiting tasks start, and where.

A round is a function of its inputs: the rooms of the workers, what each
workspace may still start, and the demands in their order. It answers a full
fleet: tasks are packed tightly so that wide gangs find room, and the best
ranked gangs that find none keep workers free of lower ranked work.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.demands import (
    AdviceRequest,
    Decisions,
    GroupDemand,
    Placement,
    WaitReason,
    WorkerHeadroom,
)
from jayshore.fleet.model import GroupId
from jayshore.fleet.ranking import DeadlineStatus, Rank
from jayshore.resources import NOTHING, Resources

TICKET_MARGIN_MS: Final = Millis(150)
"""How long a ticket has to be valid still when a start is decided, in ms.

Covers the record of the start and the way to the worker.
"""

_MAX_KEPT_SHARE: Final = 0.4
"""Share of the workers that may be kept free for gangs that wait."""

_MIN_ASKED: Final = 24
"""Workers on which advice is asked at least, if there are as many."""

_MAX_ASKED: Final = 80
"""Workers on which advice is asked at once; the service takes up to 100."""

_ASKED_PER_WORKER_NEEDED: Final = 10
"""Workers to ask for each one that the group would fill when empty.

The service allows a third of the workers for the widest groups, and on a busy
fleet a quarter of a worker is free.
"""

_UNLIMITED: Final = 1 << 60


class _Pool:
    """Workers that may run the same kinds of demands.

    Many demands of a round differ only in what a task needs, which nearly
    always fits in an empty worker.
    """

    def __init__(self, *, rooms: list[WorkerHeadroom]) -> None:
        self.rooms = rooms
        self._by_id = {room.worker_id: room for room in rooms}
        self._smallest = Resources(
            cpu_millis=min(
                (room.capacity.cpu_millis for room in rooms), default=0
            ),
            memory_mb=min(
                (room.capacity.memory_mb for room in rooms), default=0
            ),
            accelerators=min(
                (room.capacity.accelerators for room in rooms), default=0
            ),
        )

    def limit_to(self, need: Resources) -> '_Pool':
        """Leave out the workers on which a task would not fit when empty."""
        if need.fits_in(self._smallest):
            return self
        return _Pool(
            rooms=[room for room in self.rooms if need.fits_in(room.capacity)]
        )

    def choose(self, tickets: Mapping[str, Millis]) -> list[WorkerHeadroom]:
        """Choose the workers for which there are tickets."""
        return [
            self._by_id[worker] for worker in tickets if worker in self._by_id
        ]


class PlacementRound:
    """One round over all demands."""

    def __init__(
        self,
        *,
        rooms: Iterable[WorkerHeadroom],
        allowances: dict[str, Resources],
        now: Millis,
    ) -> None:
        """Prepare a round.

        Args:
            rooms: of the workers that may be used; the round uses them up.
            allowances: what each workspace may still start; those that are
                missing have no limit. The round uses them up.
            now: on the leader's clock.
        """
        self._rooms = list(rooms)
        self._pools: dict[tuple[str, str, bool], _Pool] = {}
        self._allowances = allowances
        self._now = now
        self._kept = 0
        self._decisions = Decisions()

    def decide(self, demands: Iterable[GroupDemand]) -> Decisions:
        """Decide on all demands.

        Args:
            demands: in any order.

        Returns:
            What starts, and which advice is missing.
        """
        for demand in sorted(demands, key=_demand_rank):
            self._consider(demand)
        return self._decisions

    def _consider(self, demand: GroupDemand) -> None:
        reason = self._try_place(demand, self._find_pool(demand))
        if reason is not None:
            self._decisions.waiting[demand.group_id] = reason

    def _find_pool(self, demand: GroupDemand) -> '_Pool':
        """Find the workers that may run a demand, however full they are."""
        key = (demand.service, demand.required_label, demand.gang)
        pool = self._pools.get(key)
        if pool is None:
            pool = _Pool(
                rooms=[room for room in self._rooms if _may_host(room, demand)]
            )
            self._pools[key] = pool
        return pool.limit_to(demand.need)

    def _try_place(
        self, demand: GroupDemand, pool: '_Pool'
    ) -> WaitReason | None:
        usable = pool.rooms
        if not usable:
            return WaitReason.NO_WORKER
        if demand.advised and not demand.evaluated:
            if not demand.advice_pending:
                self._wish(demand, _choose_asked(demand, usable))
            return WaitReason.NO_ADVICE
        good = usable
        if demand.advised:
            good = pool.choose(demand.tickets)
            if not good:
                self._ask_about_new(demand, usable)
                return WaitReason.NOT_ADVISED
        good = _avoid_last_failure(demand, good)
        wanted = len(demand.indexes)
        count = min(wanted, self._allowed(demand))
        if not count or (demand.gang and count < wanted):
            return WaitReason.LIMIT
        seats = self._find_seats(demand, good, count)
        if demand.gang and len(seats) < count:
            self._keep_free(demand, good)
            self._ask_about_new(demand, usable)
            return WaitReason.NO_ROOM
        complete = self._take(demand, seats)
        if not complete:
            return WaitReason.OLD_TICKET
        if len(seats) == wanted:
            return None
        self._ask_about_new(demand, usable)
        return WaitReason.NO_ROOM

    def _take(self, demand: GroupDemand, seats: list[WorkerHeadroom]) -> bool:
        """Use seats up, also those whose ticket has to be renewed first."""
        soon = self._now + TICKET_MARGIN_MS
        expired = {
            room.worker_id
            for room in seats
            if demand.advised and demand.tickets[room.worker_id] < soon
        }
        for _ in seats:
            self._charge(demand)
        if expired and not demand.advice_pending:
            self._wish(demand, list(demand.tickets)[:_MAX_ASKED])
        if expired and demand.gang:
            return False
        for index, seat in zip(demand.indexes, seats, strict=False):
            if seat.worker_id not in expired:
                self._decisions.placements.append(
                    Placement(
                        group_id=demand.group_id,
                        index=index,
                        worker_id=seat.worker_id,
                    )
                )
        return not expired

    def _ask_about_new(
        self, demand: GroupDemand, usable: list[WorkerHeadroom]
    ) -> None:
        """Ask about workers that have come since advice was given."""
        unjudged = [
            room for room in usable if room.worker_id not in demand.evaluated
        ]
        if demand.advised and unjudged and not demand.advice_pending:
            self._wish(demand, _choose_asked(demand, unjudged))

    def _find_seats(
        self, demand: GroupDemand, usable: list[WorkerHeadroom], count: int
    ) -> list[WorkerHeadroom]:
        if demand.same_rack:
            for rack in {room.rack for room in usable}:
                beside = [room for room in usable if room.rack == rack]
                seats = self._fill(demand, beside, count)
                if len(seats) == count:
                    return seats
                _give_back(demand, seats)
        seats = self._fill(demand, usable, count)
        if demand.gang and len(seats) < count:
            _give_back(demand, seats)
            return []
        return seats

    def _fill(
        self, demand: GroupDemand, usable: list[WorkerHeadroom], count: int
    ) -> list[WorkerHeadroom]:
        """Fill the tightest rooms first, those near the data before others."""
        need = demand.need
        order = sorted(
            (
                room
                for room in usable
                if room.reserved_for in {None, demand.group_id}
                and need.fits_in(room.free)
            ),
            key=lambda room: (
                room.worker_id in demand.failed_on,
                room.failure_score,
                room.rack != demand.data_rack if demand.data_rack else False,
                room.free.cpu_millis,
                room.worker_id,
            ),
        )
        seats: list[WorkerHeadroom] = []
        for room in order:
            limit = _seat_limit(room, demand)
            while limit and len(seats) < count and need.fits_in(room.free):
                room.free -= need
                seats.append(room)
                limit -= 1
        return seats

    def _keep_free(
        self, demand: GroupDemand, usable: list[WorkerHeadroom]
    ) -> None:
        """Keep the workers that will soonest have room for a gang.

        Not for a gang that even empty workers could not hold, nor for one
        that is late: others would wait for it in vain.
        """
        wanted = len(demand.indexes)
        seats = sum(
            min(_seat_limit(room, demand), _count_fits(demand, room.capacity))
            for room in usable
        )
        if (
            seats < wanted
            or demand.rank.deadline_status is not DeadlineStatus.IN_TIME
        ):
            return
        most = round(_MAX_KEPT_SHARE * len(self._rooms))
        by_room = sorted(
            (room for room in usable if room.reserved_for is None),
            key=lambda room: (-room.free.cpu_millis, room.worker_id),
        )
        for room in by_room:
            if wanted <= 0 or self._kept >= most:
                return
            room.reserved_for = demand.group_id
            self._kept += 1
            wanted -= min(
                _seat_limit(room, demand), _count_fits(demand, room.capacity)
            )

    def _wish(self, demand: GroupDemand, workers: list[str]) -> None:
        self._decisions.advice_requests.append(
            AdviceRequest(
                group_id=demand.group_id,
                rank=demand.rank,
                workers=tuple(workers),
            )
        )

    def _allowed(self, demand: GroupDemand) -> int:
        allowance = self._allowances.get(demand.workspace)
        if allowance is None:
            return len(demand.indexes)
        return _count_fits(demand, allowance)

    def _charge(self, demand: GroupDemand) -> None:
        allowance = self._allowances.get(demand.workspace)
        if allowance is not None:
            self._allowances[demand.workspace] = allowance - demand.need


def limit_allowance(maximum: Resources, used: Resources) -> Resources:
    """Compute what a workspace may still start.

    Args:
        maximum: its limit; a component of 0 has no limit.
        used: what it has running.

    Returns:
        The rest, which is negative above a limit that was lowered.
    """
    limit = Resources(
        cpu_millis=maximum.cpu_millis or _UNLIMITED,
        memory_mb=maximum.memory_mb or _UNLIMITED,
        accelerators=maximum.accelerators or _UNLIMITED,
    )
    return limit - used


def _demand_rank(demand: GroupDemand) -> tuple[Rank, GroupId]:
    return demand.rank, demand.group_id


def _may_host(room: WorkerHeadroom, demand: GroupDemand) -> bool:
    """Tell whether a worker may run a demand, whatever its size."""
    return (
        room.service == demand.service
        and (not demand.required_label or demand.required_label in room.labels)
        and not (room.probe and demand.gang)
    )


def _avoid_last_failure(
    demand: GroupDemand, rooms: list[WorkerHeadroom]
) -> list[WorkerHeadroom]:
    """Leave out workers on which a task failed, if the job would fail too.

    A worker that fails everything has room at once, when all others are full;
    it would use up the attempts of a job that can be done.
    """
    if not demand.last_attempt:
        return rooms
    others = [room for room in rooms if room.worker_id not in demand.failed_on]
    return others or rooms


def _seat_limit(room: WorkerHeadroom, demand: GroupDemand) -> int:
    if room.probe:
        return 1
    if not demand.max_per_worker:
        return len(demand.indexes)
    placed = demand.placed.get(room.worker_id, 0)
    return max(0, demand.max_per_worker - placed)


def _count_fits(demand: GroupDemand, room: Resources) -> int:
    """Count how often a task fits."""
    if not NOTHING.fits_in(room):
        return 0
    counts = [
        free // wanted
        for wanted, free in zip(demand.need, room, strict=True)
        if wanted
    ]
    return min(counts, default=len(demand.indexes))


def _choose_asked(
    demand: GroupDemand, rooms: list[WorkerHeadroom]
) -> list[str]:
    """Choose the workers on which to ask for advice, the emptiest first."""
    seats = max(1, _count_fits(demand, rooms[0].capacity))
    wanted = _ASKED_PER_WORKER_NEEDED * math.ceil(len(demand.indexes) / seats)
    count = min(_MAX_ASKED, max(_MIN_ASKED, wanted))
    by_room = sorted(
        rooms,
        key=lambda room: (
            room.failure_score,
            -room.free.cpu_millis,
            room.worker_id,
        ),
    )
    return [room.worker_id for room in by_room[:count]]


def _give_back(demand: GroupDemand, seats: list[WorkerHeadroom]) -> None:
    for room in seats:
        room.free += demand.need
