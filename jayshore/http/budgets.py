"""Memory and descriptors of a process that its clients may use together.

One `ClientBudgets` belongs to a process and is shared by all its servers, so
that their sum stays within what the instance has. Callers cannot take the part
that is kept for other instances, readiness checks and operators, and nothing
that clients do takes what calls to the store and to workers need.
"""

from collections.abc import Callable

import curio

from jayshore.clock import Clock, MonotonicClock
from jayshore.http.evictions import EvictionQueue
from jayshore.http.limitreport import LimitReport, ignore_cause
from jayshore.http.turns import TurnGate

CONNECTION_BYTES = 20_480
"""Memory of a connection with a small request, in bytes.

Measured: 6.6 kB for an idle one and 7.4 kB after a request, on CPython 3.11.
While a body of up to 2 kB is handled, it takes up to 12 kB more.
"""

_BYTES_PER_MB = 1_000_000
_FILE_DESCRIPTORS = 200
_MIN_SOCKETS = 64

# Closing a connection takes its task one or two turns of the event loop.
_TURNS_TO_CLOSE = 8
_MAX_EVICTIONS = 16


class Budget:
    """An amount that all clients of a process use together.

    Trusted addresses may also use what callers leave, and return it when
    callers need it: their slow and idle connections are then closed.
    """

    def __init__(self, *, total: int | None = None, kept: int = 0) -> None:
        """Create an unused budget.

        Args:
            total: the amount, None for no limit.
            kept: part of it that callers cannot take.
        """
        self._total = total
        self._kept = kept
        self._used = {True: 0, False: 0}

    @property
    def used(self) -> int:
        """Amount in use."""
        return sum(self._used.values())

    @property
    def borrowed(self) -> bool:
        """Whether trusted addresses use more than what is kept for them."""
        return self._total is not None and self._used[True] > self._kept

    def take(self, amount: int, *, trusted: bool) -> bool:
        """Take an amount if there is enough.

        Args:
            amount: the amount.
            trusted: whether the kept part may be taken.

        Returns:
            Whether it was taken.
        """
        if self._total is not None:
            own_limit = self._total if trusted else self._total - self._kept
            if self._used[trusted] + amount > own_limit:
                return False
            if self.used + amount > self._total:
                return False
        self._used[trusted] += amount
        return True

    def force(self, amount: int, *, trusted: bool) -> None:
        """Take an amount even if there is not enough.

        Args:
            amount: the amount.
            trusted: whether it is for a trusted address.
        """
        self._used[trusted] += amount

    def give(self, amount: int, *, trusted: bool) -> None:
        """Return an amount.

        Args:
            amount: the amount.
            trusted: whether it was for a trusted address.
        """
        self._used[trusted] -= amount


