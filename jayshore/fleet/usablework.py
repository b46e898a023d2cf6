"""How much of the waiting work of a service its workers could run at once.

A label, a limit per worker or the size of a gang can keep tasks from workers
that are idle. What is kept from them does not fill the service.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Sequence

from jayshore.fleet.model import WorkerEntry
from jayshore.fleet.pools import count_when_empty
from jayshore.resources import Resources, total


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitedTasks:
    """Waiting tasks of a group that may not use all workers.

    Attributes:
        label: label that a worker must have, empty for any.
        max_per_worker: tasks of the group on one worker, 0 for no limit.
        gang: all of them start or none.
        need: resources of a task.
        cores: cores that a task is worth.
        waiting: number of waiting tasks.
        running: number of tasks that hold resources.
    """

    label: str
    max_per_worker: int
    gang: bool
    need: Resources
    cores: float
    waiting: int
    running: int


class WorkerRoom:
    """What the workers of a service could run, by label."""

    def __init__(
        self,
        *,
        workers: Sequence[WorkerEntry],
        in_cores: Callable[[Resources], float],
        used_at: Callable[[str], Resources],
    ) -> None:
        """Create the room of a service.

        Args:
            workers: registrations of its usable workers.
            in_cores: converts resources to cores.
            used_at: returns the resources in use at a worker.
        """
        self._workers = workers
        self._in_cores = in_cores
        self._used_at = used_at
        self._shapes: dict[str, collections.Counter[Resources]] = {}

    def unusable_cores(self, tasks: Iterable[LimitedTasks]) -> float:
        """Add up what the workers could not run, were nothing else waiting.

        Args:
            tasks: waiting tasks that may not use all workers.

        Returns:
            Cores of the tasks that would find no room.
        """
        unusable: float = 0
        wanted: dict[str, float] = {}
        for one in tasks:
            usable = self._count_usable(one)
            unusable += (one.waiting - usable) * one.cores
            if one.label:
                known = wanted.get(one.label, 0)
                wanted[one.label] = known + usable * one.cores
        return unusable + sum(
            max(0, cores - self._free_cores(label))
            for label, cores in wanted.items()
        )

    def _count_usable(self, tasks: LimitedTasks) -> int:
        shapes = self._shapes_of(tasks.label)
        slots = sum(
            number * count_when_empty(tasks.need, shape, tasks.max_per_worker)
            for shape, number in shapes.items()
        )
        if tasks.gang:
            return tasks.waiting if tasks.waiting <= slots else 0
        return max(0, min(tasks.waiting, slots - tasks.running))

    def _shapes_of(self, label: str) -> collections.Counter[Resources]:
        """Count the workers with a label by their capacities."""
        shapes = self._shapes.get(label)
        if shapes is None:
            shapes = collections.Counter(
                worker.capacity for worker in self._labelled(label)
            )
            self._shapes[label] = shapes
        return shapes

    def _free_cores(self, label: str) -> float:
        workers = self._labelled(label)
        capacity = total(worker.capacity for worker in workers)
        used = total(self._used_at(worker.worker_id) for worker in workers)
        return max(0, self._in_cores(capacity) - self._in_cores(used))

    def _labelled(self, label: str) -> list[WorkerEntry]:
        return [
            worker
            for worker in self._workers
            if not label or label in worker.labels
        ]
