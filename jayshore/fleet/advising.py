"""Distributes calls for placement advice over the entry instances.

The advice service handles one call at a time per calling instance, and advice
for large jobs takes long. Calls therefore queue here, best ranked first, until
an instance is free, and long calls may not occupy all instances.
"""

import abc
import dataclasses
from collections.abc import Callable
from typing import Final

import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Clock, Millis
from jayshore.fleet.demands import AdviceRequest
from jayshore.fleet.interfaces import Advice, AdviceUnavailable
from jayshore.fleet.jobtable import GroupEntry, Ticket
from jayshore.fleet.model import AdvicePolicy, GroupId

LONG_CALL_MS: Final = 60
"""Expected duration from which a call counts as long, in ms."""

_MAX_LONG_SHARE: Final = 0.7
_TIMEOUT_FACTOR: Final = 2
_TIMEOUT_EXTRA_MS: Final = 400

AVOID_FAILED_INSTANCE_MS: Final = 3000
"""How long an instance is avoided after a failed call, in ms.

An instance that cannot reach the service costs a timeout with each call, and
would be chosen often because it becomes free sooner than the others.
"""

# The validity of a ticket starts with the reply of the service, which is some
# time old when it arrives here.
_TICKET_TRANSFER_MS: Final = 20


class AdviceRelay(abc.ABC):
    """Calls the advice service through a chosen entry instance."""

    @abc.abstractmethod
    def relay_instances(self) -> tuple[str, ...]:
        """List the entry instances that can call the service.

        Returns:
            Their names.
        """

    @abc.abstractmethod
    async def advise_through(
        self,
        caller: str,
        group: GroupId,
        workers: tuple[str, ...],
        timeout_ms: Millis,
    ) -> Advice:
        """Request advice through an instance.

        Args:
            caller: name of the instance that calls the service.
            group: the task group.
            workers: ids of the workers to evaluate.
            timeout_ms: longest wait for the reply, in ms.

        Returns:
            The advice.

        Raises:
            AdviceUnavailable: the service did not reply, or refused.
        """  # noqa: DAR401 raised by implementations


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _QueuedCall:
    request: AdviceRequest
    group: GroupEntry
    expected_ms: int


class Advisor:
    """Requests advice and stores the tickets in the entries of the groups."""

    def __init__(
        self,
        *,
        relay: AdviceRelay,
        clock: Clock,
        changed: Callable[[], None],
    ) -> None:
        """Create an advisor without calls.

        Args:
            relay: calls the service through an instance.
            clock: clock for the validity of tickets.
            changed: called after each call to the service.
        """
        self._relay = relay
        self._clock = clock
        self._changed = changed
        self._waiting: list[_QueuedCall] = []
        self._busy: dict[str, bool] = {}
        self._avoided_until: dict[str, Millis] = {}
        self._tasks = BackgroundTasks()

    async def ask(
        self, request: AdviceRequest, group: GroupEntry, policy: AdvicePolicy
    ) -> None:
        """Request advice in the background.

        Args:
            request: the group and the workers to evaluate.
            group: entry of the group; `advice_pending` is set until the call
                ends.
            policy: response times of the service.
        """
        group.advice_pending = True
        expected = policy.decision_ms + policy.per_worker_ms * len(
            request.workers
        )
        self._waiting.append(
            _QueuedCall(
                request=request, group=group, expected_ms=round(expected)
            )
        )
        await self._start_calls()

    async def close(self) -> None:
        """Cancel all calls."""
        self._waiting.clear()
        await self._tasks.close()

    async def _start_calls(self) -> None:
        relay_instances = self._usable_callers()
        self._waiting.sort(key=_call_rank)
        for call in tuple(self._waiting):
            free = [name for name in relay_instances if name not in self._busy]
            if not free:
                return
            if _is_long(call) and not self._may_add_long(len(relay_instances)):
                continue
            self._waiting.remove(call)
            if not call.group.waiting() or call.group.job.ended:
                call.group.advice_pending = False
                continue
            self._busy[free[0]] = _is_long(call)
            await self._tasks.spawn(self._call(free[0], call))

    def _usable_callers(self) -> tuple[str, ...]:
        """List the instances without a recent failure, or all if none is."""
        relay_instances = self._relay.relay_instances()
        now = self._clock.now()
        usable = tuple(
            name
            for name in relay_instances
            if self._avoided_until.get(name, 0) <= now
        )
        return usable or relay_instances

    def _may_add_long(self, instance_count: int) -> bool:
        max_long = max(1, int(_MAX_LONG_SHARE * instance_count))
        return sum(self._busy.values()) < max_long

    async def _call(self, caller: str, call: _QueuedCall) -> None:
        request = call.request
        timeout = _TIMEOUT_FACTOR * call.expected_ms + _TIMEOUT_EXTRA_MS
        try:
            advice = await self._relay.advise_through(
                caller, request.group_id, request.workers, Millis(timeout)
            )
        except AdviceUnavailable as error:
            self._avoided_until[caller] = Millis(
                self._clock.now() + AVOID_FAILED_INSTANCE_MS
            )
            eliot.log_message(
                'advice:failed',
                job=request.group_id.job_id,
                caller=caller,
                error=str(error),
            )
        else:
            self._store_tickets(call, advice)
        finally:
            call.group.advice_pending = False
            self._busy.pop(caller, None)
        self._changed()
        await self._start_calls()

    def _store_tickets(self, call: _QueuedCall, advice: Advice) -> None:
        group = call.group
        until = self._clock.now() + advice.validity_ms - _TICKET_TRANSFER_MS
        group.evaluated.update(call.request.workers)
        for worker in call.request.workers:
            group.tickets.pop(worker, None)
        for permitted, text in advice.tickets.items():
            group.tickets[permitted] = Ticket(
                text=text, valid_until=Millis(until)
            )


def _call_rank(call: _QueuedCall) -> tuple[object, ...]:
    return call.request.rank, call.request.group_id


def _is_long(call: _QueuedCall) -> bool:
    return call.expected_ms >= LONG_CALL_MS
