"""Placement round: chooses which waiting tasks start, and on which workers.

A round is a function of its inputs: the headroom of the workers, what each
workspace may still start, and the demands with their ranks. For a full fleet,
tasks are bin packed by best fit, so that wide gangs find headroom, and the best
ranked gangs that do not fit reserve workers against lower ranked work.
"""

from collections.abc import Iterable
from functools import partial
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.adviceneeds import (
    MAX_ADVICE_WORKERS,
    AdviceGate,
    OpenGate,
    choose_workers_to_ask,
)
from jayshore.fleet.apart import least_used, without_other_new_tasks
from jayshore.fleet.demands import (
    AdviceRequest,
    Decisions,
    GroupDemand,
    WaitReason,
    WorkerHeadroom,
)
from jayshore.fleet.eligibility import (
    avoid_failed_workers,
    count_fits,
    explain_lack,
    is_eligible,
    slot_limit,
)
from jayshore.fleet.model import GroupId
from jayshore.fleet.pools import (
    Gang,
    PoolKey,
    RoundWork,
    WorkerPool,
    may_hold,
    sort_by_free,
)
from jayshore.fleet.ranking import Rank
from jayshore.fleet.reservations import Reservations
from jayshore.fleet.slots import occupy_slot, release_slots
from jayshore.fleet.speedorder import SpeedPreference
from jayshore.resources import Resources

TICKET_MARGIN_MS: Final = Millis(150)
"""Minimum remaining validity of a ticket when a start is decided, in ms.

Covers the time to record the start and to send it to the worker.
"""


