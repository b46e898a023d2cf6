"""Carries starts and stops to workers until their outcome is certain.

An order without an answer may be carried out seconds later. A start is
therefore repeated at the same worker, which runs a task once however often it
is told, and a start that is given up is followed by a stop, after which the
worker refuses the run.
"""

import abc
from typing import Final

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Clock, Millis, to_seconds
from jayshore.fleet.interfaces import (
    StartOrder,
    StartReply,
    StartResult,
    WorkerUnreachable,
)
from jayshore.fleet.jobtable import Phase, TaskEntry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import TaskId, format_task_id
from jayshore.fleet.sessions import WorkerSession

_START_ATTEMPTS: Final = 2
_RETRY_MS: Final = Millis(200)
_UNWANTED_ATTEMPTS: Final = 3


class OrderObserver(abc.ABC):
    """Knows the sessions and is told of outcomes."""

    @abc.abstractmethod
    def find_session(self, worker_id: str) -> WorkerSession | None:
        """Find the session of a worker.

        Args:
            worker_id: the worker.

        Returns:
            The session, or None when it has ended.
        """

    @abc.abstractmethod
    async def not_started(self, task: TaskEntry, result: str) -> None:
        """Take over that a run did not start and never will.

        Args:
            task: the task.
            result: why, for the log.
        """


class OrderSender:
    """Sends the orders of one leader."""

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: Ledger,
        observer: OrderObserver,
        metrics: FleetMetrics,
    ) -> None:
        """Start without orders.

        Args:
            clock: our clock.
            ledger: tells which tasks still take room.
            observer: is told of outcomes.
            metrics: counts the starts.
        """
        self._metrics = metrics
        self._clock = clock
        self._ledger = ledger
        self._observer = observer
        self._tasks = BackgroundTasks()
        self._unwanted: set[tuple[str, str, int]] = set()

    async def start(self, task: TaskEntry) -> None:
        """Start a task whose placement is recorded.

        Args:
            task: in `Phase.STARTING`.
        """
        await self._tasks.spawn(self._start(task, task.run))

    async def stop(self, task: TaskEntry) -> None:
        """Stop a run.

        Args:
            task: with a run that takes room.
        """
        if task.phase is Phase.STOPPING:
            return
        task.phase = Phase.STOPPING
        task.acknowledged_at = None
        await self._tasks.spawn(self._stop(task, task.run, look=False))

    async def stop_unwanted(
        self, session: WorkerSession, name: TaskId, run: int
    ) -> None:
        """Stop a run that a worker lists and that should not be.

        Args:
            session: of the worker.
            name: the task.
            run: number of the run.
        """
        key = (session.entry.worker_id, format_task_id(name), run)
        if key not in self._unwanted:
            self._unwanted.add(key)
            await self._tasks.spawn(
                self._stop_unwanted(session, name, run, key)
            )

    async def close(self) -> None:
        """Cancel all orders."""
        await self._tasks.close()

    async def _start(self, task: TaskEntry, run: int) -> None:
        if self._lacks_ticket(task):
            await self._refuse(task, run, 'old_ticket')
        attempts = 0
        while _is_starting(task, run):
            session = self._observer.find_session(task.worker)
            if session is None or session.over:
                return
            lease_until = session.grant()
            if lease_until is None:
                await curio.sleep(to_seconds(_RETRY_MS))
                continue
            order = _start_order(task, session, lease_until)
            try:
                answer = await session.client.start(order)
            except WorkerUnreachable as error:
                session.suspect()
                attempts += 1
                await self._miss(task, run, attempts, sent=error.sent)
            else:
                await self._settle(task, run, answer, uncertain=attempts > 0)
                return

    async def _miss(
        self, task: TaskEntry, run: int, attempts: int, *, sent: bool
    ) -> None:
        """Act on a start without an answer: repeat it, or give it up."""
        if attempts == 1 and not sent:
            await self._refuse(task, run, 'not_sent')
        elif attempts >= _START_ATTEMPTS and _is_starting(task, run):
            task.phase = Phase.STOPPING
            await self._stop(task, run, look=True)

    def _lacks_ticket(self, task: TaskEntry) -> bool:
        """Tell whether the ticket expired while the start was recorded."""
        ticket = task.group.tickets.get(task.worker)
        return ticket is not None and ticket.valid_until < self._clock.now()

    async def _settle(
        self, task: TaskEntry, run: int, answer: StartReply, *, uncertain: bool
    ) -> None:
        if not _is_starting(task, run):
            return
        if answer.result is StartResult.STARTED:
            self._metrics.count_start(StartResult.STARTED)
            task.phase = Phase.RUNNING
            task.confirmed = True
            task.acknowledged_at = self._clock.now()
            return
        if answer.result is StartResult.FENCED:
            session = self._observer.find_session(task.worker)
            if session is not None:
                session.suspect()
        if uncertain:
            task.phase = Phase.STOPPING
            await self._stop(task, run, look=True)
        else:
            await self._refuse(task, run, answer.result.value)

    async def _refuse(self, task: TaskEntry, run: int, result: str) -> None:
        if _is_starting(task, run):
            await self._observer.not_started(task, result)

    async def _stop(self, task: TaskEntry, run: int, *, look: bool) -> None:
        while task.run == run and self._ledger.holds(task):
            session = self._observer.find_session(task.worker)
            if session is None or session.over:
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
            if look:
                await session.look()
            return

    async def _stop_unwanted(
        self,
        session: WorkerSession,
        name: TaskId,
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
        for _ in range(_UNWANTED_ATTEMPTS):
            if not stopped:
                stopped = await self._try_stop(session, name, run)
        self._unwanted.discard(key)

    async def _try_stop(
        self, session: WorkerSession, name: TaskId, run: int
    ) -> bool:
        try:
            await session.client.stop(name, run, session.fence)
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
