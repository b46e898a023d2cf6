"""Workers that a placement round reserves for gangs that do not fit yet."""

from collections.abc import Callable
from typing import Final

from jayshore.fleet.demands import GroupDemand, WorkerHeadroom
from jayshore.fleet.eligibility import count_fits, slot_limit
from jayshore.fleet.ranking import DeadlineStatus

_MAX_SHARE: Final = 0.4
"""Share of the workers that may be reserved for waiting gangs."""


class Reservations:
    """The reservations of one round, made in the order of ranks."""

    def __init__(self, *, worker_count: int) -> None:
        """Create an account without reservations.

        Args:
            worker_count: number of usable workers.
        """
        self._left = round(_MAX_SHARE * worker_count)

    @property
    def exhausted(self) -> bool:
        """Whether no more workers may be reserved."""
        return self._left <= 0

    def reserve(
        self,
        demand: GroupDemand,
        usable: list[WorkerHeadroom],
        by_free: Callable[[], list[WorkerHeadroom]],
    ) -> None:
        """Reserve the workers with the most free processor for a gang.

        Nothing is reserved for a gang that does not fit even in empty workers,
        nor for one that is late, because others would wait for it in vain. For
        the same reason no empty worker is reserved for one that needs more than
        may be reserved and is free elsewhere.

        Args:
            demand: a gang without room.
            usable: workers that may run it.
            by_free: returns them in the order of their free processor.
        """
        if (
            self.exhausted
            or demand.rank.deadline_status is not DeadlineStatus.IN_TIME
            or not _fits_when_empty(demand, usable)
        ):
            return
        chosen = self._choose(demand, by_free())
        for worker in chosen:
            worker.reserved_for = demand.group_id
        self._left -= len(chosen)

    def _choose(
        self, demand: GroupDemand, by_free: list[WorkerHeadroom]
    ) -> list[WorkerHeadroom]:
        """Choose the workers to reserve; empty ones only if they suffice."""
        wanted = len(demand.indexes)
        chosen: list[WorkerHeadroom] = []
        for worker in by_free:
            if wanted <= 0:
                break
            if worker.reserved_for is not None:
                continue
            if len(chosen) < self._left:
                chosen.append(worker)
                wanted -= _slots_when_empty(demand, worker)
            else:
                wanted -= _free_slots(demand, worker)
        if wanted <= 0:
            return chosen
        return [one for one in chosen if not one.empty]


def _fits_when_empty(demand: GroupDemand, usable: list[WorkerHeadroom]) -> bool:
    wanted = len(demand.indexes)
    for worker in usable:
        wanted -= _slots_when_empty(demand, worker)
        if wanted <= 0:
            return True
    return False


def _slots_when_empty(demand: GroupDemand, worker: WorkerHeadroom) -> int:
    return min(slot_limit(worker, demand), count_fits(demand, worker.capacity))


def _free_slots(demand: GroupDemand, worker: WorkerHeadroom) -> int:
    return min(slot_limit(worker, demand), count_fits(demand, worker.free))
