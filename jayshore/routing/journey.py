"""One request over all its attempts.

Every outcome follows from what is proved: `Ran` from an answer with the id of
the request, `NotRun` from proof for every attempt that it did not and will not
run, and `Unknown` otherwise.
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
from jayshore.routing.attempts import Attempt, AttemptRunner, Mailbox
from jayshore.routing.dispatcher import ONE_REQUEST, Dispatcher
from jayshore.routing.executor import RoutedRequest
from jayshore.routing.headroom import Headroom
from jayshore.routing.policy import RoutingPolicy
from jayshore.routing.queues import Grant, QueueFullError, Waiter
from jayshore.routing.registry import ExecutorRegistry

# About half of all runs take longer than the mean, and the answer has to get
# back in time as well.
_RUN_MARGIN = 1.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingContext:
    """What all requests share.

    Attributes:
        clock: measures deadlines.
        rng: source of jitter.
        policy: bounds.
        headroom: limits of the teams.
        dispatcher: gives slots.
        executors: the executors.
        runner: runs attempts.
        attempts: the tasks that run attempts, which may outlive a request.
        team_budgets: retries per team.
        upstream_budgets: retries per executor that failed.
    """

    clock: Clock
    rng: random.Random
    policy: RoutingPolicy
    headroom: Headroom
    dispatcher: Dispatcher
    executors: ExecutorRegistry
    runner: AttemptRunner
    attempts: BackgroundTasks
    team_budgets: RetryBudgets
    upstream_budgets: RetryBudgets


class Journey:
    """A request on its way through queue, slots and attempts."""

    def __init__(
        self,
        *,
        request: RoutedRequest,
        context: RoutingContext,
    ) -> None:
        """Note the deadline.

        Args:
            request: what to run.
            context: what all requests share.
        """
        self.mailbox = Mailbox()
        self._request = request
        self._context = context
        self._deadline = Millis(context.clock.now() + request.timeout_ms)
        self._may_have_run = False
        self._failures = 0
        self._failed_on: frozenset[str] = frozenset()

    async def travel(self) -> RequestOutcome:
        """Wait for a slot, run, and retry where that is allowed.

        Returns:
            The outcome, by the deadline.
        """
        dispatcher = self._context.dispatcher
        self._context.team_budgets.of(self._request.team).record_request()
        waiter = Waiter(request=self._request)
        try:
            await dispatcher.submit(waiter)
        except QueueFullError:
            return self._refuse(NotRunReason.OVERLOADED)
        has_waited = waiter.grant is None
        grant = await self._wait_for_grant(waiter)
        if grant is not None and has_waited and self._would_miss():
            await dispatcher.release(grant.executor, grant.occupant)
            return self._refuse(NotRunReason.WOULD_MISS_DEADLINE)
        outcome: RequestOutcome | None = None
        while grant is not None and outcome is None:
            outcome = await self._attempt(grant)
            if outcome is None:
                grant = await self._next_grant()
        return outcome or self._answered() or self._out_of_time()

    def _would_miss(self) -> bool:
        """Tell whether too little time is left after the wait for a slot.

        Only requests that had to wait are judged, so that a wrong mean is
        corrected by requests that find a free slot.
        """
        mean = self._context.dispatcher.time_of(self._request.service).mean_ms
        return self._left() < to_seconds(Millis(round(_RUN_MARGIN * mean)))

    async def _next_grant(self) -> Grant | None:
        """Wait for another slot; None when there is an answer or no time."""
        delay = self._context.policy.retry_backoff.delay(
            attempt=self._failures,
            rng=self._context.rng,
        )
        async with curio.ignore_after(min(to_seconds(delay), self._left())):
            await self.mailbox.wait()
        if self._answered():
            return None
        waiter = Waiter(request=self._request, avoid=self._failed_on)
        await self._context.dispatcher.submit_again(waiter)
        return await self._wait_for_grant(waiter)

    async def _wait_for_grant(self, waiter: Waiter) -> Grant | None:
        try:
            await self._wait_for_part(waiter)
            if self._has_part():
                async with curio.ignore_after(self._left()):
                    await waiter.granted.wait()
            grant = waiter.grant
            waiter.grant = None
        finally:
            # Frees a slot that was given while this task was cancelled.
            await self._context.dispatcher.withdraw(waiter)
        return grant

    async def _wait_for_part(self, waiter: Waiter) -> None:
        """Wait a bounded time while the domain holds no part of the limit."""
        if not self._has_part():
            bound = to_seconds(self._context.policy.part_wait_ms)
            async with curio.ignore_after(min(bound, self._left())):
                await waiter.granted.wait()

    def _has_part(self) -> bool:
        return self._context.headroom.may_hold(self._request.team, ONE_REQUEST)

    async def _attempt(self, grant: Grant) -> RequestOutcome | None:
        """Run on the granted slot; None when the request may be retried."""
        executor_id = grant.executor.executor_id
        self._context.upstream_budgets.of(executor_id).record_request()
        await self._start(grant)
        async with curio.ignore_after(self._left()):
            await self.mailbox.wait()
        return self._answered() or self._judge(executor_id)

    async def _start(self, grant: Grant) -> None:
        session = self._context.executors.find(grant.executor.executor_id)
        if session is None:
            # Removed between the grant and now.
            await self._context.dispatcher.release(
                grant.executor,
                grant.occupant,
            )
            await self.mailbox.put_not_sent()
            return
        attempt = Attempt(
            request=self._request,
            session=session,
            occupant=grant.occupant,
            mailbox=self.mailbox,
        )
        left = max(0, self._deadline - self._context.clock.now())
        timeout = Millis(left + self._context.policy.late_answer_ms)
        await self._context.attempts.spawn(
            self._context.runner.run(attempt, timeout),
        )

    def _answered(self) -> RequestOutcome | None:
        answer = self.mailbox.answer
        if answer is None:
            return None
        return Ran(body=answer.body, content_type=answer.content_type)

    def _judge(self, executor_id: str) -> RequestOutcome | None:
        end = self.mailbox.end
        if end is None:
            return Unknown(reason=UnknownReason.TIMEOUT)
        if not end.is_proof_of_not_run:
            self._may_have_run = True
            if not self._request.idempotent or not end.is_over:
                return Unknown(reason=UnknownReason.CONNECTION_LOST)
        self.mailbox.reset()
        self._failures += 1
        self._failed_on = self._failed_on | {executor_id}
        if self._may_retry(executor_id):
            return None
        return self._refuse(NotRunReason.NO_EXECUTOR)

    def _may_retry(self, executor_id: str) -> bool:
        return try_retry(
            (
                self._context.team_budgets.of(self._request.team),
                self._context.upstream_budgets.of(executor_id),
            ),
        )

    def _out_of_time(self) -> RequestOutcome:
        if self._context.headroom.has_room(self._request.team, ONE_REQUEST):
            return self._refuse(NotRunReason.WOULD_MISS_DEADLINE)
        return self._refuse(NotRunReason.OVER_LIMIT)

    def _refuse(self, reason: NotRunReason) -> RequestOutcome:
        """Refuse, unless an earlier attempt may have run."""
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

    def _left(self) -> float:
        """Tell how many seconds are left."""
        left = max(0, self._deadline - self._context.clock.now())
        return to_seconds(Millis(left))
