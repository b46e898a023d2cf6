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
    """A request with this id is in progress or may still be running."""


class Router:
    """Routes requests; owned by the leader of a domain."""

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
        """Start without executors.

        Args:
            epoch: of the leadership under which leases are opened.
            headroom: limits of the teams.
            shares: weights of the teams.
            clock: measures deadlines and runs.
            rng: source of random choices and jitter.
            policy: bounds.
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
            attempts=BackgroundTasks(),
            team_budgets=RetryBudgets(ratio=policy.retry_ratio),
            upstream_budgets=RetryBudgets(ratio=policy.retry_ratio),
        )
        self._is_draining = False
        self._in_progress = 0
        self._idle = curio.Event()

    @property
    def is_superseded(self) -> bool:
        """Whether an executor has seen a leader with a higher epoch.

        The owner then stops to route here.
        """
        return self._executors.is_superseded

    @property
    def is_inventory_complete(self) -> bool:
        """Whether the lease of every executor was opened at least once."""
        return self._executors.is_inventory_complete

    async def add_executor(
        self,
        executor_id: str,
        *,
        service: str,
        client: ExecutorClient,
    ) -> None:
        """Open the lease of an executor in the background and use its slots.

        Args:
            executor_id: instance id, not in use.
            service: the service that it runs.
            client: the calls to it.
        """
        await self._executors.add(executor_id, service=service, client=client)

    async def remove_executor(self, executor_id: str) -> None:
        """Note that the platform's list shows an executor as gone.

        This counts as proof that nothing runs on it any more, so the list must
        have shown it before.

        Args:
            executor_id: instance id.
        """
        session = await self._executors.remove(executor_id)
        if session is not None:
            self._context.upstream_budgets.forget(executor_id)
            await self._context.runner.executor_gone(session)

    def mark_leaving(self, executor_id: str) -> None:
        """Send nothing new to an executor that the list shows as leaving.

        Args:
            executor_id: instance id.
        """
        session = self._executors.find(executor_id)
        if session is not None:
            session.slots.is_leaving = True

    async def dispatch_waiting(self) -> None:
        """Start waiting requests for which the limit was raised."""
        await self._dispatcher.pump()

    def load(self) -> tuple[ServiceSlots, ...]:
        """Report slots and queues.

        Returns:
            One entry per service, in order of the names.
        """
        return self._executors.load()

    async def route(self, request: RoutedRequest) -> RequestOutcome:
        """Run a request on an executor of its service.

        Args:
            request: with an id that is unique for all time.

        Returns:
            The outcome, within the request's timeout.

        Raises:
            DuplicateRequestError: its id is in use.
        """
        runner = self._context.runner
        if runner.is_known(request.request_id):
            raise DuplicateRequestError(f'{request.request_id} is in use')
        refusal = self._refuse_early(request)
        if refusal is not None:
            return refusal
        execution = RequestExecution(request=request, context=self._context)
        runner.mailboxes[request.request_id] = execution.mailbox
        self._in_progress += 1
        try:
            return await execution.run()
        finally:
            runner.mailboxes.pop(request.request_id)
            await self._note_done()

    async def drain(self) -> None:
        """Refuse new requests and wait for the ones in progress.

        The caller bounds the time.
        """
        self._is_draining = True
        while self._in_progress:
            self._idle.clear()
            await self._idle.wait()

    async def close(self) -> None:
        """Stop all background work."""
        await self._executors.close()
        await self._context.attempts.close()

    async def _note_done(self) -> None:
        self._in_progress -= 1
        if not self._in_progress:
            await self._idle.set()

    def _refuse_early(self, request: RoutedRequest) -> NotRun | None:
        if self._is_draining:
            return NotRun(
                reason=NotRunReason.SHUTTING_DOWN,
                retry_after_ms=Millis(0),
            )
        executors = self._dispatcher.table.of_service(request.service)
        if all(slots.is_leaving for slots in executors):
            return NotRun(
                reason=NotRunReason.NO_EXECUTOR,
                retry_after_ms=self._policy.retry_backoff.max_ms,
            )
        wait = self._dispatcher.estimated_wait(request.service, request.team)
        mean = self._dispatcher.time_of(request.service).mean_ms
        if wait and wait + mean > request.timeout_ms:
            return NotRun(
                reason=NotRunReason.WOULD_MISS_DEADLINE,
                retry_after_ms=wait,
            )
        return None
