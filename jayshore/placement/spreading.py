"""Chooses workers for services: spread over domains, racks and workers."""

from jayshore.placement.packing import PlacementCase, offers_by_score
from jayshore.placement.policy import Policy
from jayshore.placement.tasks import WorkerView


class TopologySpread(Policy[PlacementCase, tuple[str, ...]]):
    """Chooses the worker with the best score.

    By default this is the one with the fewest tasks of the same service in its
    failure domain, then on its rack, then on itself.
    """

    def evaluate(self, case: PlacementCase) -> tuple[str, ...]:
        """Choose a worker.

        Args:
            case: a single task of a service.

        Returns:
            One worker id, or none.
        """
        replica_counts = case.replica_counts

        def replicas_at(worker: WorkerView) -> tuple[int, ...]:  # noqa: WPS430
            return tuple(
                replica_counts.get(key, 0) for key in topology_keys(worker)
            )

        offer = next(offers_by_score(case, replicas_at), None)
        return () if offer is None else (offer.worker.worker_id,)


def topology_keys(worker: WorkerView) -> tuple[str, str, str]:
    """Return the keys by which the tasks of a service are counted.

    Args:
        worker: the worker.

    Returns:
        Distinct keys of the failure domain, the rack and the worker.
    """
    return (
        f'domain {worker.failure_domain}',
        f'rack {worker.rack}',
        f'worker {worker.worker_id}',
    )