def memory_budget(memory_mb: float | None) -> Budget:
    """Derive the memory that clients may use.

    A quarter of the memory serves clients, and callers may take two thirds of
    it. The rest is for the program (35 MB), the tables of a leader (up to
    115 MB at 459 instances, see `docs/CAPACITY.md`) and decoded messages.

    Args:
        memory_mb: memory of the process, in millions of bytes; None for no
            limit.

    Returns:
        The budget, in bytes.
    """
    if memory_mb is None or memory_mb <= 0:
        return Budget()
    memory = int(memory_mb * _BYTES_PER_MB)
    return Budget(total=memory // 4, kept=memory // 12)


def descriptor_budget(max_fds: float | None) -> Budget:
    """Derive the descriptors that connections of clients may use.

    Without 200 for files, three eighths serve clients, and callers may take
    two thirds of them. Five eighths stay for calls: with 1,638 descriptors 898,
    where a leader of 176 workers has about 4.9 connections to each.

    Args:
        max_fds: descriptors of the process; None for no limit.

    Returns:
        The budget, in descriptors.
    """
    if max_fds is None or max_fds <= 0:
        return Budget()
    sockets = max(_MIN_SOCKETS, int(max_fds) - _FILE_DESCRIPTORS)
    return Budget(total=sockets * 3 // 8, kept=sockets // 8)


class ClientBudgets:
    """The budgets of one process.

    Attributes:
        memory: bytes of connections, requests and unsent responses.
        descriptors: open connections.
        report: counts refused requests and closed connections.
        request_bytes: part of `memory` that requests and responses use beyond
            the share of their connections.
    """

    def __init__(
        self,
        *,
        memory: Budget | None = None,
        descriptors: Budget | None = None,
        clock: Clock | None = None,
        count: Callable[[str], None] = ignore_cause,
    ) -> None:
        """Create the budgets of a process.

        Args:
            memory: budget in bytes, by default without limit.
            descriptors: budget in descriptors, by default without limit.
            clock: local clock, by default the monotonic one.
            count: counts one refusal or closed connection by its cause.
        """
        self.memory = memory or Budget()
        self.descriptors = descriptors or Budget()
        self.clock = clock or MonotonicClock()
        self.report = LimitReport(clock=self.clock, count=count)
        self.request_bytes = 0
        self._addresses: list[AddressBudget] = []

    def address(self, *, trusted: bool) -> 'AddressBudget':
        """Create the part of one address.

        Args:
            trusted: whether it may use what is kept from callers.

        Returns:
            The part of a server.
        """
        created = AddressBudget(budgets=self, trusted=trusted)
        self._addresses.append(created)
        return created

    def queues(self, address: 'AddressBudget') -> list[EvictionQueue]:
        """List the connections that may be closed for those of an address.

        Args:
            address: the address that needs room.

        Returns:
            Its own queue, those of the same kind, and those of the other kind
            when that uses the part of this one.
        """
        borrowed = self.memory.borrowed or self.descriptors.borrowed
        kinds = [address.trusted]
        if address.trusted or borrowed:
            kinds.append(not address.trusted)
        return [
            address.queue,
            *(
                other.queue
                for kind in kinds
                for other in self._addresses
                if other.trusted is kind and other is not address
            ),
        ]


class AddressBudget:
    """What the connections of one address use.

    Attributes:
        budgets: budgets of the process.
        trusted: whether the kept part may be used.
        queue: connections of this address in the order of their eviction.
        gate: bounds the processor time that the connections take at once.
    """

    def __init__(self, *, budgets: ClientBudgets, trusted: bool) -> None:
        """Create the part of one address.

        Args:
            budgets: budgets of the process.
            trusted: whether the kept part may be used.
        """
        self.budgets = budgets
        self.trusted = trusted
        self.queue = EvictionQueue(clock=budgets.clock)
        self.gate = TurnGate()

    async def make_room(
        self, has_room: Callable[[], bool], *, own_only: bool = False
    ) -> bool:
        """Close slow and idle connections until there is room.

        Args:
            has_room: tells whether there is room now, and takes it.
            own_only: whether only connections of this address may be closed.

        Returns:
            Whether there was room.
        """
        if has_room():
            return True
        queues = [self.queue] if own_only else self.budgets.queues(self)
        for _ in range(_MAX_EVICTIONS):
            if not await self._evict_first(queues):
                return False
            if await _becomes_free(has_room):
                return True
        return False

    async def evict_one(self) -> None:
        """Close one connection of this address if one is slow or idle."""
        await self._evict_first([self.queue])

    async def _evict_first(self, queues: list[EvictionQueue]) -> bool:
        for queue in queues:
            found = queue.find()
            if found is not None:
                state = found.activity.state
                if await found.evict():
                    self.budgets.report.note(f'closed_{state.value}')
                return True
        return False


async def _becomes_free(has_room: Callable[[], bool]) -> bool:
    for _ in range(_TURNS_TO_CLOSE):
        await curio.sleep(0)
        if has_room():
            return True
    return False
