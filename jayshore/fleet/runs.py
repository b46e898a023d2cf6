"""Tracks runs: reconciles the reports of workers and records the changes."""

from collections.abc import Callable, Mapping
from functools import partial

import eliot

from jayshore.clock import Clock, Millis
from jayshore.fleet.demands import Placement
from jayshore.fleet.evacuation import EVACUATED
from jayshore.fleet.interfaces import (
    EndedTask,
    EndKind,
    RenewalReply,
    RunningTask,
    StartResult,
)
from jayshore.fleet.jobtable import JobEntry, JobTable, TaskEntry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import Queue, format_task_id
from jayshore.fleet.orders import OrderSender
from jayshore.fleet.pacemonitor import PaceMonitor
from jayshore.fleet.phases import FINAL_STATES, JobState, Phase
from jayshore.fleet.placementlog import PlacedTask, log_placements
from jayshore.fleet.probation import clear_suspicion, has_settled
from jayshore.fleet.progresswriter import ProgressWriter
from jayshore.fleet.sessions import WorkerSession
from jayshore.fleet.spread import (
    ListedRun,
    SpreadMonitor,
    measure_unaccounted,
)
from jayshore.fleet.tickets import invalidate_ticket
from jayshore.fleet.transitions import (
    Consequence,
    align_gangs,
    end_job,
    end_run,
    requeue_task,
    unsent_members,
)
from jayshore.fleet.workerresults import WorkerResults

_TICKET_RESULTS = frozenset((StartResult.BAD_TICKET, 'old_ticket'))


