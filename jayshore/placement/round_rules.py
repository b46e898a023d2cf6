"""Rules of a placement round that `Cell` and `NaiveCell` share."""

from jayshore.clock import Millis
from jayshore.placement.backfill import Reservation
from jayshore.placement.decisions import Assignment, Place, Preempt
from jayshore.placement.entries import QueueEntry, Tier
from jayshore.placement.tasks import PendingTask

BLOCKED_CHECK_INTERVAL_MS = 500
"""Interval at which blocked entries look for tasks to preempt or a reservation.

Both searches scan the running tasks, so they must be rare compared with
thousands of placements per second; urgent work has 1.6 s to start.
"""
BLOCKED_SHAPES_PER_CHECK = 2
"""Number of blocked shapes considered at each check.

More than one, so that an entry that cannot get a reservation does not keep the
next entry from getting one.
"""
PREEMPTION_HOLD_MS = 30_000
"""How long the capacity of preempted tasks is reserved for the beneficiary."""


def assign_workers(entry: QueueEntry, workers: tuple[str, ...]) -> Place:
    """Build the decision that starts an entry on the chosen workers.

    Args:
        entry: the entry to start.
        workers: one worker id per task, in the order of the tasks.

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
    decision: Preempt, beneficiary: PendingTask, tier: Tier, now: Millis
) -> Reservation:
    """Reserve the capacity of preempted tasks for the beneficiary.

    Args:
        decision: the preemption.
        beneficiary: the waiting task that the capacity is for.
        tier: the tier of the beneficiary.
        now: the time of the decision.

    Returns:
        A reservation that lapses after `PREEMPTION_HOLD_MS`.
    """
    return Reservation(
        entry_id=beneficiary.task_id,
        tier=tier,
        start_at=Millis(now + PREEMPTION_HOLD_MS),
        amounts={decision.worker_id: beneficiary.demand},
    )


def may_reserve(reservation: Reservation | None, tier: Tier) -> bool:
    """Return whether a blocked entry may take the cell's only reservation.

    Args:
        reservation: the current reservation, if any.
        tier: the tier of the entry.

    Returns:
        True when there is no reservation or it belongs to a tier that is
        served later.
    """
    return reservation is None or tier < reservation.tier


def may_preempt(
    reservation: Reservation | None, entry: QueueEntry, tier: Tier
) -> bool:
    """Return whether an entry may take the reservation of a preemption.

    Tasks are never preempted for a gang.

    Args:
        reservation: the current reservation, if any.
        entry: the blocked entry.
        tier: its tier.

    Returns:
        True when a single task may take the reservation or already holds it.
    """
    if len(entry.tasks) > 1:
        return False
    own = reservation is not None and reservation.entry_id == entry.entry_id
    return own or may_reserve(reservation, tier)
