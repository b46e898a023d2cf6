"""Builds the inputs of placement rounds from the state of the leader."""

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from jayshore.clock import Millis
from jayshore.fleet.adviceneeds import (
    AdviceGate,
    AdviceObstacle,
    CallBudget,
    OpenGate,
)
from jayshore.fleet.allowances import limit_allowance
from jayshore.fleet.apart import limit_probation
from jayshore.fleet.backlogwalk import BacklogWalk
from jayshore.fleet.contention import RoomAccounts
from jayshore.fleet.demandmaker import DemandMaker
from jayshore.fleet.demands import Decisions, WaitReason, WorkerHeadroom
from jayshore.fleet.jobtable import GroupEntry, JobTable
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.model import FleetConfig, GroupId
from jayshore.fleet.phases import Phase
from jayshore.fleet.placing import PlacementRound
from jayshore.fleet.probation import Probation
from jayshore.fleet.quarantine import WaitTimes, busy_services
from jayshore.fleet.screening import Screen
from jayshore.fleet.sessions import WorkerSession
from jayshore.fleet.speeds import WorkerSpeeds
from jayshore.fleet.waiting import SortKey, WaitingGroup, WaitingIndex
from jayshore.placement.health import FAILURE_RATE_SCALE, WorkerHealth
from jayshore.resources import NOTHING, Resources

_FAILURE_SCORE_STEP = FAILURE_RATE_SCALE // 4
"""Scores count in quarters, so that one failure among many successes is 0."""