class RunTracker:
    """Starts, tracks and ends the runs of one leader."""

    def __init__(
        self,
        *,
        clock: Clock,
        job_table: JobTable,
        ledger: Ledger,
        progress_writer: ProgressWriter,
        order_sender: OrderSender,
        results: WorkerResults,
        metrics: FleetMetrics,
        queue_of: Callable[[JobEntry], Queue],
    ) -> None:
        """Create a tracker.

        Args:
            clock: local clock.
            job_table: the jobs.
            ledger: resources in use.
            progress_writer: makes progress durable.
            order_sender: sends orders to workers.
            results: counts successes and failures of the workers.
            metrics: metrics of this instance.
            queue_of: returns the current queue of a job.
        """
        self._clock = clock
        self._job_table = job_table
        self._ledger = ledger
        self._progress_writer = progress_writer
        self._order_sender = order_sender
        self._results = results
        self._pace_monitor = PaceMonitor(metrics=metrics)
        self._spread_monitor = SpreadMonitor(metrics=metrics)
        self._metrics = metrics
        self._queue_of = queue_of

    @property
    def pace_monitor(self) -> PaceMonitor:
        """Judges the progress of the runs."""
        return self._pace_monitor

    def place(self, placements: list[Placement]) -> None:
        """Record placements, and start the tasks once the record is durable.

        Args:
            placements: placements of a round.
        """
        starting: dict[str, list[PlacedTask]] = {}
        for placement in placements:
            entry = self._job_table.jobs[placement.group_id.job_id]
            task = entry.groups[placement.group_id].tasks[placement.index]
            task.phase = Phase.STARTING
            task.worker = placement.worker_id
            task.incarnation = placement.incarnation
            task.acknowledged_at = None
            task.ordered_at = None
            task.seen_at = None
            task.run += 1
            self._ledger.hold(task)
            if placement.probe:
                self._metrics.count_probe()
            starting.setdefault(entry.job.job_id, []).append(
                PlacedTask(task, placement)
            )
        for placed in starting.values():
            self._start_job_tasks(placed[0].task.group.job, placed)

    async def handle_renewal(
        self, session: WorkerSession, reply: RenewalReply, sent_at: Millis
    ) -> None:
        """Reconcile the runs of a worker with its reply to a lease renewal.

        Args:
            session: session of the worker.
            reply: active and ended runs of the worker.
            sent_at: when the renewal was sent, on the local clock.
        """
        for ended in reply.ended:
            if session.note_end(ended.number):
                await self._handle_end(session, ended)
        reported: dict[TaskEntry, RunningTask] = {}
        listed = []
        for running in reply.running:
            task = self._job_table.find(running.task)
            if task is not None:
                expected = self._is_expected(task, running.run, session)
                listed.append(ListedRun(task, running.run, expected))
            if task is not None and expected:
                reported[task] = running
                await self._confirm(task, running.checkpoint)
            elif running.task is not None:
                await self._order_sender.stop_unwanted(
                    session, running.task, running.run
                )
        worker_id = session.entry.worker_id
        self._spread_monitor.check(worker_id, listed)
        session.unaccounted = measure_unaccounted(
            worker_id, listed, self._ledger
        )
        await self._stop_slow_runs(session, reported)
        for task in self._ledger.tasks_at(worker_id):
            if task not in reported:
                await self._handle_unreported(
                    task, sent_at, more_ends=reply.more_ends
                )

    async def cancel(self, entry: JobEntry) -> None:
        """Cancel a job.

        Args:
            entry: the job; the state of an ended job does not change.
        """
        entry.cancelled = True
        if entry.state not in FINAL_STATES:
            await self._apply_consequence(
                entry, end_job(entry, JobState.CANCELLED)
            )
            self._progress_writer.record(entry)

    async def fail(self, entry: JobEntry) -> None:
        """End a job as failed.

        Args:
            entry: a job that has not ended.
        """
        await self._apply_consequence(entry, end_job(entry, JobState.FAILED))
        self._progress_writer.record(entry)

    async def mark_not_started(self, task: TaskEntry, result: str) -> None:
        """Handle a run that did not start and never will.

        Args:
            task: the task.
            result: reason, for the log and the metrics.
        """
        unsent = unsent_members(task) if result == EVACUATED else (task,)
        for member in unsent:
            eliot.log_message(
                'task:not_started',
                task=format_task_id(member.task_id),
                run=member.run,
                worker=member.worker,
                result=result,
            )
            self._metrics.count_start(result)
            self._ledger.release(member)
            member.phase = Phase.WAITING
        if result in _TICKET_RESULTS:
            invalidate_ticket(task.group.tickets, task.worker)
        await self._requeue(task, unsent)

    async def mark_lost(self, task: TaskEntry) -> None:
        """Handle a run that is over without a reported end.

        Args:
            task: the task.
        """
        await self._requeue(task, (task,))

    async def _requeue(
        self, task: TaskEntry, changed: tuple[TaskEntry, ...]
    ) -> None:
        self._ledger.release(task)
        entry = task.group.job
        await self._apply_consequence(entry, requeue_task(task))
        self._progress_writer.record(entry, changed)

    def _is_expected(
        self, task: TaskEntry, run: int, session: WorkerSession
    ) -> bool:
        """Return whether a listed run holds resources there."""
        return self._ledger.holds(task) and _is_current_run(task, run, session)

    async def _handle_unreported(
        self, task: TaskEntry, sent_at: Millis, *, more_ends: bool
    ) -> None:
        """Handle a task that a reply lists neither as active nor as ended."""
        if not _has_ended(task, sent_at):
            await self._order_sender.repeat_stop(task)
        elif not more_ends:
            await self.mark_lost(task)

    def _start_job_tasks(
        self, entry: JobEntry, placed: list[PlacedTask]
    ) -> None:
        tasks = [task for task, _ in placed]
        align_gangs(tasks)
        if entry.state is JobState.QUEUED:
            entry.state = JobState.RUNNING
            self._metrics.note_first_start(
                entry.job.queue.name,
                Millis(self._clock.now() - entry.accepted_at),
            )
        log_placements(
            entry, placed, age_ms=Millis(self._clock.now() - entry.accepted_at)
        )
        runs = [(task, task.run) for task in tasks]
        self._progress_writer.record(entry, tasks, partial(self._start, runs))

    async def _start(self, runs: list[tuple[TaskEntry, int]]) -> None:
        for task, run in runs:
            if task.phase is Phase.STARTING and task.run == run:
                await self._order_sender.start(task)

    async def _confirm(self, task: TaskEntry, checkpoint: str) -> None:
        task.confirmed = True
        if task.seen_at is None:
            task.seen_at = self._clock.now()
        elif task.crashes and has_settled(task, self._clock.now()):
            clear_suspicion(task)
        if checkpoint and task.group.spec.checkpoints:
            task.checkpoint = checkpoint
        if task.phase in {Phase.STARTING, Phase.UNKNOWN}:
            self._metrics.count_start('adopted')
            task.phase = Phase.RUNNING
            task.acknowledged_at = self._clock.now()
            if task.group.job.ended:
                await self._order_sender.stop(task)
        elif task.phase is Phase.STOPPING:
            await self._order_sender.repeat_stop(task)

    async def _handle_end(
        self, session: WorkerSession, ended: EndedTask
    ) -> None:
        recorded = partial(
            _note_recorded, session, ended.number, session.born_ms
        )
        task = self._job_table.find(ended.task)
        if task is None or not _is_current_run(task, ended.run, session):
            await recorded()
            return
        self._ledger.release(task)
        if ended.kind is EndKind.DONE:
            self._pace_monitor.note_end(session, task, self._clock.now())
        self._count_result(task, ended.kind)
        self._metrics.count_end(ended.kind)
        if ended.checkpoint and task.group.spec.checkpoints:
            task.checkpoint = ended.checkpoint
        entry = task.group.job
        consequence = end_run(
            task, ended.kind, max_attempts=self._queue_of(entry).max_attempts
        )
        _log_end(task, ended)
        await self._apply_consequence(entry, consequence)
        changed = task.group.tasks if task.group.spec.gang else (task,)
        self._progress_writer.record(entry, changed, recorded)

    def _count_result(self, task: TaskEntry, kind: EndKind) -> None:
        """Count the end of a run as a success or failure of its worker."""
        if kind is EndKind.DONE:
            self._results.note_success(task.worker)
        elif kind is EndKind.FAILED:
            now = self._clock.now()
            task.group.failed_on.add(task.worker)
            task.group.failed_at = now
            self._results.note_failure(task.worker, task.task_id.job_id, now)

    async def _stop_slow_runs(
        self, session: WorkerSession, reported: Mapping[TaskEntry, RunningTask]
    ) -> None:
        """Stop runs that are stalled or too slow, to run them elsewhere."""
        now = self._clock.now()
        for slow in self._pace_monitor.find_slow(session, reported, now):
            slow.moves += 1
            slow.group.failed_on.add(slow.worker)
            if not slow.group.spec.gang:
                self._results.note_failure(
                    slow.worker, slow.task_id.job_id, now
                )
            await self._order_sender.stop(slow)

    async def _apply_consequence(
        self, entry: JobEntry, consequence: Consequence
    ) -> None:
        for task in consequence.stop:
            await self._order_sender.stop(task)
        if consequence.job_ended:
            entry.ended_at = self._clock.now()
            eliot.log_message(
                'job:ended',
                job=entry.job.job_id,
                state=entry.state,
                age_ms=self._clock.now() - entry.accepted_at,
            )


def _is_current_run(task: TaskEntry, run: int, session: WorkerSession) -> bool:
    return task.run == run and task.worker == session.entry.worker_id


def _has_ended(task: TaskEntry, sent_at: Millis) -> bool:
    """Return whether a run is over that the worker does not report."""
    if task.phase is Phase.UNKNOWN:
        return True
    return task.acknowledged_at is not None and task.acknowledged_at < sent_at


async def _note_recorded(
    session: WorkerSession, number: int, born_ms: int
) -> None:
    session.mark_recorded(number, born_ms=born_ms)


def _log_end(task: TaskEntry, ended: EndedTask) -> None:
    if ended.kind is not EndKind.DONE:
        eliot.log_message(
            'task:ended',
            task=format_task_id(task.task_id),
            run=ended.run,
            worker=task.worker,
            kind=ended.kind,
            failures=task.failures,
        )
