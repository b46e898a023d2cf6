"""Runs placement rounds of the leader and applies their decisions."""

from collections.abc import Callable, Iterable

import curio

from jayshore.clock import Clock, Millis
from jayshore.fleet.advising import Advisor
from jayshore.fleet.demands import AdviceRequest
from jayshore.fleet.evacuation import Evacuations
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import FleetConfig, GroupId, Queue
from jayshore.fleet.probation import Probation
from jayshore.fleet.roundlog import RoundLog
from jayshore.fleet.rounds import RoundPlanner
from jayshore.fleet.runs import RunTracker
from jayshore.fleet.sessions import WorkerSession
from jayshore.fleet.waitlog import WaitReasonLog


class RoundRunner:
    """Decides with a planner, starts what it places, and requests advice."""

    def __init__(
        self,
        *,
        planner: RoundPlanner,
        job_table: JobTable,
        run_tracker: RunTracker,
        probation: Probation,
        advisor: Advisor,
        clock: Clock,
        metrics: FleetMetrics,
        queue_of: Callable[[JobEntry], Queue],
    ) -> None:
        """Create a runner.

        Args:
            planner: decides.
            job_table: the jobs.
            run_tracker: records and starts what is placed.
            probation: notes the starts at each worker.
            advisor: requests advice.
            clock: local clock.
            metrics: metrics of this instance.
            queue_of: returns the current queue of a job.
        """
        self._planner = planner
        self._job_table = job_table
        self._run_tracker = run_tracker
        self._probation = probation
        self._advisor = advisor
        self._clock = clock
        self._queue_of = queue_of
        self._wait_log = WaitReasonLog()
        self._round_log = RoundLog(metrics=metrics)
        self._took_ms = Millis(0)

    @property
    def took_ms(self) -> Millis:
        """How long the last round kept the event loop, in ms."""
        return self._took_ms

    async def run_round(
        self,
        *,
        config: FleetConfig,
        sessions: Iterable[WorkerSession],
        evacuations: Evacuations,
        wall_ms: int,
    ) -> bool:
        """Run a round.

        Nothing else runs between the decisions and their records, so that they
        hold for the state that they were made on. The changes since the last
        round are taken in before, in steps between which others run.

        Args:
            config: the configuration in force.
            sessions: sessions of all workers.
            evacuations: failure domains in which nothing may start.
            wall_ms: time of day, in ms since the Unix epoch.

        Returns:
            True when another round should follow: this one ended at its
            budget, or nothing may start now, as evacuations are not known.
        """
        while not self._planner.update_index(
            config, self._clock.now(), wall_ms
        ):
            await curio.sleep(0)
        if not evacuations.known:
            return True
        started = self._clock.now()
        usable = [session for session in sessions if session.usable]
        decisions = self._planner.decide(
            config=config,
            sessions=usable,
            evacuated=evacuations.among(
                session.entry.domain for session in usable
            ),
            now=started,
            wall_ms=wall_ms,
            call_budget=self._advisor.budget(),
        )
        self._run_tracker.place(decisions.placements)
        now = self._clock.now()
        self._probation.note_starts(decisions.placements, now)
        self._wait_log.record(decisions.waiting, now, self._describe_advice)
        self._took_ms = Millis(self._clock.now() - started)
        self._round_log.record(decisions, took_ms=self._took_ms, now=now)
        for request in decisions.advice_requests:
            await self._request_advice(request)
        return decisions.cut

    def _describe_advice(self, group_id: GroupId) -> dict[str, str | float]:
        """Describe what is known of the advice on a waiting group.

        `evaluated` workers were asked about, and `permitted` of them allowed.
        """
        entry = self._job_table.jobs.get(group_id.job_id)
        group = None if entry is None else entry.groups.get(group_id)
        if group is None or self._queue_of(group.job).advice is None:
            return {}
        described: dict[str, str | float] = {
            'evaluated': len(group.evaluated),
            'permitted': len(group.tickets),
        }
        if group.advice_pending:
            return {**described, 'advice': 'pending'}
        return described | self._planner.describe_obstacle(group_id)

    async def _request_advice(self, request: AdviceRequest) -> None:
        entry = self._job_table.jobs[request.group_id.job_id]
        policy = self._queue_of(entry).advice
        if policy is not None:
            await self._advisor.ask(
                request, entry.groups[request.group_id], policy
            )
