"""Preemption of the team furthest above its share.

Source: the preemption rule of fair schedulers in the tradition of dominant
resource fairness (Ghodsi et al., NSDI 2011): resources move from the team
with the highest weighted share to one that does not exceed it afterwards, so
that two teams never preempt each other in turn.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from jayshore.clock import Millis
from jayshore.placement.allocations import WorkerAllocation
from jayshore.placement.entries import QueueEntry
from jayshore.placement.fairness import DominantShare, ShareCase
from jayshore.placement.policy import Policy
from jayshore.placement.tasks import PendingTask, PlacedTask
from jayshore.placement.urgent_reserve import uses_urgent_reserve
from jayshore.resources import NOTHING, Resources

URGENT_PREEMPTION_DELAY_MS = 500
"""Urgent work must start within 1.6 s; stopping tasks takes the rest of it."""
ORDINARY_PREEMPTION_DELAY_MS = 30_000
"""Most batch tasks end within this time, which frees capacity without loss."""
MAX_VICTIM_CANDIDATES = 64
"""Limits how many tasks are examined, to bound the time of one decision."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreemptionCase:
    """A blocked task and the team furthest above its share.

    Attributes:
        entry: the blocked entry, a single task.
        beneficiary_share: the usage and weight of the entry's team.
        victim_share: the usage and weight of the team to preempt.
        candidates: tasks of that team that may be stopped, the latest started
            first.
        allocations: the allocations of the workers that the entry may start
            on.
    """

    entry: QueueEntry
    beneficiary_share: ShareCase
    victim_share: ShareCase
    candidates: Iterable[PlacedTask]
    allocations: Mapping[str, WorkerAllocation]


class LatestStarted(Policy[PreemptionCase, tuple[PlacedTask, ...]]):
    """Preempts the latest started tasks on a worker; they lose least work."""

    def evaluate(self, case: PreemptionCase) -> tuple[PlacedTask, ...]:
        """Choose the tasks to stop.

        Args:
            case: the blocked task and the team to preempt.

        Returns:
            Tasks on one worker that free enough capacity together, or none.
        """
        gathered: dict[str, list[PlacedTask]] = {}
        allocations: dict[str, WorkerAllocation] = {}
        beneficiary = case.entry.first
        for running in case.candidates:
            worker_id = running.worker_id
            if worker_id not in case.allocations:
                continue
            allocation = (
                allocations.get(worker_id) or case.allocations[worker_id]
            )
            allocation = allocation.without_charge(running.task, running.charge)
            allocations[worker_id] = allocation
            gathered.setdefault(worker_id, []).append(running)
            if beneficiary.demand.fits_in(allocation.available_to(beneficiary)):
                victims = tuple(gathered[worker_id])
                return victims if _preserves_share_order(case, victims) else ()
        return ()


def may_be_stopped(running: PlacedTask) -> bool:
    """Return whether a running task may be preempted.

    Args:
        running: the task.

    Returns:
        True when it is preemptible, idempotent and not already being stopped.
    """
    task = running.task
    return task.preemptible and task.idempotent and not running.stopping


def preemption_delay_ms(task: PendingTask) -> Millis:
    """Return the wait after which others may be preempted for a task.

    Args:
        task: the waiting task.

    Returns:
        Milliseconds since it was enqueued.
    """
    uses_reserve = uses_urgent_reserve(task)
    return Millis(
        URGENT_PREEMPTION_DELAY_MS
        if uses_reserve
        else ORDINARY_PREEMPTION_DELAY_MS
    )


def _preserves_share_order(
    case: PreemptionCase, victims: tuple[PlacedTask, ...]
) -> bool:
    share = DominantShare()
    freed = sum((one.task.demand for one in victims), start=NOTHING)
    return share.evaluate(
        _with_usage_change(case.victim_share, NOTHING - freed)
    ) >= (
        share.evaluate(
            _with_usage_change(case.beneficiary_share, case.entry.demand)
        )
    )


def _with_usage_change(case: ShareCase, difference: Resources) -> ShareCase:
    return dataclasses.replace(case, used=case.used + difference)
