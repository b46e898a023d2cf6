"""The full scans of `jayshore.placement.naive`.

Each function answers one question from the plain state, without any index.
"""

import collections
import dataclasses
from collections.abc import Iterator

from jayshore.clock import Millis
from jayshore.placement.aging import AgingCase, LinearAging
from jayshore.placement.allocations import Load
from jayshore.placement.backfill import (
    BackfillCase,
    EarliestStart,
    EasyBackfill,
    Reservation,
    ReservationCase,
)
from jayshore.placement.deadlines import ShortSlack
from jayshore.placement.decisions import (
    Preempt,
    TeamHeadroom,
)
from jayshore.placement.entries import (
    Entry,
    Order,
    Tier,
    is_gang,
    order_of,
    run_bound,
    tier_of,
)
from jayshore.placement.fairness import DominantShare, ShareCase
from jayshore.placement.preemption import (
    VICTIM_CANDIDATES,
    LatestStarted,
    PreemptionCase,
    may_be_stopped,
    patience_ms,
)
from jayshore.placement.round_rules import (
    may_preempt,
    may_reserve,
)
from jayshore.placement.settings import PlacementSettings
from jayshore.placement.tasks import (
    PendingTask,
    PlacedTask,
    TaskId,
    WorkerState,
    WorkerView,
)
from jayshore.placement.urgent_reserve import UrgentReserve
from jayshore.resources import Resources, total


@dataclasses.dataclass(kw_only=True, slots=True)
class NaiveState:
    """A cell as plain maps.

    Attributes:
        headroom: the limits of the teams.
        shares: the share of each team that has one.
        workers: by id.
        pending: waiting tasks by id.
        running: running tasks by id.
        settings: of the policies.
        failures: failed part of the last tasks in 32nds, by worker.
        reservation: the only reservation, if any.
        next_attempt: when blocked entries are looked at again.
        now: the time of the last decision.
    """

    headroom: TeamHeadroom
    shares: dict[str, int] = dataclasses.field(default_factory=dict)
    workers: dict[str, WorkerView] = dataclasses.field(default_factory=dict)
    pending: dict[TaskId, PendingTask] = dataclasses.field(default_factory=dict)
    running: dict[TaskId, PlacedTask] = dataclasses.field(default_factory=dict)
    settings: PlacementSettings = PlacementSettings()
    failures: dict[str, int] = dataclasses.field(default_factory=dict)
    reservation: Reservation | None = None
    next_attempt: Millis = Millis(0)
    now: Millis = Millis(0)


def _entries(state: NaiveState) -> Iterator[Entry]:
    gangs: dict[str, list[PendingTask]] = collections.defaultdict(list)
    for task in state.pending.values():
        if is_gang(task):
            gangs[task.task_id.job_id].append(task)
        else:
            yield Entry(tasks=(task,))
    for tasks in gangs.values():
        if len(tasks) == tasks[0].gang_size:
            yield Entry(tasks=tuple(sorted(tasks, key=lambda one: one.task_id)))


def in_order(state: NaiveState) -> list[Entry]:
    """Sort all waiting entries.

    Args:
        state: the cell.
        now: the time.

    Returns:
        The entries, the first to be tried first.
    """
    entries = list(_entries(state))
    teams: dict[tuple[Tier, str], list[Entry]] = {}
    for one in entries:
        place_key = (current_tier(state, one), one.first.team)
        teams.setdefault(place_key, []).append(one)
    team_ranks = {
        place_key: _team_rank(state, place_key[0], members)
        for place_key, members in teams.items()
    }
    reservation = state.reservation

    def rank(entry: Entry) -> tuple[object, ...]:  # noqa: WPS430
        tier, team = current_tier(state, entry), entry.first.team
        held = reservation is not None and (
            reservation.entry_id == entry.entry_id
        )
        team_rank = (team_ranks[tier, team], team)
        if tier in {Tier.AGED_LANE, Tier.AGED}:
            team_rank = (0, '')
        return (tier, not held, team_rank, _order(state, entry))

    return sorted(entries, key=rank)


def _team_rank(state: NaiveState, tier: Tier, members: list[Entry]) -> int:
    """Rank a team in a tier by its entries there."""
    if tier is Tier.RAISED:
        return min(_order(state, entry)[0] for entry in members)
    first = min(members, key=lambda entry: entry.first.enqueued_at).first
    return LinearAging(settings=state.settings.aging).evaluate(
        AgingCase(
            share=DominantShare().evaluate(_share_case(state, first.team)),
            enqueued_at=first.enqueued_at,
            now=state.now,
        )
    )


def _order(state: NaiveState, entry: Entry) -> Order:
    urgency = ShortSlack().evaluate(entry.first)
    return order_of(entry, urgency, current_tier(state, entry))


def _share_case(state: NaiveState, team: str) -> ShareCase:
    return ShareCase(
        used=total(
            one.task.demand
            for one in state.running.values()
            if one.task.team == team
        ),
        capacity=total(one.capacity for one in state.workers.values()),
        weight=state.shares.get(team, 1),
        weight_sum=sum(state.shares.values()) or 1,
    )


def allows(state: NaiveState, entry: Entry) -> bool:
    """Ask whether the limit of the entry's team allows it.

    Args:
        state: the cell.
        entry: a waiting entry.

    Returns:
        True when it does.
    """
    return state.headroom.has_headroom(entry.first.team, entry.demand)


