"""Executes one request: waits for a slot, runs attempts, and retries.

An outcome claims only what is proved: `Ran` after an answer with the id of the
request, `NotRun` when each attempt certainly did not and will not run, and
`Unknown` otherwise.
"""

import dataclasses
import random

import curio

from jayshore.background import BackgroundTasks
from jayshore.clock import Clock, Millis, to_seconds
from jayshore.outcomes import (
    NotRun,
    NotRunReason,
    Ran,
    RequestOutcome,
    Unknown,
    UnknownReason,
)
from jayshore.retry import RetryBudgets, try_retry
from jayshore.routing.attempts import Attempt, AttemptRunner, PendingResult
from jayshore.routing.dispatcher import ONE_REQUEST, Dispatcher
from jayshore.routing.executor import RoutedRequest
from jayshore.routing.headroom import Headroom
from jayshore.routing.policy import RoutingPolicy
from jayshore.routing.queues import QueueFullError, ReservedSlot, Waiter
from jayshore.routing.registry import ExecutorRegistry
from jayshore.routing.session import AttemptEnd

# Factor on the mean slot time: about half of all runs take longer than the
# mean, and the answer has to reach the caller within the deadline as well.
_RUN_TIME_MARGIN = 1.25

# A request may be what crashes its executors. Its caller learns that the
# outcome is unknown, and decides whether to ask again.
_MAX_EXECUTORS_LOST = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingContext:
    """Services and state that all requests share.

    Attributes:
        clock: measures deadlines.
        rng: random numbers for jitter.
        policy: limits, timeouts and retry settings.
        headroom: accounts use against the teams' limits.
        dispatcher: assigns slots to requests.
        executors: the sessions with the executors.
        runner: runs attempts.
        attempt_tasks: the tasks that run attempts; they may outlive a request.
        team_budgets: retry budgets by team.
        upstream_budgets: retry budgets by executor that failed.
    """

    clock: Clock
    rng: random.Random
    policy: RoutingPolicy
    headroom: Headroom
    dispatcher: Dispatcher
    executors: ExecutorRegistry
    runner: AttemptRunner
    attempt_tasks: BackgroundTasks
    team_budgets: RetryBudgets
    upstream_budgets: RetryBudgets


