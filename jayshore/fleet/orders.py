"""Sends start and stop orders to workers until their outcome is certain.

A worker may execute an order seconds after its reply timed out. A start is
therefore repeated at the same worker, where it is idempotent, and a start that
is given up is followed by a stop, after which the worker refuses the run.
"""

import abc
from typing import Final

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Clock, Millis, to_seconds
from jayshore.fleet.evacuation import UNKNOWN, Evacuations
from jayshore.fleet.interfaces import (
    StartOrder,
    StartReply,
    StartResult,
    WorkerUnreachable,
)
from jayshore.fleet.jobtable import TaskEntry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import TaskId, format_task_id
from jayshore.fleet.phases import Phase
from jayshore.fleet.sessions import WorkerSession
from jayshore.fleet.unanswered import UnansweredStart, UnansweredStarts

_START_ATTEMPTS: Final = 3
_RETRY_MS: Final = Millis(200)
_UNWANTED_STOP_ATTEMPTS: Final = 3


class OrderObserver(abc.ABC):
    """Provides the sessions of workers and receives failed starts."""

    @abc.abstractmethod
    def find_session(self, worker_id: str) -> WorkerSession | None:
        """Find the session of a worker.

        Args:
            worker_id: the worker.

        Returns:
            The session, or None when there is none.
        """

    @abc.abstractmethod
    async def run_not_started(self, task: TaskEntry, result: str) -> None:
        """Handle a run that did not start and never will.

        Args:
            task: the task.
            result: reason, for the log.
        """


