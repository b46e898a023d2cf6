"""A store client that relays calls through other instances when necessary.

The store may refuse the calls of single instances, or be cut off from them,
while it serves others. An instance then sends its calls through another one.
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
    """Receives the outcome and latency of each store call."""

    @abc.abstractmethod
    def note_store_call(self, kind: str, outcome: str, took_ms: Millis) -> None:
        """Record a finished call.

        Args:
            kind: type of the call in lower case, such as `get`.
            outcome: `ok`, `relayed` or the name of the error.
            took_ms: time from the call to its result, in ms.
        """


class StoreRelay(abc.ABC):
    """Forwards calls to an instance that may reach the store."""

    @abc.abstractmethod
    async def forward(self, call: StoreCall) -> StoreReply:
        """Have another instance execute a call.

        Args:
            call: the call.

        Returns:
            The answer of the store.

        Raises:
            StoreIsolated: no other instance answered.
            StoreUnavailable: no other instance reaches the store either.
            StoreUncertain: an instance accepted the call but did not answer.
        """  # noqa: DAR401 raised by implementations


class RelayedStore(TransactionStore):
    """Calls the store directly, or by relay while direct calls fail."""

    def __init__(
        self,
        *,
        direct: TransactionStore,
        relay: StoreRelay,
        clock: Clock,
        observer: StoreCallObserver | None = None,
    ) -> None:
        """Combine a direct and a relayed connection to the store.

        Args:
            direct: client that calls the store itself.
            relay: forwards calls to other instances.
            clock: measures outages and call durations.
            observer: receives the outcome of every call.
        """
        self._direct = direct
        self._relay = relay
        self._clock = clock
        self._reachability = StoreReachability(clock=clock)
        self._observer = observer

    @property
    def reachability(self) -> StoreReachability:
        """Tracker of how the store can be reached at present."""
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
        """Read all entries under a prefix.

        Args:
            prefix: common prefix of the keys.
            since: ignored; all entries are read.

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
            prefix: common prefix of the keys.
            since: wait for a change after this revision.
            wait_ms: the longest wait, in ms.

        Returns:
            The changes, empty when the wait ended without one.
        """
        reply = await self._call(Watch(prefix, since, wait_ms))
        return _expect(reply.listing)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply all changes if all conditions hold, otherwise none.

        Args:
            transaction: conditions and changes.

        Returns:
            The revision of the transaction, or why nothing was applied.
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
        """Renew a lease, which restarts its time to live.

        Args:
            lease_id: the lease.

        Returns:
            The lease, or `LeaseGone` when it has ended.
        """
        reply = await self._call(Renew(lease_id))
        return reply.lease or _expect(reply.lease_gone)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys; no error if it has ended.

        Args:
            lease_id: the lease.
        """
        await self._call(Revoke(lease_id))

    async def _call(self, call: StoreCall) -> StoreReply:
        started = self._clock.now()
        outcome = 'relayed' if self._reachability.direct_unavailable else 'ok'
        try:
            return await self._call_or_relay(call)
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

    async def _call_or_relay(self, call: StoreCall) -> StoreReply:
        if not self._reachability.should_call_directly(
            is_read=isinstance(call, _READS)
        ):
            return await self._call_by_relay(call)
        try:
            return await self._call_directly(call)
        except (HistoryLost, StoreRejected):
            raise
        except StoreUnavailable as error:
            self._reachability.note_unavailable(error)
            return await self._call_by_relay(call)
        except StoreError as uncertain:
            self._reachability.note_uncertain(uncertain)
            raise

    async def _call_directly(self, call: StoreCall) -> StoreReply:
        call_number = self._reachability.begin_call(
            Millis(call.wait_ms if isinstance(call, Watch) else 0)
        )
        try:
            reply = await execute_call(self._direct, call)
        finally:
            self._reachability.end_call(call_number)
        self._reachability.note_answer()
        return reply

    async def _call_by_relay(self, call: StoreCall) -> StoreReply:
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
        raise StoreUncertain('the answer to the store call holds no result')
    return result
