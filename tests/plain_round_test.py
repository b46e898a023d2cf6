"""Reference of placement rounds: considers everything, without an index.

It is the round of the release before placement rounds were bounded, on plain
lists. Both have to decide alike while the fleet is not overloaded. What a
worker may run, and in which order workers are preferred, is shared with it.
"""

import collections
import math
import types

from jayshore.fleet.allowances import limit_allowance
from jayshore.fleet.apart import (
    least_used,
    limit_probation,
    without_other_new_tasks,
)
from jayshore.fleet.demandmaker import DemandMaker
from jayshore.fleet.demands import AdviceRequest, Decisions, WaitReason
from jayshore.fleet.eligibility import (
    avoid_failed_workers,
    count_fits,
    explain_lack,
    is_eligible,
    slot_limit,
)
from jayshore.fleet.placing import (
    TICKET_MARGIN_MS,
    fill_order,
)
from jayshore.fleet.quarantine import PATIENCE_MS, busy_services
from jayshore.fleet.ranking import DeadlineStatus, rank_group
from jayshore.fleet.slots import occupy_slot, release_slots
from jayshore.fleet.speedorder import SpeedPreference
from jayshore.resources import NOTHING

MAX_RESERVED_SHARE = 0.4
MIN_ADVICE_WORKERS = 24
MAX_ADVICE_WORKERS = 80
ADVICE_WORKERS_PER_NEEDED = 10


