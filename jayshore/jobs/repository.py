"""The job records of one domain as its leader holds them.

All changes go through `JobRepository.change`. Changes of one job that come
while a write is under way are written together, so store calls grow with jobs
and not with tasks.
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

_RETRY_PAUSE_MS = Millis(200)


class _Change:
    """One change that waits to be written."""

    def __init__(self, *, transition: Transition) -> None:
        self.transition = transition
        self.done = curio.Event()
        self.refusal: TransitionError | None = None
        self.result: JobRecord | None = None


class _Held:
    """A record with its revision and the changes that wait."""

    def __init__(self, *, record: JobRecord, revision: int) -> None:
        self.record = record
        self.revision = revision
        self.waiting: list[_Change] = []
        self.is_writing = False
        self.ended = curio.Event()
        self.ended_by: Millis | None = None


class JobRepository:
    """Reads and changes job records under one epoch."""

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
        """Start without records.

        Args:
            store: the platform's store.
            write_resolver: resolves lost answers of writes.
            domain: only jobs of this failure domain are held.
            epoch: of this leader.
            write_limit_ms: longest time to settle one write, in ms.
            flush_ms: how long changes of one job are gathered, in ms.
            tasks: background tasks of the leader.
        """
        self._store = store
        self._write_resolver = write_resolver
        self._domain = domain
        self._epoch = epoch
        self._write_limit_ms = write_limit_ms
        self._flush_ms = flush_ms
        self._tasks = tasks
        self._held: dict[str, _Held] = {}
        self._seen = 0

    @property
    def records(self) -> tuple[JobRecord, ...]:
        """All records held, ended ones included until they are deleted."""
        return tuple(held.record for held in self._held.values())

    def find(self, job_id: str) -> JobRecord | None:
        """Look up a record.

        Args:
            job_id: the job.

        Returns:
            The record as last read or written, or None.
        """
        held = self._held.get(job_id)
        return held.record if held else None

    async def read_changes(
        self, *, wait_ms: Millis | None = None
    ) -> list[JobRecord]:
        """Read the records that were written since the last call.

        Args:
            wait_ms: longest wait for a change of any record, in ms; None
                for no wait.

        Returns:
            Records of this domain that were not known before.

        Raises:
            StoreUnavailable: the store did not answer.
        """  # noqa: DAR401 raised by the store
        if wait_ms is None:
            listing = await self._store.list(JOB_PREFIX, since=self._seen)
        else:
            listing = await self._store.watch(
                JOB_PREFIX, since=self._seen, wait_ms=wait_ms
            )
        found = [self._take(entry) for entry in listing.entries]
        for key in listing.deleted:
            self._held.pop(key.removeprefix(JOB_PREFIX), None)
        self._seen = max(self._seen, listing.revision)
        return [record for record in found if record is not None]

    async def read_one(self, job_id: str) -> JobRecord | None:
        """Read one record that is not known yet.

        Args:
            job_id: the job.

        Returns:
            The record when it is new and of this domain, else None.

        Raises:
            StoreUnavailable: the store did not answer.
        """  # noqa: DAR401 raised by the store
        entry = await self._store.get(job_key(job_id))
        return self._take(entry) if entry else None

    async def change(self, job_id: str, transition: Transition) -> JobRecord:
        """Change a record, waiting for the store as long as it takes.

        Args:
            job_id: a job that is held.
            transition: see `transitions`; it may be applied more than once.

        Returns:
            The record as written.

        Raises:
            NotOwnerError: another leader has claimed the record.
            TransitionError: the transition refused the record.
        """  # noqa: DAR401 TransitionError is what the change recorded
        held = self._held.get(job_id)
        if held is None:
            raise NotOwnerError(job_id)
        change = _Change(transition=transition)
        held.waiting.append(change)
        if not held.is_writing:
            held.is_writing = True
            await self._tasks.spawn(self._write_changes(held))
        await change.done.wait()
        if change.refusal is not None:
            raise change.refusal
        return change.result or held.record

    async def wait_until_ended(self, job_id: str, limit_ms: Millis) -> None:
        """Wait until a job is in a final state.

        Args:
            job_id: the job.
            limit_ms: longest wait, in ms.
        """
        held = self._held.get(job_id)
        if held is not None and not held.record.is_final:
            async with curio.ignore_after(to_seconds(limit_ms)):
                await held.ended.wait()

    async def delete_ended(self, *, now: Millis, retention_ms: Millis) -> None:
        """Delete records of jobs that ended long ago.

        The time counts from when this leader first found the job ended here,
        so a change of leader keeps a record longer, never shorter.

        Args:
            now: monotonic time.
            retention_ms: how long records of ended jobs are kept, in ms.
        """
        for held in tuple(self._held.values()):
            record = held.record
            if not record.is_final:
                continue
            if held.ended_by is None:
                held.ended_by = now
            if now - held.ended_by >= retention_ms:
                await self._store.delete(
                    job_key(record.job_id), expect_revision=held.revision
                )
                self._held.pop(record.job_id, None)

    def _take(self, entry: Entry) -> JobRecord | None:
        try:
            record = decode_record(entry.value)
        except MalformedRecordError as error:
            eliot.log_message('job:malformed', key=entry.key, error=str(error))
            return None
        if record.domain != self._domain or record.job_id in self._held:
            return None
        held = _Held(record=record, revision=entry.revision)
        self._held[record.job_id] = held
        return record

    async def _write_changes(self, held: _Held) -> None:
        batch: list[_Change] = []
        try:
            await curio.sleep(to_seconds(self._flush_ms))
            while held.waiting:
                batch = held.waiting
                held.waiting = []
                await self._write_or_refuse(held, batch)
        except curio.CancelledError:
            # This leadership has ended; whoever waits must not wait for ever.
            left = [*batch, *held.waiting]
            _refuse(left, NotOwnerError(held.record.job_id))
            await _announce(left)
            raise
        held.is_writing = False
        if held.record.is_final:
            await held.ended.set()

    async def _write_or_refuse(self, held: _Held, batch: list[_Change]) -> None:
        try:
            await self._write_batch(held, batch)
        except NotOwnerError as error:
            _refuse(batch, error)
        await _announce(batch)

    async def _write_batch(self, held: _Held, batch: list[_Change]) -> None:
        write_id = new_write_id()
        while True:
            record = _apply(held.record, batch)
            if _is_unchanged(record, held.record):
                return
            record = dataclasses.replace(record, write_id=write_id)
            if await self._try_write(held, record):
                return
            await self._reload(held)
            if held.record.write_id == write_id:
                return

    async def _try_write(self, held: _Held, record: JobRecord) -> bool:
        """Write once; a record that another leader owns ends in a conflict."""
        write = Write(
            key=job_key(record.job_id),
            value=encode_record(record),
            expect_revision=held.revision,
        )
        try:
            written = await self._write_resolver.resolve_write(
                write, limit_ms=self._write_limit_ms
            )
        except StoreError as error:
            eliot.log_message(
                'job:not_written', job=record.job_id, error=str(error)
            )
            await curio.sleep(to_seconds(_RETRY_PAUSE_MS))
            return False
        if not isinstance(written, Written):
            return False
        held.record = record
        held.revision = written.revision
        return True

    async def _reload(self, held: _Held) -> None:
        job_id = held.record.job_id
        while True:
            try:
                entry = await self._store.get(job_key(job_id))
            except StoreUnavailable:
                await curio.sleep(to_seconds(_RETRY_PAUSE_MS))
            else:
                break
        if entry is None:
            self._held.pop(job_id, None)
            raise NotOwnerError(f'{job_id}: the record was deleted')
        record = decode_record(entry.value)
        if record.epoch > self._epoch:
            raise NotOwnerError(f'{job_id}: epoch {record.epoch}')
        held.record = record
        held.revision = entry.revision


def _apply(record: JobRecord, batch: list[_Change]) -> JobRecord:
    """Apply a batch in order; what is refused leaves the record as it is."""
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


async def _announce(batch: list[_Change]) -> None:
    for change in batch:
        await change.done.set()


def _refuse(batch: list[_Change], refusal: TransitionError) -> None:
    for change in batch:
        change.refusal = refusal
