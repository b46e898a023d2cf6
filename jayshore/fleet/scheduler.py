"""The scheduler of the leader: runs rounds, and records their decisions.

Every decision is recorded durably before it takes effect: a start before it is
ordered, an end before the worker may forget it and before callers see it.
"""

import dataclasses
import random
from collections.abc import Callable

import curio

from jayshore.background import BackgroundTasks
from jayshore.clock import Clock, Millis, to_seconds
from jayshore.fleet.advising import AdviceRelay, Advisor
from jayshore.fleet.crashes import CrashCounter
from jayshore.fleet.evacuation import Evacuations, Evacuator
from jayshore.fleet.interfaces import RenewalReply, WorkerConnector
from jayshore.fleet.jobtable import JobEntry, JobTable, TaskEntry
from jayshore.fleet.leasing import MAX_LEASE_MS, latest_expiry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.losses import LossTracker
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import FleetConfig, Job, Queue, WorkerEntry
from jayshore.fleet.orders import OrderObserver, OrderSender
from jayshore.fleet.outages import Outage
from jayshore.fleet.phases import JobState, Phase
from jayshore.fleet.probation import Probation
from jayshore.fleet.progresswriter import ProgressWriter
from jayshore.fleet.records import StoredProgress
from jayshore.fleet.refusalpublisher import RefusalPublisher
from jayshore.fleet.restoring import find_final_state
from jayshore.fleet.roundrunner import RoundRunner
from jayshore.fleet.rounds import RoundPlanner, count_pending
from jayshore.fleet.runs import RunTracker
from jayshore.fleet.sessions import SessionObserver, WorkerSession
from jayshore.fleet.submissionrate import SubmissionRateMeter
from jayshore.fleet.sweeping import Sweeper
from jayshore.fleet.workerresults import WorkerResults
from jayshore.placement.health import WorkerHealth
from jayshore.store.journal import Journal

_ROUND_INTERVAL_MS = Millis(15)
_PAUSE_FACTOR = 2
"""Pause after a round as a multiple of its duration.

Leaves two thirds of the processor to orders, lease renewals and callers when
many groups wait.
"""

_SWEEP_INTERVAL_MS = Millis(250)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerDependencies:
    """Dependencies of a scheduler that do not change with the epoch.

    Attributes:
        clock: local clock, which also counts while the host is suspended.
        wall_clock: time of day, for due times and ages of jobs.
        connector: creates clients of workers.
        relay: reaches the advice service.
        config: returns the configuration in force.
        metrics: metrics of this instance.
        max_lease_ms: longest lease that a worker accepts, in ms.
    """

    clock: Clock
    wall_clock: Clock
    connector: WorkerConnector
    relay: AdviceRelay
    config: Callable[[], FleetConfig]
    metrics: FleetMetrics
    max_lease_ms: Millis = MAX_LEASE_MS


