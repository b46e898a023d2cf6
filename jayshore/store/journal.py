"""Batched writes of records, fenced so that only one leader's are applied.

All writes of a leader go through one head key. Every transaction requires the
head's current revision and writes the head, so the transactions form a chain:
a duplicate that arrives late finds another revision of the head and has no
effect, and once a successor has claimed the head, no transaction of the former
leader is applied.
"""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import curio
import eliot
import msgspec

from jayshore.clock import Millis, to_seconds
from jayshore.outcomes import JayshoreError
from jayshore.store.store import (
    LeaseGone,
    StoreError,
    StoreRejected,
    Written,
)
from jayshore.store.transactions import (
    MAX_TRANSACTION_ENTRIES,
    Put,
    Transaction,
    TransactionStore,
)

_POLL_INTERVAL_MS = Millis(5)
_RETRY_DELAY_MS = Millis(60)

# The condition on the head and its new value take two entries.
_RECORDS_PER_TRANSACTION = MAX_TRANSACTION_ENTRIES - 2


_Callback: TypeAlias = Callable[[], Awaitable[None]]


class JournalFenced(JayshoreError):
    """Another process has claimed the head; this journal is no longer valid."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Head:
    epoch: int
    count: int


@dataclasses.dataclass(kw_only=True, slots=True)
class _PendingRecord:
    encode: Callable[[], str | None]
    callbacks: list[_Callback]


class Journal:
    """Writes records in batches, one transaction at a time.

    A record is encoded when its transaction is built, so that several changes
    of one record in quick succession cost one write.
    """

    def __init__(
        self,
        *,
        store: TransactionStore,
        head_key: str,
        epoch: int,
        pause_ms: Millis,
    ) -> None:
        """Create a journal, which has to be claimed before it can write.

        Args:
            store: the store.
            head_key: key of the head.
            epoch: epoch of this leader, higher than that of any earlier one.
            pause_ms: pause after each transaction, in ms, to collect changes
                for the next one.
        """
        self._store = store
        self._head_key = head_key
        self._epoch = epoch
        self._pause_ms = pause_ms
        self._count = 0
        self._revision = 0
        self._pending: dict[str, _PendingRecord] = {}

    async def claim(self) -> None:
        """Claim the head, so that no later write of a former leader is applied.

        Errors of the store are retried without a limit.

        Raises:
            JournalFenced: a leader with a higher epoch has claimed it.
        """
        claimed = False
        while not claimed:
            try:
                claimed = await self._try_claim()
            except StoreError as error:
                eliot.log_message('journal:claim_failed', error=str(error))
                await curio.sleep(to_seconds(_RETRY_DELAY_MS))

    def write(
        self,
        key: str,
        encode: Callable[[], str | None],
        callback: _Callback | None = None,
    ) -> None:
        """Queue a record for writing.

        Args:
            key: key of the record.
            encode: called when the transaction is built; returns the value, or
                None to remove the key. Ignored while the key is already queued.
            callback: awaited once a value encoded after this call is durable.
        """
        pending = self._pending.get(key)
        if pending is None:
            pending = _PendingRecord(encode=encode, callbacks=[])
            self._pending[key] = pending
        if callback is not None:
            pending.callbacks.append(callback)

    async def run(self) -> None:
        """Write queued records until cancelled.

        Raises:
            JournalFenced: another process has claimed the head.
        """
        while True:
            if self._pending:
                await self._write_batch()
                await curio.sleep(to_seconds(self._pause_ms))
            else:
                await curio.sleep(to_seconds(_POLL_INTERVAL_MS))

    async def flush(self) -> None:
        """Write all queued records.

        Raises:
            JournalFenced: another process has claimed the head.
        """
        while self._pending:
            await self._write_batch()

    async def _write_batch(self) -> None:
        keys = tuple(self._pending)[:_RECORDS_PER_TRANSACTION]
        batch = {key: self._pending.pop(key) for key in keys}
        values = {key: record.encode() for key, record in batch.items()}
        self._count += 1
        await self._commit(
            Transaction(
                expected=((self._head_key, self._revision),),
                puts=(
                    self._head_put(),
                    *(
                        Put(key=key, value=text)
                        for key, text in values.items()
                        if text is not None
                    ),
                ),
                removals=tuple(
                    key for key, text in values.items() if text is None
                ),
            )
        )
        for record in batch.values():
            for callback in record.callbacks:
                await callback()

    async def _commit(self, transaction: Transaction) -> None:
        """Repeat a transaction until it is known to be applied."""
        revision = None
        while revision is None:
            try:
                revision = await self._try_transact(transaction)
            except StoreRejected:
                raise
            except StoreError as error:
                eliot.log_message('journal:write_failed', error=str(error))
                await curio.sleep(to_seconds(_RETRY_DELAY_MS))
        self._revision = revision

    async def _try_transact(self, transaction: Transaction) -> int | None:
        written = await self._store.transact(transaction)
        if isinstance(written, Written):
            return written.revision
        if isinstance(written, LeaseGone):
            raise JournalFenced(
                'the store reported an ended lease, but records have no lease'
            )
        head, revision = await self._read_head()
        if head.epoch == self._epoch and head.count == self._count:
            return revision
        raise JournalFenced(f'epoch {head.epoch} has claimed the head')

    async def _try_claim(self) -> bool:
        head, revision = await self._read_head()
        if head.epoch > self._epoch:
            raise JournalFenced(f'epoch {head.epoch} has claimed the head')
        if head.epoch == self._epoch:
            self._revision = revision
            return True
        written = await self._store.transact(
            Transaction(
                expected=((self._head_key, revision),),
                puts=(self._head_put(),),
            )
        )
        if not isinstance(written, Written):
            return False
        self._revision = written.revision
        return True

    async def _read_head(self) -> tuple[_Head, int]:
        entry = await self._store.get(self._head_key)
        if entry is None:
            return _Head(epoch=0, count=0), 0
        return msgspec.json.decode(entry.value, type=_Head), entry.revision

    def _head_put(self) -> Put:
        head = _Head(epoch=self._epoch, count=self._count)
        return Put(key=self._head_key, value=msgspec.json.encode(head).decode())
