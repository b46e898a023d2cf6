"""Workers that several demands of a placement round may use."""

import collections
import dataclasses
from collections.abc import (
    Callable,
    Collection,
    Container,
    Iterable,
    Iterator,
    Mapping,
)
from typing import Final, NamedTuple

from jayshore.fleet.demands import WorkerHeadroom
from jayshore.fleet.model import GroupId
from jayshore.resources import Resources

_MAX_WASTED: Final = 16
"""Workers without room that a search may examine before it sorts anew."""


_UNBOUNDED: Final = 1 << 30


class PoolKey(NamedTuple):
    """What the eligibility of a worker for a demand depends on.

    Attributes:
        service: service of the demand.
        label: label that it requires, empty for any.
        may_probe: it may probe quarantined workers.
        any_worker: it may use quarantined workers.
    """

    service: str
    label: str
    may_probe: bool
    any_worker: bool


class Gang(NamedTuple):
    """Shape of a gang.

    Attributes:
        need: resources of a task.
        size: number of tasks.
        max_per_worker: tasks on one worker, 0 for no limit.
        evaluated: workers that advice has covered, empty without advice.
        tickets: those that it permits.
    """

    need: Resources
    size: int
    max_per_worker: int
    evaluated: Collection[str]
    tickets: Collection[str]


@dataclasses.dataclass(kw_only=True, slots=True)
class RoundWork:
    """Work of a round so far, shared by its pools.

    Attributes:
        examined: number of workers that were examined, the measure of the
            processor time of a round.
        charges: number of changes of the free resources of workers, which
            outdate the order of the workers.
    """

    examined: int = 0
    charges: int = 0


class WorkerPool:
    """Workers that are eligible for the same kinds of demands.

    Pools are shared between demands, because many demands of a round differ
    only in the resources of a task, which nearly always fit an empty worker.
    """

    def __init__(
        self, *, workers: list[WorkerHeadroom], work: RoundWork
    ) -> None:
        self.workers = workers
        self._work = work
        self._by_id = {worker.worker_id: worker for worker in workers}
        self._capacities = collections.Counter(
            worker.capacity for worker in workers
        )
        self._slots: dict[tuple[Resources, int], int] = {}
        self._least_cpu = min(
            (capacity.cpu_millis for capacity in self._capacities), default=-1
        )
        self._least_memory = min(
            (capacity.memory_mb for capacity in self._capacities), default=-1
        )
        self._limited: dict[tuple[bool, ...], WorkerPool] = {}
        self._by_free = _SortedWorkers(workers)
        self._by_preference = _SortedWorkers(workers)
        self._roomiest: list[tuple[int, WorkerHeadroom]] | None = None
        self._reserved: dict[GroupId, list[WorkerHeadroom]] = {}

    def holds_each(self, need: Resources) -> bool:
        """Return whether a task certainly fits every worker when empty."""
        return (
            need.cpu_millis <= self._least_cpu
            and need.memory_mb <= self._least_memory
            and not need.accelerators
            and not need.requests
        )

    def count_slots(self, need: Resources, max_per_worker: int) -> int:
        """Count the tasks that the workers could hold if they were empty.

        Args:
            need: resources of a task.
            max_per_worker: tasks on one worker, 0 for no limit.

        Returns:
            Number of tasks.
        """
        key = (need, max_per_worker)
        slots = self._slots.get(key)
        if slots is None:
            slots = sum(
                number * count_when_empty(need, capacity, max_per_worker)
                for capacity, number in self._capacities.items()
            )
            self._slots[key] = slots
        return slots

    def holds_gang(self, gang: Gang) -> bool:
        """Return whether the workers could hold a gang if they were empty.

        Args:
            gang: its shape, and what advice says of the workers.

        Returns:
            True also when workers that advice has not covered are needed.
        """
        limit = gang.max_per_worker
        if self.count_slots(gang.need, limit) < gang.size:
            return False
        if not gang.evaluated:
            return True
        left = gang.size
        for name in self._permitted(gang):
            left -= count_when_empty(
                gang.need, self._by_id[name].capacity, limit
            )
            if left <= 0:
                return True
        return False

    def may_have_room(self, need: Resources) -> bool:
        """Return False when certainly no worker has room for a task."""
        order = self._roomiest
        return (
            order is None
            or bool(self._reserved)
            or bool(order and need.cpu_millis <= order[0][0])
        )

    def limit_to(self, need: Resources) -> 'WorkerPool':
        """Return the pool without workers whose capacity is too small."""
        fits = tuple(need.fits_in(capacity) for capacity in self._capacities)
        if all(fits):
            return self
        pool = self._limited.get(fits)
        if pool is None:
            pool = WorkerPool(
                workers=[
                    worker
                    for worker in self.workers
                    if need.fits_in(worker.capacity)
                ],
                work=self._work,
            )
            self._limited[fits] = pool
        return pool

    def choose(self, tickets: Iterable[str]) -> list[WorkerHeadroom]:
        """Return the workers of the pool that have a ticket."""
        return [
            self._by_id[worker] for worker in tickets if worker in self._by_id
        ]

    def has_any(self, names: Mapping[str, object]) -> bool:
        """Return whether a worker of the pool is among some names."""
        return any(name in self._by_id for name in names)

    def is_covered(self, names: Container[str]) -> bool:
        """Return whether all workers of the pool are among some names."""
        return all(worker in names for worker in self._by_id)

    def by_free(self) -> list[WorkerHeadroom]:
        """Return the workers, those with the most free processor first."""
        return self._by_free.sort(_free_order, self._work)

    def by_preference(self) -> list[WorkerHeadroom]:
        """Return the workers, healthy and empty ones first."""
        return self._by_preference.sort(_preference_order, self._work)

    def with_room(
        self, need: Resources, group_id: GroupId
    ) -> list[WorkerHeadroom]:
        """Find the workers that have room for a task of a group.

        Free resources only become less in a round, so an older order by free
        processor still tells where the search may end.

        Args:
            need: resources of the task.
            group_id: its group, which may use what is reserved for it.

        Returns:
            The workers, in any order.
        """
        wanted = need.cpu_millis
        order = self._roomiest
        if order is None:
            order = self._sort_by_room()
        found = []
        examined = 0
        for free, worker in order:
            if free < wanted:
                break
            examined += 1
            if (
                worker.reserved_for is None or worker.reserved_for == group_id
            ) and need.fits_in(worker.free):
                found.append(worker)
        found.extend(
            own
            for own in self._reserved.get(group_id, ())
            if need.fits_in(own.free)
        )
        self._work.examined += examined
        if examined > 2 * len(found) + _MAX_WASTED:
            self._roomiest = None
        return found

    def _permitted(self, gang: Gang) -> Iterator[str]:
        """Iterate over the workers that advice permits or has not covered."""
        by_id = self._by_id
        yield from (name for name in gang.tickets if name in by_id)
        yield from (name for name in by_id if name not in gang.evaluated)

    def _sort_by_room(self) -> list[tuple[int, WorkerHeadroom]]:
        """Sort the workers by free processor, without the reserved ones."""
        self._roomiest = []
        self._reserved = {}
        for worker in self.by_free():
            group_id = worker.reserved_for
            if group_id is None:
                self._roomiest.append((worker.free.cpu_millis, worker))
            else:
                self._reserved.setdefault(group_id, []).append(worker)
        self._work.examined += len(self.workers) // 4
        return self._roomiest


