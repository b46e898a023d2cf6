"""Where service tasks start: spread over failure domains, racks and workers.

Source: power-of-d-choices sampling (Mitzenmacher, IEEE TPDS 12(10), 2001): the
least loaded of a bounded sample is close to the least loaded of all.
"""

import itertools
from collections.abc import Iterator

from jayshore.placement.packing import Offer, PlacementCase
from jayshore.placement.policy import Policy
from jayshore.placement.tasks import WorkerView

SPREAD_CANDIDATES = 32
"""How many workers are compared; four times the workers of a usual rack."""


class RackSpread(Policy[PlacementCase, tuple[str, ...]]):
    """The worker with the fewest peers per failure domain, rack and worker."""

    def evaluate(self, case: PlacementCase) -> tuple[str, ...]:
        """Choose a worker.

        Args:
            case: a single task of a service.

        Returns:
            One worker id, or none.
        """
        sample: Iterator[Offer] = itertools.islice(
            case.offers, SPREAD_CANDIDATES
        )
        best: tuple[str, ...] = ()
        lowest: tuple[int, ...] | None = None
        for offer in sample:
            crowding = tuple(
                case.peers.get(place, 0) for place in places_of(offer.worker)
            )
            if lowest is None or crowding < lowest:
                lowest = crowding
                best = (offer.worker.worker_id,)
        return best


def places_of(worker: WorkerView) -> tuple[str, str, str]:
    """Name the places that fail together with a worker.

    Args:
        worker: the worker.

    Returns:
        Distinct keys of its failure domain, its rack and itself.
    """
    return (
        f'domain {worker.failure_domain}',
        f'rack {worker.rack}',
        f'worker {worker.worker_id}',
    )