class PlacementRound:
    """One round over all demands."""

    def __init__(
        self,
        *,
        workers: Iterable[WorkerHeadroom],
        allowances: dict[str, Resources],
        now: Millis,
        probation_slots: int = 0,
        gate: AdviceGate | None = None,
    ) -> None:
        """Create a round.

        Args:
            workers: headroom of the usable workers; the round consumes it.
            allowances: resources that each workspace may still start; a
                missing workspace has no limit. The round consumes them.
            now: time on the leader's clock, in ms.
            probation_slots: number of workers that suspects may occupy beside
                those that they occupy already.
            gate: limits the requests for advice, None for no limit.
        """
        self.work = RoundWork()
        self.decisions = Decisions()
        self._workers = list(workers)
        self._evacuated = {
            worker.worker_id: worker
            for worker in self._workers
            if worker.evacuated
        }
        self._probation_slots = probation_slots
        self._pools: dict[PoolKey, WorkerPool] = {}
        self._allowances = allowances
        self._now = now
        self._reservations = Reservations(
            worker_count=len(self._workers) - len(self._evacuated)
        )
        self._gate = gate or OpenGate()

    @property
    def evacuates(self) -> bool:
        """Whether nothing may start on some of the workers."""
        return bool(self._evacuated)

    @property
    def may_reserve(self) -> bool:
        """Whether gangs without room may still reserve workers."""
        return not self._reservations.exhausted

    def decide(self, demands: Iterable[GroupDemand]) -> Decisions:
        """Decide on all demands.

        Args:
            demands: in any order.

        Returns:
            Placements, requests for advice, and reasons of waiting groups.
        """
        for demand in sorted(demands, key=_demand_rank):
            reason = self.consider(demand)
            if reason is not None:
                self.decisions.waiting[demand.group_id] = reason
        return self.decisions

    def consider(self, demand: GroupDemand) -> WaitReason | None:
        """Decide on a demand, after all that rank before it.

        Args:
            demand: waiting tasks.

        Returns:
            Why tasks were not placed, None when all were.
        """
        return self._try_place(
            demand, self._find_pool(demand).limit_to(demand.need)
        )

    def known_pool(self, key: PoolKey) -> WorkerPool | None:
        """Return the workers that an earlier demand of the round could use.

        Args:
            key: what the eligibility of workers depends on.

        Returns:
            The workers, None when there was no such demand.
        """
        return self._pools.get(key)

    def is_at_limit(self, workspace: str, need: Resources, least: int) -> bool:
        """Return whether a workspace may start too few tasks.

        Args:
            workspace: its name.
            need: resources of one task.
            least: number of tasks that have to start together.

        Returns:
            True when its allowance does not hold them.
        """
        allowance = self._allowances.get(workspace)
        return allowance is not None and not need.scaled(least).fits_in(
            allowance
        )

    def _find_pool(self, demand: GroupDemand) -> WorkerPool:
        """Find the eligible workers of a demand, regardless of their load."""
        key = PoolKey(
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
                ],
                work=self.work,
            )
            self._pools[key] = pool
        return pool

    def _try_place(
        self, demand: GroupDemand, pool: WorkerPool
    ) -> WaitReason | None:
        if not pool.workers:
            return explain_lack(
                demand, self._evacuated.values(), WaitReason.NO_WORKER
            )
        permitted = self._find_permitted(demand, pool)
        if isinstance(permitted, WaitReason):
            return permitted
        permitted = self._find_apart(
            demand, avoid_failed_workers(demand, permitted)
        )
        if not permitted:
            return WaitReason.PROBATION
        wanted = len(demand.indexes)
        count = min(wanted, self._allowed(demand))
        if not count or (demand.gang and count < wanted):
            return WaitReason.LIMIT
        roomy = self._find_roomy(demand, pool, permitted)
        slots = self._find_slots(demand, roomy, count)
        if demand.gang and len(slots) < count:
            self._reservations.reserve(
                demand,
                permitted,
                pool.by_free
                if permitted is pool.workers
                else partial(sort_by_free, permitted),
            )
            self._request_advice_on_new(demand, pool)
            return WaitReason.NO_ROOM
        complete = self._commit_slots(demand, slots)
        if not complete:
            return WaitReason.OLD_TICKET
        if len(slots) == wanted:
            return None
        self._request_advice_on_new(demand, pool)
        return WaitReason.NO_ROOM

    def _find_permitted(
        self, demand: GroupDemand, pool: WorkerPool
    ) -> list[WorkerHeadroom] | WaitReason:
        """Find the workers that advice permits, or why there are none."""
        if not demand.advised:
            return pool.workers
        never_whole = self._explain_gang(demand, pool) if demand.gang else None
        if never_whole is not None:
            return never_whole
        if not demand.evaluated:
            self._request_advice_on_new(demand, pool)
            return WaitReason.NO_ADVICE
        permitted = pool.choose(demand.tickets)
        if permitted:
            return permitted
        self._request_advice_on_new(demand, pool)
        return explain_lack(
            demand, self._evacuated.values(), WaitReason.NOT_ADVISED
        )

    def _explain_gang(
        self, demand: GroupDemand, pool: WorkerPool
    ) -> WaitReason | None:
        gang = Gang(
            demand.need,
            len(demand.indexes),
            demand.max_per_worker,
            demand.evaluated,
            demand.tickets.keys(),
        )
        return self._gate.explain_gang(
            demand.group_id, demand.scope, gang, pool
        )

    def _find_roomy(
        self,
        demand: GroupDemand,
        pool: WorkerPool,
        permitted: list[WorkerHeadroom],
    ) -> list[WorkerHeadroom]:
        """Find the permitted workers that have room for a task."""
        if permitted is pool.workers:
            return pool.with_room(demand.need, demand.group_id)
        self.work.examined += len(permitted)
        return [
            worker
            for worker in permitted
            if worker.reserved_for in {None, demand.group_id}
            and demand.need.fits_in(worker.free)
        ]

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
            # Room is held for the group, so that it need not pass the gate.
            self._request_advice(
                demand,
                [
                    name
                    for name in demand.tickets
                    if name not in self._evacuated
                ][:MAX_ADVICE_WORKERS],
            )
        if expired and demand.gang:
            return False
        for index, slot in zip(demand.indexes, slots, strict=False):
            placement = occupy_slot(demand, index, slot)
            if slot.worker_id not in expired:
                self.decisions.placements.append(placement)
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
        self, demand: GroupDemand, pool: WorkerPool
    ) -> None:
        """Request advice on workers that earlier advice did not cover."""
        if not demand.advised or demand.advice_pending:
            return
        known = demand.evaluated
        first = next(
            (one for one in pool.workers if one.worker_id not in known), None
        )
        if first is not None and self._gate.may_ask(
            demand.group_id,
            demand.scope,
            demand.policy,
            lambda: bool(pool.with_room(demand.need, demand.group_id)),
        ):
            self._request_advice(
                demand,
                choose_workers_to_ask(demand, first, pool.by_preference()),
            )

    def _find_slots(
        self, demand: GroupDemand, roomy: list[WorkerHeadroom], count: int
    ) -> list[WorkerHeadroom]:
        if demand.gang and not may_hold(demand.need, roomy, count):
            return []
        if demand.same_rack:
            cold = {worker.rack for worker in roomy if worker.cold}
            racks = sorted({worker.rack for worker in roomy})
            for rack in sorted(racks, key=cold.__contains__):
                in_rack = [worker for worker in roomy if worker.rack == rack]
                slots = self._fill(demand, in_rack, count)
                if len(slots) == count:
                    return slots
                release_slots(demand, slots)
        slots = self._fill(demand, roomy, count)
        if demand.gang and len(slots) < count:
            release_slots(demand, slots)
            return []
        return slots

    def _fill(
        self, demand: GroupDemand, roomy: list[WorkerHeadroom], count: int
    ) -> list[WorkerHeadroom]:
        """Assign slots by best fit, on workers near the data first."""
        need = demand.need
        slots: list[WorkerHeadroom] = []
        self.work.examined += len(roomy)
        speed = SpeedPreference(demand, roomy)
        for worker in sorted(roomy, key=partial(fill_order, demand, speed)):
            if len(slots) == count:
                break
            limit = slot_limit(worker, demand)
            while limit and len(slots) < count and need.fits_in(worker.free):
                worker.free -= need
                slots.append(worker)
                limit -= 1
        self.work.charges += bool(slots)
        return slots

    def _request_advice(self, demand: GroupDemand, workers: list[str]) -> None:
        self._gate.note_request(demand.policy, len(workers))
        self.decisions.advice_requests.append(
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


def _demand_rank(demand: GroupDemand) -> tuple[Rank, GroupId]:
    return demand.rank, demand.group_id


def fill_order(
    demand: GroupDemand, speed: SpeedPreference, worker: WorkerHeadroom
) -> tuple[tuple[bool, int, bool], tuple[bool, int, bool], int, str]:
    """Order the workers for the tasks of a demand, the best one first."""
    free = worker.free.cpu_millis
    return (
        (
            worker.worker_id in demand.failed_on,
            worker.failure_score,
            speed.avoids(worker),
        ),
        (
            worker.rack != demand.data_rack if demand.data_rack else False,
            speed.rank(worker),
            worker.cold,
        ),
        -free if demand.suspect else free,
        worker.worker_id,
    )
