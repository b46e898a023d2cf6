"""The platform's store and instance list over HTTP."""

import dataclasses

from jayshore.clock import Millis
from jayshore.store.httpcalls import PlatformCall, PlatformCaller, decode_answer
from jayshore.store.instances import Instance, InstanceList
from jayshore.store.store import (  # noqa: WPS235
    Conflict,
    DeleteResult,
    Entry,
    LeaseGone,
    Listing,
    PutResult,
    RenewResult,
    Store,
    StoreLease,
    Written,
)

_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409
_STATUS_GONE = 410
_MISSING = frozenset((_STATUS_NOT_FOUND,))
_CONFLICT = frozenset((_STATUS_CONFLICT,))
_CONFLICT_OR_GONE = frozenset((_STATUS_CONFLICT, _STATUS_GONE))
_GONE = frozenset((_STATUS_GONE,))


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PutBody:
    value: str
    expect_revision: int
    lease_id: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LeaseBody:
    ttl_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _InstancesAnswer:
    version: int
    instances: tuple[Instance, ...] | None = None


class HttpStore(Store):
    """The store of section 8.2 of the design page."""

    def __init__(self, *, caller: PlatformCaller) -> None:
        """Use a caller.

        Args:
            caller: sends the calls.
        """
        self._caller = caller

    async def get(self, key: str) -> Entry | None:
        """Read one key.

        Args:
            key: the key.

        Returns:
            The entry, or None when the key does not exist.
        """
        call = PlatformCall(
            method='GET', path=_key_path(key), answered=_MISSING
        )
        answer = await self._caller.call(call)
        if answer.status == _STATUS_NOT_FOUND:
            return None
        return decode_answer(call, answer, Entry)

    async def put(
        self,
        key: str,
        value: str,
        *,
        expect_revision: int,
        lease_id: int | None = None,
    ) -> PutResult:
        """Write one key by compare-and-swap.

        Args:
            key: the key.
            value: the new value, up to 1 MB.
            expect_revision: the key's revision, 0 to create.
            lease_id: the lease with which the key expires, None for ever.

        Returns:
            Whether it was written, and at which revision.
        """
        call = PlatformCall(
            method='PUT',
            path=_key_path(key),
            content=_PutBody(
                value=value, expect_revision=expect_revision, lease_id=lease_id
            ),
            answered=_CONFLICT_OR_GONE,
        )
        answer = await self._caller.call(call)
        if answer.status == _STATUS_GONE:
            return LeaseGone(lease_id=lease_id or 0)
        if answer.status == _STATUS_CONFLICT:
            return decode_answer(call, answer, Conflict)
        return decode_answer(call, answer, Written)

    async def delete(self, key: str, *, expect_revision: int) -> DeleteResult:
        """Delete one key by compare-and-swap.

        Args:
            key: the key.
            expect_revision: the key's revision.

        Returns:
            Whether it was deleted, and at which revision.
        """
        call = PlatformCall(
            method='DELETE',
            path=_key_path(key),
            query={'expect_revision': str(expect_revision)},
            answered=_CONFLICT,
        )
        answer = await self._caller.call(call)
        if answer.status == _STATUS_CONFLICT:
            return decode_answer(call, answer, Conflict)
        return decode_answer(call, answer, Written)

    async def list(self, prefix: str, *, since: int = 0) -> Listing:
        """Read what changed under a prefix.

        Args:
            prefix: start of the keys.
            since: only changes after this revision; 0 reads everything.

        Returns:
            Entries and deleted keys.
        """
        query = {'prefix': prefix, 'since': str(since)}
        call = PlatformCall(method='GET', path='/v1/list', query=query)
        return await self._caller.fetch(call, Listing)

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
        call = PlatformCall(
            method='GET',
            path='/v1/watch',
            query={
                'prefix': prefix,
                'since': str(since),
                'wait_ms': str(wait_ms),
            },
            wait_ms=wait_ms,
        )
        return await self._caller.fetch(call, Listing)

    async def grant_lease(self, ttl_ms: Millis) -> StoreLease:
        """Obtain a new lease.

        Args:
            ttl_ms: time to live after each renewal, in ms.

        Returns:
            The lease.
        """
        body = _LeaseBody(ttl_ms=ttl_ms)
        call = PlatformCall(method='POST', path='/v1/leases', content=body)
        return await self._caller.fetch(call, StoreLease)

    async def renew_lease(self, lease_id: int) -> RenewResult:
        """Keep a lease for another time to live.

        Args:
            lease_id: the lease.

        Returns:
            The lease, or that it is gone.
        """
        path = f'/v1/leases/{lease_id}/renew'
        call = PlatformCall(method='POST', path=path, answered=_GONE)
        answer = await self._caller.call(call)
        if answer.status == _STATUS_GONE:
            return LeaseGone(lease_id=lease_id)
        return decode_answer(call, answer, StoreLease)

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; a lease that is gone is ignored.

        Args:
            lease_id: the lease.
        """
        path = f'/v1/leases/{lease_id}'
        await self._caller.call(
            PlatformCall(method='DELETE', path=path, answered=_GONE)
        )


class HttpInstanceList(InstanceList):
    """The platform's instance list over HTTP."""

    def __init__(self, *, caller: PlatformCaller) -> None:
        """Use a caller.

        Args:
            caller: sends the calls.
        """
        self._caller = caller
        self._version = -1
        self._instances: tuple[Instance, ...] = ()

    async def read(self) -> tuple[Instance, ...]:
        """Read the list; one that has not changed is not sent again.

        Returns:
            All listed instances.
        """
        call = PlatformCall(
            method='GET',
            path='/v1/instances',
            query={'known': str(self._version)},
        )
        answer = await self._caller.fetch(call, _InstancesAnswer)
        if answer.instances is not None:
            self._version = answer.version
            self._instances = answer.instances
        return self._instances


def _key_path(key: str) -> str:
    return f'/v1/kv/{key}'
