"""Carries out the decisions of the cell: widens intents, starts, stops."""

import functools
from collections.abc import Iterable

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds
from jayshore.jobs import transitions
from jayshore.jobs.attempts import Attempt, AttemptTable, Phase, task_name
from jayshore.jobs.changes import NotOwnerError, TransitionError
from jayshore.jobs.context import LeaderContext
from jayshore.jobs.launch import Launch
from jayshore.jobs.pending import id_of, pending_task
from jayshore.jobs.policies import placement_settings, shares_of
from jayshore.jobs.record import JobKind, JobRecord, WorkerBoot
from jayshore.jobs.repository import JobRepository
from jayshore.jobs.stopping import StopKeeper
from jayshore.jobs.workers import WorkerSessionRegistry
from jayshore.leases.session import WorkerSession
from jayshore.leases.worker import TaskStartResult
from jayshore.placement.cell import Cell
from jayshore.placement.decisions import (
    Place,
    Preempt,
    Wait,
)
from jayshore.placement.tasks import (
    PlacedTask,
    WorkerView,
)
from jayshore.resources import Resources


class Placer:
    """Runs placement rounds and carries their decisions out."""

    def __init__(
        self,
        *,
        context: LeaderContext,
        cell: Cell,
        repository: JobRepository,
        attempts: AttemptTable,
        tasks: BackgroundTasks,
    ) -> None:
        """Prepare the rounds.

        Args:
            context: what the parts of the leader share.
            cell: decides.
            repository: the job records.
            attempts: the newest attempts of all tasks.
            tasks: background tasks of the leader.
        """
        self._context = context
        self._cell = cell
        self._repository = repository
        self._attempts = attempts
        self._registry: WorkerSessionRegistry | None = None
        self._tasks = tasks
        self._stops = StopKeeper(
            session_of=self._session, rng=context.rng, tasks=tasks
        )
        self._boots: dict[str, WorkerBoot] = {}
        self._views: dict[str, WorkerView] = {}
        self._wake = curio.Event()
        self._is_confined = False
        self._applied_version = 0

    @property
    def boots(self) -> dict[str, WorkerBoot]:
        """The present boot of each worker whose lease is open."""
        return self._boots

    @property
    def views(self) -> tuple[WorkerView, ...]:
        """The workers whose lease was opened."""
        return tuple(self._views.values())

    def add_worker(self, view: WorkerView) -> None:
        """Use a worker.

        Args:
            view: the worker, whose lease was opened for the first time.
        """
        self._views[view.worker_id] = view
        self._cell.add_worker(view)

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker that is gone.

        Args:
            worker_id: the worker, on which nothing runs.
        """
        self._boots.pop(worker_id, None)
        if self._views.pop(worker_id, None) is not None:
            self._cell.remove_worker(worker_id)

    def attach(self, registry: WorkerSessionRegistry) -> None:
        """Set the sessions, whose observer needs this placer.

        Args:
            registry: the sessions with the workers.
        """
        self._registry = registry

    async def wake(self) -> None:
        """Run a round soon."""
        await self._wake.set()

    async def run(self, interval_ms: Millis) -> None:
        """Run a round after each change, at least at an interval.

        Args:
            interval_ms: longest pause between two rounds, in ms.
        """
        while True:
            async with curio.ignore_after(to_seconds(interval_ms)):
                await self._wake.wait()
            self._wake.clear()
            self._confine()
            self._apply_configuration()
            await self._round()

    def enqueue(self, attempt: Attempt) -> None:
        """Let an attempt wait for a worker.

        Args:
            attempt: an attempt that certainly does not run.
        """
        record = self._repository.find(attempt.job_id)
        if record is None or record.is_final:
            self._attempts.forget(attempt)
            return
        attempt.phase = Phase.QUEUED
        attempt.worker = None
        self._cell.enqueue(
            pending_task(
                record,
                attempt,
                context=self._context,
                is_confined=self._is_confined,
            )
        )

    def regroup(self, record: JobRecord) -> None:
        """Let the waiting tasks of a gang wait only for those that are left.

        Args:
            record: a job of which a task has just ended for good.
        """
        if record.kind is JobKind.GANG:
            self._enqueue_again(self._attempts.of_job(record))

    def withdraw(self, attempt: Attempt) -> None:
        """Take an attempt out of the queue.

        Args:
            attempt: a queued attempt.
        """
        self._cell.withdraw(id_of(attempt))

    def adopt(self, record: JobRecord, attempt: Attempt) -> None:
        """Count the room of an inherited attempt that was found.

        Args:
            record: its job.
            attempt: with the worker that runs it.
        """
        if attempt.worker is None:
            return
        attempt.phase = Phase.RUNNING
        self._cell.adopt(
            PlacedTask(
                task=pending_task(
                    record,
                    attempt,
                    context=self._context,
                    is_confined=False,
                ),
                worker_id=attempt.worker.worker_id,
                started_at=self._context.clock.now(),
            )
        )

    def release(self, record: JobRecord, attempt: Attempt) -> PlacedTask:
        """Free the room of an attempt that has ended or never started.

        Args:
            record: its job.
            attempt: a starting or running attempt.

        Returns:
            The task as it was running.
        """
        running = self._cell.finish(id_of(attempt))
        self._context.ledger.release(record.team, record.demand)
        attempt.phase = Phase.ENDED
        return running

    def note_usage(self, attempt: Attempt, usage: Resources) -> None:
        """Count what a running attempt really uses.

        Args:
            attempt: a running attempt.
            usage: as its worker reported it.
        """
        self._cell.update_usage(id_of(attempt), usage)

    async def stop(self, attempt: Attempt, *, checkpoint: bool) -> None:
        """Have the worker of an attempt stop it, however often it takes.

        Args:
            attempt: a starting or running attempt.
            checkpoint: whether to checkpoint it first.
        """
        await self._stops.stop(attempt, checkpoint=checkpoint)

    async def stop_partial_gang(self, record: JobRecord) -> None:
        """Stop the members of a gang that run while others wait.

        Until an uncertain start is settled, its member may run, so only a
        waiting member shows that the gang runs in part.

        Args:
            record: a job; those that are no gangs are left alone.
        """
        if record.kind is not JobKind.GANG:
            return
        members = self._attempts.of_job(record)
        if any(member.phase is Phase.QUEUED for member in members):
            for member in members:
                if member.phase is Phase.RUNNING:
                    await self.stop(member, checkpoint=True)

    def note_running(self, record: JobRecord, attempt: Attempt) -> None:
        """Note that a starting attempt runs.

        Args:
            record: its job.
            attempt: a starting attempt.
        """
        attempt.phase = Phase.RUNNING
        waited = self._context.wall_clock.now() - record.accepted_at_ms
        self._context.events.task_started(record, Millis(waited))

    def requeue(self, record: JobRecord, attempt: Attempt) -> None:
        """Let a starting attempt that certainly did not start wait again.

        Args:
            record: its job.
            attempt: a starting attempt.
        """
        self.release(record, attempt)
        self.enqueue(attempt)

    async def carry_out(self, decision: Place) -> None:
        """Start tasks where they were placed.

        Args:
            decision: of the cell, or a probe.
        """
        now = self._context.clock.now()
        placed = []
        for chosen in decision.assignments:
            attempt = self._attempts.find(
                task_name(chosen.task_id.job_id, chosen.task_id.index)
            )
            record = self._repository.find(chosen.task_id.job_id)
            if attempt is None or record is None:
                self._cell.withdraw(chosen.task_id)
                continue
            self._cell.start(chosen.task_id, chosen.worker_id, now)
            self._context.ledger.charge(record.team, record.demand)
            attempt.phase = Phase.STARTING
            attempt.launches += 1
            worker = self._boots[chosen.worker_id]
            attempt.worker = worker
            placed.append(
                Launch(attempt=attempt, number=attempt.launches, worker=worker)
            )
        if placed:
            await self._tasks.spawn(self._launch(placed))

    async def _round(self) -> None:
        while True:
            decision = self._cell.decide(self._context.clock.now())
            match decision:
                case Wait():
                    return
                case Place():
                    await self.carry_out(decision)
                case Preempt():
                    self._cell.preempt(decision)
                    await self._tasks.spawn(self._preempt(decision))

    async def _launch(self, placed: list[Launch]) -> None:
        job_id = placed[0].attempt.job_id
        wanted = {launch.worker for launch in placed}
        record = self._repository.find(job_id)
        with eliot.start_action(
            action_type='placement:launch', job=job_id, tasks=len(placed)
        ):
            if record is not None and not wanted.issubset(record.intent):
                await self._widen(job_id, wanted)
            starts = curio.TaskGroup(wait=all)
            async with starts:
                for launch in placed:
                    await starts.spawn(self._start(launch))
            if record is not None:
                await self.stop_partial_gang(record)
        await self.wake()

    async def _widen(self, job_id: str, wanted: set[WorkerBoot]) -> None:
        try:
            await self._repository.change(
                job_id,
                functools.partial(
                    transitions.widen_intent,
                    writer=self._context.writer,
                    workers=sorted(wanted),
                ),
            )
        except NotOwnerError:
            await self._context.step_down()
        except TransitionError as refusal:
            eliot.log_message('job:not_widened', job=job_id, why=str(refusal))

    async def _start(self, launch: Launch) -> None:
        attempt = launch.attempt
        worker = launch.worker
        record = self._repository.find(attempt.job_id)
        if record is None:
            return
        session = self._session(worker)
        is_known = worker == self._boots.get(worker.worker_id)
        may_start = worker in record.intent and not record.is_cancelling
        result = TaskStartResult.NOT_STARTED
        if launch.is_current and session and is_known and may_start:
            result = await session.start(launch.order(record))
        if not launch.is_current:
            # A lease that was opened meanwhile has settled it.
            return
        if result is TaskStartResult.STARTED:
            self.note_running(record, attempt)
        elif result is TaskStartResult.NOT_STARTED:
            self.requeue(record, attempt)

    async def _preempt(self, decision: Preempt) -> None:
        for task_id in decision.task_ids:
            attempt = self._attempts.find(
                task_name(task_id.job_id, task_id.index)
            )
            if attempt is not None:
                await self.stop(attempt, checkpoint=decision.checkpoint_first)

    def _session(self, worker: WorkerBoot) -> WorkerSession | None:
        sessions = self._registry.sessions if self._registry else {}
        return sessions.get(worker.worker_id)

    def _apply_configuration(self) -> None:
        """Hand the shares and policies of a new configuration to the cell."""
        snapshot = self._context.snapshot()
        if snapshot.version == self._applied_version:
            return
        self._applied_version = snapshot.version
        document = snapshot.document
        self._cell.apply_shares(shares_of(document))
        self._cell.apply_settings(placement_settings(document.policies))

    def _confine(self) -> None:
        """Confine waiting tasks to their recorded intents in an outage."""
        is_confined = not self._context.is_store_reachable()
        if is_confined == self._is_confined:
            return
        self._is_confined = is_confined
        self._enqueue_again(self._attempts)

    def _enqueue_again(self, attempts: Iterable[Attempt]) -> None:
        queued = [item for item in attempts if item.phase is Phase.QUEUED]
        for attempt in queued:
            self.withdraw(attempt)
        for waiting in queued:
            self.enqueue(waiting)
