"""One attempt to run a request on one executor.

An attempt outlives its caller: it holds the slot until it is known that the
request is not running on the executor any more.
"""

import collections
from typing import Final

import curio
import eliot

from jayshore.clock import Clock, Millis
from jayshore.routing.dispatcher import Dispatcher
from jayshore.routing.executor import (
    ExecutorAnswer,
    ExecutorError,
    ExecutorFenced,
    ExecutorTimedOut,
    ExecutorUnreachable,
    RoutedRequest,
)
from jayshore.routing.session import AttemptEnd, ExecutorSession
from jayshore.routing.slots import Occupant

_SLOW_RUN_FACTOR: Final = 4
"""A timeout counts as a failure of the executor only when the run took this
many times the mean; otherwise callers with short timeouts would eject it."""


class Mailbox:
    """Where a caller waits for the answer to its request.

    Attributes:
        answer: the answer, from whichever attempt and connection.
        end: how the present attempt ended without answer.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.answer: ExecutorAnswer | None = None
        self.end: AttemptEnd | None = None
        self._changed = curio.Event()

    async def put_answer(self, answer: ExecutorAnswer) -> None:
        """Deliver the answer.

        Args:
            answer: whose id is that of the request.
        """
        self.answer = answer
        await self._changed.set()

    async def put_end(self, end: AttemptEnd) -> None:
        """Report the end of the attempt.

        Args:
            end: how it ended.
        """
        self.end = end
        await self._changed.set()

    async def put_not_sent(self) -> None:
        """Report that the executor was gone before anything was sent."""
        await self.put_end(AttemptEnd.NOT_SENT)

    async def wait(self) -> None:
        """Wait until there is an answer or an end."""
        while self.answer is None and self.end is None:
            await self._changed.wait()

    def reset(self) -> None:
        """Prepare for the next attempt."""
        self.end = None
        if self.answer is None:
            self._changed.clear()


class Attempt:
    """A request on an executor.

    Attributes:
        request: the request.
        session: the executor.
        occupant: its slot.
        mailbox: where the caller waits.
        is_reported: its end was put into the mailbox.
        returned: set when no answer can come on its own connection any more.
    """

    def __init__(
        self,
        *,
        request: RoutedRequest,
        session: ExecutorSession,
        occupant: Occupant,
        mailbox: Mailbox,
    ) -> None:
        """Prepare to run.

        Args:
            request: the request.
            session: the executor.
            occupant: the slot that was reserved.
            mailbox: where the caller waits.
        """
        self.request = request
        self.session = session
        self.occupant = occupant
        self.mailbox = mailbox
        self.is_reported = False
        self.returned = curio.Event()


class AttemptRunner:
    """Runs attempts and delivers answers by request id."""

    def __init__(self, *, dispatcher: Dispatcher, clock: Clock) -> None:
        """Start without attempts.

        Args:
            dispatcher: where slots are freed.
            clock: measures runs.
        """
        self.mailboxes: dict[str, Mailbox] = {}
        self._dispatcher = dispatcher
        self._clock = clock
        self._attempts: dict[ExecutorSession, set[Attempt]] = {}
        self._running_ids: collections.Counter[str] = collections.Counter()

    def is_known(self, request_id: str) -> bool:
        """Tell whether a request is in progress or may still be running.

        Args:
            request_id: id of the request.

        Returns:
            True when a second request of this id must be refused.
        """
        return request_id in self.mailboxes or request_id in self._running_ids

    async def run(self, attempt: Attempt, timeout_ms: Millis) -> None:
        """Run an attempt until its slot is free.

        Args:
            attempt: with a reserved slot.
            timeout_ms: how long to wait for an answer on its connection.
        """
        self._attempts.setdefault(attempt.session, set()).add(attempt)
        self._running_ids[attempt.request.request_id] += 1
        try:
            await self._settle(attempt, await self._send(attempt, timeout_ms))
        finally:
            self._forget(attempt)

    async def executor_gone(self, session: ExecutorSession) -> None:
        """End the attempts on an executor that is gone.

        Connections to a dead host may stay silent for long. An idempotent
        request is reported as ended at once, so that it can run elsewhere; any
        other keeps waiting for an answer that may be on its way.

        Args:
            session: the executor.
        """
        for attempt in self._attempts_on(session):
            await self._dispatcher.release(session.slots, attempt.occupant)
            if attempt.request.idempotent:
                await self._report(attempt, AttemptEnd.EXECUTOR_ENDED)

    def _forget(self, attempt: Attempt) -> None:
        on_executor = self._attempts[attempt.session]
        on_executor.remove(attempt)
        if not on_executor:
            self._attempts.pop(attempt.session)
        self._running_ids[attempt.request.request_id] -= 1
        if not self._running_ids[attempt.request.request_id]:
            self._running_ids.pop(attempt.request.request_id)

    async def _settle(self, attempt: Attempt, end: AttemptEnd | None) -> None:
        """Free the slot as soon as that is proved, and report the end."""
        if end is None:
            attempt.occupant.is_suspect = True
            end = await attempt.session.resolve(attempt.occupant)
        if end is not AttemptEnd.UNRESOLVED:
            await self._dispatcher.release(
                attempt.session.slots,
                attempt.occupant,
            )
        if end is AttemptEnd.FINISHED and not attempt.request.idempotent:
            await self._wait_for_late_answer(attempt)
        await self._report(attempt, end)
        if end is AttemptEnd.FENCED:
            await _reopen(attempt)

    async def _report(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Report an end once; the mailbox may belong to a later attempt."""
        if not attempt.is_reported and not attempt.occupant.is_answered:
            attempt.is_reported = True
            await attempt.mailbox.put_end(end)

    async def _send(
        self,
        attempt: Attempt,
        timeout_ms: Millis,
    ) -> AttemptEnd | None:
        slots = attempt.session.slots
        slots.open_runs += 1
        try:
            return await self._exchange(attempt, timeout_ms)
        finally:
            slots.open_runs -= 1
            await attempt.returned.set()

    async def _exchange(
        self,
        attempt: Attempt,
        timeout_ms: Millis,
    ) -> AttemptEnd | None:
        """Send and wait; None when the end is not known."""
        session = attempt.session
        lease = session.lease
        if lease is None or not session.slots.is_open:
            return AttemptEnd.NOT_SENT
        attempt.occupant.generation = lease.generation
        attempt.occupant.boot_id = lease.boot_id
        started = self._clock.now()
        try:
            answer = await session.client.run(
                attempt.request,
                lease_id=lease.lease_id,
                timeout_ms=timeout_ms,
            )
        except ExecutorFenced:
            session.invalidate(lease.generation)
            return AttemptEnd.FENCED
        except ExecutorUnreachable:
            self._dispatcher.table.note_failure(session.slots)
            return AttemptEnd.NOT_SENT
        except Exception as error:
            # A fault in the port, too, says nothing about what was sent.
            self._note_lost(attempt, error, started)
            return None
        return await self._deliver(attempt, answer)

    def _note_lost(
        self,
        attempt: Attempt,
        error: Exception,
        started: Millis,
    ) -> None:
        if not isinstance(error, ExecutorError):
            eliot.write_traceback()
        slots = attempt.session.slots
        if isinstance(error, ExecutorTimedOut):
            mean = self._dispatcher.time_of(slots.service).mean_ms
            if self._clock.now() - started < mean * _SLOW_RUN_FACTOR:
                return
        self._dispatcher.table.note_failure(slots)

    async def _deliver(
        self,
        attempt: Attempt,
        answer: ExecutorAnswer,
    ) -> AttemptEnd | None:
        """Hand an answer to the request whose id it carries."""
        is_own = answer.request_id == attempt.request.request_id
        slots = attempt.session.slots
        if is_own:
            attempt.occupant.is_answered = True
            slots.health.note_success(slots.slots)
        await self._put_answer(answer)
        if is_own:
            return AttemptEnd.ANSWERED
        for other in self._attempts_on(attempt.session):
            if other.request.request_id == answer.request_id:
                # An executor that confuses connections is not trusted on
                # whether this request has ended; its inventory shows that.
                other.occupant.is_answered = True
                other.occupant.is_suspect = True
                await _reopen(other)
        return None

    async def _put_answer(self, answer: ExecutorAnswer) -> None:
        mailbox = self.mailboxes.get(answer.request_id)
        if mailbox is None:
            eliot.log_message(
                'routing:late_answer_dropped',
                request_id=answer.request_id,
            )
        else:
            await mailbox.put_answer(answer)

    async def _wait_for_late_answer(self, attempt: Attempt) -> None:
        """Wait while the answer may come on the connection of another run."""
        for other in self._attempts_on(attempt.session):
            await other.returned.wait()

    def _attempts_on(self, session: ExecutorSession) -> tuple[Attempt, ...]:
        return tuple(self._attempts.get(session, ()))


async def _reopen(attempt: Attempt) -> None:
    try:
        await attempt.session.fence(attempt.occupant.generation)
    except ExecutorError:
        # The task that maintains the lease goes on trying.
        return