class RoundPlanner:
    """Runs placement rounds over the jobs and workers of a leader."""

    def __init__(
        self,
        *,
        job_table: JobTable,
        ledger: Ledger,
        health: WorkerHealth,
        probation: Probation,
        speeds: WorkerSpeeds,
    ) -> None:
        """Create a planner.

        Args:
            job_table: the jobs.
            ledger: resources in use.
            health: failure rates of the workers.
            probation: knows the tasks under suspicion.
            speeds: speeds of the workers.
        """
        self._speeds = speeds
        self._health = health
        self._probation = probation
        self._ledger = ledger
        self._wait_times = WaitTimes()
        self._index = WaitingIndex(job_table=job_table, ledger=ledger)
        self._demand_maker = DemandMaker(probation=probation)
        self._reasons: dict[GroupId, WaitReason] = {}
        self._resume: SortKey | None = None
        self._free: dict[str, _KnownFree] = {}
        self._gate: AdviceGate = OpenGate()
        self._obstacles: dict[GroupId, AdviceObstacle] = {}

    def update_index(
        self, config: FleetConfig, now: Millis, wall_ms: int
    ) -> bool:
        """Take in some of the changes of jobs since the last round.

        After a change of leader there are thousands; a caller lets others run
        in between.

        Args:
            config: the configuration in force.
            now: time on the local clock, in ms.
            wall_ms: time of day, in ms since the Unix epoch.

        Returns:
            True when no change is left.
        """
        return self._index.update(config, now, wall_ms)

    def decide(
        self,
        *,
        config: FleetConfig,
        sessions: Iterable[WorkerSession],
        evacuated: frozenset[str],
        now: Millis,
        wall_ms: int,
        call_budget: CallBudget | None = None,
    ) -> Decisions:
        """Run a placement round.

        Args:
            config: the configuration in force.
            sessions: sessions of the usable workers.
            evacuated: failure domains in which nothing may start.
            now: time on the local clock, in ms.
            wall_ms: time of day, in ms since the Unix epoch.
            call_budget: calling time that is left for advice, None for no
                limit.

        Returns:
            Placements, requests for advice, and reasons of waiting groups.
        """
        self._index.requeue_later()
        self._index.update(config, now, wall_ms)
        self._drop_removed()
        if not self._index:
            self._resume = None
            return Decisions()
        self._index.renew_ranks(now)
        usable: dict[str, WorkerHeadroom] = {}
        unaccounted: dict[str, Resources] = {}
        for session in sessions:
            worker = self._headroom(session, now, evacuated)
            usable[worker.worker_id] = worker
            for name, used in session.unaccounted.workspaces.items():
                unaccounted[name] = unaccounted.get(name, NOTHING) + used
        allowances = self._allowances(config, unaccounted)
        gate = AdviceGate(
            accounts=RoomAccounts(
                workers=[one for one in usable.values() if not one.evacuated],
                maximums=_maximums(config),
                allowances=allowances,
            ),
            budget=call_budget or CallBudget(long_ms=math.inf, all_ms=math.inf),
        )
        placement_round = PlacementRound(
            workers=usable.values(),
            probation_slots=self._reserve_for_suspects(usable, now),
            allowances=allowances,
            now=now,
            gate=gate,
        )
        walk = BacklogWalk(
            index=self._index,
            demand_maker=self._demand_maker,
            placement_round=placement_round,
            gate=gate,
            screen=Screen(
                placement_round=placement_round,
                gate=gate,
                suspects=self._probation.groups,
                may_use_any=self._find_any_rule(usable, now),
            ),
            now=now,
        )
        resume = self._resume
        self._resume = walk.run(resume)
        if resume is not None or self._resume is not None:
            # Not all groups were considered, so the others keep theirs.
            for group_id in walk.reasons:
                self._obstacles.pop(group_id, None)
        else:
            self._obstacles.clear()
        self._obstacles.update(gate.obstacles)
        self._gate = gate
        return self._conclude(placement_round.decisions, walk, now)

    def describe_obstacle(self, group_id: GroupId) -> dict[str, str | float]:
        """Describe why advice was not requested for a group.

        Args:
            group_id: a group that the last rounds have considered.

        Returns:
            Fields for the log, none when nothing stood in the way.
        """
        obstacle = self._obstacles.get(group_id)
        if obstacle is None or group_id not in self._index:
            return {}
        scope = self._index.scope(group_id)
        return {'advice': obstacle.value, **self._gate.measure(scope)}

    def _drop_removed(self) -> None:
        """Follow the groups that have begun or ceased to wait."""
        for group_id in self._index.take_touched():
            if group_id in self._index:
                self._reasons.setdefault(group_id, WaitReason.NOT_REACHED)
            else:
                self._reasons.pop(group_id, None)
                self._obstacles.pop(group_id, None)
                self._wait_times.forget(group_id)

    def _conclude(
        self, decisions: Decisions, walk: BacklogWalk, now: Millis
    ) -> Decisions:
        """Add what is known of all waiting groups to the decisions."""
        for group_id, reason in walk.reasons.items():
            if reason is None:
                self._reasons.pop(group_id, None)
            else:
                self._reasons[group_id] = reason
        decisions.waiting = dict(self._reasons)
        decisions.considered = len(walk.reasons)
        decisions.cut = self._resume is not None
        self._wait_times.update(walk.reasons, now)
        for placement in decisions.placements:
            self._health.claim_probe(placement.worker_id, now)
        return decisions

    def _find_any_rule(
        self, workers: dict[str, WorkerHeadroom], now: Millis
    ) -> Callable[[WaitingGroup], bool] | None:
        """Let groups that have waited in vain use quarantined workers.

        Returns None when no worker is quarantined.
        """
        if not any(worker.quarantined for worker in workers.values()):
            return None
        busy = busy_services(
            worker for worker in workers.values() if not worker.evacuated
        )
        return lambda waiting: (
            self._wait_times.is_over(waiting.group_id, now)
            and (
                waiting.group.spec.long_running
                or waiting.queue.service not in busy
            )
        )

    def _allowances(
        self, config: FleetConfig, unaccounted: dict[str, Resources]
    ) -> dict[str, Resources]:
        """Compute what each workspace with a maximum may still start."""
        return {
            name: limit_allowance(
                maximum,
                self._ledger.used_by(name) + unaccounted.get(name, NOTHING),
            )
            for name, maximum in _maximums(config).items()
        }

    def _reserve_for_suspects(
        self, workers: dict[str, WorkerHeadroom], now: Millis
    ) -> int:
        """Reserve the workers of unsettled suspects; count further ones."""
        if not self._probation.active:
            return 0
        occupied = self._probation.occupied(workers, now)
        for worker_id, worker in workers.items():
            worker.reserved_for = occupied.get(worker_id)
            worker.new_groups = self._probation.new_groups_at(worker_id, now)
        sound = [
            candidate
            for candidate in workers.values()
            if not (candidate.quarantined or candidate.evacuated)
        ]
        return limit_probation(sound) - len(occupied)

    def _headroom(
        self, session: WorkerSession, now: Millis, evacuated: frozenset[str]
    ) -> WorkerHeadroom:
        entry = session.entry
        worker_id = entry.worker_id
        unaccounted = session.unaccounted
        group_runs = dict(self._ledger.group_runs_at(worker_id))
        for group_id, count in unaccounted.group_runs.items():
            group_runs[group_id] = group_runs.get(group_id, 0) + count
        return WorkerHeadroom(
            worker_id=worker_id,
            incarnation=entry.incarnation,
            service=entry.service,
            rack=entry.rack,
            labels=entry.labels,
            capacity=entry.capacity,
            free=self._free_at(
                worker_id, entry.capacity, unaccounted.resources
            ),
            failure_score=self._health.scaled_failure_rate(worker_id)
            // _FAILURE_SCORE_STEP,
            quarantined=self._health.is_quarantined(worker_id),
            probe=self._health.is_probe_due(worker_id, now),
            group_runs=group_runs,
            speed=self._speeds.speed(worker_id, session.born_ms),
            domain=entry.domain,
            evacuated=entry.domain in evacuated,
            cold=session.cold,
        )

    def _free_at(
        self, worker_id: str, capacity: Resources, unaccounted: Resources
    ) -> Resources:
        """Compute the free resources of a worker anew when they changed."""
        used = self._ledger.used_at(worker_id)
        known = self._free.get(worker_id)
        if (
            known is None
            or known.used is not used
            or known.capacity is not capacity
            or known.unaccounted is not unaccounted
        ):
            known = _KnownFree(
                used,
                capacity,
                unaccounted,
                _clamp_to_zero(capacity - used - unaccounted),
            )
            self._free[worker_id] = known
        return known.free


class _KnownFree(NamedTuple):
    used: Resources
    capacity: Resources
    unaccounted: Resources
    free: Resources


def _maximums(config: FleetConfig) -> dict[str, Resources]:
    return {
        workspace.name: workspace.maximum
        for workspace in config.workspaces
        if workspace.maximum != NOTHING
    }


def count_pending(job_table: JobTable, queue: str) -> int:
    """Count the jobs of a queue of which no task has started.

    Args:
        job_table: the jobs.
        queue: name of the queue.

    Returns:
        The number of such jobs.
    """
    return sum(
        1
        for entry in job_table.active()
        if entry.job.queue.name == queue
        and not entry.has_finished_groups
        and not any(_has_started_task(group) for group in entry.groups.values())
    )


def _has_started_task(group: GroupEntry) -> bool:
    return any(
        task.confirmed or task.phase is Phase.DONE for task in group.tasks
    )


def _clamp_to_zero(free: Resources) -> Resources:
    return Resources(
        cpu_millis=max(0, free.cpu_millis),
        memory_mb=max(0, free.memory_mb),
        accelerators=max(0, free.accelerators),
    )
