"""The job records of one failure domain, as cached by its leader.

All changes go through `JobRepository.change`. Changes of a job that arrive
while a write of it is in progress are written together, so that the number of
store calls grows with the number of jobs and not of tasks.
"""

import dataclasses
from collections.abc import Callable
from typing import TypeAlias

import curio
import eliot

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds
from jayshore.jobs.changes import NotOwnerError, TransitionError
from jayshore.jobs.record import (
    JOB_PREFIX,
    JobRecord,
    MalformedRecordError,
    decode_record,
    encode_record,
    job_key,
)
from jayshore.store.store import (
    Entry,
    Store,
    StoreError,
    StoreUnavailable,
    Written,
)
from jayshore.store.writeresolver import Write, WriteResolver, new_write_id

Transition: TypeAlias = Callable[[JobRecord], JobRecord]

_RETRY_INTERVAL_MS = Millis(200)


class _PendingChange:
    """A change that has not been written yet."""

    def __init__(self, *, transition: Transition) -> None:
        self.transition = transition
        self.done = curio.Event()
        self.refusal: TransitionError | None = None
        self.result: JobRecord | None = None


class _CachedRecord:
    """A record with its revision and its pending changes."""

    def __init__(self, *, record: JobRecord, revision: int) -> None:
        self.record = record
        self.revision = revision
        self.pending: list[_PendingChange] = []
        self.is_writing = False
        self.ended = curio.Event()
        self.ended_seen_at: Millis | None = None


