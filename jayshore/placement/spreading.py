"""Where service tasks start: spread over failure domains, racks and workers."""

from jayshore.placement.packing import PlacementCase, by_score
from jayshore.placement.policy import Policy
from jayshore.placement.tasks import WorkerView


class RackSpread(Policy[PlacementCase, tuple[str, ...]]):
    """The worker with the best score.

    By default this is the one with the fewest peers per failure domain, rack
    and worker.
    """

    def evaluate(self, case: PlacementCase) -> tuple[str, ...]:
        """Choose a worker.

        Args:
            case: a single task of a service.

        Returns:
            One worker id, or none.
        """
        peers = case.peers

        def crowding(worker: WorkerView) -> tuple[int, ...]:  # noqa: WPS430
            return tuple(peers.get(place, 0) for place in places_of(worker))

        offer = next(by_score(case, crowding), None)
        return () if offer is None else (offer.worker.worker_id,)


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
