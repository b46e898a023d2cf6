"""Placement round: chooses which waiting tasks start, and on which workers.

A round is a function of its inputs: the headroom of the workers, what each
workspace may still start, and the demands with their ranks. For a full fleet,
tasks are bin packed by best fit, so that wide gangs find headroom, and the best
ranked gangs that do not fit reserve workers against lower ranked work.
"""

import math
from collections.abc import Iterable
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.demands import (
    AdviceRequest,
    Decisions,
    GroupDemand,
    WaitReason,
    WorkerHeadroom,
)
from jayshore.fleet.apart import least_used, without_other_new_tasks
from jayshore.fleet.eligibility import (
    avoid_failed_workers,
    count_fits,
    explain_lack,
    is_eligible,
    slot_limit,
)
from jayshore.fleet.model import GroupId
from jayshore.fleet.pools import WorkerPool
from jayshore.fleet.ranking import DeadlineStatus, Rank
from jayshore.fleet.slots import occupy_slot, release_slots
from jayshore.fleet.speedorder import SpeedPreference
from jayshore.resources import Resources

TICKET_MARGIN_MS: Final = Millis(150)
"""Minimum remaining validity of a ticket when a start is decided, in ms.

Covers the time to record the start and to send it to the worker.
"""

_MAX_RESERVED_SHARE: Final = 0.4
"""Share of the workers that may be reserved for waiting gangs."""

_MIN_ADVICE_WORKERS: Final = 24
"""Minimum number of workers in a request for advice, if that many exist."""

_MAX_ADVICE_WORKERS: Final = 80
"""Maximum number of workers in a request; the service accepts up to 100."""

_ADVICE_WORKERS_PER_NEEDED: Final = 10
"""Workers in a request for each empty worker that the group would fill.

The service permits a third of the workers for the widest groups, and on a busy
fleet a quarter of a worker is free.
"""

_UNLIMITED: Final = 1 << 60