class JobRepository:
    """Reads and changes the job records of a domain under one epoch."""

    def __init__(
        self,
        *,
        store: Store,
        write_resolver: WriteResolver,
        domain: str,
        epoch: int,
        write_limit_ms: Millis,
        flush_ms: Millis,
        tasks: BackgroundTasks,
    ) -> None:
        """Create an empty repository.

        Args:
            store: the platform's store.
            write_resolver: resolves lost answers of writes.
            domain: only jobs of this failure domain are kept.
            epoch: epoch of this leader.
            write_limit_ms: longest time to resolve one write, in ms.
            flush_ms: how long changes of one job are collected before they
                are written, in ms.
            tasks: background tasks of the leader.
        """
        self._store = store
        self._write_resolver = write_resolver
        self._domain = domain
        self._epoch = epoch
        self._write_limit_ms = write_limit_ms
        self._flush_ms = flush_ms
        self._tasks = tasks
        self._cache: dict[str, _CachedRecord] = {}
        self._revision_seen = 0

    @property
    def records(self) -> tuple[JobRecord, ...]:
        """All known records, including ended ones that are not deleted yet."""
        return tuple(cached.record for cached in self._cache.values())

    def find(self, job_id: str) -> JobRecord | None:
        """Look up a record.

        Args:
            job_id: the job.

        Returns:
            The record as last read or written, or None.
        """
        cached = self._cache.get(job_id)
        return cached.record if cached else None

    async def read_changes(
        self, *, wait_ms: Millis | None = None
    ) -> list[JobRecord]:
        """Read the records that were written since the last call.

        Args:
            wait_ms: longest wait for a change of any record, in ms; None
                for no wait.

        Returns:
            Records of this domain that were not in the repository before.

        Raises:
            StoreUnavailable: the store did not answer.
        """  # noqa: DAR401 raised by the store
        if wait_ms is None:
            listing = await self._store.list(
                JOB_PREFIX, since=self._revision_seen
            )
        else:
            listing = await self._store.watch(
                JOB_PREFIX, since=self._revision_seen, wait_ms=wait_ms
            )
        found = [self._add_to_cache(entry) for entry in listing.entries]
        for key in listing.deleted:
            self._cache.pop(key.removeprefix(JOB_PREFIX), None)
        self._revision_seen = max(self._revision_seen, listing.revision)
        return [record for record in found if record is not None]

    async def read_one(self, job_id: str) -> JobRecord | None:
        """Read one record that is not in the repository yet.

        Args:
            job_id: the job.

        Returns:
            The record if it is new and of this domain, else None.

        Raises:
            StoreUnavailable: the store did not answer.
        """  # noqa: DAR401 raised by the store
        entry = await self._store.get(job_key(job_id))
        return self._add_to_cache(entry) if entry else None

    async def change(self, job_id: str, transition: Transition) -> JobRecord:
        """Change a record and wait until the store holds the change.

        Waits without a limit while the store is unreachable.

        Args:
            job_id: a job in the repository.
            transition: see `transitions`; it may be applied more than once.

        Returns:
            The record with the change.

        Raises:
            NotOwnerError: another leader has claimed the record, the record
                is unknown or was deleted, or this leadership has ended.
            TransitionError: the transition refused the record.
        """  # noqa: DAR401 TransitionError is the refusal of the change
        cached = self._cache.get(job_id)
        if cached is None:
            raise NotOwnerError(job_id)
        change = _PendingChange(transition=transition)
        cached.pending.append(change)
        if not cached.is_writing:
            cached.is_writing = True
            await self._tasks.spawn(self._write_changes(cached))
        await change.done.wait()
        if change.refusal is not None:
            raise change.refusal
        return change.result or cached.record

    async def wait_until_ended(self, job_id: str, limit_ms: Millis) -> None:
        """Wait until a job is in a final state, or the limit has passed.

        Args:
            job_id: the job.
            limit_ms: longest wait, in ms.
        """
        cached = self._cache.get(job_id)
        if cached is not None and not cached.record.is_final:
            async with curio.ignore_after(to_seconds(limit_ms)):
                await cached.ended.wait()

    async def delete_ended(self, *, now: Millis, retention_ms: Millis) -> None:
        """Delete the records of jobs whose retention period has passed.

        The period counts from the first call in which this leader saw the job
        as ended, so a change of leader can only extend it.

        Args:
            now: monotonic time.
            retention_ms: how long records of ended jobs are kept, in ms.
        """
        for cached in tuple(self._cache.values()):
            record = cached.record
            if not record.is_final:
                continue
            if cached.ended_seen_at is None:
                cached.ended_seen_at = now
            if now - cached.ended_seen_at >= retention_ms:
                await self._store.delete(
                    job_key(record.job_id), expect_revision=cached.revision
                )
                self._cache.pop(record.job_id, None)

    def _add_to_cache(self, entry: Entry) -> JobRecord | None:
        try:
            record = decode_record(entry.value)
        except MalformedRecordError as error:
            eliot.log_message('job:malformed', key=entry.key, error=str(error))
            return None
        if record.domain != self._domain or record.job_id in self._cache:
            return None
        cached = _CachedRecord(record=record, revision=entry.revision)
        self._cache[record.job_id] = cached
        return record

    async def _write_changes(self, cached: _CachedRecord) -> None:
        batch: list[_PendingChange] = []
        try:
            await curio.sleep(to_seconds(self._flush_ms))
            while cached.pending:
                batch = cached.pending
                cached.pending = []
                await self._write_or_fail(cached, batch)
        except curio.CancelledError:
            # This leadership has ended. Fail the remaining changes, since
            # their callers would wait forever.
            unwritten = [*batch, *cached.pending]
            _fail_all(unwritten, NotOwnerError(cached.record.job_id))
            await _notify_waiters(unwritten)
            raise
        cached.is_writing = False
        if cached.record.is_final:
            await cached.ended.set()

    async def _write_or_fail(
        self, cached: _CachedRecord, batch: list[_PendingChange]
    ) -> None:
        try:
            await self._write_batch(cached, batch)
        except NotOwnerError as error:
            _fail_all(batch, error)
        await _notify_waiters(batch)

    async def _write_batch(
        self, cached: _CachedRecord, batch: list[_PendingChange]
    ) -> None:
        write_id = new_write_id()
        while True:
            record = _apply(cached.record, batch)
            if _is_unchanged(record, cached.record):
                return
            record = dataclasses.replace(record, write_id=write_id)
            if await self._try_write(cached, record):
                return
            await self._reload(cached)
            if cached.record.write_id == write_id:
                return

    async def _try_write(
        self, cached: _CachedRecord, record: JobRecord
    ) -> bool:
        """Try one write; False means a conflict or an unknown result.

        The write conflicts if another leader has changed the record.
        """
        write = Write(
            key=job_key(record.job_id),
            value=encode_record(record),
            expect_revision=cached.revision,
        )
        try:
            written = await self._write_resolver.resolve_write(
                write, limit_ms=self._write_limit_ms
            )
        except StoreError as error:
            eliot.log_message(
                'job:not_written', job=record.job_id, error=str(error)
            )
            await curio.sleep(to_seconds(_RETRY_INTERVAL_MS))
            return False
        if not isinstance(written, Written):
            return False
        cached.record = record
        cached.revision = written.revision
        return True

    async def _reload(self, cached: _CachedRecord) -> None:
        job_id = cached.record.job_id
        while True:
            try:
                entry = await self._store.get(job_key(job_id))
            except StoreUnavailable:
                await curio.sleep(to_seconds(_RETRY_INTERVAL_MS))
            else:
                break
        if entry is None:
            self._cache.pop(job_id, None)
            raise NotOwnerError(f'{job_id}: the record was deleted')
        record = decode_record(entry.value)
        if record.epoch > self._epoch:
            raise NotOwnerError(f'{job_id} is owned by epoch {record.epoch}')
        cached.record = record
        cached.revision = entry.revision


def _apply(record: JobRecord, batch: list[_PendingChange]) -> JobRecord:
    """Apply the changes in order; a refused one leaves the record as it is."""
    for change in batch:
        change.refusal = None
        try:
            record = change.transition(record)
        except TransitionError as refusal:
            change.refusal = refusal
        change.result = record
    return record


def _is_unchanged(record: JobRecord, before: JobRecord) -> bool:
    return record == dataclasses.replace(before, write_id=record.write_id)


async def _notify_waiters(batch: list[_PendingChange]) -> None:
    for change in batch:
        await change.done.set()


def _fail_all(batch: list[_PendingChange], refusal: TransitionError) -> None:
    for change in batch:
        change.refusal = refusal