class _SortedWorkers:
    """Workers in an order that is kept until their free resources change."""

    def __init__(self, workers: list[WorkerHeadroom]) -> None:
        self._workers = workers
        self._sorted_at = -1

    def sort(
        self,
        order: Callable[[WorkerHeadroom], tuple[int | str, ...]],
        work: RoundWork,
    ) -> list[WorkerHeadroom]:
        if self._sorted_at != work.charges:
            self._sorted_at = work.charges
            work.examined += len(self._workers)
            self._workers = sorted(self._workers, key=order)
        return self._workers


def count_when_empty(
    need: Resources, capacity: Resources, max_per_worker: int
) -> int:
    """Count the tasks of a group that an empty worker holds.

    Args:
        need: resources of a task.
        capacity: capacity of the worker.
        max_per_worker: tasks on one worker, 0 for no limit.

    Returns:
        Number of tasks.
    """
    counts = [
        whole // wanted
        for wanted, whole in zip(need, capacity, strict=True)
        if wanted
    ]
    if max_per_worker:
        counts.append(max_per_worker)
    return min(counts, default=_UNBOUNDED)


def may_hold(
    need: Resources, workers: Iterable[WorkerHeadroom], count: int
) -> bool:
    """Return whether workers may hold some tasks, by their processors.

    Args:
        need: resources of one task.
        workers: workers with room for one.
        count: number of tasks.

    Returns:
        False when the tasks certainly do not fit.
    """
    wanted = need.cpu_millis
    left = count
    for worker in workers:
        left -= worker.free.cpu_millis // wanted if wanted else count
        if left <= 0:
            return True
    return left <= 0


def sort_by_free(workers: Iterable[WorkerHeadroom]) -> list[WorkerHeadroom]:
    """Sort workers, those with the most free processor first.

    Args:
        workers: the workers.

    Returns:
        The same workers.
    """
    return sorted(workers, key=_free_order)


def _free_order(worker: WorkerHeadroom) -> tuple[int, str]:
    return -worker.free.cpu_millis, worker.worker_id


def _preference_order(
    worker: WorkerHeadroom,
) -> tuple[int, bool, int, str]:
    return (
        worker.failure_score,
        worker.cold,
        -worker.free.cpu_millis,
        worker.worker_id,
    )
