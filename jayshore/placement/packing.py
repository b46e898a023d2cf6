"""Where batch and gang tasks start: best fit.

Source: best fit as in Johnson et al., "Worst-Case Performance Bounds for Simple
One-Dimensional Packing Algorithms", SIAM J. Comput. 3(4), 1974; for several
resources the room is compared in the order of `fit_key`.
"""

import dataclasses
from collections.abc import Iterator, Mapping

from jayshore.placement.feasible import slots
from jayshore.placement.policy import Policy
from jayshore.placement.tasks import WorkerView
from jayshore.resources import Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """A worker on which at least one task fits, and the room it has."""

    worker: WorkerView
    room: Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementCase:
    """An entry and the workers it could start on.

    Attributes:
        offers: workers in the order of best fit, produced on demand.
        demand: what one task takes.
        size: the number of tasks.
        peers: how many tasks of the job run per failure domain, rack and
            worker; given for services only. Absent names count as 0.
    """

    offers: Iterator[Offer]
    demand: Resources
    size: int
    peers: Mapping[str, int]


class BestFit(Policy[PlacementCase, tuple[str, ...]]):
    """The worker that the task fills best."""

    def evaluate(self, case: PlacementCase) -> tuple[str, ...]:
        """Choose a worker.

        Args:
            case: a single task.

        Returns:
            One worker id, or none.
        """
        offer = next(case.offers, None)
        return () if offer is None else (offer.worker.worker_id,)


class FillInOrder(Policy[PlacementCase, tuple[str, ...]]):
    """Workers for a gang, the fullest first.

    The answer is shorter than the gang when not all of it fits. The caller
    places all tasks or none; the length tells it how many are lacking.
    """

    def evaluate(self, case: PlacementCase) -> tuple[str, ...]:
        """Choose a worker for as many tasks as fit.

        Args:
            case: a gang.

        Returns:
            At most as many worker ids as there are tasks.
        """
        chosen: list[str] = []
        for offer in case.offers:
            missing = case.size - len(chosen)
            count = slots(case.demand, offer.room, missing)
            chosen.extend([offer.worker.worker_id] * count)
            if len(chosen) == case.size:
                break
        return tuple(chosen)
