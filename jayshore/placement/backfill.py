"""EASY backfill: later work may pass the first blocked entry, not delay it.

Source: Lifka, "The ANL/IBM SP Scheduling System", JSSPP 1995; Mu'alem and
Feitelson, IEEE TPDS 12(6), 2001. Only one entry has a reservation, so two
waiting gangs cannot block each other, and a reservation takes no resource: it
only stops work that would still run when it falls due.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from jayshore.clock import Millis
from jayshore.placement.allocations import Load
from jayshore.placement.entries import Entry, Tier
from jayshore.placement.feasible import slots
from jayshore.placement.policy import Policy
from jayshore.placement.tasks import PlacedTask, TaskId, component_min
from jayshore.placement.urgent_reserve import uses_urgent_reserve
from jayshore.resources import Resources

MIN_RESERVATION_MS = 1000
"""Tasks past their estimate do not make the start time fall in the past."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Where and when the first blocked entry is expected to start.

    Attributes:
        entry_id: the entry.
        tier: the tier it was in.
        start_at: when the running tasks are expected to leave enough room;
            the reservation lapses then.
        rooms: what it takes on each worker.
    """

    entry_id: TaskId
    tier: Tier
    start_at: Millis
    rooms: Mapping[str, Resources]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackfillCase:
    """A candidate for a worker on which another entry is reserved.

    Attributes:
        room: what the candidate may use now.
        projected: what it could use when the reservation falls due.
        reserved: what the reserved entry takes there.
        run_ms: an upper bound of the candidate's run time, None when endless.
        start_in_ms: the time until the reservation falls due.
    """

    room: Resources
    projected: Resources
    reserved: Resources
    run_ms: Millis | None
    start_in_ms: Millis


class EasyBackfill(Policy[BackfillCase, Resources]):
    """A candidate that ends in time may use all room, others the spare."""

    def evaluate(self, case: BackfillCase) -> Resources:
        """Bound what a candidate may use.

        Args:
            case: the candidate and the reservation.

        Returns:
            The room that is open to it; components may be negative.
        """
        if ends_in_time(case.run_ms, case.start_in_ms):
            return case.room
        return component_min(case.room, case.projected - case.reserved)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReservationCase:
    """The first blocked entry and the state of the cell.

    Attributes:
        entry: the blocked entry.
        tier: its tier.
        loads: the accounts of the workers it may start on.
        ending: running tasks that have an expected end, in the order of the
            ends; ones on workers not in `loads` may be included.
        now: the time.
    """

    entry: Entry
    tier: Tier
    loads: Mapping[str, Load]
    ending: Iterable[PlacedTask]
    now: Millis


class EarliestStart(Policy[ReservationCase, Reservation | None]):
    """Let tasks end in order until the entry fits; that is its start.

    The end of a task in the reserved lane is not counted on for ordinary work.
    """

    def evaluate(self, case: ReservationCase) -> Reservation | None:
        """Reserve the earliest start.

        Args:
            case: the entry and the cell.

        Returns:
            The reservation, None when the expected ends never make room.
        """
        size = len(case.entry.tasks)
        offered = _offers(case)
        count = sum(offered.values())
        for ended, fitting in _growing_offers(case):
            worker_id = ended.worker_id
            count += fitting - offered.get(worker_id, 0)
            offered[worker_id] = fitting
            if count >= size:
                return _reservation(case, offered, ended.ends_at or case.now)
        return None


def ends_in_time(run_ms: Millis | None, start_in_ms: Millis) -> bool:
    """Tell whether work that starts now leaves before a reservation is due.

    Args:
        run_ms: an upper bound of its run time, None when endless.
        start_in_ms: the time until the reservation falls due.

    Returns:
        True when it does.
    """
    return run_ms is not None and run_ms <= start_in_ms


def _growing_offers(
    case: ReservationCase,
) -> Iterator[tuple[PlacedTask, int]]:
    """Let tasks end; yield each and how often the entry fits there then."""
    first = case.entry.first
    in_lane = uses_urgent_reserve(first)
    rooms: dict[str, Resources] = {}
    for ended in case.ending:
        worker_id = ended.worker_id
        if worker_id not in case.loads or (
            uses_urgent_reserve(ended.task) and not in_lane
        ):
            continue
        room = rooms.get(worker_id) or case.loads[worker_id].room_for(first)
        room += ended.charge
        rooms[worker_id] = room
        if first.demand.fits_in(room):
            yield ended, slots(first.demand, room, len(case.entry.tasks))


def _offers(case: ReservationCase) -> dict[str, int]:
    """Count what fits now; a blocked single task fits nowhere."""
    first = case.entry.first
    size = len(case.entry.tasks)
    if size == 1:
        return {}
    return {
        worker_id: slots(first.demand, load.room_for(first), size)
        for worker_id, load in case.loads.items()
    }


def _reservation(
    case: ReservationCase, offered: Mapping[str, int], ends_at: Millis
) -> Reservation:
    missing = len(case.entry.tasks)
    rooms: dict[str, Resources] = {}
    by_offer = sorted(offered, key=lambda name: (-offered[name], name))
    for worker_id in by_offer:
        taken = min(missing, offered[worker_id])
        if not taken:
            break
        rooms[worker_id] = case.entry.first.demand.scaled(taken)
        missing -= taken
    return Reservation(
        entry_id=case.entry.entry_id,
        tier=case.tier,
        start_at=Millis(max(ends_at, case.now + MIN_RESERVATION_MS)),
        rooms=rooms,
    )
