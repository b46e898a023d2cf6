"""Builds the inputs of placement rounds from the state of the leader."""

import dataclasses
from collections.abc import Iterable

from jayshore.clock import Millis
from jayshore.fleet.apart import limit_probation
from jayshore.fleet.demands import Decisions, GroupDemand, WorkerHeadroom
from jayshore.fleet.jobtable import GroupEntry, JobTable, Phase, TaskEntry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.model import FleetConfig, Queue
from jayshore.fleet.placing import PlacementRound, limit_allowance
from jayshore.fleet.probation import Probation, is_suspect
from jayshore.fleet.quarantine import WaitTimes, busy_services
from jayshore.fleet.ranking import rank_group
from jayshore.fleet.sessions import WorkerSession
from jayshore.placement.health import FAILURE_RATE_SCALE, WorkerHealth
from jayshore.resources import NOTHING, Resources

_FAILURE_SCORE_STEP = FAILURE_RATE_SCALE // 4
"""Scores count in quarters, so that one failure among many successes is 0."""


AVOID_FAILED_MS = Millis(1500)
"""How long a last attempt waits for a worker without a failure, in ms.

Work that can start has to start within 3 s, and a run takes about one second.
"""


class RoundPlanner:
    """Runs placement rounds over the jobs and workers of a leader."""

    def __init__(
        self,
        *,
        job_table: JobTable,
        ledger: Ledger,
        health: WorkerHealth,
        probation: Probation,
    ) -> None:
        """Create a planner.

        Args:
            job_table: the jobs.
            ledger: resources in use.
            health: failure rates of the workers.
            probation: knows the tasks under suspicion.
        """
        self._health = health
        self._probation = probation
        self._job_table = job_table
        self._ledger = ledger
        self._wait_times = WaitTimes()

    def decide(
        self,
        *,
        config: FleetConfig,
        sessions: Iterable[WorkerSession],
        now: Millis,
        wall_ms: int,
    ) -> Decisions:
        """Run a placement round.

        Args:
            config: the configuration in force.
            sessions: sessions of the usable workers.
            now: time on the local clock, in ms.
            wall_ms: time of day, in ms since the Unix epoch.

        Returns:
            Placements, requests for advice, and reasons of waiting groups.
        """
        demands = self._demands(config, now, wall_ms)
        if not demands:
            self._wait_times.update({}, now)
            return Decisions()
        usable: dict[str, WorkerHeadroom] = {}
        unaccounted: dict[str, Resources] = {}
        for session in sessions:
            worker = self._headroom(session, now)
            usable[worker.worker_id] = worker
            for name, used in session.unaccounted.workspaces.items():
                unaccounted[name] = unaccounted.get(name, NOTHING) + used
        decisions = PlacementRound(
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
            now=now,
        ).decide(self._admit_to_any_worker(demands, usable, now))
        decisions.considered = len(demands)
        self._wait_times.update(decisions.waiting, now)
        for placement in decisions.placements:
            self._health.claim_probe(placement.worker_id, now)
        return decisions

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
            if not candidate.quarantined
        ]
        return limit_probation(sound) - len(occupied)

    def _admit_to_any_worker(
        self,
        demands: list[GroupDemand],
        workers: dict[str, WorkerHeadroom],
        now: Millis,
    ) -> list[GroupDemand]:
        """Let demands that have waited in vain use quarantined workers."""
        if not any(worker.quarantined for worker in workers.values()):
            return demands
        busy = busy_services(workers.values())
        return [
            dataclasses.replace(demand, any_worker=True)
            if self._wait_times.is_over(demand.group_id, now)
            and (demand.long_running or demand.service not in busy)
            else demand
            for demand in demands
        ]

    def _demands(
        self, config: FleetConfig, now: Millis, wall_ms: int
    ) -> list[GroupDemand]:
        queues = {queue.name: queue for queue in config.queues}
        found: list[GroupDemand] = []
        for group in self._job_table.open_groups():
            waiting = group.waiting()
            if not waiting or not self._may_start(group, wall_ms):
                continue
            accepted = group.job.job.queue
            queue = queues.get(accepted.name, accepted)
            found.extend(
                self._demand(group, part, queue, now)
                for part in _split_suspects(group, waiting)
            )
        return found

    def _may_start(self, group: GroupEntry, wall_ms: int) -> bool:
        """Return whether waiting tasks of a group may start now."""
        if group.due_at_ms > wall_ms or not group.job.is_ready(group):
            return False
        return not (
            group.spec.gang and any(map(self._ledger.holds, group.tasks))
        )

    def _demand(
        self,
        group: GroupEntry,
        waiting: list[TaskEntry],
        queue: Queue,
        now: Millis,
    ) -> GroupDemand:
        spec = group.spec
        suspect = any(map(is_suspect, waiting))
        likely = (
            suspect
            and not (spec.gang or spec.long_running)
            and self._probation.is_likely(waiting)
        )
        return GroupDemand(
            group_id=group.group_id,
            rank=rank_group(group, group.job, queue, now),
            indexes=tuple(entry.task_id.position for entry in waiting),
            need=spec.reserved,
            service=queue.service,
            workspace=group.job.job.workspace,
            gang=spec.gang,
            long_running=spec.long_running,
            same_rack=spec.same_rack,
            required_label=spec.required_label,
            data_rack=spec.data_rack,
            max_per_worker=spec.max_per_worker,
            advised=queue.advice is not None,
            tickets={
                worker: ticket.valid_until
                for worker, ticket in group.tickets.items()
            },
            evaluated=frozenset(group.evaluated),
            advice_pending=group.advice_pending,
            failed_on=frozenset(group.failed_on),
            last_attempt=_should_avoid_failed_workers(
                group, waiting, queue, now
            ),
            suspect=suspect,
            likely=likely,
            patient=suspect
            and self._probation.is_patient(group, now, likely=likely),
        )

    def _headroom(self, session: WorkerSession, now: Millis) -> WorkerHeadroom:
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
            free=_clamp_to_zero(
                entry.capacity
                - self._ledger.used_at(worker_id)
                - unaccounted.resources
            ),
            failure_score=self._health.scaled_failure_rate(worker_id)
            // _FAILURE_SCORE_STEP,
            quarantined=self._health.is_quarantined(worker_id),
            probe=self._health.is_probe_due(worker_id, now),
            group_runs=group_runs,
            domain=entry.domain,
        )


def _split_suspects(
    group: GroupEntry, waiting: list[TaskEntry]
) -> list[list[TaskEntry]]:
    """Split waiting tasks into those under suspicion and the others."""
    suspects = [task for task in waiting if is_suspect(task)]
    if group.spec.gang or not suspects:
        return [waiting]
    others = [task for task in waiting if not is_suspect(task)]
    return [part for part in (suspects, others) if part]


def _should_avoid_failed_workers(
    group: GroupEntry, waiting: list[TaskEntry], queue: Queue, now: Millis
) -> bool:
    """Return whether a last attempt should wait for a worker without failures.

    Gangs never wait, because they need many workers at once.
    """
    if group.spec.gang or group.failed_at is None:
        return False
    if now - group.failed_at >= AVOID_FAILED_MS:
        return False
    return any(entry.failures >= queue.max_attempts - 1 for entry in waiting)


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
