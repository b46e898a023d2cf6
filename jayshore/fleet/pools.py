"""Workers that several demands of a placement round may use."""

from collections.abc import Mapping

from jayshore.clock import Millis
from jayshore.fleet.demands import WorkerHeadroom
from jayshore.resources import Resources


class WorkerPool:
    """Workers that are eligible for the same kinds of demands.

    Pools are shared between demands, because many demands of a round differ
    only in the resources of a task, which nearly always fit an empty worker.
    """

    def __init__(self, *, workers: list[WorkerHeadroom]) -> None:
        self.workers = workers
        self._by_id = {worker.worker_id: worker for worker in workers}
        self._smallest = Resources(
            cpu_millis=min(
                (worker.capacity.cpu_millis for worker in workers), default=0
            ),
            memory_mb=min(
                (worker.capacity.memory_mb for worker in workers), default=0
            ),
            accelerators=min(
                (worker.capacity.accelerators for worker in workers), default=0
            ),
        )

    def limit_to(self, need: Resources) -> 'WorkerPool':
        """Return the pool without workers whose capacity is too small."""
        if need.fits_in(self._smallest):
            return self
        return WorkerPool(
            workers=[
                worker
                for worker in self.workers
                if need.fits_in(worker.capacity)
            ]
        )

    def choose(self, tickets: Mapping[str, Millis]) -> list[WorkerHeadroom]:
        """Return the workers of the pool that have a ticket."""
        return [
            self._by_id[worker] for worker in tickets if worker in self._by_id
        ]
