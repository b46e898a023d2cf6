"""EASY backfill: later work may overtake the first blocked entry, not delay it.

Source: Lifka, "The ANL/IBM SP Scheduling System", JSSPP 1995; Mu'alem and
Feitelson, IEEE TPDS 12(6), 2001. Only one entry has a reservation, so two
waiting gangs cannot block each other. A reservation allocates nothing: it only
holds back work that would still run when it falls due.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from jayshore.clock import Millis
from jayshore.placement.allocations import WorkerAllocation
from jayshore.placement.entries import QueueEntry, Tier
from jayshore.placement.feasible import count_fitting
from jayshore.placement.policy import Policy
from jayshore.placement.tasks import PlacedTask, TaskId, component_min
from jayshore.placement.urgent_reserve import uses_urgent_reserve
from jayshore.resources import Resources

MIN_RESERVATION_MS = 1000
"""Least time until a reservation is due, as tasks may outrun their estimate."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Where and when the first blocked entry is expected to start.

    Attributes:
        entry_id: the id of the entry.
        tier: the tier of the entry when the reservation was made.
        start_at: when the running tasks are expected to leave enough free
            capacity; the reservation lapses then.
        amounts: what is reserved on each worker.
    """

    entry_id: TaskId
    tier: Tier
    start_at: Millis
    amounts: Mapping[str, Resources]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackfillCase:
    """A candidate for a worker on which capacity is reserved for another entry.

    Attributes:
        available: what is free for the candidate now.
        projected: what will be free for it when the reservation falls due.
        reserved: what is reserved there.
        run_ms: an upper bound of the candidate's run time in ms, None when it
            is unbounded.
        start_in_ms: the time in ms until the reservation falls due.
    """

    available: Resources
    projected: Resources
    reserved: Resources
    run_ms: Millis | None
    start_in_ms: Millis


class EasyBackfill(Policy[BackfillCase, Resources]):
    """Limits a candidate to spare capacity unless it ends in time."""

    def evaluate(self, case: BackfillCase) -> Resources:
        """Compute what a candidate may use.

        Args:
            case: the candidate and the reservation.

        Returns:
            The resources available to it; components may be negative.
        """
        if ends_in_time(case.run_ms, case.start_in_ms):
            return case.available
        return component_min(case.available, case.projected - case.reserved)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReservationCase:
    """A blocked entry and the state of the cell.

    Attributes:
        entry: the blocked entry.
        tier: its tier.
        allocations: the allocations of the workers that it may start on.
        ending: running tasks that have an expected end, in the order of the
            ends; tasks on workers not in `allocations` may be included.
        now: the time.
    """

    entry: QueueEntry
    tier: Tier
    allocations: Mapping[str, WorkerAllocation]
    ending: Iterable[PlacedTask]
    now: Millis


class EarliestStart(Policy[ReservationCase, Reservation | None]):
    """Reserves the earliest time at which enough tasks have ended.

    For an ordinary entry, the end of a task that may use the urgent reserve
    does not count.
    """

    def evaluate(self, case: ReservationCase) -> Reservation | None:
        """Compute the reservation of an entry.

        Args:
            case: the entry and the cell.

        Returns:
            The reservation, None when the entry does not fit even after all
            expected ends.
        """
        size = len(case.entry.tasks)
        fit_counts = _fit_counts_now(case)
        count = sum(fit_counts.values())
        for ended, fit_count in _fit_counts_after_ends(case):
            worker_id = ended.worker_id
            count += fit_count - fit_counts.get(worker_id, 0)
            fit_counts[worker_id] = fit_count
            if count >= size:
                return _reservation(case, fit_counts, ended.ends_at or case.now)
        return None


def ends_in_time(run_ms: Millis | None, start_in_ms: Millis) -> bool:
    """Return whether work that starts now ends before a reservation is due.

    Args:
        run_ms: an upper bound of its run time in ms, None when unbounded.
        start_in_ms: the time in ms until the reservation falls due.

    Returns:
        True when the work ends by then.
    """
    return run_ms is not None and run_ms <= start_in_ms


def _fit_counts_after_ends(
    case: ReservationCase,
) -> Iterator[tuple[PlacedTask, int]]:
    """Yield each ending task and how many tasks of the entry fit after it."""
    first = case.entry.first
    uses_reserve = uses_urgent_reserve(first)
    available_by_worker: dict[str, Resources] = {}
    for ended in case.ending:
        worker_id = ended.worker_id
        if worker_id not in case.allocations or (
            uses_urgent_reserve(ended.task) and not uses_reserve
        ):
            continue
        available = available_by_worker.get(worker_id) or case.allocations[
            worker_id
        ].available_to(first)
        available += ended.charge
        available_by_worker[worker_id] = available
        if first.demand.fits_in(available):
            yield (
                ended,
                count_fitting(first.demand, available, len(case.entry.tasks)),
            )


def _fit_counts_now(case: ReservationCase) -> dict[str, int]:
    """Count the tasks that fit now; a blocked single task fits nowhere."""
    first = case.entry.first
    size = len(case.entry.tasks)
    if size == 1:
        return {}
    return {
        worker_id: count_fitting(
            first.demand, allocation.available_to(first), size
        )
        for worker_id, allocation in case.allocations.items()
    }


def _reservation(
    case: ReservationCase, fit_counts: Mapping[str, int], ends_at: Millis
) -> Reservation:
    missing = len(case.entry.tasks)
    amounts: dict[str, Resources] = {}
    most_fitting_first = sorted(
        fit_counts, key=lambda name: (-fit_counts[name], name)
    )
    for worker_id in most_fitting_first:
        taken = min(missing, fit_counts[worker_id])
        if not taken:
            break
        amounts[worker_id] = case.entry.first.demand.scaled(taken)
        missing -= taken
    return Reservation(
        entry_id=case.entry.entry_id,
        tier=case.tier,
        start_at=Millis(max(ends_at, case.now + MIN_RESERVATION_MS)),
        amounts=amounts,
    )
