"""Routes requests to the executors of one failure domain."""

import random

import curio

from jayshore.background import BackgroundTasks
from jayshore.clock import Clock, Millis
from jayshore.outcomes import (
    JayshoreError,
    NotRun,
    NotRunReason,
    RequestOutcome,
)
from jayshore.retry import RetryBudgets
from jayshore.routing.attempts import AttemptRunner
from jayshore.routing.dispatcher import Dispatcher
from jayshore.routing.execution import RequestExecution, RoutingContext
from jayshore.routing.executor import ExecutorClient, RoutedRequest
from jayshore.routing.headroom import Headroom, Shares
from jayshore.routing.policy import RoutingPolicy
from jayshore.routing.registry import ExecutorRegistry, ServiceSlots


class DuplicateRequestError(JayshoreError):
    """A request with the same id is in progress or may still run."""


class Router:
    """Routes the requests of a failure domain; owned by its leader."""

    def __init__(
        self,
        *,
        epoch: int,
        headroom: Headroom,
        shares: Shares,
        clock: Clock,
        rng: random.Random,
        policy: RoutingPolicy,
    ) -> None:
        """Create a router without executors.

        Args:
            epoch: of the leadership under which leases are opened.
            headroom: accounts use against the teams' limits.
            shares: weights of the teams.
            clock: measures deadlines and runs.
            rng: random numbers for choices and jitter.
            policy: limits, timeouts and retry settings.
        """
        self._policy = policy
        self._dispatcher = Dispatcher(
            headroom=headroom,
            shares=shares,
            clock=clock,
            rng=rng,
            max_queued_per_team=policy.max_queued_per_team,
        )
        self._executors = ExecutorRegistry(
            epoch=epoch,
            dispatcher=self._dispatcher,
            ejection=policy.ejection,
            clock=clock,
            rng=rng,
        )
        self._context = RoutingContext(
            clock=clock,
            rng=rng,
            policy=policy,
            headroom=headroom,
            dispatcher=self._dispatcher,
            executors=self._executors,
            runner=AttemptRunner(dispatcher=self._dispatcher, clock=clock),
            attempt_tasks=BackgroundTasks(),
            team_budgets=RetryBudgets(ratio=policy.retry_ratio),
            upstream_budgets=RetryBudgets(ratio=policy.retry_ratio),
        )
        self._is_draining = False
        self._in_progress = 0
        self._idle = curio.Event()

    @property
    def is_superseded(self) -> bool:
        """Whether an executor has seen a leader with a higher epoch.

        The owner has to stop using this router then.
        """
        return self._executors.is_superseded

    @property
    def is_inventory_complete(self) -> bool:
        """Whether each executor's lease was opened at least once."""
        return self._executors.is_inventory_complete

    async def add_executor(
        self,
        executor_id: str,
        *,
        service: str,
        client: ExecutorClient,
    ) -> None:
        """Add an executor; its slots are used once its lease is open.

        Args:
            executor_id: instance id that is not registered yet.
            service: the service that the executor runs.
            client: makes the calls to it.
        """
        await self._executors.add(executor_id, service=service, client=client)

    async def remove_executor(self, executor_id: str) -> None:
        """Remove an executor that the platform's list shows as gone.

        This counts as proof that nothing runs on it any more, so the list must
        have shown the executor before.

        Args:
            executor_id: instance id.
        """
        session = await self._executors.remove(executor_id)
        if session is not None:
            self._context.upstream_budgets.forget(executor_id)
            await self._context.runner.end_attempts_on(session)

    def mark_leaving(self, executor_id: str) -> None:
        """Stop sending requests to an executor that is leaving.

        Args:
            executor_id: instance id.
        """
        session = self._executors.find(executor_id)
        if session is not None:
            session.slots.is_leaving = True

    async def dispatch_waiting(self) -> None:
        """Start waiting requests that fit after a team's grant was raised."""
        await self._dispatcher.dispatch()

    def load(self) -> tuple[ServiceSlots, ...]:
        """Report the slots and the queue length of each service.

        Returns:
            One entry per service, ordered by name.
        """
        return self._executors.load()

    async def route(self, request: RoutedRequest) -> RequestOutcome:
        """Run a request on an executor of its service.

        Args:
            request: the request; its id must never be used again.

        Returns:
            The outcome, within the request's timeout.

        Raises:
            DuplicateRequestError: a request with this id is in progress or
                may still run.
        """
        runner = self._context.runner
        if runner.is_active(request.request_id):
            raise DuplicateRequestError(f'{request.request_id} is in use')
        refusal = self._refuse_early(request)
        if refusal is not None:
            return refusal
        execution = RequestExecution(request=request, context=self._context)
        runner.pending_results[request.request_id] = execution.pending_result
        self._in_progress += 1
        try:
            return await execution.run()
        finally:
            runner.pending_results.pop(request.request_id)
            await self._finish_request()

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress.

        There is no timeout; the caller has to set one.
        """
        self._is_draining = True
        while self._in_progress:
            self._idle.clear()
            await self._idle.wait()

    async def close(self) -> None:
        """Stop the tasks that keep leases and run attempts."""
        await self._executors.close()
        await self._context.attempt_tasks.close()

    async def _finish_request(self) -> None:
        self._in_progress -= 1
        if not self._in_progress:
            await self._idle.set()

    def _refuse_early(self, request: RoutedRequest) -> NotRun | None:
        if self._is_draining:
            return NotRun(
                reason=NotRunReason.SHUTTING_DOWN,
                retry_after_ms=Millis(0),
            )
        executors = self._dispatcher.slot_table.of_service(request.service)
        if all(slots.is_leaving for slots in executors):
            return NotRun(
                reason=NotRunReason.NO_EXECUTOR,
                retry_after_ms=self._policy.retry_backoff.max_ms,
            )
        wait = self._dispatcher.estimated_wait(request.service, request.team)
        mean = self._dispatcher.slot_time_of(request.service).mean_ms
        if wait and wait + mean > request.timeout_ms:
            return NotRun(
                reason=NotRunReason.WOULD_MISS_DEADLINE,
                retry_after_ms=wait,
            )
        return None
