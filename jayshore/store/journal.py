"""Batched writes of records, fenced so that only one leader's are applied.

All writes of a leader go through one head key. Every transaction requires the
head's current revision and writes the head, so the transactions form a chain:
a duplicate that arrives late finds another revision of the head and has no
effect, and once a successor has claimed the head, no transaction of the former
leader is applied.
"""

import dataclasses
from collections.abc import Awaitable, Callable, Mapping
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

_MAX_BYTES = 262_144
"""Size of the values of a transaction from which no further one is added.

They take half a second over a link of 5 Mbit/s.
"""

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
    of one record in quick succession cost one write. A record that the store
    rejects, for example as too large, is logged and not written.
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
        self._rejected: set[str] = set()

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
            callback: awaited once a value encoded after this call is durable,
                never for a value that the store rejects.
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
            StoreRejected: the store rejects the head itself.
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
        batch: dict[str, _PendingRecord] = {}
        values: dict[str, str | None] = {}
        size = 0
        for key in tuple(self._pending)[:_RECORDS_PER_TRANSACTION]:
            text = self._pending[key].encode()
            size += len(text or '')
            if batch and (size > _MAX_BYTES or key in self._rejected):
                break
            batch[key] = self._pending.pop(key)
            values[key] = text
            if key in self._rejected:
                break
        await self._write_records(batch, values)

    async def _write_records(
        self,
        batch: Mapping[str, _PendingRecord],
        values: Mapping[str, str | None],
    ) -> None:
        self._count += 1
        try:
            await self._commit(self._make_transaction(values))
        except StoreRejected as error:
            if not batch:
                raise
            await self._isolate_rejected(batch, values, error)
            return
        self._rejected.difference_update(batch)
        for record in batch.values():
            for callback in record.callbacks:
                await callback()

    async def _isolate_rejected(
        self,
        batch: Mapping[str, _PendingRecord],
        values: Mapping[str, str | None],
        error: StoreRejected,
    ) -> None:
        """Write the records of a rejected transaction one by one.

        One that is rejected by itself is dropped until its next change, and
        holds up no other. A store that rejects a transaction without records
        as well rejects this journal.
        """
        if len(batch) > 1:
            for key, record in batch.items():
                await self._write_records({key: record}, {key: values[key]})
            return
        await self._write_records({}, {})
        for rejected, text in values.items():
            self._rejected.add(rejected)
            eliot.log_message(
                'journal:rejected',
                key=rejected,
                bytes=len((text or '').encode()),
                error=str(error),
            )

    def _make_transaction(
        self, values: Mapping[str, str | None]
    ) -> Transaction:
        return Transaction(
            expected=((self._head_key, self._revision),),
            puts=(
                self._head_put(),
                *(
                    Put(key=key, value=text)
                    for key, text in values.items()
                    if text is not None
                ),
            ),
            removals=tuple(key for key, text in values.items() if text is None),
        )

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
