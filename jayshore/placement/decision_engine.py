"""One decision: try waiting entries in order until something can be done."""

import types
from collections.abc import Iterable, Iterator, Mapping
from typing import TypeAlias

from jayshore.clock import Millis
from jayshore.placement.backfill import (
    EarliestStart,
    Reservation,
    ReservationCase,
)
from jayshore.placement.backlog import Backlog, Waiting
from jayshore.placement.decisions import Decision, Preempt, TeamHeadroom, Wait
from jayshore.placement.entries import Entry, Shape, fit_key
from jayshore.placement.packing import (
    BestFit,
    FillInOrder,
    Offer,
    PlacementCase,
)
from jayshore.placement.policy import Policy
from jayshore.placement.preemption import (
    VICTIM_CANDIDATES,
    LatestStarted,
    PreemptionCase,
    patience_ms,
)
from jayshore.placement.reservation_limits import ReservedRooms
from jayshore.placement.reserved_entry import HeldEntry
from jayshore.placement.round_rules import (
    ATTEMPT_INTERVAL_MS,
    ATTEMPTS,
    may_preempt,
    may_reserve,
    place,
)
from jayshore.placement.settings import PlacementSettings
from jayshore.placement.spreading import RackSpread
from jayshore.placement.tasks import PlacedTask, TaskKind
from jayshore.placement.usage import TeamUsage
from jayshore.placement.worker_registry import (
    Roster,
    is_usable,
    open_loads,
)

_Chooser: TypeAlias = Policy[PlacementCase, tuple[str, ...]]
_POLICIES: Mapping[TaskKind, _Chooser] = types.MappingProxyType(
    {
        TaskKind.SERVICE: RackSpread(),
        TaskKind.BATCH: BestFit(),
        TaskKind.GANG: FillInOrder(),
        TaskKind.PREVIEW: BestFit(),
    }
)