class OrderSender:
    """Sends the start and stop orders of one leader in the background."""

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: Ledger,
        observer: OrderObserver,
        metrics: FleetMetrics,
        evacuations: Evacuations,
    ) -> None:
        """Create a sender without orders.

        Args:
            clock: local clock.
            ledger: knows which tasks still hold resources.
            observer: provides sessions and receives failed starts.
            metrics: counts the starts.
            evacuations: failure domains in which nothing may start.
        """
        self._evacuations = evacuations
        self._metrics = metrics
        self._clock = clock
        self._ledger = ledger
        self._observer = observer
        self._tasks = BackgroundTasks()
        self._stopping: set[tuple[TaskId, int]] = set()
        self._stopping_unwanted: set[tuple[str, str, int]] = set()
        self._unanswered = UnansweredStarts()

    async def start(self, task: TaskEntry) -> None:
        """Start a task whose placement is recorded.

        Args:
            task: the task, in `Phase.STARTING`.
        """
        await self._tasks.spawn(self._start(task, task.run))

    async def stop(self, task: TaskEntry) -> None:
        """Stop the run of a task, unless a stop was already ordered.

        Args:
            task: a task whose run holds resources.
        """
        if task.phase is Phase.STOPPING:
            return
        task.phase = Phase.STOPPING
        task.acknowledged_at = None
        await self._tasks.spawn(self._stop(task, task.run, poll=False))

    async def repeat_stop(self, task: TaskEntry) -> None:
        """Order a stop again that was given up before it was acknowledged.

        A stop is given up while its worker has no session, as after a change
        of leader. A run that never arrived needs it too: once it is
        acknowledged the worker refuses the run, whose room is then free.

        Args:
            task: a task that holds resources at a worker that replies.
        """
        if task.phase is Phase.STOPPING and task.acknowledged_at is None:
            await self._tasks.spawn(self._stop(task, task.run, poll=False))

    async def stop_unwanted(
        self, session: WorkerSession, task_id: TaskId, run: int
    ) -> None:
        """Stop a run that a worker reports but the leader does not expect.

        Args:
            session: session of the worker.
            task_id: the task.
            run: number of the run.
        """
        key = (session.entry.worker_id, format_task_id(task_id), run)
        if key not in self._stopping_unwanted:
            self._stopping_unwanted.add(key)
            await self._tasks.spawn(
                self._send_unwanted_stop(session, task_id, run, key)
            )

    async def stop_unanswered(self, session: WorkerSession) -> None:
        """Stop the runs that a restarted worker may still start.

        What holds resources there does so until the worker refuses the run.

        Args:
            session: session of a worker that is back under its id.
        """
        worker_id = session.entry.worker_id
        held = {task.task_id: task for task in self._ledger.tasks_at(worker_id)}
        runs = self._unanswered.at(worker_id, self._clock.now())
        for task_id, run in runs.items():
            task = held.get(task_id)
            if task is None or task.run != run or task.phase is Phase.DONE:
                await self.stop_unwanted(session, task_id, run)
            else:
                task.phase = Phase.STOPPING
                task.acknowledged_at = None
                await self._tasks.spawn(self._stop(task, run, poll=False))

    async def close(self) -> None:
        """Cancel all orders."""
        await self._tasks.close()

    async def _start(self, task: TaskEntry, run: int) -> None:
        await self._wait_until_known(task, run)
        await self._send_until_answered(task, run)

    async def _send_until_answered(self, task: TaskEntry, run: int) -> None:
        attempts = 0
        while _is_starting(task, run):
            session = self._observer.find_session(task.worker)
            obstacle = self._find_obstacle(task, session, attempts)
            if session is None or obstacle:
                if not attempts:
                    await self._report_not_started(task, run, obstacle)
                return
            lease_until = await self._obtain_lease(task, run, session, attempts)
            if lease_until is None:
                continue
            order = _start_order(task, session, lease_until)
            attempts += 1
            if await self._send_start(task, order, session, attempts):
                return

    async def _obtain_lease(
        self, task: TaskEntry, run: int, session: WorkerSession, attempts: int
    ) -> int | None:
        """Return the end of the lease of an order, unless it is held back.

        None after a pause, or after the start was given up because its domain
        is evacuated. Nothing is awaited between the check and the order.
        """
        ban = self._evacuations.find_ban(session.entry.domain)
        lease_until = None if ban else session.grant()
        if ban == UNKNOWN and not attempts:
            await self._wait_until_known(task, run)
        elif ban:
            await self._give_up(task, run, ban, uncertain=attempts > 0)
        elif lease_until is None:
            await curio.sleep(to_seconds(_RETRY_MS))
        return lease_until

    async def _send_start(
        self,
        task: TaskEntry,
        order: StartOrder,
        session: WorkerSession,
        attempts: int,
    ) -> bool:
        """Send a start once; False when its reply is lost.

        One lost reply says little of a worker; the next order shows whether it
        replies.
        """
        sent_at = self._clock.now()
        if attempts == 1:
            task.ordered_at = sent_at
        try:
            reply = await session.client.start(order)
        except WorkerUnreachable as error:
            if error.sent:
                session.lease.note_start(
                    sent_at, self._clock.now(), answered=False
                )
                self._unanswered.note(
                    task.worker,
                    task.task_id,
                    UnansweredStart(order.run, self._clock.now()),
                )
            if attempts > 1 or not error.sent:
                session.suspect()
            await self._handle_lost_reply(
                task, order.run, attempts, sent=error.sent
            )
            return False
        session.lease.note_start(sent_at, self._clock.now(), answered=True)
        await self._handle_reply(task, order.run, reply, uncertain=attempts > 1)
        return True

    async def _handle_lost_reply(
        self, task: TaskEntry, run: int, attempts: int, *, sent: bool
    ) -> None:
        """Abandon a start that was never sent, stop one after all attempts."""
        if attempts == 1 and not sent:
            await self._report_not_started(task, run, 'not_sent')
        elif attempts >= _START_ATTEMPTS and _is_starting(task, run):
            task.phase = Phase.STOPPING
            await self._stop(task, run, poll=True)

    def _find_obstacle(
        self, task: TaskEntry, session: WorkerSession | None, attempts: int
    ) -> str:
        """Return why a start cannot be sent, empty when it can."""
        if session is None or session.closed:
            return 'no_session'
        if not session.is_incarnation(task.incarnation):
            return 'other_life'
        # A start that may have arrived is repeated whatever has changed.
        return '' if attempts else self._find_change(task)

    def _find_change(self, task: TaskEntry) -> str:
        """Return what forbids a start since it was decided, empty for nothing.

        Recording a start takes as long as the store does.
        """
        ticket = task.group.tickets.get(task.worker)
        if ticket is not None and ticket.valid_until < self._clock.now():
            return 'old_ticket'
        session = self._observer.find_session(task.worker)
        if session is not None and session.entry.draining:
            return 'draining'
        return ''

    async def _handle_reply(
        self, task: TaskEntry, run: int, reply: StartReply, *, uncertain: bool
    ) -> None:
        if not _is_starting(task, run):
            return
        if reply.result is StartResult.STARTED:
            self._metrics.count_start(StartResult.STARTED)
            task.phase = Phase.RUNNING
            task.confirmed = True
            task.acknowledged_at = self._clock.now()
            task.seen_at = task.acknowledged_at
            return
        if reply.result is StartResult.FENCED:
            session = self._observer.find_session(task.worker)
            if session is not None:
                session.suspect()
        await self._give_up(task, run, reply.result.value, uncertain=uncertain)

    async def _give_up(
        self, task: TaskEntry, run: int, result: str, *, uncertain: bool
    ) -> None:
        """Give up a start, with a stop when an order may have arrived."""
        if uncertain:
            task.phase = Phase.STOPPING
            await self._stop(task, run, poll=True)
        else:
            await self._report_not_started(task, run, result)

    async def _wait_until_known(self, task: TaskEntry, run: int) -> None:
        """Hold a start back while the evacuations are not known well enough.

        The record of a start that was decided before a store outage may be
        stored before the keys are read again.
        """
        while _is_starting(task, run) and not self._evacuations.known:
            await curio.sleep(to_seconds(_RETRY_MS))

    async def _report_not_started(
        self, task: TaskEntry, run: int, result: str
    ) -> None:
        if _is_starting(task, run):
            await self._observer.run_not_started(task, result)

    async def _stop(self, task: TaskEntry, run: int, *, poll: bool) -> None:
        key = (task.task_id, run)
        if key in self._stopping:
            return
        self._stopping.add(key)
        try:
            await self._stop_until_acknowledged(task, run, poll=poll)
        finally:
            self._stopping.discard(key)

    async def _stop_until_acknowledged(
        self, task: TaskEntry, run: int, *, poll: bool
    ) -> None:
        while task.run == run and self._ledger.holds(task):
            session = self._observer.find_session(task.worker)
            if session is None or session.closed:
                return
            try:
                taken = await session.client.stop(
                    task.task_id, run, session.fence
                )
            except WorkerUnreachable:
                session.suspect()
                await curio.sleep(to_seconds(_RETRY_MS))
                continue
            if not taken:
                eliot.log_message(
                    'order:stop_refused', task=format_task_id(task.task_id)
                )
                return
            task.acknowledged_at = self._clock.now()
            if poll:
                await session.poll_now()
            return

    async def _send_unwanted_stop(
        self,
        session: WorkerSession,
        task_id: TaskId,
        run: int,
        key: tuple[str, str, int],
    ) -> None:
        eliot.log_message(
            'order:stop_unwanted',
            task=key[1],
            run=run,
            worker=session.entry.worker_id,
        )
        stopped = False
        for _ in range(_UNWANTED_STOP_ATTEMPTS):
            if not stopped:
                stopped = await self._try_stop(session, task_id, run)
        self._stopping_unwanted.discard(key)

    async def _try_stop(
        self, session: WorkerSession, task_id: TaskId, run: int
    ) -> bool:
        try:
            await session.client.stop(task_id, run, session.fence)
        except WorkerUnreachable:
            await curio.sleep(to_seconds(_RETRY_MS))
            return False
        return True


def _is_starting(task: TaskEntry, run: int) -> bool:
    return task.run == run and task.phase is Phase.STARTING


def _start_order(
    task: TaskEntry, session: WorkerSession, lease_until: int
) -> StartOrder:
    ticket = task.group.tickets.get(task.worker)
    return StartOrder(
        task=task.task_id,
        run=task.run,
        payload=task.group.job.job.payload,
        lease_until_ms=lease_until,
        fence=session.fence,
        checkpoint=task.checkpoint,
        ticket='' if ticket is None else ticket.text,
    )
