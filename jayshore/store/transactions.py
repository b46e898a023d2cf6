"""Store interface with conditional transactions over several keys."""

import abc
import dataclasses
from typing import TypeAlias

from jayshore.store.store import (
    Conflict,
    DeleteResult,
    LeaseGone,
    PutResult,
    Store,
    StoreUnavailable,
    Written,
)

MAX_TRANSACTION_ENTRIES = 32
"""Limit for conditions, puts and removals together in one transaction."""

MAX_VALUE_BYTES = 1_048_576
"""Size of the largest value where the platform names none, in bytes."""


class HistoryLost(StoreUnavailable):
    """The store no longer holds the changes after the requested revision."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """A write of one key in a transaction.

    Attributes:
        key: the key.
        value: the value, JSON text by convention of this project.
        lease_id: lease that the key expires with, None for no expiry.
    """

    key: str
    value: str
    lease_id: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transaction:
    """Changes that are applied together or not at all.

    Attributes:
        expected: keys and their required revisions, 0 for no such key.
        puts: keys to write.
        removals: keys to remove.
    """

    expected: tuple[tuple[str, int], ...] = ()
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mismatch:
    """A key did not have the expected revision; nothing was written.

    Attributes:
        revisions: current revision of each key that had a condition, 0 when
            it does not exist.
    """

    revisions: dict[str, int]


TransactionResult: TypeAlias = Written | Mismatch | LeaseGone


class TransactionStore(Store):
    """A store with transactions; single writes are transactions of one key."""

    @abc.abstractmethod
    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply all changes if all conditions hold, otherwise none.

        Args:
            transaction: conditions and changes.

        Returns:
            The revision of the transaction, or why nothing was applied.
        """

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
            expect_revision: required revision of the key, 0 to create it.
            lease_id: lease that the key expires with, None for no expiry.

        Returns:
            The revision of the write, or why nothing was written.
        """
        change = Put(key=key, value=value, lease_id=lease_id)
        written = await self.transact(
            Transaction(expected=((key, expect_revision),), puts=(change,))
        )
        if isinstance(written, Mismatch):
            return Conflict(revision=written.revisions.get(key, 0))
        return written

    async def delete(self, key: str, *, expect_revision: int) -> DeleteResult:
        """Delete one key by compare-and-swap.

        Args:
            key: the key.
            expect_revision: required revision of the key.

        Returns:
            The revision of the deletion, or the conflict.
        """
        removed = await self.transact(
            Transaction(expected=((key, expect_revision),), removals=(key,))
        )
        if isinstance(removed, Mismatch):
            return Conflict(revision=removed.revisions.get(key, 0))
        return Written(revision=getattr(removed, 'revision', 0))
