"""Tracks whether the workers together can hold gangs that did not fit before.

Gangs with the same demand and constraints differ only in size and in whether
the reservation limits them, so the tasks that fit on each worker are counted
once for all of them.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from jayshore.placement.allocations import WorkerAllocation
from jayshore.placement.entries import Shape
from jayshore.placement.feasible import count_fitting
from jayshore.placement.reservation_limits import ReservationLimits
from jayshore.placement.worker_registry import WorkerRecord
from jayshore.resources import Resources

_MAX_FIT_COUNT = 1 << 30


class _FitClass(NamedTuple):
    """What decides how many tasks of a gang fit on a worker."""

    demand: Resources
    uses_reserve: bool
    allowed: frozenset[str] | None
    avoided: frozenset[str]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Group:
    """The infeasible gangs of one fit class.

    Attributes:
        mask: their shapes.
        sizes: their shapes by the number of tasks.
        fit_counts: upper bounds of the tasks that fit, by worker, for gangs
            that the reservation limits.
        exempt_fit_counts: the same for gangs that it does not limit.
        allocations: the allocation of each worker at its last count.
    """

    mask: int = 0
    sizes: dict[int, int] = dataclasses.field(default_factory=dict)
    fit_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    exempt_fit_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    allocations: dict[str, WorkerAllocation] = dataclasses.field(
        default_factory=dict
    )


class GangCapacity:
    """Upper bounds of how many tasks of a gang fit on each worker.

    The bound of a worker holds until the worker gains capacity, since starts
    and the passing of time only reduce what is available. Bounds are recounted
    before their sum is taken to be large enough for a gang.
    """

    def __init__(
        self, *, records: Mapping[str, WorkerRecord], limits: ReservationLimits
    ) -> None:
        """Create a tracker without infeasible gangs.

        Args:
            records: the workers of the cell by id.
            limits: the reservation and what it leaves to other work.
        """
        self.mask = 0
        self._records = records
        self._limits = limits
        self._groups: dict[_FitClass, _Group] = {}
        self._fit_classes: dict[int, tuple[_FitClass, int]] = {}

    def mark_infeasible(
        self, bit: int, shape: Shape, workers: Sequence[str], *, exempt: bool
    ) -> None:
        """Record that a gang does not fit now.

        Args:
            bit: the bit of its shape.
            shape: its shape.
            workers: the workers on which some of its tasks fitted, one id per
                task.
            exempt: whether the reservation did not limit the attempt.
        """
        fit_class = _FitClass(
            demand=shape.demand,
            uses_reserve=shape.uses_reserve,
            allowed=shape.allowed,
            avoided=shape.avoided,
        )
        group = self._groups.setdefault(fit_class, _Group())
        self.mask |= bit
        group.mask |= bit
        group.sizes[shape.size] = group.sizes.get(shape.size, 0) | bit
        self._fit_classes[bit] = (fit_class, shape.size)
        group.allocations.clear()
        group.fit_counts = dict(collections.Counter(workers))
        if exempt:
            group.exempt_fit_counts = group.fit_counts.copy()

    def forget(self, bit: int) -> None:
        """Drop a shape that no waiting entry has.

        Args:
            bit: the bit of the shape, which need not be known.
        """
        known = self._fit_classes.pop(bit, None)
        if known is None:
            return
        fit_class, size = known
        group = self._groups[fit_class]
        self.mask ^= bit
        group.mask ^= bit
        group.sizes[size] ^= bit
        if not group.sizes[size]:
            group.sizes.pop(size)
        if not group.mask:
            self._groups.pop(fit_class)

    def reservation_changed(self) -> None:
        """Update the bounds after the reservation was replaced or dropped.

        The former reservation limited gangs only on its own workers, which
        are reported as having gained capacity.
        """
        for group in self._groups.values():
            group.allocations.clear()
            group.exempt_fit_counts = group.fit_counts.copy()

    def candidate_workers(self, bit: int, *, exempt: bool) -> Iterable[str]:
        """List the workers on which tasks of an infeasible gang may fit.

        Args:
            bit: the bit of its shape.
            exempt: whether the reservation does not limit the gang.

        Returns:
            Worker ids in no particular order.
        """
        group = self._groups[self._fit_classes[bit][0]]
        return group.exempt_fit_counts if exempt else group.fit_counts

    def still_infeasible(self, worker_id: str, gangs: int, exempt: int) -> int:
        """Recount gangs on a worker that gained capacity.

        Args:
            worker_id: the worker.
            gangs: mask of gang shapes of which a task fits there.
            exempt: mask of the shapes that the reservation does not limit.

        Returns:
            A mask of those gangs that still do not fit as a whole.
        """
        still_infeasible = 0
        for fit_class, group in self._groups.items():
            present = group.mask & gangs
            if not present:
                continue
            self._recount(fit_class, group, worker_id)
            limited = present & ~exempt
            if limited:
                still_infeasible |= self._infeasible_part(
                    fit_class, group, limited, group.fit_counts
                )
            if limited != present:
                still_infeasible |= self._infeasible_part(
                    fit_class, group, present & exempt, group.exempt_fit_counts
                )
        return still_infeasible

    def _infeasible_part(
        self,
        fit_class: _FitClass,
        group: _Group,
        part: int,
        fit_counts: Mapping[str, int],
    ) -> int:
        lowest = min(group.sizes)
        total = sum(fit_counts.values())
        if total >= lowest:
            for worker_id in tuple(fit_counts):
                self._recount(fit_class, group, worker_id)
            total = sum(fit_counts.values())
        if total < lowest:
            return part
        still_infeasible = 0
        for size, mask in group.sizes.items():
            if size > total:
                still_infeasible |= part & mask
        return still_infeasible

    def _recount(
        self, fit_class: _FitClass, group: _Group, worker_id: str
    ) -> None:
        record = self._records.get(worker_id)
        if (
            record is not None
            and group.allocations.get(worker_id) is record.allocation
        ):
            return
        if record is None or not _is_eligible(record, fit_class):
            group.allocations.pop(worker_id, None)
            group.fit_counts.pop(worker_id, None)
            group.exempt_fit_counts.pop(worker_id, None)
            return
        allocation = record.allocation
        available = allocation.available_for(
            uses_reserve=fit_class.uses_reserve
        )
        exempt = count_fitting(fit_class.demand, available, _MAX_FIT_COUNT)
        limited = exempt
        if exempt and self._limits.covers(record):
            available = self._limits.spare(
                record, uses_reserve=fit_class.uses_reserve
            )
            limited = count_fitting(fit_class.demand, available, _MAX_FIT_COUNT)
        group.allocations[worker_id] = allocation
        _set_count(group.exempt_fit_counts, worker_id, exempt)
        _set_count(group.fit_counts, worker_id, limited)


def _is_eligible(record: WorkerRecord, fit_class: _FitClass) -> bool:
    worker_id = record.view.worker_id
    return (
        record.is_usable
        and worker_id not in fit_class.avoided
        and (fit_class.allowed is None or worker_id in fit_class.allowed)
    )


def _set_count(fit_counts: dict[str, int], worker_id: str, count: int) -> None:
    if count:
        fit_counts[worker_id] = count
    else:
        fit_counts.pop(worker_id, None)