class PlacementRound:
    """One round over all demands."""

    def __init__(
        self,
        *,
        workers: Iterable[WorkerHeadroom],
        allowances: dict[str, Resources],
        now: Millis,
        probation_slots: int = 0,
    ) -> None:
        """Create a round.

        Args:
            workers: headroom of the usable workers; the round consumes it.
            allowances: resources that each workspace may still start; a
                missing workspace has no limit. The round consumes them.
            now: time on the leader's clock, in ms.
            probation_slots: number of workers that suspects may occupy beside
                those that they occupy already.
        """
        self._workers = list(workers)
        self._evacuated = {
            worker.worker_id: worker
            for worker in self._workers
            if worker.evacuated
        }
        self._probation_slots = probation_slots
        self._pools: dict[tuple[str, str, bool, bool], WorkerPool] = {}
        self._allowances = allowances
        self._now = now
        self._reserved_count = 0
        self._decisions = Decisions()

    def decide(self, demands: Iterable[GroupDemand]) -> Decisions:
        """Decide on all demands.

        Args:
            demands: in any order.

        Returns:
            Placements, requests for advice, and reasons of waiting groups.
        """
        for demand in sorted(demands, key=_demand_rank):
            self._consider(demand)
        return self._decisions

    def _consider(self, demand: GroupDemand) -> None:
        reason = self._try_place(demand, self._find_pool(demand))
        if reason is not None:
            self._decisions.waiting[demand.group_id] = reason

    def _find_pool(self, demand: GroupDemand) -> WorkerPool:
        """Find the eligible workers of a demand, regardless of their load."""
        key = (
            demand.service,
            demand.required_label,
            demand.may_probe,
            demand.any_worker,
        )
        pool = self._pools.get(key)
        if pool is None:
            pool = WorkerPool(
                workers=[
                    worker
                    for worker in self._workers
                    if is_eligible(worker, demand)
                ]
            )
            self._pools[key] = pool
        return pool.limit_to(demand.need)

    def _try_place(
        self, demand: GroupDemand, pool: WorkerPool
    ) -> WaitReason | None:
        usable = pool.workers
        if not usable:
            return explain_lack(
                demand, self._evacuated.values(), WaitReason.NO_WORKER
            )
        if demand.advised and not demand.evaluated:
            if not demand.advice_pending:
                self._request_advice(
                    demand, _choose_workers_to_ask(demand, usable)
                )
            return WaitReason.NO_ADVICE
        permitted = usable
        if demand.advised:
            permitted = pool.choose(demand.tickets)
            if not permitted:
                self._request_advice_on_new(demand, usable)
                return explain_lack(
                    demand, self._evacuated.values(), WaitReason.NOT_ADVISED
                )
        permitted = self._find_apart(
            demand, avoid_failed_workers(demand, permitted)
        )
        if not permitted:
            return WaitReason.PROBATION
        wanted = len(demand.indexes)
        count = min(wanted, self._allowed(demand))
        if not count or (demand.gang and count < wanted):
            return WaitReason.LIMIT
        slots = self._find_slots(demand, permitted, count)
        if demand.gang and len(slots) < count:
            self._reserve_workers(demand, permitted)
            self._request_advice_on_new(demand, usable)
            return WaitReason.NO_ROOM
        complete = self._commit_slots(demand, slots)
        if not complete:
            return WaitReason.OLD_TICKET
        if len(slots) == wanted:
            return None
        self._request_advice_on_new(demand, usable)
        return WaitReason.NO_ROOM

    def _commit_slots(
        self, demand: GroupDemand, slots: list[WorkerHeadroom]
    ) -> bool:
        """Place tasks in slots, but hold slots whose ticket must be renewed.

        Returns False when a ticket expires too soon; the held slots stay
        charged for this round, so that no lower ranked demand takes them.
        """
        required_until = self._now + TICKET_MARGIN_MS
        expired = {
            worker.worker_id
            for worker in slots
            if demand.advised
            and demand.tickets[worker.worker_id] < required_until
        }
        for _ in slots:
            self._charge_allowance(demand)
        if expired and not demand.advice_pending:
            self._request_advice(
                demand,
                [
                    name
                    for name in demand.tickets
                    if name not in self._evacuated
                ][:_MAX_ADVICE_WORKERS],
            )
        if expired and demand.gang:
            return False
        for index, slot in zip(demand.indexes, slots, strict=False):
            placement = occupy_slot(demand, index, slot)
            if slot.worker_id not in expired:
                self._decisions.placements.append(placement)
        return not expired

    def _find_apart(
        self, demand: GroupDemand, permitted: list[WorkerHeadroom]
    ) -> list[WorkerHeadroom]:
        """Find where suspects run apart from other new tasks.

        Other demands are not restricted. While suspects are patient, one empty
        worker is used at a time, or reserved until it is empty. A gang takes
        what it needs.
        """
        if not demand.suspect:
            return permitted
        apart = without_other_new_tasks(demand, permitted)
        if not demand.patient:
            return apart or permitted
        if demand.gang:
            return apart
        best = least_used(apart)
        if best is None or self._probation_slots <= int(demand.likely):
            return []
        self._probation_slots -= 1
        if best.empty:
            return [best]
        best.reserved_for = demand.group_id
        return []

    def _request_advice_on_new(
        self, demand: GroupDemand, usable: list[WorkerHeadroom]
    ) -> None:
        """Request advice on workers that earlier advice did not cover."""
        unevaluated = [
            worker
            for worker in usable
            if worker.worker_id not in demand.evaluated
        ]
        if demand.advised and unevaluated and not demand.advice_pending:
            self._request_advice(
                demand, _choose_workers_to_ask(demand, unevaluated)
            )

    def _find_slots(
        self, demand: GroupDemand, usable: list[WorkerHeadroom], count: int
    ) -> list[WorkerHeadroom]:
        if demand.same_rack:
            cold = {worker.rack for worker in usable if worker.cold}
            racks = {worker.rack for worker in usable}
            for rack in sorted(racks, key=cold.__contains__):
                in_rack = [worker for worker in usable if worker.rack == rack]
                slots = self._fill(demand, in_rack, count)
                if len(slots) == count:
                    return slots
                release_slots(demand, slots)
        slots = self._fill(demand, usable, count)
        if demand.gang and len(slots) < count:
            release_slots(demand, slots)
            return []
        return slots

    def _fill(
        self, demand: GroupDemand, usable: list[WorkerHeadroom], count: int
    ) -> list[WorkerHeadroom]:
        """Assign slots by best fit, on workers near the data first."""
        need = demand.need
        candidates = [
            worker
            for worker in usable
            if worker.reserved_for in {None, demand.group_id}
            and need.fits_in(worker.free)
        ]
        speed = SpeedPreference(demand, candidates)
        order = sorted(
            candidates,
            key=lambda worker: (
                worker.worker_id in demand.failed_on,
                worker.failure_score,
                speed.avoids(worker),
                worker.rack != demand.data_rack if demand.data_rack else False,
                speed.rank(worker),
                worker.cold,
                -worker.free.cpu_millis
                if demand.suspect
                else worker.free.cpu_millis,
                worker.worker_id,
            ),
        )
        slots: list[WorkerHeadroom] = []
        for worker in order:
            limit = slot_limit(worker, demand)
            while limit and len(slots) < count and need.fits_in(worker.free):
                worker.free -= need
                slots.append(worker)
                limit -= 1
        return slots

    def _reserve_workers(
        self, demand: GroupDemand, usable: list[WorkerHeadroom]
    ) -> None:
        """Reserve the workers with the most free processor for a gang.

        Nothing is reserved for a gang that does not fit even in empty workers,
        nor for one that is late, because others would wait for it in vain.
        """
        wanted = len(demand.indexes)
        slot_count = sum(
            min(
                slot_limit(worker, demand),
                count_fits(demand, worker.capacity),
            )
            for worker in usable
        )
        if (
            slot_count < wanted
            or demand.rank.deadline_status is not DeadlineStatus.IN_TIME
        ):
            return
        max_reserved = round(
            _MAX_RESERVED_SHARE * (len(self._workers) - len(self._evacuated))
        )
        by_preference = sorted(
            (worker for worker in usable if worker.reserved_for is None),
            key=lambda worker: (-worker.free.cpu_millis, worker.worker_id),
        )
        for worker in by_preference:
            if wanted <= 0 or self._reserved_count >= max_reserved:
                return
            worker.reserved_for = demand.group_id
            self._reserved_count += 1
            wanted -= min(
                slot_limit(worker, demand),
                count_fits(demand, worker.capacity),
            )

    def _request_advice(self, demand: GroupDemand, workers: list[str]) -> None:
        self._decisions.advice_requests.append(
            AdviceRequest(
                group_id=demand.group_id,
                rank=demand.rank,
                workers=tuple(workers),
            )
        )

    def _allowed(self, demand: GroupDemand) -> int:
        allowance = self._allowances.get(demand.workspace)
        if allowance is None:
            return len(demand.indexes)
        return count_fits(demand, allowance)

    def _charge_allowance(self, demand: GroupDemand) -> None:
        allowance = self._allowances.get(demand.workspace)
        if allowance is not None:
            self._allowances[demand.workspace] = allowance - demand.need


