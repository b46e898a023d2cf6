"""A store that is reached through other instances when it cannot be directly.

The store may turn single instances away, or be cut off from them, while it
serves others. An instance then sends its calls through one that is served.
"""

import abc
from typing import Final, TypeVar

from jayshore.clock import Clock, Millis
from jayshore.store.reachability import StoreReachability
from jayshore.store.store import (
    Entry,
    Listing,
    RenewResult,
    StoreError,
    StoreIsolated,
    StoreLease,
    StoreRejected,
    StoreUnavailable,
    StoreUncertain,
)
from jayshore.store.storecalls import (
    ERROR_NAMES,
    ERRORS,
    Get,
    Grant,
    List,
    Renew,
    Revoke,
    StoreCall,
    StoreReply,
    Transact,
    Watch,
    execute_call,
)
from jayshore.store.transactions import (
    HistoryLost,
    Transaction,
    TransactionResult,
    TransactionStore,
)

_READS: Final = (Get, List, Watch)
"""Calls that change nothing."""

_Result = TypeVar('_Result')


class StoreCallObserver(abc.ABC):
    """Is told of calls to the store."""

    @abc.abstractmethod
    def note_store_call(self, kind: str, outcome: str, took_ms: Millis) -> None:
        """Note a call.

        Args:
            kind: of the call.
            outcome: `ok`, `relayed` or the name of the error.
            took_ms: until its answer, in ms.
        """


class StoreRelay(abc.ABC):
    """Carries a call to an instance that may reach the store."""

    @abc.abstractmethod
    async def forward(self, call: StoreCall) -> StoreReply:
        """Carry a call.

        Args:
            call: the call.

        Returns:
            What the store answered.

        Raises:
            StoreIsolated: no other instance answered.
            StoreUnavailable: no other instance reaches the store either.
            StoreUncertain: an instance took it and did not answer.
        """  # noqa: DAR401 raised by implementations


class RelayedStore(TransactionStore):
    """Calls the store directly, and through others while that fails."""

    def __init__(
        self,
        *,
        direct: TransactionStore,
        relay: StoreRelay,
        clock: Clock,
        observer: StoreCallObserver | None = None,
    ) -> None:
        """Use both ways.

        Args:
            direct: the store.
            relay: reaches it through others.
            clock: spaces the attempts to reach it directly again.
            observer: is told of every call.
        """
        self._direct = direct
        self._relay = relay
        self._clock = clock
        self._reachability = StoreReachability(clock=clock)
        self._observer = observer

    @property
    def reachability(self) -> StoreReachability:
        """What is known of the ways to the store."""
        return self._reachability

    async def get(self, key: str) -> Entry | None:
        """Read one key.

        Args:
            key: the key.

        Returns:
            The entry, or None when the key does not exist.
        """
        reply = await self._call(Get(key))
        return reply.entry

    async def list(self, prefix: str, *, since: int = 0) -> Listing:
        """Read what stands under a prefix.

        Args:
            prefix: start of the keys.
            since: not used; everything is read.

        Returns:
            All entries.
        """
        reply = await self._call(List(prefix))
        return _expect(reply.listing)

    async def watch(
        self, prefix: str, *, since: int, wait_ms: Millis
    ) -> Listing:
        """Wait until something changes under a prefix.

        Args:
            prefix: start of the keys.
            since: wait for a change after this revision.
            wait_ms: the longest wait, in ms.

        Returns:
            The changes, none when the wait ended without one.
        """
        reply = await self._call(Watch(prefix, since, wait_ms))
        return _expect(reply.listing)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply changes if all conditions hold.

        Args:
            transaction: conditions and changes.

        Returns:
            Whether it was applied, and at which revision.
        """
        reply = await self._call(Transact(transaction))
        if reply.written is not None:
            return reply.written
        return reply.mismatch or _expect(reply.lease_gone)

    async def grant_lease(self, ttl_ms: Millis) -> StoreLease:
        """Obtain a new lease.

        Args:
            ttl_ms: time to live after each renewal, in ms.

        Returns:
            The lease.
        """
        reply = await self._call(Grant(ttl_ms))
        return _expect(reply.lease)

    async def renew_lease(self, lease_id: int) -> RenewResult:
        """Keep a lease for another time to live.

        Args:
            lease_id: the lease.

        Returns:
            The lease, or that it is gone.
        """
        reply = await self._call(Renew(lease_id))
        return reply.lease or _expect(reply.lease_gone)

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; a lease that is gone is ignored.

        Args:
            lease_id: the lease.
        """
        await self._call(Revoke(lease_id))

    async def _call(self, call: StoreCall) -> StoreReply:
        started = self._clock.now()
        outcome = 'relayed' if self._reachability.direct_unavailable else 'ok'
        try:
            return await self._call_any_way(call)
        except StoreError as error:
            outcome = ERROR_NAMES.get(type(error), 'uncertain')
            raise
        finally:
            if self._observer is not None:
                self._observer.note_store_call(
                    type(call).__name__.lower(),
                    outcome,
                    Millis(self._clock.now() - started),
                )

    async def _call_any_way(self, call: StoreCall) -> StoreReply:
        if not self._reachability.should_call_directly(
            is_read=isinstance(call, _READS)
        ):
            return await self._carry(call)
        try:
            return await self._call_directly(call)
        except (HistoryLost, StoreRejected):
            raise
        except StoreUnavailable as error:
            self._reachability.note_unavailable(error)
            return await self._carry(call)
        except StoreError as unclear:
            self._reachability.note_uncertain(unclear)
            raise

    async def _call_directly(self, call: StoreCall) -> StoreReply:
        number = self._reachability.begin_call(
            Millis(call.wait_ms if isinstance(call, Watch) else 0)
        )
        try:
            reply = await execute_call(self._direct, call)
        finally:
            self._reachability.end_call(number)
        self._reachability.note_answer()
        return reply

    async def _carry(self, call: StoreCall) -> StoreReply:
        try:
            reply = await self._relay.forward(call)
        except StoreUnavailable as error:
            self._reachability.note_no_route(
                isolated=isinstance(error, StoreIsolated)
            )
            raise
        if reply.error:
            raise ERRORS.get(reply.error, StoreUncertain)(reply.detail)
        self._reachability.note_relayed()
        return reply


def _expect(result: _Result | None) -> _Result:
    if result is None:
        raise StoreUncertain('the relayed answer holds no result')
    return result
