"""Calls to a store as values, so that other instances can carry them."""

import dataclasses
import types
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, TypeAlias

import msgspec

from jayshore.clock import Millis
from jayshore.store.store import (
    Entry,
    LeaseGone,
    Listing,
    StoreError,
    StoreIsolated,
    StoreLease,
    StoreRejected,
    StoreUnavailable,
    StoreUncertain,
    Written,
)
from jayshore.store.transactions import (
    HistoryLost,
    Mismatch,
    Transaction,
    TransactionStore,
)


class Get(msgspec.Struct, tag='get', frozen=True):
    """Reads one key."""

    key: str


class List(msgspec.Struct, tag='list', frozen=True):
    """Reads a prefix."""

    prefix: str


class Watch(msgspec.Struct, tag='watch', frozen=True):
    """Waits for changes under a prefix."""

    prefix: str
    since: int
    wait_ms: int


class Transact(msgspec.Struct, tag='transact', frozen=True):
    """Applies a transaction."""

    transaction: Transaction


class Grant(msgspec.Struct, tag='grant', frozen=True):
    """Obtains a lease."""

    ttl_ms: int


class Renew(msgspec.Struct, tag='renew', frozen=True):
    """Renews a lease."""

    lease_id: int


class Revoke(msgspec.Struct, tag='revoke', frozen=True):
    """Ends a lease."""

    lease_id: int


StoreCall: TypeAlias = Get | List | Watch | Transact | Grant | Renew | Revoke

_ErrorType: TypeAlias = type[StoreError]

ERRORS: Final[Mapping[str, _ErrorType]] = types.MappingProxyType(
    {
        'unavailable': StoreUnavailable,
        'isolated': StoreIsolated,
        'uncertain': StoreUncertain,
        'rejected': StoreRejected,
        'history_lost': HistoryLost,
    }
)
ERROR_NAMES: Final = types.MappingProxyType(
    {error: name for name, error in ERRORS.items()}
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreReply:
    """The result of a call; at most one field is set.

    Attributes:
        error: name of the error, empty for none.
        detail: of the error.
        entry: of a read.
        listing: of a list or a watch.
        written: of a transaction that was applied.
        mismatch: of a transaction whose condition failed.
        lease_gone: the lease of the call has ended.
        lease: of a grant or a renewal.
    """

    error: str = ''
    detail: str = ''
    entry: Entry | None = None
    listing: Listing | None = None
    written: Written | None = None
    mismatch: Mismatch | None = None
    lease_gone: LeaseGone | None = None
    lease: StoreLease | None = None


_Performer: TypeAlias = Callable[[TransactionStore, Any], Awaitable[StoreReply]]


async def execute_relayed_call(
    store: TransactionStore, call: StoreCall
) -> StoreReply:
    """Execute a call that another instance sent.

    Args:
        store: reaches the store directly.
        call: the call.

    Returns:
        The result, also when it is an error.
    """
    try:
        return await execute_call(store, call)
    except StoreError as error:
        name = ERROR_NAMES.get(type(error), 'uncertain')
        return StoreReply(error=name, detail=str(error))


async def execute_call(store: TransactionStore, call: StoreCall) -> StoreReply:
    """Perform a call.

    Args:
        store: the store.
        call: the call.

    Returns:
        The result; errors are raised.
    """
    return await _PERFORM[type(call)](store, call)


async def _get(store: TransactionStore, call: Any) -> StoreReply:
    return StoreReply(entry=await store.get(call.key))


async def _list(store: TransactionStore, call: Any) -> StoreReply:
    return StoreReply(listing=await store.list(call.prefix))


async def _watch(store: TransactionStore, call: Any) -> StoreReply:
    listing = await store.watch(
        call.prefix, since=call.since, wait_ms=Millis(call.wait_ms)
    )
    return StoreReply(listing=listing)


async def _transact(store: TransactionStore, call: Any) -> StoreReply:
    result = await store.transact(call.transaction)
    if isinstance(result, Written):
        return StoreReply(written=result)
    if isinstance(result, Mismatch):
        return StoreReply(mismatch=result)
    return StoreReply(lease_gone=result)


async def _grant(store: TransactionStore, call: Any) -> StoreReply:
    return StoreReply(lease=await store.grant_lease(Millis(call.ttl_ms)))


async def _renew(store: TransactionStore, call: Any) -> StoreReply:
    result = await store.renew_lease(call.lease_id)
    if isinstance(result, LeaseGone):
        return StoreReply(lease_gone=result)
    return StoreReply(lease=result)


async def _revoke(store: TransactionStore, call: Any) -> StoreReply:
    await store.revoke_lease(call.lease_id)
    return StoreReply()


_PERFORM: Final[Mapping[type, _Performer]] = types.MappingProxyType(
    {
        Get: _get,
        List: _list,
        Watch: _watch,
        Transact: _transact,
        Grant: _grant,
        Renew: _renew,
        Revoke: _revoke,
    }
)
