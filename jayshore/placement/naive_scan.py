"""The full scans of `jayshore.placement.naive`.

Each function computes one result from the plain state, without any index.
"""

import collections
import dataclasses
from collections.abc import Iterator

from jayshore.clock import Millis
from jayshore.placement.aging import AgingCase, LinearAging
from jayshore.placement.allocations import WorkerAllocation
from jayshore.placement.backfill import (
    BackfillCase,
    EarliestStart,
    EasyBackfill,
    Reservation,
    ReservationCase,
)
from jayshore.placement.deadlines import SlackThreshold
from jayshore.placement.decisions import (
    Preempt,
    TeamHeadroom,
)
from jayshore.placement.entries import (
    QueueEntry,
    SortKey,
    Tier,
    is_gang,
    run_time_bucket,
    sort_key_of,
    tier_of,
)
from jayshore.placement.fairness import DominantShare, ShareCase
from jayshore.placement.preemption import (
    MAX_VICTIM_CANDIDATES,
    LatestStarted,
    PreemptionCase,
    may_be_stopped,
    preemption_delay_ms,
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
    """The state of a cell as plain maps.

    Attributes:
        headroom: what each team may still start under its limit.
        shares: the share of each team that has one configured.
        workers: workers by id.
        pending: waiting tasks by id.
        running: running tasks by id.
        settings: the settings of the policies.
        failures: failure rate of the latest tasks in 32nds, by worker.
        reservation: the reservation of the cell, if any.
        next_check_at: when blocked entries are checked again.
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
    next_check_at: Millis = Millis(0)
    now: Millis = Millis(0)


def _entries(state: NaiveState) -> Iterator[QueueEntry]:
    gangs: dict[str, list[PendingTask]] = collections.defaultdict(list)
    for task in state.pending.values():
        if is_gang(task):
            gangs[task.task_id.job_id].append(task)
        else:
            yield QueueEntry(tasks=(task,))
    for tasks in gangs.values():
        if len(tasks) == tasks[0].gang_size:
            yield QueueEntry(
                tasks=tuple(sorted(tasks, key=lambda one: one.task_id))
            )


def sorted_entries(state: NaiveState) -> list[QueueEntry]:
    """Sort all waiting entries.

    Args:
        state: the state of the cell.

    Returns:
        The entries in the order in which they are tried.
    """
    entries = list(_entries(state))
    teams: dict[tuple[Tier, str], list[QueueEntry]] = {}
    for one in entries:
        tier_team = (tier_now(state, one), one.first.team)
        teams.setdefault(tier_team, []).append(one)
    team_ranks = {
        tier_team: _team_rank(state, tier_team[0], members)
        for tier_team, members in teams.items()
    }
    reservation = state.reservation

    def rank(entry: QueueEntry) -> tuple[object, ...]:  # noqa: WPS430
        tier, team = tier_now(state, entry), entry.first.team
        is_reserved = reservation is not None and (
            reservation.entry_id == entry.entry_id
        )
        team_rank = (team_ranks[tier, team], team)
        if tier in {Tier.AGED_URGENT, Tier.AGED}:
            team_rank = (0, '')
        return (tier, not is_reserved, team_rank, _sort_key(state, entry))

    return sorted(entries, key=rank)


def _team_rank(state: NaiveState, tier: Tier, members: list[QueueEntry]) -> int:
    """Rank a team within a tier by its entries there; lowest goes first."""
    if tier is Tier.DEADLINE:
        return min(_sort_key(state, entry)[0] for entry in members)
    first = min(members, key=lambda entry: entry.first.enqueued_at).first
    return LinearAging(settings=state.settings.aging).evaluate(
        AgingCase(
            share=DominantShare().evaluate(_share_case(state, first.team)),
            enqueued_at=first.enqueued_at,
            now=state.now,
        )
    )


def _sort_key(state: NaiveState, entry: QueueEntry) -> SortKey:
    deadline_times = SlackThreshold().evaluate(entry.first)
    return sort_key_of(entry, deadline_times, tier_now(state, entry))


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


def has_headroom_for(state: NaiveState, entry: QueueEntry) -> bool:
    """Return whether the limit of the entry's team allows it.

    Args:
        state: the state of the cell.
        entry: a waiting entry.

    Returns:
        True when the team has headroom for all tasks of the entry.
    """
    return state.headroom.has_headroom(entry.first.team, entry.demand)


def allocation_of(
    state: NaiveState, worker: WorkerView, ended_by: Millis | None = None
) -> WorkerAllocation:
    """Compute the used and free resources of a worker.

    Args:
        state: the state of the cell.
        worker: the worker.
        ended_by: if given, leaves out the tasks that are being stopped or are
            expected to end by this time.

    Returns:
        The allocation of the worker.
    """
    allocation = WorkerAllocation(
        capacity=worker.capacity,
        urgent_reserve=UrgentReserve().evaluate(worker.capacity),
    )
    for one in state.running.values():
        if one.worker_id != worker.worker_id:
            continue
        has_ended = one.stopping or (
            one.ends_at is not None and one.ends_at <= (ended_by or 0)
        )
        if ended_by is None or not has_ended:
            allocation = allocation.with_charge(one.task, one.charge)
    return allocation


def eligible_workers(state: NaiveState, task: PendingTask) -> list[WorkerView]:
    """List the workers on which a task may start if it fits.

    Args:
        state: the state of the cell.
        task: a waiting task.

    Returns:
        Usable workers that the task allows and does not avoid.
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


def usable_capacity(
    state: NaiveState, entry: QueueEntry, worker: WorkerView, now: Millis
) -> Resources:
    """Compute which resources of a worker an entry may use.

    Args:
        state: the state of the cell.
        entry: a waiting entry.
        worker: the worker.
        now: the time.

    Returns:
        The free resources, less what is reserved for another entry.
    """
    task = entry.first
    available = allocation_of(state, worker).available_to(task)
    reservation = state.reservation
    if reservation is None or reservation.entry_id == entry.entry_id:
        return available
    reserved = reservation.amounts.get(worker.worker_id)
    if tier_now(state, entry) < reservation.tier or reserved is None:
        return available
    projected = allocation_of(state, worker, reservation.start_at)
    return EasyBackfill().evaluate(
        BackfillCase(
            available=available,
            projected=projected.available_to(task),
            reserved=reserved,
            run_ms=run_time_bucket(task),
            start_in_ms=Millis(reservation.start_at - now),
        )
    )


def tier_now(state: NaiveState, entry: QueueEntry) -> Tier:
    """Return the tier of an entry at the time of the last decision.

    Args:
        state: the state of the cell.
        entry: a waiting entry.

    Returns:
        The tier.
    """
    first = entry.first
    return tier_of(
        first,
        SlackThreshold().evaluate(first),
        state.now,
        state.settings.aging.full_ms,
    )


def drop_reservation(state: NaiveState, now: Millis) -> None:
    """Drop a reservation that is due or lost its entry or a worker.

    Args:
        state: the state of the cell, changed in place.
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
        or not has_headroom_for(state, entry)
        or not all(_is_usable(state, name) for name in reservation.amounts)
    ):
        state.reservation = None


def _is_usable(state: NaiveState, worker_id: str) -> bool:
    worker = state.workers.get(worker_id)
    return worker is not None and worker.state is WorkerState.USABLE


def preempt_or_reserve(state: NaiveState, entry: QueueEntry) -> Preempt | None:
    """Find tasks to preempt for a blocked entry, or else reserve for it.

    Args:
        state: the state of the cell; its reservation may be replaced.
        entry: the blocked entry.

    Returns:
        The preemption, or None.
    """
    tier = tier_now(state, entry)
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


def _earliest_start(state: NaiveState, entry: QueueEntry) -> Reservation | None:
    ending = [one for one in state.running.values() if one.ends_at is not None]
    ending.sort(key=lambda one: (one.ends_at, one.task.task_id))
    return EarliestStart().evaluate(
        ReservationCase(
            entry=entry,
            tier=tier_now(state, entry),
            allocations=_eligible_allocations(state, entry),
            ending=ending,
            now=state.now,
        )
    )


def _eligible_allocations(
    state: NaiveState, entry: QueueEntry
) -> dict[str, WorkerAllocation]:
    return {
        worker.worker_id: allocation_of(state, worker)
        for worker in eligible_workers(state, entry.first)
    }


def _find_victims(
    state: NaiveState, entry: QueueEntry
) -> tuple[PlacedTask, ...]:
    first = entry.first
    settings = state.settings.preemption
    stopping = any(one.stopping for one in state.running.values())
    if not settings.enabled or stopping:
        return ()
    if state.now - first.enqueued_at < preemption_delay_ms(first):
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
            beneficiary_share=_share_case(state, first.team),
            victim_share=cases[team],
            candidates=stoppable[:MAX_VICTIM_CANDIDATES],
            allocations=_eligible_allocations(state, entry),
        )
    )