class Scheduler(SessionObserver, OrderObserver):
    """Schedules all jobs of the deployment under one leadership epoch."""

    def __init__(
        self,
        *,
        dependencies: SchedulerDependencies,
        journal: Journal,
        epoch: int,
        confirmed_at: Callable[[], Millis],
        evacuations: Evacuations,
    ) -> None:
        """Create a scheduler without jobs and workers.

        Args:
            dependencies: dependencies that do not change with the epoch.
            journal: journal whose head this leader has claimed.
            epoch: epoch of this leader, the fencing token of its orders.
            confirmed_at: returns when the store last confirmed the leadership.
            evacuations: failure domains in which nothing may start.
        """
        clock = dependencies.clock
        metrics = dependencies.metrics
        self._clock = clock
        self._wall_clock = dependencies.wall_clock
        self._epoch = epoch
        self._connector = dependencies.connector
        self._config = dependencies.config
        self._confirmed_at = confirmed_at
        self._max_lease_ms = dependencies.max_lease_ms
        self._inherited_until = latest_expiry(clock.now(), self._max_lease_ms)
        self._job_table = JobTable()
        self._ledger = Ledger()
        health = WorkerHealth(rng=random.Random())  # noqa: S311 jitter
        self._probation = Probation()
        self._evacuations = evacuations
        self._order_sender = OrderSender(
            clock=clock,
            ledger=self._ledger,
            observer=self,
            metrics=metrics,
            evacuations=evacuations,
        )
        self._progress_writer = ProgressWriter(journal=journal)
        self._run_tracker = RunTracker(
            clock=clock,
            job_table=self._job_table,
            ledger=self._ledger,
            progress_writer=self._progress_writer,
            order_sender=self._order_sender,
            results=WorkerResults(health=health, metrics=metrics),
            metrics=metrics,
            queue_of=self._queue_of,
        )
        self._sessions: dict[str, WorkerSession] = {}
        self._loss_tracker = LossTracker(
            clock=clock,
            ledger=self._ledger,
            order_sender=self._order_sender,
            run_tracker=self._run_tracker,
            crash_counter=CrashCounter(
                probation=self._probation, metrics=metrics
            ),
            metrics=metrics,
            sessions=self._sessions,
        )
        self._evacuator = Evacuator(
            clock=clock,
            evacuations=evacuations,
            ledger=self._ledger,
            sessions=self._sessions,
            give_up=self.run_not_started,
            metrics=metrics,
        )
        self._advisor = Advisor(
            relay=dependencies.relay, clock=clock, changed=self._request_round
        )
        self._submission_rate = SubmissionRateMeter()
        self._sweeper = Sweeper(
            job_table=self._job_table,
            ledger=self._ledger,
            loss_tracker=self._loss_tracker,
            sessions=self._sessions,
            progress_writer=self._progress_writer,
            clock=clock,
            wall_clock=dependencies.wall_clock,
            inherited_until=self._inherited_until,
        )
        self._round_runner = RoundRunner(
            planner=RoundPlanner(
                job_table=self._job_table,
                ledger=self._ledger,
                health=health,
                probation=self._probation,
                speeds=self._run_tracker.pace_monitor.speeds,
            ),
            job_table=self._job_table,
            run_tracker=self._run_tracker,
            probation=self._probation,
            advisor=self._advisor,
            clock=clock,
            metrics=metrics,
            queue_of=self._queue_of,
        )
        self._refusal_publisher = RefusalPublisher(
            job_table=self._job_table,
            ledger=self._ledger,
            journal=journal,
            metrics=metrics,
            confirmed_at=confirmed_at,
        )
        self._tasks = BackgroundTasks()
        self._changed = True

    def state_of(self, job_id: str) -> tuple[JobState, str] | None:
        """Look up a job.

        Args:
            job_id: the job.

        Returns:
            Its durable state and its workspace, or None for an unknown job.
        """
        entry = self._job_table.jobs.get(job_id)
        if entry is None:
            return None
        return entry.durable_state, entry.job.workspace

    def pending(self, queue: str) -> int:
        """Count the jobs of a queue of which no task has started.

        Args:
            queue: name of the queue.

        Returns:
            The number of such jobs.
        """
        return count_pending(self._job_table, queue)

    def add_job(self, job: Job, progress: StoredProgress | None = None) -> None:
        """Add an accepted job.

        Args:
            job: the job; a known job is ignored.
            progress: progress that a former leader recorded, None for none.
        """
        if job.job_id in self._job_table.jobs:
            return
        age = max(0, self._wall_clock.now() - job.accepted_at_ms)
        entry = JobEntry(
            job=job,
            accepted_at=Millis(self._clock.now() - age),
            over_rate=not self._submission_rate.admit(
                self._config(), job.workspace, job.accepted_at_ms
            ),
        )
        self._job_table.add(entry)
        self._request_round()
        if progress is not None:
            self._restore(entry, progress)

    def drop_orphan(self, job_id: str, progress: StoredProgress) -> None:
        """Remove the progress of a job that is not stored any more.

        Args:
            job_id: the job.
            progress: progress that a former leader recorded.
        """
        self._progress_writer.forget_orphan(job_id, progress)

    async def cancel_job(self, job_id: str) -> None:
        """Cancel a job whose cancellation is stored.

        Args:
            job_id: the job.
        """
        entry = self._job_table.jobs.get(job_id)
        if entry is None or entry.cancelled:
            return
        await self._run_tracker.cancel(entry)
        self._request_round()

    async def set_worker(
        self, worker_id: str, entry: WorkerEntry | None
    ) -> None:
        """Apply a change of the registration of a worker.

        Args:
            worker_id: the worker.
            entry: its registration, None when it was removed.
        """
        session = self._sessions.get(worker_id)
        if entry is None:
            if session is not None:
                session.registered = False
            return
        if session is not None and not session.closed:
            former = session.update(entry)
            if former is not None:
                await former.close()
            return
        self._sessions[worker_id] = WorkerSession(
            entry=entry,
            connector=self._connector,
            clock=self._clock,
            observer=self,
            fence=self._epoch,
            inherited_until=self._inherited_until,
            max_lease_ms=self._max_lease_ms,
        )
        await self._tasks.spawn(self._sessions[worker_id].run())

    async def apply_evacuations(self) -> None:
        """Apply changed evacuations of failure domains."""
        await self._evacuator.apply()
        self._request_round()

    async def run(self) -> None:
        """Run placement rounds and periodic sweeps until cancelled."""
        swept_at = self._clock.now()
        try:
            while True:
                if self._changed:
                    self._changed = False
                    await self._run_round()
                if self._clock.now() - swept_at >= _SWEEP_INTERVAL_MS:
                    swept_at = self._clock.now()
                    await self._sweep()
                pause = max(
                    _ROUND_INTERVAL_MS,
                    _PAUSE_FACTOR * self._round_runner.took_ms,
                )
                await curio.sleep(to_seconds(Millis(pause)))
        finally:
            await self._close()

    def lease_deadline(self) -> Millis:
        """Return the latest end of the leases that may be granted now.

        Returns:
            Time on the local clock in ms until which a successor waits at
            least.
        """
        return Millis(self._confirmed_at() + self._max_lease_ms)

    def find_session(self, worker_id: str) -> WorkerSession | None:
        """Find the session of a worker.

        Args:
            worker_id: the worker.

        Returns:
            The session, or None when there is none.
        """
        return self._sessions.get(worker_id)

    async def run_not_started(self, task: TaskEntry, result: str) -> None:
        """Handle a run that did not start and never will.

        Args:
            task: the task.
            result: reason, for the log.
        """
        await self._run_tracker.mark_not_started(task, result)
        self._request_round()

    async def worker_restarted(
        self, session: WorkerSession, outage: Outage
    ) -> None:
        """Handle the reply of another incarnation of a worker.

        Args:
            session: session of the worker.
            outage: when the former incarnation stopped replying.
        """
        await self._loss_tracker.handle_restart(session, outage)
        self._request_round()
        self._drop_closed(session)

    async def lease_expired(self, session: WorkerSession) -> None:
        """Handle the end of a worker's lease, after which nothing runs there.

        Args:
            session: session of the worker.
        """
        await self._loss_tracker.handle_expiry(session)
        self._request_round()
        self._drop_closed(session)

    async def handle_renewal(
        self, session: WorkerSession, reply: RenewalReply, sent_at: Millis
    ) -> None:
        """Handle the reply to a lease renewal.

        Args:
            session: session of the worker.
            reply: active and ended runs of the worker.
            sent_at: when the renewal was sent, on the local clock.
        """
        await self._loss_tracker.handle_reply(session, reply.born_ms)
        await self._run_tracker.handle_renewal(session, reply, sent_at)
        self._request_round()

    def _drop_closed(self, session: WorkerSession) -> None:
        worker_id = session.entry.worker_id
        if session.closed and self._sessions.get(worker_id) is session:
            self._sessions.pop(worker_id)
            self._run_tracker.pace_monitor.forget(worker_id)

    def _restore(self, entry: JobEntry, progress: StoredProgress) -> None:
        self._progress_writer.restore(entry, progress)
        for task in entry.tasks():
            if task.phase is Phase.UNKNOWN:
                self._ledger.hold(task)
                self._loss_tracker.inherit(task)
            if task.crashes:
                self._probation.add(task)
        state = find_final_state(entry, self._queue_of(entry).max_attempts)
        if state is not None:
            # The former leader was lost before it recorded the state.
            entry.state = state
            self._progress_writer.record(
                entry, [one for one in entry.tasks() if one.group.finished]
            )
        if entry.ended:
            entry.ended_at = self._clock.now()

    async def _close(self) -> None:
        self._run_tracker.pace_monitor.close()
        await self._advisor.close()
        await self._order_sender.close()
        await self._tasks.close()

    def _request_round(self) -> None:
        self._changed = True

    async def _run_round(self) -> None:
        cut = await self._round_runner.run_round(
            config=self._config(),
            sessions=self._sessions.values(),
            evacuations=self._evacuations,
            wall_ms=self._wall_clock.now(),
        )
        if cut:
            self._request_round()

    async def _sweep(self) -> None:
        await self._evacuator.apply()
        self._evacuator.report_unmatched()
        self._run_tracker.pace_monitor.publish()
        await self._sweeper.sweep()
        self._refusal_publisher.sweep(
            [
                session
                for session in self._sessions.values()
                if not self._evacuations.includes(session.entry.domain)
            ],
            self._config(),
            self._clock.now(),
        )
        self._request_round()

    def _queue_of(self, entry: JobEntry) -> Queue:
        accepted = entry.job.queue
        for queue in self._config().queues:
            if queue.name == accepted.name:
                return queue
        return accepted