class RequestExecution:
    """Execution of one request: queue, slot, attempts.

    Attributes:
        pending_result: what this execution waits for during an attempt.
    """

    def __init__(
        self,
        *,
        request: RoutedRequest,
        context: RoutingContext,
    ) -> None:
        """Create an execution; the timeout of the request starts now.

        Args:
            request: the request to run.
            context: services and state that all requests share.
        """
        self.pending_result = PendingResult()
        self._request = request
        self._context = context
        self._deadline = Millis(context.clock.now() + request.timeout_ms)
        self._may_have_run = False
        self._failures = 0
        self._executors_lost = 0
        self._failed_on: frozenset[str] = frozenset()

    async def run(self) -> RequestOutcome:
        """Wait for a slot, run the request, and retry where allowed.

        Returns:
            The outcome, by the deadline of the request.
        """
        dispatcher = self._context.dispatcher
        self._context.team_budgets.of(self._request.team).record_request()
        waiter = Waiter(request=self._request)
        try:
            await dispatcher.submit(waiter)
        except QueueFullError:
            return self._refuse(NotRunReason.OVERLOADED)
        has_waited = waiter.slot is None
        slot = await self._wait_for_slot(waiter)
        if slot is not None and has_waited and self._would_miss_deadline():
            await dispatcher.release(slot.executor, slot.reservation)
            return self._refuse(NotRunReason.WOULD_MISS_DEADLINE)
        outcome: RequestOutcome | None = None
        while slot is not None and outcome is None:
            outcome = await self._attempt(slot)
            if outcome is None:
                slot = await self._wait_for_next_slot()
        return outcome or self._ran_outcome() or self._refuse_at_deadline()

    def _would_miss_deadline(self) -> bool:
        """Tell whether too little time is left after the wait for a slot.

        Applied only to requests that had to wait: requests that find a free
        slot run in any case and so correct a wrong mean.
        """
        mean = self._context.dispatcher.slot_time_of(
            self._request.service
        ).mean_ms
        return self._seconds_left() < to_seconds(
            Millis(round(_RUN_TIME_MARGIN * mean))
        )

    async def _wait_for_next_slot(self) -> ReservedSlot | None:
        """Wait for another slot; None after an answer or at the deadline."""
        delay = self._context.policy.retry_backoff.delay(
            attempt=self._failures,
            rng=self._context.rng,
        )
        async with curio.ignore_after(
            min(to_seconds(delay), self._seconds_left())
        ):
            await self.pending_result.wait()
        if self._ran_outcome():
            return None
        waiter = Waiter(request=self._request, avoid=self._failed_on)
        await self._context.dispatcher.requeue(waiter)
        return await self._wait_for_slot(waiter)

    async def _wait_for_slot(self, waiter: Waiter) -> ReservedSlot | None:
        try:
            await self._wait_for_team_grant(waiter)
            if self._has_team_grant():
                async with curio.ignore_after(self._seconds_left()):
                    await waiter.slot_ready.wait()
            slot = waiter.slot
            waiter.slot = None
        finally:
            # Releases a slot that was reserved while this task was cancelled.
            await self._context.dispatcher.withdraw(waiter)
        return slot

    async def _wait_for_team_grant(self, waiter: Waiter) -> None:
        """Wait up to `grant_wait_ms` while the team's grant is too small."""
        if not self._has_team_grant():
            wait_s = to_seconds(self._context.policy.grant_wait_ms)
            async with curio.ignore_after(min(wait_s, self._seconds_left())):
                await waiter.slot_ready.wait()

    def _has_team_grant(self) -> bool:
        return self._context.headroom.fits_grant(
            self._request.team, ONE_REQUEST
        )

    async def _attempt(self, slot: ReservedSlot) -> RequestOutcome | None:
        """Run on a reserved slot; None when the request is to be retried."""
        executor_id = slot.executor.executor_id
        self._context.upstream_budgets.of(executor_id).record_request()
        await self._start(slot)
        async with curio.ignore_after(self._seconds_left()):
            await self.pending_result.wait()
        return self._ran_outcome() or self._evaluate_end(executor_id)

    async def _start(self, slot: ReservedSlot) -> None:
        session = self._context.executors.find(slot.executor.executor_id)
        if session is None:
            # The executor was removed after the slot was reserved.
            await self._context.dispatcher.release(
                slot.executor,
                slot.reservation,
            )
            await self.pending_result.report_not_sent()
            return
        attempt = Attempt(
            request=self._request,
            session=session,
            reservation=slot.reservation,
            pending_result=self.pending_result,
        )
        left = max(0, self._deadline - self._context.clock.now())
        timeout = Millis(left + self._context.policy.late_answer_ms)
        await self._context.attempt_tasks.spawn(
            self._context.runner.run(attempt, timeout),
        )

    def _ran_outcome(self) -> RequestOutcome | None:
        answer = self.pending_result.answer
        if answer is None:
            return None
        return Ran(body=answer.body, content_type=answer.content_type)

    def _evaluate_end(self, executor_id: str) -> RequestOutcome | None:
        end = self.pending_result.end
        if end is None:
            return Unknown(reason=UnknownReason.TIMEOUT)
        if not end.is_proof_of_not_run:
            self._may_have_run = True
            self._executors_lost += int(end is AttemptEnd.EXECUTOR_ENDED)
            if not self._may_run_again(end):
                return Unknown(reason=UnknownReason.CONNECTION_LOST)
        self.pending_result.reset()
        self._failures += 1
        self._failed_on = self._failed_on | {executor_id}
        if self._may_retry(executor_id):
            return None
        return self._refuse(NotRunReason.NO_EXECUTOR)

    def _may_run_again(self, end: AttemptEnd) -> bool:
        return (
            self._request.idempotent
            and end.is_over
            and self._executors_lost < _MAX_EXECUTORS_LOST
        )

    def _may_retry(self, executor_id: str) -> bool:
        return try_retry(
            (
                self._context.team_budgets.of(self._request.team),
                self._context.upstream_budgets.of(executor_id),
            ),
        )

    def _refuse_at_deadline(self) -> RequestOutcome:
        if self._context.headroom.fits_now(self._request.team, ONE_REQUEST):
            return self._refuse(NotRunReason.WOULD_MISS_DEADLINE)
        return self._refuse(NotRunReason.OVER_LIMIT)

    def _refuse(self, reason: NotRunReason) -> RequestOutcome:
        """Return a refusal, or `Unknown` if an earlier attempt may have run."""
        if self._may_have_run:
            return Unknown(reason=UnknownReason.CONNECTION_LOST)
        wait = self._context.dispatcher.estimated_wait(
            self._request.service,
            self._request.team,
        )
        backoff = self._context.policy.retry_backoff
        return NotRun(
            reason=reason,
            retry_after_ms=max(wait, backoff.max_ms),
        )

    def _seconds_left(self) -> float:
        """Return the seconds left until the deadline."""
        left = max(0, self._deadline - self._context.clock.now())
        return to_seconds(Millis(left))