def limit_allowance(maximum: Resources, used: Resources) -> Resources:
    """Compute the resources that a workspace may still start.

    Args:
        maximum: limit of the workspace; a component of 0 has no limit.
        used: resources of its running tasks.

    Returns:
        The remainder, negative when usage exceeds a limit that was lowered.
    """
    limit = Resources(
        cpu_millis=maximum.cpu_millis or _UNLIMITED,
        memory_mb=maximum.memory_mb or _UNLIMITED,
        accelerators=maximum.accelerators or _UNLIMITED,
    )
    return limit - used


def _demand_rank(demand: GroupDemand) -> tuple[Rank, GroupId]:
    return demand.rank, demand.group_id


def _choose_workers_to_ask(
    demand: GroupDemand, workers: list[WorkerHeadroom]
) -> list[str]:
    """Choose workers for a request for advice, healthy and empty ones first."""
    per_worker = max(1, count_fits(demand, workers[0].capacity))
    wanted = _ADVICE_WORKERS_PER_NEEDED * math.ceil(
        len(demand.indexes) / per_worker
    )
    count = min(_MAX_ADVICE_WORKERS, max(_MIN_ADVICE_WORKERS, wanted))
    by_preference = sorted(
        workers,
        key=lambda worker: (
            worker.failure_score,
            worker.cold,
            -worker.free.cpu_millis,
            worker.worker_id,
        ),
    )
    return [worker.worker_id for worker in by_preference[:count]]
