"""Rules of a placement round that the cell and its oracle share."""

from jayshore.clock import Millis
from jayshore.placement.backfill import Reservation
from jayshore.placement.decisions import Assignment, Place, Preempt
from jayshore.placement.entries import Entry, Tier
from jayshore.placement.tasks import PendingTask

ATTEMPT_INTERVAL_MS = 500
"""How often blocked work looks for a reservation or for tasks to preempt.

Both scan running tasks, so they must be rare beside thousands of placements
per second; urgent work has 1.6 s to start.
"""
ATTEMPTS = 2
"""Blocked shapes that are considered each time.

More than one, so that an entry that can get no reservation does not keep the
next one from getting it.
"""
PREEMPTION_GRACE_MS = 30_000
"""How long the room of stopped tasks is kept for the beneficiary."""


def place(entry: Entry, workers: tuple[str, ...]) -> Place:
    """Pair the tasks of an entry with the workers chosen.

    Args:
        entry: the entry.
        workers: as many worker ids as the entry has tasks.

    Returns:
        The decision.
    """
    return Place(
        assignments=tuple(
            Assignment(task_id=task.task_id, worker_id=worker_id)
            for task, worker_id in zip(entry.tasks, workers, strict=True)
        )
    )


def preemption_reservation(
    decision: Preempt, wanted: PendingTask, tier: Tier, now: Millis
) -> Reservation:
    """Keep the room of stopped tasks for the task they are stopped for.

    Args:
        decision: the preemption.
        wanted: its beneficiary.
        tier: the tier of the beneficiary.
        now: the time of the decision.

    Returns:
        A reservation that lapses after the grace time.
    """
    return Reservation(
        entry_id=wanted.task_id,
        tier=tier,
        start_at=Millis(now + PREEMPTION_GRACE_MS),
        rooms={decision.worker_id: wanted.demand},
    )


def may_reserve(reservation: Reservation | None, tier: Tier) -> bool:
    """Tell whether a blocked entry may get the only reservation.

    Args:
        reservation: the present one.
        tier: the tier of the entry.

    Returns:
        True when there is none or it belongs to a higher-numbered tier.
    """
    return reservation is None or tier < reservation.tier


def may_preempt(
    reservation: Reservation | None, entry: Entry, tier: Tier
) -> bool:
    """Tell whether the reservation of a preemption may be made for an entry.

    Args:
        reservation: the present one.
        entry: the blocked entry.
        tier: its tier.

    Returns:
        True when the entry may get the reservation or has it already.
    """
    if len(entry.tasks) > 1:
        return False
    own = reservation is not None and reservation.entry_id == entry.entry_id
    return own or may_reserve(reservation, tier)