def load_of(
    state: NaiveState, worker: WorkerView, without: Millis | None = None
) -> Load:
    """Sum up a worker.

    Args:
        state: the cell.
        worker: the worker.
        without: leaves out what has ended by this instant.

    Returns:
        Its accounts.
    """
    load = Load(
        capacity=worker.capacity,
        lane=UrgentReserve().evaluate(worker.capacity),
    )
    for one in state.running.values():
        if one.worker_id != worker.worker_id:
            continue
        gone = one.stopping or (
            one.ends_at is not None and one.ends_at <= (without or 0)
        )
        if without is None or not gone:
            load = load.with_charge(one.task, one.charge)
    return load


def open_to(state: NaiveState, task: PendingTask) -> list[WorkerView]:
    """List the workers on which a task may start if there is room.

    Args:
        state: the cell.
        task: a waiting task.

    Returns:
        Usable workers that the task allows.
    """
    return [
        worker
        for worker in state.workers.values()
        if worker.state is WorkerState.USABLE
        and worker.worker_id not in task.avoided_workers
        and (
            task.allowed_workers is None
            or worker.worker_id in task.allowed_workers
        )
    ]


def available(
    state: NaiveState, entry: Entry, worker: WorkerView, now: Millis
) -> Resources:
    """Compute what an entry may use of a worker.

    Args:
        state: the cell.
        entry: a waiting entry.
        worker: the worker.
        now: the time.

    Returns:
        The room, less what is reserved for another entry.
    """
    task = entry.first
    room = load_of(state, worker).room_for(task)
    reservation = state.reservation
    if reservation is None or reservation.entry_id == entry.entry_id:
        return room
    reserved = reservation.rooms.get(worker.worker_id)
    if current_tier(state, entry) < reservation.tier or reserved is None:
        return room
    projected = load_of(state, worker, reservation.start_at)
    return EasyBackfill().evaluate(
        BackfillCase(
            room=room,
            projected=projected.room_for(task),
            reserved=reserved,
            run_ms=run_bound(task),
            start_in_ms=Millis(reservation.start_at - now),
        )
    )


def current_tier(state: NaiveState, entry: Entry) -> Tier:
    """Classify an entry at the time of the state.

    Args:
        state: the cell.
        entry: a waiting entry.

    Returns:
        Its tier.
    """
    first = entry.first
    return tier_of(
        first,
        ShortSlack().evaluate(first),
        state.now,
        state.settings.aging.full_ms,
    )


def drop_reservation(state: NaiveState, now: Millis) -> None:
    """Forget a reservation that lapsed or lost its entry or a worker.

    Args:
        state: the cell, changed in place.
        now: the time.
    """
    reservation = state.reservation
    if reservation is None:
        return
    waiting = {entry.entry_id: entry for entry in _entries(state)}
    entry = waiting.get(reservation.entry_id)
    if (
        now >= reservation.start_at
        or entry is None
        or not allows(state, entry)
        or not all(_is_usable(state, name) for name in reservation.rooms)
    ):
        state.reservation = None


def _is_usable(state: NaiveState, worker_id: str) -> bool:
    worker = state.workers.get(worker_id)
    return worker is not None and worker.state is WorkerState.USABLE


def unblock(state: NaiveState, entry: Entry) -> Preempt | None:
    """Look for tasks to stop for a blocked entry, else reserve for it.

    Args:
        state: the cell; its reservation may be replaced.
        entry: the blocked entry.

    Returns:
        What to stop, or None.
    """
    tier = current_tier(state, entry)
    if may_preempt(state.reservation, entry, tier):
        victims = _find_victims(state, entry)
        if victims:
            return Preempt(
                task_ids=tuple(one.task.task_id for one in victims),
                worker_id=victims[0].worker_id,
                beneficiary=entry.entry_id,
            )
    if may_reserve(state.reservation, tier):
        state.reservation = _earliest_start(state, entry) or state.reservation
    return None


def _earliest_start(state: NaiveState, entry: Entry) -> Reservation | None:
    ending = [one for one in state.running.values() if one.ends_at is not None]
    ending.sort(key=lambda one: (one.ends_at, one.task.task_id))
    return EarliestStart().evaluate(
        ReservationCase(
            entry=entry,
            tier=current_tier(state, entry),
            loads=_open_loads(state, entry),
            ending=ending,
            now=state.now,
        )
    )


def _open_loads(state: NaiveState, entry: Entry) -> dict[str, Load]:
    return {
        worker.worker_id: load_of(state, worker)
        for worker in open_to(state, entry.first)
    }


def _find_victims(state: NaiveState, entry: Entry) -> tuple[PlacedTask, ...]:
    first = entry.first
    settings = state.settings.preemption
    stopping = any(one.stopping for one in state.running.values())
    if not settings.enabled or stopping:
        return ()
    if state.now - first.enqueued_at < patience_ms(first):
        return ()
    stoppable = [
        one
        for one in state.running.values()
        if may_be_stopped(one) and one.task.team != first.team
    ]
    if not stoppable:
        return ()
    cases = {
        one.task.team: _share_case(state, one.task.team) for one in stoppable
    }
    team = max(
        cases,
        key=lambda name: (DominantShare().evaluate(cases[name]), name),
    )
    if DominantShare().evaluate(cases[team]) < settings.above_share:
        return ()
    stoppable = [one for one in stoppable if one.task.team == team]
    stoppable.sort(key=lambda one: (-one.started_at, one.task.task_id))
    return LatestStarted().evaluate(
        PreemptionCase(
            entry=entry,
            owner=_share_case(state, first.team),
            victim=cases[team],
            candidates=stoppable[:VICTIM_CANDIDATES],
            loads=_open_loads(state, entry),
        )
    )
