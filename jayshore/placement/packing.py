"""Chooses workers for batch, preview and gang tasks by best fit.

Source: best fit as in Johnson et al., "Worst-Case Performance Bounds for Simple
One-Dimensional Packing Algorithms", SIAM J. Comput. 3(4), 1974; for several
resources the free capacity is compared in the order of `fit_key`.
"""

import dataclasses
import itertools
from collections.abc import Callable, Iterator, Mapping
from typing import TypeAlias

from jayshore.placement.entries import fit_key
from jayshore.placement.feasible import count_fitting
from jayshore.placement.policy import Policy
from jayshore.placement.scoring import (
    SCORED_WORKERS,
    PlacementScore,
    ScoreCase,
)
from jayshore.placement.settings import ScoreWeights
from jayshore.placement.tasks import WorkerView
from jayshore.resources import Resources

ReplicaCounter: TypeAlias = Callable[[WorkerView], tuple[int, ...]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """A worker on which at least one task fits.

    Attributes:
        worker: the worker.
        available: what the task may use now.
        free: the free capacity regardless of any reservation, by which workers
            are sorted for best fit.
    """

    worker: WorkerView
    available: Resources
    free: Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementCase:
    """An entry and the workers it could start on.

    Attributes:
        offers: workers in the order of best fit, produced lazily.
        demand: the demand of one task.
        size: the number of tasks.
        replica_counts: the number of running tasks of the job per failure
            domain, rack and worker, by the keys of `topology_keys`; given for
            services only. Absent keys count as 0.
        weights: the weights of the terms of the score.
        failures: failure rate of the latest tasks of a worker, in 32nds;
            absent workers count as 0.
    """

    offers: Iterator[Offer]
    demand: Resources
    size: int
    replica_counts: Mapping[str, int]
    weights: ScoreWeights
    failures: Mapping[str, int]


class BestFit(Policy[PlacementCase, tuple[str, ...]]):
    """Chooses the worker with the best score, by default the best fit."""

    def evaluate(self, case: PlacementCase) -> tuple[str, ...]:
        """Choose a worker.

        Args:
            case: a single task.

        Returns:
            One worker id, or none.
        """
        offer = next(preferred_offers(case), None)
        return () if offer is None else (offer.worker.worker_id,)


class FillInOrder(Policy[PlacementCase, tuple[str, ...]]):
    """Fills workers with a gang in the order of their scores.

    The result is shorter than the gang when not all of it fits. The caller
    places all tasks or none; the result shows it where some of them fitted.
    """

    def evaluate(self, case: PlacementCase) -> tuple[str, ...]:
        """Choose a worker for each task that fits.

        Args:
            case: a gang.

        Returns:
            At most as many worker ids as there are tasks.
        """
        chosen: list[str] = []
        for offer in preferred_offers(case):
            missing = case.size - len(chosen)
            count = count_fitting(case.demand, offer.available, missing)
            chosen.extend([offer.worker.worker_id] * count)
            if len(chosen) == case.size:
                break
        return tuple(chosen)


def preferred_offers(case: PlacementCase) -> Iterator[Offer]:
    """Sort the offers for work that is not spread.

    Without failures the score keeps the order of best fit; the offers are then
    returned as they are, so that only those that are used are produced.

    Args:
        case: the entry and its offers.

    Returns:
        The offers, the most preferred first.
    """
    weights = case.weights
    if weights.packing and not (weights.health and case.failures):
        return case.offers
    return offers_by_score(case, _no_replicas)


def offers_by_score(
    case: PlacementCase, replicas_at: ReplicaCounter
) -> Iterator[Offer]:
    """Sort the first offers by their score.

    Args:
        case: the entry and its offers.
        replicas_at: returns the number of tasks of the service in the failure
            domain, on the rack and on the worker.

    Yields:
        The first `SCORED_WORKERS` offers in the order of the score, with ties
        broken by checksum, then the rest in the order of best fit.
    """
    sample = list(itertools.islice(case.offers, SCORED_WORKERS))
    keys = [fit_key(offer.free, offer.worker.worker_id) for offer in sample]
    scores = PlacementScore().evaluate(
        ScoreCase(
            weights=case.weights,
            free_capacities=[key[:3] for key in keys],
            replica_counts=[replicas_at(offer.worker) for offer in sample],
            failures=[
                case.failures.get(offer.worker.worker_id, 0) for offer in sample
            ],
        )
    )
    order = [
        (score, key[3:], index)
        for index, (score, key) in enumerate(zip(scores, keys, strict=True))
    ]
    for _, _, best in sorted(order):
        yield sample[best]
    yield from case.offers


def _no_replicas(_: WorkerView) -> tuple[int, ...]:
    return ()
