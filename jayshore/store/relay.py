"""A store that is reached through other instances when it cannot be directly.

The store may turn single instances away, or be cut off from them, while it
serves others. An instance then sends its calls through one that is served.
"""

import abc
from typing import Final, TypeVar

import eliot

from jayshore.clock import Clock, Millis
from jayshore.store.store import (
    Entry,
    Listing,
    RenewResult,
    StoreError,
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
    perform,
)
from jayshore.store.transactions import (
    HistoryLost,
    Transaction,
    TransactionResult,
    TransactionStore,
)

_PROBE_MS: Final = Millis(1000)
"""How long calls go through others before the store is tried again, in ms."""

_SILENT_MS: Final = Millis(300)
"""Duration of a failed call from which the store counts as silent, in ms.

A store that refuses calls does so in milliseconds, so that trying it costs
nothing; calls to a silent one end with their timeout.
"""

_PROBES: Final = (Get, List, Watch)
"""Calls that try a silent store again."""

_MAX_UNCLEAR: Final = 2
"""Calls without an answer in a row after which others are asked.

The store can lose the answers of single writes while it serves all else.
"""


_Result = TypeVar('_Result')


class CallObserver(abc.ABC):
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
    async def carry(self, call: StoreCall) -> StoreReply:
        """Carry a call.

        Args:
            call: the call.

        Returns:
            What the store answered.

        Raises:
            StoreUnavailable: no instance took the call.
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
        observer: CallObserver | None = None,
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
        self._probe_at: Millis | None = None
        self._lost_at = Millis(0)
        self._unclear = 0
        self._silent = False
        self._observer = observer

    @property
    def cut_off(self) -> bool:
        """Whether the store did not answer this instance the last time."""
        return self._probe_at is not None

    @property
    def lost_for_ms(self) -> Millis:
        """How long the store has not answered this instance, 0 if it does."""
        if self._probe_at is None:
            return Millis(0)
        return Millis(self._clock.now() - self._lost_at)

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
        outcome = 'relayed' if self.cut_off else 'ok'
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
        if not self._is_tried_directly(call):
            return await self._carry(call)
        started = self._clock.now()
        try:
            return await self._call_directly(call)
        except (HistoryLost, StoreRejected):
            raise
        except StoreUnavailable as error:
            self._lose(error, started)
            return await self._carry(call)
        except StoreError as unclear:
            self._unclear += 1
            if self._unclear >= _MAX_UNCLEAR:
                self._lose(unclear, started)
            raise

    async def _call_directly(self, call: StoreCall) -> StoreReply:
        reply = await perform(self._direct, call)
        self._unclear = 0
        if self._probe_at is not None:
            eliot.log_message('store:regained')
            self._probe_at = None
        return reply

    def _is_tried_directly(self, call: StoreCall) -> bool:
        """Tell which calls do not go through others at once.

        Only reads try a silent store again: a write that it leaves unanswered
        would hold up all that waits for it.
        """
        if self._probe_at is None:
            return True
        if self._clock.now() < self._probe_at:
            return False
        return not self._silent or isinstance(call, _PROBES)

    def _lose(self, error: StoreError, started: Millis) -> None:
        self._silent = self._clock.now() - started >= _SILENT_MS
        if self._probe_at is None:
            self._lost_at = self._clock.now()
            eliot.log_message('store:lost', error=str(error))
        self._probe_at = Millis(self._clock.now() + _PROBE_MS)

    async def _carry(self, call: StoreCall) -> StoreReply:
        try:
            reply = await self._relay.carry(call)
        except StoreUnavailable:
            self._probe_at = self._clock.now()
            raise
        if reply.error:
            raise ERRORS.get(reply.error, StoreUncertain)(reply.detail)
        return reply


def _expect(result: _Result | None) -> _Result:
    if result is None:
        raise StoreUncertain('the relayed answer holds no result')
    return result
