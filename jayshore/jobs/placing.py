"""Runs placement rounds, and starts and stops tasks as the cell decides."""

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
from jayshore.jobs.pending import pending_task, task_id_of
from jayshore.jobs.policies import placement_settings, shares_of
from jayshore.jobs.record import JobKind, JobRecord, WorkerBoot
from jayshore.jobs.repository import JobRepository
from jayshore.jobs.stopping import StopRetrier
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
    """Runs placement rounds and executes the decisions of the cell."""

    def __init__(
        self,
        *,
        context: LeaderContext,
        cell: Cell,
        repository: JobRepository,
        attempts: AttemptTable,
        tasks: BackgroundTasks,
    ) -> None:
        """Create a placer without workers; `attach` sets the sessions later.

        Args:
            context: dependencies shared by the components of the leader.
            cell: decides on placement and preemption.
            repository: the job records.
            attempts: the latest attempts of all tasks.
            tasks: background tasks of the leader.
        """
        self._context = context
        self._cell = cell
        self._repository = repository
        self._attempts = attempts
        self._registry: WorkerSessionRegistry | None = None
        self._tasks = tasks
        self._stop_retrier = StopRetrier(
            find_session=self._session, rng=context.rng, tasks=tasks
        )
        self._boots: dict[str, WorkerBoot] = {}
        self._views: dict[str, WorkerView] = {}
        self._wake = curio.Event()
        self._restrict_to_intent = False
        self._applied_version = 0

    @property
    def boots(self) -> dict[str, WorkerBoot]:
        """The latest known boot of each worker, by worker id."""
        return self._boots

    @property
    def views(self) -> tuple[WorkerView, ...]:
        """The workers whose lease was opened at least once."""
        return tuple(self._views.values())

    def add_worker(self, view: WorkerView) -> None:
        """Add a worker to the cell.

        Args:
            view: a worker whose lease was opened for the first time.
        """
        self._views[view.worker_id] = view
        self._cell.add_worker(view)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker that is gone.

        Args:
            worker_id: a worker on which nothing is running.
        """
        self._boots.pop(worker_id, None)
        if self._views.pop(worker_id, None) is not None:
            self._cell.remove_worker(worker_id)

    def attach(self, registry: WorkerSessionRegistry) -> None:
        """Set the worker sessions, whose observer depends on this placer.

        Args:
            registry: the worker sessions.
        """
        self._registry = registry

    async def wake(self) -> None:
        """Trigger a placement round without waiting for the interval."""
        await self._wake.set()

    async def run(self, interval_ms: Millis) -> None:
        """Run a round after each `wake` and at least once per interval.

        Args:
            interval_ms: longest pause between two rounds, in ms.
        """
        while True:
            async with curio.ignore_after(to_seconds(interval_ms)):
                await self._wake.wait()
            self._wake.clear()
            self._update_intent_restriction()
            self._apply_configuration()
            await self._round()

    def enqueue(self, attempt: Attempt) -> None:
        """Add an attempt to the queue of the cell.

        The attempt is dropped if its job has ended or is unknown.

        Args:
            attempt: an attempt that is certainly not running.
        """
        record = self._repository.find(attempt.job_id)
        if record is None or record.is_final:
            self._attempts.remove(attempt)
            return
        attempt.phase = Phase.QUEUED
        attempt.worker = None
        self._cell.enqueue(
            pending_task(
                record,
                attempt,
                context=self._context,
                restrict_to_intent=self._restrict_to_intent,
            )
        )

    def refresh_gang(self, record: JobRecord) -> None:
        """Enqueue the waiting tasks of a gang again with its remaining size.

        Args:
            record: a job of which a task has just ended; ignored unless it is
                a gang.
        """
        if record.kind is JobKind.GANG:
            self._refresh_queued(self._attempts.of_job(record))

    def withdraw(self, attempt: Attempt) -> None:
        """Remove an attempt from the queue of the cell.

        Args:
            attempt: a queued attempt.
        """
        self._cell.withdraw(task_id_of(attempt))

    def adopt(self, record: JobRecord, attempt: Attempt) -> None:
        """Occupy the resources of an inherited attempt that is running.

        Args:
            record: the job of the attempt.
            attempt: the attempt, with the worker that runs it.
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
                    restrict_to_intent=False,
                ),
                worker_id=attempt.worker.worker_id,
                started_at=self._context.clock.now(),
            )
        )

    def release(self, record: JobRecord, attempt: Attempt) -> PlacedTask:
        """Free the resources of an attempt that has ended or never started.

        Args:
            record: the job of the attempt.
            attempt: a starting or running attempt.

        Returns:
            The task as the cell held it.
        """
        running = self._cell.finish(task_id_of(attempt))
        self._context.ledger.release(record.team, record.demand)
        attempt.phase = Phase.ENDED
        return running

    def update_usage(self, attempt: Attempt, usage: Resources) -> None:
        """Pass the measured usage of a running attempt to the cell.

        Args:
            attempt: a running attempt.
            usage: usage reported by the worker.
        """
        self._cell.update_usage(task_id_of(attempt), usage)

    async def stop(self, attempt: Attempt, *, checkpoint: bool) -> None:
        """Send stops to the worker of an attempt until the attempt has ended.

        Args:
            attempt: a starting or running attempt.
            checkpoint: whether to request a checkpoint first.
        """
        await self._stop_retrier.stop(attempt, checkpoint=checkpoint)

    async def stop_partial_gang(self, record: JobRecord) -> None:
        """Stop the running members of a gang if another member is queued.

        A member whose start is uncertain may be running. Only a queued member
        shows that the gang runs in part.

        Args:
            record: a job; ignored unless it is a gang.
        """
        if record.kind is not JobKind.GANG:
            return
        members = self._attempts.of_job(record)
        if any(member.phase is Phase.QUEUED for member in members):
            for member in members:
                if member.phase is Phase.RUNNING:
                    await self.stop(member, checkpoint=True)

    def mark_running(self, record: JobRecord, attempt: Attempt) -> None:
        """Record that a starting attempt is running.

        Args:
            record: the job of the attempt.
            attempt: a starting attempt.
        """
        attempt.phase = Phase.RUNNING
        waited = self._context.wall_clock.now() - record.accepted_at_ms
        self._context.events.task_started(record, Millis(waited))

    def requeue(self, record: JobRecord, attempt: Attempt) -> None:
        """Enqueue a starting attempt again that certainly did not start.

        Args:
            record: the job of the attempt.
            attempt: a starting attempt.
        """
        self.release(record, attempt)
        self.enqueue(attempt)

    async def execute(self, decision: Place) -> None:
        """Start tasks on the workers on which they were placed.

        Args:
            decision: a decision of the cell, or a probe.
        """
        now = self._context.clock.now()
        launches = []
        for assignment in decision.assignments:
            attempt = self._attempts.find(
                task_name(assignment.task_id.job_id, assignment.task_id.index)
            )
            record = self._repository.find(assignment.task_id.job_id)
            if attempt is None or record is None:
                self._cell.withdraw(assignment.task_id)
                continue
            self._cell.start(assignment.task_id, assignment.worker_id, now)
            self._context.ledger.charge(record.team, record.demand)
            attempt.phase = Phase.STARTING
            attempt.launches += 1
            worker = self._boots[assignment.worker_id]
            attempt.worker = worker
            launches.append(
                Launch(attempt=attempt, number=attempt.launches, worker=worker)
            )
        if launches:
            await self._tasks.spawn(self._launch(launches))

    async def _round(self) -> None:
        while True:
            decision = self._cell.decide(self._context.clock.now())
            match decision:
                case Wait():
                    return
                case Place():
                    await self.execute(decision)
                case Preempt():
                    self._cell.preempt(decision)
                    await self._tasks.spawn(self._preempt(decision))

    async def _launch(self, launches: list[Launch]) -> None:
        job_id = launches[0].attempt.job_id
        workers = {launch.worker for launch in launches}
        record = self._repository.find(job_id)
        with eliot.start_action(
            action_type='placement:launch', job=job_id, tasks=len(launches)
        ):
            if record is not None and not workers.issubset(record.intent):
                await self._widen_intent(job_id, workers)
            starts = curio.TaskGroup(wait=all)
            async with starts:
                for launch in launches:
                    await starts.spawn(self._start(launch))
            if record is not None:
                await self.stop_partial_gang(record)
        await self.wake()

    async def _widen_intent(
        self, job_id: str, workers: set[WorkerBoot]
    ) -> None:
        try:
            await self._repository.change(
                job_id,
                functools.partial(
                    transitions.widen_intent,
                    writer=self._context.writer,
                    workers=sorted(workers),
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
            result = await session.start(launch.start_order(record))
        if not launch.is_current:
            # A lease opened meanwhile has already resolved this start.
            return
        if result is TaskStartResult.STARTED:
            self.mark_running(record, attempt)
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
        """Apply the shares and policies of a new configuration to the cell."""
        snapshot = self._context.snapshot()
        if snapshot.version == self._applied_version:
            return
        self._applied_version = snapshot.version
        document = snapshot.document
        self._cell.apply_shares(shares_of(document))
        self._cell.apply_settings(placement_settings(document.policies))

    def _update_intent_restriction(self) -> None:
        """Restrict queued tasks to their stored intents in a store outage."""
        restrict_to_intent = not self._context.is_store_reachable()
        if restrict_to_intent == self._restrict_to_intent:
            return
        self._restrict_to_intent = restrict_to_intent
        self._refresh_queued(self._attempts)

    def _refresh_queued(self, attempts: Iterable[Attempt]) -> None:
        queued = [item for item in attempts if item.phase is Phase.QUEUED]
        for attempt in queued:
            self.withdraw(attempt)
        for waiting in queued:
            self.enqueue(waiting)
