"""Interface of the key-value store."""

import abc
import dataclasses
from typing import TypeAlias

from jayshore.clock import Millis
from jayshore.outcomes import JayshoreError

MUST_NOT_EXIST = 0
"""The required revision of a key that is to be created."""


class StoreError(JayshoreError):
    """A call to the store failed."""


class StoreUnavailable(StoreError):
    """The call failed and certainly had no effect."""


class StoreIsolated(StoreUnavailable):
    """Neither the store nor any other instance answered."""


class StoreUncertain(StoreError):
    """The call failed, and the write may or may not have been applied."""


class StoreRejected(StoreError):
    """The store considers the call invalid, for example its value too large."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """A key with its value.

    Attributes:
        key: the key.
        value: the value, JSON text by convention of this project.
        revision: revision of the last write of this key.
    """

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """What changed under a prefix.

    Attributes:
        revision: revision of the whole store when it was read, to be passed
            as `since` of the next call.
        entries: entries written after `since`, ordered by revision.
        deleted: keys deleted or expired after `since`.
    """

    revision: int
    entries: tuple[Entry, ...] = ()
    deleted: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Written:
    """The write was applied.

    Attributes:
        revision: revision of the write.
    """

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """The key did not have the expected revision; nothing was written.

    Attributes:
        revision: the key's revision, 0 when it does not exist.
    """

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseGone:
    """The lease has expired or was revoked; nothing was written.

    Attributes:
        lease_id: the lease.
    """

    lease_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreLease:
    """A lease of the store; its keys are deleted when it expires.

    Attributes:
        lease_id: id of the lease.
        ttl_ms: time to live after each renewal, in ms.
    """

    lease_id: int
    ttl_ms: Millis


PutResult: TypeAlias = Written | Conflict | LeaseGone
DeleteResult: TypeAlias = Written | Conflict
RenewResult: TypeAlias = StoreLease | LeaseGone


class Store(abc.ABC):
    """A key-value store with compare-and-swap, leases and watches.

    Revisions come from a single counter for the whole store. Every method
    raises `StoreUnavailable` when the call certainly had no effect,
    `StoreRejected` when the store considers it invalid, and, if it writes,
    `StoreUncertain` when it is unknown whether it was applied.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Entry | None:
        """Read one key.

        Args:
            key: the key.

        Returns:
            The entry, or None when the key does not exist.
        """

    @abc.abstractmethod
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
            expect_revision: required revision of the key, `MUST_NOT_EXIST` to
                create it.
            lease_id: lease that the key expires with, None for no expiry.

        Returns:
            The revision of the write, or why nothing was written.
        """

    @abc.abstractmethod
    async def delete(self, key: str, *, expect_revision: int) -> DeleteResult:
        """Delete one key by compare-and-swap.

        Args:
            key: the key.
            expect_revision: required revision of the key.

        Returns:
            The revision of the deletion, or the conflict.
        """

    @abc.abstractmethod
    async def list(self, prefix: str, *, since: int = 0) -> Listing:
        """Read the changes under a prefix.

        Args:
            prefix: common prefix of the keys.
            since: only changes after this revision; 0 reads everything.

        Returns:
            Entries and deleted keys.
        """

    @abc.abstractmethod
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

    @abc.abstractmethod
    async def grant_lease(self, ttl_ms: Millis) -> StoreLease:
        """Obtain a new lease.

        Args:
            ttl_ms: time to live after each renewal, in ms.

        Returns:
            The lease.
        """

    @abc.abstractmethod
    async def renew_lease(self, lease_id: int) -> RenewResult:
        """Renew a lease, which restarts its time to live.

        Args:
            lease_id: the lease.

        Returns:
            The lease, or `LeaseGone` when it has ended.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys; no error if it has ended.

        Args:
            lease_id: the lease.
        """
