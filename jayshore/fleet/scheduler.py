"""The leader's work: what it knows, decides, records and orders.

Every decision is recorded before it is acted on: a start before it is ordered,
an end before the worker is told to forget it and before a caller is told of it.
"""

import dataclasses
import random
from collections.abc import Callable

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Clock, Millis, to_seconds
from jayshore.fleet.advising import AdviceRelay, Advisor
from jayshore.fleet.backlog import FULL_KEY, BacklogMeter, encode_workspaces
from jayshore.fleet.interfaces import RenewalReply, WorkerConnector
from jayshore.fleet.jobtable import (
    JobEntry,
    JobState,
    JobTable,
    Phase,
    TaskEntry,
)
from jayshore.fleet.leasing import MAX_LEASE_MS, latest_expiry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import FleetConfig, Job, Queue, WorkerEntry
from jayshore.fleet.orders import OrderObserver, OrderSender
from jayshore.fleet.records import (
    ProgressRecord,
    cancel_key,
    job_key,
    progress_key,
    restore_progress,
)
from jayshore.fleet.rounds import RoundPlanner, count_pending
from jayshore.fleet.runs import RunTracker
from jayshore.fleet.sessions import SessionObserver, WorkerSession
from jayshore.fleet.submissionrate import SubmissionRateMeter
from jayshore.fleet.waitlog import WaitReasonLog
from jayshore.placement.health import WorkerHealth
from jayshore.store.journal import Journal

_ROUND_MS = Millis(15)
_PAUSE_FACTOR = 2
"""Pause after a round as a multiple of its duration.

Leaves two thirds of the processor to orders, inventories and callers when many
groups wait.
"""

