"""Preemption of the team furthest above its share.

Source: the preemption rule of fair schedulers in the tradition of dominant
resource fairness (Ghodsi et al., NSDI 2011): a task moves from the team with
the highest weighted share to one that stays below it afterwards, so that two
teams never preempt each other in turn.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from jayshore.clock import Millis
from jayshore.placement.allocations import Load
from jayshore.placement.entries import Entry
from jayshore.placement.fairness import DominantShare, ShareCase
from jayshore.placement.policy import Policy
from jayshore.placement.tasks import PendingTask, PlacedTask
from jayshore.placement.urgent_reserve import uses_urgent_reserve
from jayshore.resources import NOTHING, Resources

LANE_PATIENCE_MS = 500
"""Urgent work must start within 1.6 s; stopping a task takes the rest."""
ORDINARY_PATIENCE_MS = 30_000
"""Most batch tasks end within this time and make room without any loss."""
VICTIM_CANDIDATES = 64
"""Bounds the time of one decision."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreemptionCase:
    """A blocked task and the team furthest above its share.

    Attributes:
        entry: the blocked entry, a single task.
        owner: the share case of the entry's team.
        victim: the share case of the other team.
        candidates: that team's tasks that may be stopped, latest start first.
        loads: the accounts of the workers that the entry may start on.
    """

    entry: Entry
    owner: ShareCase
    victim: ShareCase
    candidates: Iterable[PlacedTask]
    loads: Mapping[str, Load]


class LatestStarted(Policy[PreemptionCase, tuple[PlacedTask, ...]]):
    """Stop the latest started tasks of one worker, which lose least work."""

    def evaluate(self, case: PreemptionCase) -> tuple[PlacedTask, ...]:
        """Choose the tasks to stop.

        Args:
            case: the blocked task and the other team.

        Returns:
            Tasks of one worker that make room together, or none.
        """
        gathered: dict[str, list[PlacedTask]] = {}
        loads: dict[str, Load] = {}
        wanted = case.entry.first
        for running in case.candidates:
            worker_id = running.worker_id
            if worker_id not in case.loads:
                continue
            load = loads.get(worker_id) or case.loads[worker_id]
            load = load.without_charge(running.task, running.charge)
            loads[worker_id] = load
            gathered.setdefault(worker_id, []).append(running)
            if wanted.demand.fits_in(load.room_for(wanted)):
                victims = tuple(gathered[worker_id])
                return victims if _keeps_order(case, victims) else ()
        return ()


def may_be_stopped(running: PlacedTask) -> bool:
    """Tell whether a running task may be preempted.

    Args:
        running: the task.

    Returns:
        True when it is preemptible, idempotent and not yet being stopped.
    """
    task = running.task
    return task.preemptible and task.idempotent and not running.stopping


def patience_ms(task: PendingTask) -> Millis:
    """Give the wait after which others may be preempted for a task.

    Args:
        task: the waiting task.

    Returns:
        Milliseconds since it was enqueued.
    """
    in_lane = uses_urgent_reserve(task)
    return Millis(LANE_PATIENCE_MS if in_lane else ORDINARY_PATIENCE_MS)


def _keeps_order(case: PreemptionCase, victims: tuple[PlacedTask, ...]) -> bool:
    share = DominantShare()
    freed = sum((one.task.demand for one in victims), start=NOTHING)
    return share.evaluate(_moved(case.victim, NOTHING - freed)) >= (
        share.evaluate(_moved(case.owner, case.entry.demand))
    )


def _moved(case: ShareCase, difference: Resources) -> ShareCase:
    return dataclasses.replace(case, used=case.used + difference)
