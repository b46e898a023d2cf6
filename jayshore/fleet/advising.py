"""Spreads calls for placement advice over the entry instances.

The advice service answers one call at a time for each calling instance, and
the decisions for large jobs take long. Calls therefore wait here, best ranked
first, until an instance is free, and long calls leave some instances to urgent
ones.
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
"""Expected duration in ms from which a call counts as long."""

_LONG_SHARE: Final = 0.7
_TIMEOUT_FACTOR: Final = 2
_TIMEOUT_EXTRA_MS: Final = 400

AVOID_MS: Final = 3000
"""How long no call goes through an instance that gave no advice, in ms.

An instance that is cut off costs a timeout with each call, and is free again
sooner than the others are.
"""

# A ticket counts from the answer of the service, which is older here.
_TRANSFER_MS: Final = 20


class AdviceRelay(abc.ABC):
    """Reaches the advice service through any entry instance."""

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
        """Ask for advice through an instance.

        Args:
            caller: name of the instance.
            group: the task group.
            workers: ids of the workers to judge.
            timeout_ms: the longest wait, in ms.

        Returns:
            The advice.

        Raises:
            AdviceUnavailable: no answer, or a refusal.
        """  # noqa: DAR401 raised by implementations


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Call:
    request: AdviceRequest
    group: GroupEntry
    expected_ms: int


class Advisor:
    """Asks for advice and keeps the tickets in the entries of the groups."""

    def __init__(
        self,
        *,
        relay: AdviceRelay,
        clock: Clock,
        changed: Callable[[], None],
    ) -> None:
        """Start without calls.

        Args:
            relay: reaches the service.
            clock: measures validity.
            changed: called when tickets have come.
        """
        self._relay = relay
        self._clock = clock
        self._changed = changed
        self._waiting: list[_Call] = []
        self._busy: dict[str, bool] = {}
        self._avoided: dict[str, Millis] = {}
        self._tasks = BackgroundTasks()

    async def ask(
        self, request: AdviceRequest, group: GroupEntry, policy: AdvicePolicy
    ) -> None:
        """Ask for advice in the background.

        Args:
            wish: what is needed.
            group: its entry; it is marked until the advice comes.
            policy: tells how long an answer takes.
        """
        group.advice_pending = True
        expected = policy.decision_ms + policy.per_worker_ms * len(
            request.workers
        )
        self._waiting.append(
            _Call(request=request, group=group, expected_ms=round(expected))
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
        """List the instances that have not failed of late, or all."""
        relay_instances = self._relay.relay_instances()
        now = self._clock.now()
        usable = tuple(
            name
            for name in relay_instances
            if self._avoided.get(name, 0) <= now
        )
        return usable or relay_instances

    def _may_add_long(self, relay_instances: int) -> bool:
        most = max(1, int(_LONG_SHARE * relay_instances))
        return sum(self._busy.values()) < most

    async def _call(self, caller: str, call: _Call) -> None:
        request = call.request
        timeout = _TIMEOUT_FACTOR * call.expected_ms + _TIMEOUT_EXTRA_MS
        try:
            advice = await self._relay.advise_through(
                caller, request.group_id, request.workers, Millis(timeout)
            )
        except AdviceUnavailable as error:
            self._avoided[caller] = Millis(self._clock.now() + AVOID_MS)
            eliot.log_message(
                'advice:failed',
                job=request.group_id.job_id,
                caller=caller,
                error=str(error),
            )
        else:
            self._take(call, advice)
        finally:
            call.group.advice_pending = False
            self._busy.pop(caller, None)
        self._changed()
        await self._start_calls()

    def _take(self, call: _Call, advice: Advice) -> None:
        group = call.group
        until = self._clock.now() + advice.validity_ms - _TRANSFER_MS
        group.evaluated.update(call.request.workers)
        for worker in call.request.workers:
            group.tickets.pop(worker, None)
        for good, text in advice.tickets.items():
            group.tickets[good] = Ticket(text=text, valid_until=Millis(until))


def _call_rank(call: _Call) -> tuple[object, ...]:
    return call.request.rank, call.request.group_id


def _is_long(call: _Call) -> bool:
    return call.expected_ms >= LONG_CALL_MS
