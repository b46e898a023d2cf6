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
from sortedcontainers import SortedKeyList

from jayshore.background import BackgroundTasks
from jayshore.clock import Clock, Millis
from jayshore.fleet.adviceneeds import (
    LONG_CALL_MS,
    CallBudget,
    expected_call_ms,
)
from jayshore.fleet.demands import AdviceRequest
from jayshore.fleet.interfaces import Advice, AdviceUnavailable
from jayshore.fleet.jobtable import GroupEntry
from jayshore.fleet.model import AdvicePolicy, GroupId
from jayshore.fleet.tickets import Ticket

_MAX_LONG_SHARE: Final = 0.7
_TIMEOUT_FACTOR: Final = 2
_TIMEOUT_EXTRA_MS: Final = 400

AVOID_FAILED_INSTANCE_MS: Final = 3000
"""How long an instance is avoided after a failed call, in ms.

An instance that cannot reach the service costs a timeout with each call, and
would be chosen often because it becomes free sooner than the others.
"""

TICKET_TRANSFER_MS: Final = 20
"""Part of the validity of a ticket that has passed when it arrives.

The validity starts with the reply of the service.
"""

_HORIZON_MS: Final = 2500
"""Calling time of each instance that requests may take up, in ms.

A ticket holds as long, so a call that begins later is worth more when it is
requested later, by the ranks of that time.
"""


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
        self._short = SortedKeyList(key=_call_rank)
        self._long = SortedKeyList(key=_call_rank)
        self._outstanding_ms = {False: 0, True: 0}
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
        expected = expected_call_ms(policy, len(request.workers))
        call = _QueuedCall(
            request=request, group=group, expected_ms=round(expected)
        )
        self._outstanding_ms[_is_long(call)] += call.expected_ms
        queue = self._long if _is_long(call) else self._short
        queue.add(call)
        await self._start_calls()

    def budget(self) -> CallBudget:
        """Compute the calling time that further requests may take up.

        Returns:
            What the instances can complete while a ticket holds, without the
            calls that are queued or in flight.
        """
        instance_count = len(self._usable_callers())
        long_ms = self._outstanding_ms[True]
        return CallBudget(
            long_ms=_HORIZON_MS * _limit_long(instance_count) - long_ms,
            all_ms=_HORIZON_MS * instance_count
            - long_ms
            - self._outstanding_ms[False],
        )

    async def close(self) -> None:
        """Cancel all calls."""
        self._short.clear()
        self._long.clear()
        await self._tasks.close()

    async def _start_calls(self) -> None:
        relay_instances = self._usable_callers()
        free = [name for name in relay_instances if name not in self._busy]
        while free:
            call = self._next_call(len(relay_instances))
            if call is None:
                return
            if not call.group.waiting() or call.group.job.ended:
                self._finish(call)
                continue
            caller = free.pop(0)
            self._busy[caller] = _is_long(call)
            await self._tasks.spawn(self._call(caller, call))

    def _next_call(self, instance_count: int) -> _QueuedCall | None:
        """Take the best ranked call that may begin."""
        may_add_long = sum(self._busy.values()) < _limit_long(instance_count)
        queues = [self._short, self._long] if may_add_long else [self._short]
        heads = [queue[0] for queue in queues if queue]
        if not heads:
            return None
        call: _QueuedCall = min(heads, key=_call_rank)
        queue = self._long if _is_long(call) else self._short
        queue.remove(call)
        return call

    def _finish(self, call: _QueuedCall) -> None:
        call.group.advice_pending = False
        self._outstanding_ms[_is_long(call)] -= call.expected_ms

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
            self._finish(call)
            self._busy.pop(caller, None)
        self._changed()
        await self._start_calls()

    def _store_tickets(self, call: _QueuedCall, advice: Advice) -> None:
        group = call.group
        until = self._clock.now() + advice.validity_ms - TICKET_TRANSFER_MS
        group.evaluated.update(call.request.workers)
        for worker in call.request.workers:
            group.tickets.pop(worker, None)
        for permitted, text in advice.tickets.items():
            group.tickets[permitted] = Ticket(
                text=text, valid_until=Millis(until)
            )


def _limit_long(instance_count: int) -> int:
    """Compute how many instances may make long calls at a time."""
    return max(1, int(_MAX_LONG_SHARE * instance_count))


def _call_rank(call: _QueuedCall) -> tuple[object, ...]:
    return call.request.rank, call.request.group_id


def _is_long(call: _QueuedCall) -> bool:
    return call.expected_ms >= LONG_CALL_MS