class PlainRound:
    """One round over all demands."""

    def __init__(
        self, *, workers, allowances, maximums, now, probation_slots=0
    ):
        """Create a round; it consumes the workers and allowances."""
        self._maximums = maximums
        self._workers = list(workers)
        self._evacuated = {
            worker.worker_id: worker
            for worker in self._workers
            if worker.evacuated
        }
        self._probation_slots = probation_slots
        self._allowances = allowances
        self._now = now
        self._pools = {}
        self._reserved_count = 0
        self._decisions = Decisions()

    def decide(self, demands):
        """Decide on demands in any order."""
        for demand in sorted(demands, key=_demand_rank):
            self._consider(demand)
        return self._decisions

    def _consider(self, demand):
        reason = self._try_place(demand, self._find_pool(demand))
        if reason is not None:
            self._decisions.waiting[demand.group_id] = reason

    def _find_pool(self, demand):
        """Find the workers that were eligible when this was first asked.

        One that a probe has used since has no room for another probe.
        """
        key = (
            demand.service,
            demand.required_label,
            demand.may_probe,
            demand.any_worker,
        )
        if key not in self._pools:
            self._pools[key] = [
                worker
                for worker in self._workers
                if is_eligible(worker, demand)
            ]
        return [
            worker
            for worker in self._pools[key]
            if demand.need.fits_in(worker.capacity)
        ]

    def _try_place(self, demand, pool):
        usable = pool
        if not usable:
            return explain_lack(
                demand, self._evacuated.values(), WaitReason.NO_WORKER
            )
        if demand.advised and demand.gang:
            never_whole = self._explain_gang(demand, usable)
            if never_whole is not None:
                return never_whole
        if demand.advised and not demand.evaluated:
            if not demand.advice_pending:
                self._request_advice(
                    demand, _choose_workers_to_ask(demand, usable)
                )
            return WaitReason.NO_ADVICE
        permitted = usable
        if demand.advised:
            permitted = [
                worker
                for worker in usable
                if worker.worker_id in demand.tickets
            ]
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

    def _explain_gang(self, demand, usable):
        """Explain why a gang can never be whole."""
        count = len(demand.indexes)
        maximum = self._maximums[demand.workspace]
        if count > count_fits(demand, maximum):
            return WaitReason.LIMIT
        slot_count = sum(
            min(
                demand.max_per_worker or count,
                count_fits(demand, worker.capacity),
            )
            for worker in usable
            if worker.worker_id in demand.tickets
            or worker.worker_id not in demand.evaluated
        )
        return WaitReason.NO_ROOM if slot_count < count else None

    def _commit_slots(self, demand, slots):
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
                ][:MAX_ADVICE_WORKERS],
            )
        if expired and demand.gang:
            return False
        for index, slot in zip(demand.indexes, slots, strict=False):
            placement = occupy_slot(demand, index, slot)
            if slot.worker_id not in expired:
                self._decisions.placements.append(placement)
        return not expired

    def _find_apart(self, demand, permitted):
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

    def _request_advice_on_new(self, demand, usable):
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

    def _find_slots(self, demand, usable, count):
        if demand.same_rack:
            cold = {
                worker.rack
                for worker in usable
                if worker.cold and self._has_room(demand, worker)
            }
            racks = sorted({worker.rack for worker in usable})
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

    def _fill(self, demand, usable, count):
        """Assign slots by best fit, on workers near the data first."""
        need = demand.need
        roomy = [one for one in usable if self._has_room(demand, one)]
        speed = SpeedPreference(demand, roomy)
        order = sorted(
            roomy, key=lambda worker: fill_order(demand, speed, worker)
        )
        slots = []
        for worker in order:
            limit = slot_limit(worker, demand)
            while limit and len(slots) < count and need.fits_in(worker.free):
                worker.free -= need
                slots.append(worker)
                limit -= 1
        return slots

    def _has_room(self, demand, worker):
        return worker.reserved_for in {
            None,
            demand.group_id,
        } and demand.need.fits_in(worker.free)

    def _reserve_workers(self, demand, usable):
        """Reserve the workers with the most free processor for a gang.

        Nothing is reserved for a gang that does not fit even in empty workers,
        nor for one that is late, because others would wait for it in vain. For
        the same reason no empty worker is reserved for one that needs more than
        may be reserved and is free elsewhere.
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
            MAX_RESERVED_SHARE * (len(self._workers) - len(self._evacuated))
        )
        by_preference = sorted(
            (worker for worker in usable if worker.reserved_for is None),
            key=lambda worker: (-worker.free.cpu_millis, worker.worker_id),
        )
        chosen = []
        for worker in by_preference:
            may_reserve = self._reserved_count + len(chosen) < max_reserved
            if wanted <= 0:
                break
            if may_reserve:
                chosen.append(worker)
            wanted -= min(
                slot_limit(worker, demand),
                count_fits(
                    demand, worker.capacity if may_reserve else worker.free
                ),
            )
        if wanted > 0:
            chosen = [worker for worker in chosen if not worker.empty]
        self._reserved_count += len(chosen)
        for worker in chosen:
            worker.reserved_for = demand.group_id

    def _request_advice(self, demand, workers):
        self._decisions.advice_requests.append(
            AdviceRequest(
                group_id=demand.group_id,
                rank=demand.rank,
                workers=tuple(workers),
            )
        )

    def _allowed(self, demand):
        allowance = self._allowances.get(demand.workspace)
        if allowance is None:
            return len(demand.indexes)
        return count_fits(demand, allowance)

    def _charge_allowance(self, demand):
        allowance = self._allowances.get(demand.workspace)
        if allowance is not None:
            self._allowances[demand.workspace] = allowance - demand.need


def _demand_rank(demand):
    return demand.rank, demand.group_id


def _choose_workers_to_ask(demand, workers):
    """Choose workers for a request for advice, healthy and empty ones first."""
    per_worker = max(1, count_fits(demand, workers[0].capacity))
    wanted = ADVICE_WORKERS_PER_NEEDED * math.ceil(
        len(demand.indexes) / per_worker
    )
    count = min(MAX_ADVICE_WORKERS, max(MIN_ADVICE_WORKERS, wanted))
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


class PlainPlanner:
    """Makes the demands of all groups anew and runs a plain round on them."""

    def __init__(self, *, job_table, ledger, probation, headroom):
        """Create a planner; `headroom` describes the worker of a session."""
        self._job_table = job_table
        self._ledger = ledger
        self._probation = probation
        self._headroom = headroom
        self._maker = DemandMaker(probation=probation)
        self._since = {}

    def decide(self, *, config, sessions, evacuated, now, wall_ms):
        """Run a round."""
        usable = {}
        unaccounted = {}
        for session in sessions:
            worker = self._headroom(session, now, evacuated)
            usable[worker.worker_id] = worker
            for name, used in session.unaccounted.workspaces.items():
                unaccounted[name] = unaccounted.get(name, NOTHING) + used
        decisions = PlainRound(
            workers=usable.values(),
            probation_slots=self._reserve_for_suspects(usable, now),
            allowances={
                workspace.name: limit_allowance(
                    workspace.maximum,
                    self._ledger.used_by(workspace.name)
                    + unaccounted.get(workspace.name, NOTHING),
                )
                for workspace in config.workspaces
            },
            maximums=collections.defaultdict(
                lambda: limit_allowance(NOTHING, NOTHING),
                {
                    workspace.name: limit_allowance(workspace.maximum, NOTHING)
                    for workspace in config.workspaces
                },
            ),
            now=now,
        ).decide(self._demands(config, usable, now, wall_ms))
        lacking = {'no_worker', 'evacuated', 'not_advised', 'no_room'}
        self._since = {
            group_id: self._since.get(group_id, now)
            for group_id, reason in decisions.waiting.items()
            if reason in lacking
        }
        return decisions

    def _reserve_for_suspects(self, workers, now):
        if not self._probation.active:
            return 0
        occupied = self._probation.occupied(workers, now)
        for worker_id, worker in workers.items():
            worker.reserved_for = occupied.get(worker_id)
            worker.new_groups = self._probation.new_groups_at(worker_id, now)
        sound = [
            one
            for one in workers.values()
            if not (one.quarantined or one.evacuated)
        ]
        return limit_probation(sound) - len(occupied)

    def _demands(self, config, workers, now, wall_ms):
        queues = {queue.name: queue for queue in config.queues}
        bad = any(worker.quarantined for worker in workers.values())
        busy = busy_services(
            worker for worker in workers.values() if not worker.evacuated
        )
        found = []
        for group in self._job_table.open_groups():
            tasks = group.waiting()
            if not tasks or not self._may_start(group, wall_ms):
                continue
            accepted = group.job.job.queue
            queue = queues.get(accepted.name, accepted)
            since = self._since.get(group.group_id)
            any_worker = (
                bad
                and since is not None
                and now - since >= PATIENCE_MS
                and (group.spec.long_running or queue.service not in busy)
            )
            rank = rank_group(group, group.job, queue, now)
            waiting = types.SimpleNamespace(
                group=group, tasks=tasks, queue=queue
            )
            found.extend(
                self._maker.make(waiting, rank, now, any_worker=any_worker)
            )
        return found

    def _may_start(self, group, wall_ms):
        if group.due_at_ms > wall_ms or not group.job.is_ready(group):
            return False
        return not (
            group.spec.gang and any(map(self._ledger.holds, group.tasks))
        )
