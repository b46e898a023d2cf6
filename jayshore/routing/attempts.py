"""Attempts to run a request on one executor.

An attempt may outlive its caller: it holds the slot until it is proved that the
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
from jayshore.routing.slots import SlotReservation

_SLOW_RUN_FACTOR: Final = 4
"""A timeout counts as a failure of the executor only when the run took this
many times the mean slot time; otherwise callers with short timeouts would
eject the executor."""


class PendingResult:
    """Result of a request that its caller waits for.

    Attributes:
        answer: the answer, of any attempt and on any connection; None before.
        end: how the present attempt ended without an answer; None before.
    """

    def __init__(self) -> None:
        """Create a result that is still pending."""
        self.answer: ExecutorAnswer | None = None
        self.end: AttemptEnd | None = None
        self._changed = curio.Event()

    async def deliver_answer(self, answer: ExecutorAnswer) -> None:
        """Store the answer and wake the caller.

        Args:
            answer: the answer, with the id of the request.
        """
        self.answer = answer
        await self._changed.set()

    async def report_end(self, end: AttemptEnd) -> None:
        """Store the end of the present attempt and wake the caller.

        Args:
            end: how the attempt ended.
        """
        self.end = end
        await self._changed.set()

    async def report_not_sent(self) -> None:
        """Report that the attempt ended before anything was sent."""
        await self.report_end(AttemptEnd.NOT_SENT)

    async def wait(self) -> None:
        """Wait for an answer or for the end of the present attempt."""
        while self.answer is None and self.end is None:
            await self._changed.wait()

    def reset(self) -> None:
        """Discard the end of an attempt, before the next one."""
        self.end = None
        if self.answer is None:
            self._changed.clear()


class Attempt:
    """One attempt to run a request on an executor.

    Attributes:
        request: the request.
        session: the session with the executor.
        reservation: the slot of the attempt.
        pending_result: what the caller waits for.
        is_reported: the end of the attempt was stored in `pending_result`.
        connection_done: set when no further answer can arrive on the
            attempt's own connection.
    """

    def __init__(
        self,
        *,
        request: RoutedRequest,
        session: ExecutorSession,
        reservation: SlotReservation,
        pending_result: PendingResult,
    ) -> None:
        """Create an attempt that was not sent yet.

        Args:
            request: the request.
            session: the session with the executor.
            reservation: the slot that is reserved for it.
            pending_result: what the caller waits for.
        """
        self.request = request
        self.session = session
        self.reservation = reservation
        self.pending_result = pending_result
        self.is_reported = False
        self.connection_done = curio.Event()


class AttemptRunner:
    """Runs attempts and delivers answers to callers by request id.

    Attributes:
        pending_results: what callers wait for, by request id.
    """

    def __init__(self, *, dispatcher: Dispatcher, clock: Clock) -> None:
        """Create a runner without attempts.

        Args:
            dispatcher: releases the slots.
            clock: measures the duration of runs.
        """
        self.pending_results: dict[str, PendingResult] = {}
        self._dispatcher = dispatcher
        self._clock = clock
        self._attempts: dict[ExecutorSession, set[Attempt]] = {}
        self._running_ids: collections.Counter[str] = collections.Counter()

    def is_active(self, request_id: str) -> bool:
        """Tell whether a request is in progress or may still be running.

        Args:
            request_id: id of the request.

        Returns:
            True when another request with this id must be refused.
        """
        return (
            request_id in self.pending_results
            or request_id in self._running_ids
        )

    async def run(self, attempt: Attempt, timeout_ms: Millis) -> None:
        """Run an attempt and release its slot once the request has ended.

        Args:
            attempt: the attempt, with a reserved slot.
            timeout_ms: how long to wait for an answer on its connection, in
                ms.
        """
        self._attempts.setdefault(attempt.session, set()).add(attempt)
        self._running_ids[attempt.request.request_id] += 1
        try:
            await self._finish(attempt, await self._send(attempt, timeout_ms))
        finally:
            self._forget(attempt)

    async def end_attempts_on(self, session: ExecutorSession) -> None:
        """End the attempts on an executor that is gone.

        Connections to a dead host may stay open and silent for long. The
        attempt of an idempotent request is reported as ended at once, so that
        the request can run elsewhere. Any other request keeps waiting for an
        answer that may be on its way.

        Args:
            session: the session with the executor.
        """
        for attempt in self._attempts_on(session):
            await self._dispatcher.release(session.slots, attempt.reservation)
            if attempt.request.idempotent:
                await self._report(attempt, AttemptEnd.EXECUTOR_ENDED)

    def _forget(self, attempt: Attempt) -> None:
        attempts = self._attempts[attempt.session]
        attempts.remove(attempt)
        if not attempts:
            self._attempts.pop(attempt.session)
        self._running_ids[attempt.request.request_id] -= 1
        if not self._running_ids[attempt.request.request_id]:
            self._running_ids.pop(attempt.request.request_id)

    async def _finish(self, attempt: Attempt, end: AttemptEnd | None) -> None:
        """Release the slot once the request has ended, and report the end."""
        if end is None:
            attempt.reservation.is_orphaned = True
            end = await attempt.session.resolve(attempt.reservation)
        if end is not AttemptEnd.UNRESOLVED:
            await self._dispatcher.release(
                attempt.session.slots,
                attempt.reservation,
            )
        if end is AttemptEnd.FINISHED and not attempt.request.idempotent:
            await self._wait_for_late_answer(attempt)
        await self._report(attempt, end)
        if end is AttemptEnd.FENCED:
            await _fence_lease(attempt)

    async def _report(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Report an end once; a later attempt may use the pending result."""
        if not attempt.is_reported and not attempt.reservation.is_answered:
            attempt.is_reported = True
            await attempt.pending_result.report_end(end)

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
            await attempt.connection_done.set()

    async def _exchange(
        self,
        attempt: Attempt,
        timeout_ms: Millis,
    ) -> AttemptEnd | None:
        """Send and wait for an answer; None when the end is unknown."""
        session = attempt.session
        lease = session.lease
        if lease is None or not session.slots.is_open:
            return AttemptEnd.NOT_SENT
        attempt.reservation.generation = lease.generation
        attempt.reservation.boot_id = lease.boot_id
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
            self._dispatcher.slot_table.record_failure(session.slots)
            return AttemptEnd.NOT_SENT
        except Exception as error:
            # Any other exception, such as a fault in the client, leaves open
            # what was sent.
            self._record_lost_answer(attempt, error, started)
            return None
        return await self._deliver(attempt, answer)

    def _record_lost_answer(
        self,
        attempt: Attempt,
        error: Exception,
        started: Millis,
    ) -> None:
        if not isinstance(error, ExecutorError):
            eliot.write_traceback()
        slots = attempt.session.slots
        if isinstance(error, ExecutorTimedOut):
            mean = self._dispatcher.slot_time_of(slots.service).mean_ms
            if self._clock.now() - started < mean * _SLOW_RUN_FACTOR:
                return
        self._dispatcher.slot_table.record_failure(slots)

    async def _deliver(
        self,
        attempt: Attempt,
        answer: ExecutorAnswer,
    ) -> AttemptEnd | None:
        """Deliver an answer to the request whose id it carries."""
        is_own = answer.request_id == attempt.request.request_id
        slots = attempt.session.slots
        if is_own:
            attempt.reservation.is_answered = True
            slots.health.record_success(slots.slots)
        await self._deliver_to_caller(answer)
        if is_own:
            return AttemptEnd.ANSWERED
        for other in self._attempts_on(attempt.session):
            if other.request.request_id == answer.request_id:
                # The executor has mixed up connections, so its answer does not
                # prove that this request has ended. The inventory does.
                other.reservation.is_answered = True
                other.reservation.is_orphaned = True
                await _fence_lease(other)
        return None

    async def _deliver_to_caller(self, answer: ExecutorAnswer) -> None:
        pending_result = self.pending_results.get(answer.request_id)
        if pending_result is None:
            eliot.log_message(
                'routing:late_answer_dropped',
                request_id=answer.request_id,
            )
        else:
            await pending_result.deliver_answer(answer)

    async def _wait_for_late_answer(self, attempt: Attempt) -> None:
        """Wait while the answer may arrive on the connection of another run."""
        for other in self._attempts_on(attempt.session):
            await other.connection_done.wait()

    def _attempts_on(self, session: ExecutorSession) -> tuple[Attempt, ...]:
        return tuple(self._attempts.get(session, ()))


async def _fence_lease(attempt: Attempt) -> None:
    try:
        await attempt.session.fence(attempt.reservation.generation)
    except ExecutorError:
        # The task that maintains the lease retries.
        return