_SWEEP_MS = Millis(250)
_RETENTION_MS = Millis(180_000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerDependencies:
    """What a leader uses, whichever epoch it has.

    Attributes:
        clock: our clock, which also counts while the host is suspended.
        wall_clock: time of day, for due times and ages of jobs.
        connector: makes clients of workers.
        relay: reaches the advice service.
        config: the configuration in force.
        metrics: of this instance.
    """

    clock: Clock
    wall_clock: Clock
    connector: WorkerConnector
    relay: AdviceRelay
    config: Callable[[], FleetConfig]
    metrics: FleetMetrics


class Scheduler(SessionObserver, OrderObserver):
    """Schedules all jobs under one epoch."""

    def __init__(
        self,
        *,
        dependencies: SchedulerDependencies,
        journal: Journal,
        epoch: int,
        confirmed_at: Callable[[], Millis],
    ) -> None:
        """Start without jobs and workers.

        Args:
            parts: what any leader uses.
            journal: whose head has been claimed.
            epoch: of this leader; the fence of its orders.
            confirmed_at: when the store last confirmed the leadership.
        """
        clock = dependencies.clock
        metrics = dependencies.metrics
        self._clock = clock
        self._wall_clock = dependencies.wall_clock
        self._journal = journal
        self._epoch = epoch
        self._connector = dependencies.connector
        self._config = dependencies.config
        self._confirmed_at = confirmed_at
        self._inherited_until = latest_expiry(clock.now(), MAX_LEASE_MS)
        self._book = JobTable()
        self._ledger = Ledger()
        health = WorkerHealth(source=random.Random())  # noqa: S311 jitter
        self._rounds = RoundPlanner(
            book=self._book, ledger=self._ledger, health=health
        )
        self._orders = OrderSender(
            clock=clock, ledger=self._ledger, observer=self, metrics=metrics
        )
        self._runs = RunTracker(
            clock=clock,
            book=self._book,
            ledger=self._ledger,
            journal=journal,
            orders=self._orders,
            health=health,
            metrics=metrics,
            queue_of=self._queue_of,
        )
        self._advisor = Advisor(
            relay=dependencies.relay, clock=clock, changed=self._touch
        )
        self._weights = SubmissionRateMeter()
        self._backlog = BacklogMeter()
        self._waits = WaitReasonLog()
        self._sessions: dict[str, WorkerSession] = {}
        self._tasks = BackgroundTasks()
        self._changed = True

    def state_of(self, job_id: str) -> tuple[JobState, str] | None:
        """Look a job up.

        Args:
            job_id: the job.

        Returns:
            Its durable state and its workspace, or None when it is unknown.
        """
        entry = self._book.jobs.get(job_id)
        if entry is None:
            return None
        return entry.durable_state, entry.job.workspace

    def pending(self, queue: str) -> int:
        """Count the jobs of a queue of which no task has started.

        Args:
            queue: its name.

        Returns:
            The count.
        """
        return count_pending(self._book, queue)

    def add_job(self, job: Job, progress: ProgressRecord | None = None) -> None:
        """Add an accepted job.

        Args:
            job: the job; one that is known is ignored.
            progress: what a former leader recorded, None for nothing.
        """
        if job.job_id in self._book.jobs:
            return
        age = max(0, self._wall_clock.now() - job.accepted_at_ms)
        entry = JobEntry(
            job=job,
            accepted_at=Millis(self._clock.now() - age),
            over_rate=not self._weights.admit(
                self._config(), job.workspace, job.accepted_at_ms
            ),
        )
        self._book.add(entry)
        self._touch()
        if progress is not None:
            self._restore(entry, progress)

    async def cancel_job(self, job_id: str) -> None:
        """Cancel a job whose cancellation is stored.

        Args:
            job_id: the job.
        """
        entry = self._book.jobs.get(job_id)
        if entry is None or entry.cancelled:
            return
        await self._runs.cancel(entry)
        self._touch()

    async def set_worker(
        self, worker_id: str, entry: WorkerEntry | None
    ) -> None:
        """Take a registration over.

        Args:
            worker_id: the worker.
            entry: its registration, None when it is gone.
        """
        session = self._sessions.get(worker_id)
        if entry is None:
            if session is not None:
                session.registered = False
            return
        if session is not None and not session.over:
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
        )
        await self._tasks.spawn(self._sessions[worker_id].run())

    async def run(self) -> None:
        """Decide until cancelled."""
        swept_at = self._clock.now()
        try:
            while True:
                started = self._clock.now()
                if self._changed:
                    self._changed = False
                    await self._decide()
                if self._clock.now() - swept_at >= _SWEEP_MS:
                    swept_at = self._clock.now()
                    await self._sweep()
                took = self._clock.now() - started
                pause = max(_ROUND_MS, _PAUSE_FACTOR * took)
                await curio.sleep(to_seconds(Millis(pause)))
        finally:
            await self._close()

    def lease_deadline(self) -> Millis:
        """Tell how long leases may last.

        Returns:
            The instant up to which a successor waits at least.
        """
        return Millis(self._confirmed_at() + MAX_LEASE_MS)

    def find_session(self, worker_id: str) -> WorkerSession | None:
        """Find the session of a worker.

        Args:
            worker_id: the worker.

        Returns:
            The session, or None when there is none.
        """
        return self._sessions.get(worker_id)

    async def not_started(self, task: TaskEntry, result: str) -> None:
        """Take over that a run did not start and never will.

        Args:
            task: the task.
            result: why.
        """
        await self._runs.refuse(task, result)
        self._touch()

    async def lease_expired(self, session: WorkerSession) -> None:
        """Take over that nothing runs at a worker any more.

        Args:
            session: of the worker.
        """
        worker_id = session.entry.worker_id
        await self._runs.lose_all(worker_id)
        self._touch()
        if session.over and self._sessions.get(worker_id) is session:
            self._sessions.pop(worker_id)

    async def observe(
        self, session: WorkerSession, inventory: RenewalReply, asked_at: Millis
    ) -> None:
        """Take an inventory over.

        Args:
            session: of the worker.
            inventory: what it lists.
            asked_at: when it was asked, on our clock.
        """
        await self._runs.observe(session, inventory, asked_at)
        self._touch()

    def _restore(self, entry: JobEntry, progress: ProgressRecord) -> None:
        restore_progress(entry, progress)
        for task in entry.tasks():
            if task.phase is Phase.UNKNOWN:
                self._ledger.hold(task)
        if entry.ended:
            entry.ended_at = self._clock.now()

    async def _close(self) -> None:
        await self._advisor.close()
        await self._orders.close()
        await self._tasks.close()

    def _touch(self) -> None:
        self._changed = True

    async def _decide(self) -> None:
        config = self._config()
        decisions = self._rounds.decide(
            config=config,
            sessions=[
                session for session in self._sessions.values() if session.usable
            ],
            now=self._clock.now(),
            wall_ms=self._wall_clock.now(),
        )
        self._runs.place(decisions.placements)
        self._waits.note(decisions.waiting, self._clock.now())
        for request in decisions.advice_requests:
            entry = self._book.jobs[request.group_id.job_id]
            policy = self._queue_of(entry).advice
            if policy is not None:
                await self._advisor.ask(
                    request, entry.groups[request.group_id], policy
                )

    async def _sweep(self) -> None:
        """Make due occurrences, drop old jobs, give up vanished workers."""
        now = self._clock.now()
        wall_ms = self._wall_clock.now()
        for entry in tuple(self._book.jobs.values()):
            if entry.ended_at is not None:
                if now - entry.ended_at > _RETENTION_MS:
                    self._forget(entry)
            elif entry.is_due(wall_ms):
                entry.add_occurrence()
        if now >= self._inherited_until:
            for worker_id in self._ledger.workers():
                if worker_id not in self._sessions:
                    await self._runs.lose_all(worker_id)
        if self._backlog.update(self._book.active()):
            eliot.log_message(
                'backlog:full', workspaces=sorted(self._backlog.full_workspaces)
            )
            self._journal.write(
                FULL_KEY,
                lambda: encode_workspaces(self._backlog.full_workspaces),
            )
        self._touch()

    def _forget(self, entry: JobEntry) -> None:
        job_id = entry.job.job_id
        self._book.jobs.pop(job_id)
        for key in (job_key(job_id), progress_key(job_id), cancel_key(job_id)):
            self._journal.write(key, _no_value)

    def _queue_of(self, entry: JobEntry) -> Queue:
        accepted = entry.job.queue
        for queue in self._config().queues:
            if queue.name == accepted.name:
                return queue
        return accepted


def _no_value() -> str | None:
    """Make the journal remove a key."""