class Walk:
    """The state that outlives one decision, and the decision itself."""

    def __init__(
        self,
        *,
        headroom: TeamHeadroom,
        roster: Roster,
        usage: TeamUsage,
        backlog: Backlog,
        reserved: ReservedRooms,
    ) -> None:
        """Start without reservation.

        Args:
            headroom: the limits of the teams.
            roster: the workers.
            usage: the usage of the teams.
            backlog: the waiting entries.
            reserved: the reservation.
        """
        self.now = Millis(0)
        self.stopping = 0
        self.settings = PlacementSettings()
        self._headroom = headroom
        self._roster = roster
        self._usage = usage
        self._backlog = backlog
        self._reserved = reserved
        self._held = HeldEntry(members=roster.members)
        self._next_attempt = Millis(0)
        self._skipping: int | None = None

    def reserve(self, reservation: Reservation | None) -> None:
        """Replace the only reservation.

        Args:
            reservation: the new one, or None.
        """
        self._held.renew()
        former = self._reserved.replace(reservation)
        self._backlog.prospects.reservation_changed(former)

    def decide(self, now: Millis) -> Decision:
        """Choose the next thing to do.

        Args:
            now: the time.

        Returns:
            One decision.
        """
        attempts = self._prepare(now)
        self._skipping = 0 if attempts else None
        tried: set[Shape] = set()
        for waiting in iter(self._next, None):
            shape = waiting.shape
            workers = self._choose(waiting)
            if len(workers) == shape.size:
                return place(waiting.entry, workers)
            self._set_aside(waiting, workers)
            if len(tried) < attempts and shape not in tried:
                tried.add(shape)
                self._next_attempt = Millis(now + ATTEMPT_INTERVAL_MS)
                preempt = self._unblock(waiting)
                if preempt is not None:
                    return preempt
            if len(tried) >= attempts:
                self._skipping = None
        if attempts:
            self._next_attempt = Millis(now + ATTEMPT_INTERVAL_MS)
        return Wait()

    def _prepare(self, now: Millis) -> int:
        """Take in what changed; return how many blocked shapes to unblock."""
        self.now = now
        self._reserved.now = now
        for worker_id in self._roster.drain_gained():
            if is_usable(self._roster.members, worker_id):
                self._backlog.prospects.gain(worker_id)
                self._held.gain(worker_id)
        self._backlog.raise_due(now)
        self._drop_reservation()
        if now < self._next_attempt:
            return 0
        self._held.renew()
        return ATTEMPTS

    def _next(self) -> Waiting | None:
        """Choose the entry to try next, passing over teams at their limit."""
        waiting = self._candidate()
        while waiting is not None and not _allows(
            self._headroom, waiting.entry
        ):
            self._backlog.block(waiting)
            waiting = self._candidate()
        return waiting

    def _candidate(self) -> Waiting | None:
        """Choose the entry to try: in its tier, the reserved one is first."""
        first = self._backlog.first(self._skipping)
        reservation = self._reserved.reservation
        if reservation is not None:
            held = self._backlog.waiting.get(reservation.entry_id)
            if (
                held is not None
                and (first is None or held.shape.tier <= first.shape.tier)
                and self._held.is_due(held.entry)
            ):
                return held
        return first

    def _set_aside(self, waiting: Waiting, workers: tuple[str, ...]) -> None:
        is_held = self._reserved.is_for(waiting.entry)
        if is_held:
            self._held.fail(waiting.entry, workers)
        if self._skipping is not None:
            self._skipping |= waiting.bit
        self._backlog.prospects.fail(waiting.bit, workers, is_held=is_held)

    def _drop_reservation(self) -> None:
        reservation = self._reserved.reservation
        if reservation is None:
            return
        members = self._roster.members
        waiting = self._backlog.waiting.get(reservation.entry_id)
        if (
            self.now >= reservation.start_at
            or waiting is None
            or not _allows(self._headroom, waiting.entry)
            or not all(is_usable(members, name) for name in reservation.rooms)
        ):
            self.reserve(None)

    def _choose(self, waiting: Waiting) -> tuple[str, ...]:
        shape = waiting.shape
        return _POLICIES[shape.kind].evaluate(
            PlacementCase(
                offers=self._offers(waiting),
                demand=shape.demand,
                size=shape.size,
                peers=self._roster.peers(waiting.entry.entry_id.job_id),
                weights=self.settings.weights,
                failures=self._roster.failures,
            )
        )

    def _offers(self, waiting: Waiting) -> Iterator[Offer]:
        shape = waiting.shape
        is_held = self._reserved.is_for(waiting.entry)
        for worker_id in self._candidates(waiting, is_held=is_held):
            member = self._roster.members[worker_id]
            if worker_id in shape.avoided:
                continue
            free = member.load.room_of(in_lane=shape.in_lane)
            room = free
            if not is_held and self._reserved.limits(member):
                room = self._reserved.room(member, shape)
            if shape.demand.fits_in(room):
                yield Offer(worker=member.view, room=room, free=free)

    def _candidates(self, waiting: Waiting, *, is_held: bool) -> Iterable[str]:
        shape = waiting.shape
        names: Iterable[str] | None = None
        if self._skipping is None and not is_held:
            names = self._backlog.prospects.places(waiting.bit)
        if names is None:
            names = shape.allowed
        if names is None:
            rooms = self._roster.rooms(in_lane=shape.in_lane)
            return rooms.fitting(shape.demand)
        members = self._roster.members
        return sorted(
            (name for name in names if is_usable(members, name)),
            key=lambda name: fit_key(
                members[name].load.room_of(in_lane=shape.in_lane), name
            ),
        )

    def _unblock(self, waiting: Waiting) -> Preempt | None:
        entry, tier = waiting.entry, waiting.shape.tier
        if may_preempt(self._reserved.reservation, entry, tier):
            victims = self._victims(entry)
            if victims:
                return Preempt(
                    task_ids=tuple(one.task.task_id for one in victims),
                    worker_id=victims[0].worker_id,
                    beneficiary=entry.entry_id,
                )
        if may_reserve(self._reserved.reservation, tier):
            reservation = EarliestStart().evaluate(
                ReservationCase(
                    entry=entry,
                    tier=tier,
                    loads=open_loads(self._roster.members, entry.first),
                    ending=self._roster.ending(),
                    now=self.now,
                )
            )
            if reservation is not None:
                self.reserve(reservation)
        return None

    def _victims(self, entry: Entry) -> tuple[PlacedTask, ...]:
        first = entry.first
        settings = self.settings.preemption
        waited_ms = self.now - first.enqueued_at
        is_busy = self.stopping > 0
        if is_busy or not settings.enabled or waited_ms < patience_ms(first):
            return ()
        team = self._usage.furthest_above(first.team)
        if team is None or self._usage.share(team) < settings.above_share:
            return ()
        return LatestStarted().evaluate(
            PreemptionCase(
                entry=entry,
                owner=self._usage.case(first.team),
                victim=self._usage.case(team),
                candidates=self._usage.stoppable(team, VICTIM_CANDIDATES),
                loads=open_loads(self._roster.members, first),
            )
        )


def _allows(headroom: TeamHeadroom, entry: Entry) -> bool:
    return headroom.has_headroom(entry.first.team, entry.demand)
