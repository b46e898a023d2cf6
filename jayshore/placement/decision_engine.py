"""Decides what to do next: tries waiting entries in order until one fits."""

import types
from collections.abc import Iterable, Iterator, Mapping
from typing import TypeAlias

from jayshore.clock import Millis
from jayshore.placement.backfill import (
    EarliestStart,
    Reservation,
    ReservationCase,
)
from jayshore.placement.backlog import Backlog, WaitingEntry
from jayshore.placement.decisions import Decision, Preempt, TeamHeadroom, Wait
from jayshore.placement.entries import QueueEntry, Shape, fit_key
from jayshore.placement.packing import (
    BestFit,
    FillInOrder,
    Offer,
    PlacementCase,
)
from jayshore.placement.policy import Policy
from jayshore.placement.preemption import (
    MAX_VICTIM_CANDIDATES,
    LatestStarted,
    PreemptionCase,
    preemption_delay_ms,
)
from jayshore.placement.reservation_limits import ReservationLimits
from jayshore.placement.reserved_entry import ReservedEntryTracker
from jayshore.placement.round_rules import (
    BLOCKED_CHECK_INTERVAL_MS,
    BLOCKED_SHAPES_PER_CHECK,
    assign_workers,
    may_preempt,
    may_reserve,
)
from jayshore.placement.settings import PlacementSettings
from jayshore.placement.spreading import TopologySpread
from jayshore.placement.tasks import PlacedTask, TaskKind
from jayshore.placement.usage import TeamUsage
from jayshore.placement.worker_registry import (
    WorkerRegistry,
    eligible_allocations,
    is_usable,
)

_WorkerPolicy: TypeAlias = Policy[PlacementCase, tuple[str, ...]]
_POLICIES: Mapping[TaskKind, _WorkerPolicy] = types.MappingProxyType(
    {
        TaskKind.SERVICE: TopologySpread(),
        TaskKind.BATCH: BestFit(),
        TaskKind.GANG: FillInOrder(),
        TaskKind.PREVIEW: BestFit(),
    }
)


class DecisionEngine:
    """Makes decisions, and keeps the state that carries over between them.

    Attributes:
        now: the time of the last decision.
        stopping: the number of tasks that are being stopped.
        settings: the settings of the policies.
    """

    def __init__(
        self,
        *,
        headroom: TeamHeadroom,
        registry: WorkerRegistry,
        usage: TeamUsage,
        backlog: Backlog,
        limits: ReservationLimits,
    ) -> None:
        """Create an engine over the indexes of a cell.

        Args:
            headroom: what each team may still start under its limit.
            registry: the workers.
            usage: the usage of the teams.
            backlog: the waiting entries.
            limits: the reservation and what it leaves to other work.
        """
        self.now = Millis(0)
        self.stopping = 0
        self.settings = PlacementSettings()
        self._headroom = headroom
        self._registry = registry
        self._usage = usage
        self._backlog = backlog
        self._limits = limits
        self._reserved_entry = ReservedEntryTracker(records=registry.records)
        self._next_check_at = Millis(0)
        # Shapes tried in a full pass; None when only feasible shapes are tried.
        self._skipped: int | None = None

    def reserve(self, reservation: Reservation | None) -> None:
        """Replace the reservation of the cell.

        Args:
            reservation: the new reservation, or None to drop the current one.
        """
        self._reserved_entry.request_retry()
        former = self._limits.replace(reservation)
        self._backlog.feasibility.reservation_changed(former)

    def decide(self, now: Millis) -> Decision:
        """Make the next decision.

        Args:
            now: the time, never earlier than at the previous call.

        Returns:
            What to start or stop, or that nothing can be done now.
        """
        max_checks = self._prepare(now)
        self._skipped = 0 if max_checks else None
        checked: set[Shape] = set()
        for waiting in iter(self._next_waiting, None):
            shape = waiting.shape
            workers = self._choose_workers(waiting)
            if len(workers) == shape.size:
                return assign_workers(waiting.entry, workers)
            self._mark_infeasible(waiting, workers)
            if len(checked) < max_checks and shape not in checked:
                checked.add(shape)
                self._next_check_at = Millis(now + BLOCKED_CHECK_INTERVAL_MS)
                preempt = self._preempt_or_reserve(waiting)
                if preempt is not None:
                    return preempt
            if len(checked) >= max_checks:
                self._skipped = None
        if max_checks:
            self._next_check_at = Millis(now + BLOCKED_CHECK_INTERVAL_MS)
        return Wait()

    def _prepare(self, now: Millis) -> int:
        """Apply pending changes; return how many blocked shapes to check."""
        self.now = now
        self._limits.now = now
        for worker_id in self._registry.pop_gained():
            if is_usable(self._registry.records, worker_id):
                self._backlog.feasibility.capacity_gained(worker_id)
                self._reserved_entry.capacity_gained(worker_id)
        self._backlog.promote_due(now)
        self._drop_reservation()
        if now < self._next_check_at:
            return 0
        self._reserved_entry.request_retry()
        return BLOCKED_SHAPES_PER_CHECK

    def _next_waiting(self) -> WaitingEntry | None:
        """Choose the next entry to try, skipping teams at their limit."""
        waiting = self._next_candidate()
        while waiting is not None and not _has_headroom_for(
            self._headroom, waiting.entry
        ):
            self._backlog.block(waiting)
            waiting = self._next_candidate()
        return waiting

    def _next_candidate(self) -> WaitingEntry | None:
        """Choose the next entry; the reserved one is first in its tier."""
        first = self._backlog.first(self._skipped)
        reservation = self._limits.reservation
        if reservation is not None:
            reserved = self._backlog.waiting.get(reservation.entry_id)
            if (
                reserved is not None
                and (first is None or reserved.shape.tier <= first.shape.tier)
                and self._reserved_entry.should_retry(reserved.entry)
            ):
                return reserved
        return first

    def _mark_infeasible(
        self, waiting: WaitingEntry, workers: tuple[str, ...]
    ) -> None:
        has_reservation = self._limits.belongs_to(waiting.entry)
        if has_reservation:
            self._reserved_entry.mark_infeasible(waiting.entry, workers)
        if self._skipped is not None:
            self._skipped |= waiting.bit
        self._backlog.feasibility.mark_infeasible(
            waiting.bit, workers, has_reservation=has_reservation
        )

    def _drop_reservation(self) -> None:
        reservation = self._limits.reservation
        if reservation is None:
            return
        records = self._registry.records
        waiting = self._backlog.waiting.get(reservation.entry_id)
        if (
            self.now >= reservation.start_at
            or waiting is None
            or not _has_headroom_for(self._headroom, waiting.entry)
            or not all(is_usable(records, name) for name in reservation.amounts)
        ):
            self.reserve(None)

    def _choose_workers(self, waiting: WaitingEntry) -> tuple[str, ...]:
        shape = waiting.shape
        return _POLICIES[shape.kind].evaluate(
            PlacementCase(
                offers=self._offers(waiting),
                demand=shape.demand,
                size=shape.size,
                replica_counts=self._registry.replica_counts(
                    waiting.entry.entry_id.job_id
                ),
                weights=self.settings.weights,
                failures=self._registry.failures,
            )
        )

    def _offers(self, waiting: WaitingEntry) -> Iterator[Offer]:
        shape = waiting.shape
        has_reservation = self._limits.belongs_to(waiting.entry)
        for worker_id in self._candidate_workers(
            waiting, has_reservation=has_reservation
        ):
            record = self._registry.records[worker_id]
            if worker_id in shape.avoided:
                continue
            free = record.allocation.available_for(
                uses_reserve=shape.uses_reserve
            )
            available = free
            if not has_reservation and self._limits.covers(record):
                available = self._limits.available(record, shape)
            if shape.demand.fits_in(available):
                yield Offer(worker=record.view, available=available, free=free)

    def _candidate_workers(
        self, waiting: WaitingEntry, *, has_reservation: bool
    ) -> Iterable[str]:
        shape = waiting.shape
        names: Iterable[str] | None = None
        if self._skipped is None and not has_reservation:
            names = self._backlog.feasibility.candidate_workers(waiting.bit)
        if names is None:
            names = shape.allowed
        if names is None:
            index = self._registry.free_index(uses_reserve=shape.uses_reserve)
            return index.fitting(shape.demand)
        records = self._registry.records
        return sorted(
            (name for name in names if is_usable(records, name)),
            key=lambda name: fit_key(
                records[name].allocation.available_for(
                    uses_reserve=shape.uses_reserve
                ),
                name,
            ),
        )

    def _preempt_or_reserve(self, waiting: WaitingEntry) -> Preempt | None:
        entry, tier = waiting.entry, waiting.shape.tier
        if may_preempt(self._limits.reservation, entry, tier):
            victims = self._find_victims(entry)
            if victims:
                return Preempt(
                    task_ids=tuple(one.task.task_id for one in victims),
                    worker_id=victims[0].worker_id,
                    beneficiary=entry.entry_id,
                )
        if may_reserve(self._limits.reservation, tier):
            reservation = EarliestStart().evaluate(
                ReservationCase(
                    entry=entry,
                    tier=tier,
                    allocations=eligible_allocations(
                        self._registry.records, entry.first
                    ),
                    ending=self._registry.ending(),
                    now=self.now,
                )
            )
            if reservation is not None:
                self.reserve(reservation)
        return None

    def _find_victims(self, entry: QueueEntry) -> tuple[PlacedTask, ...]:
        first = entry.first
        settings = self.settings.preemption
        waited_ms = self.now - first.enqueued_at
        is_preempting = self.stopping > 0
        if (
            is_preempting
            or not settings.enabled
            or waited_ms < preemption_delay_ms(first)
        ):
            return ()
        team = self._usage.most_over_share(first.team)
        if team is None or self._usage.share(team) < settings.above_share:
            return ()
        return LatestStarted().evaluate(
            PreemptionCase(
                entry=entry,
                beneficiary_share=self._usage.share_case(first.team),
                victim_share=self._usage.share_case(team),
                candidates=self._usage.stoppable(team, MAX_VICTIM_CANDIDATES),
                allocations=eligible_allocations(self._registry.records, first),
            )
        )


def _has_headroom_for(headroom: TeamHeadroom, entry: QueueEntry) -> bool:
    return headroom.has_headroom(entry.first.team, entry.demand)
