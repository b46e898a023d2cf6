"""Tombstones of cancelled jobs that the store does not hold.

The write of a job that got no answer may still be carried out seconds later.
The acceptance of a job requires that it has no tombstone, so that a
cancellation may be answered once its tombstone is stored.

Anyone may cancel any id, so tombstones are bounded: in number for each instance
and workspace, and in time by a lease of the store.
"""

import dataclasses
import hashlib
from collections.abc import Callable, Iterable
from typing import Final

import curio
import eliot

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.outcomes import JayshoreError
from jayshore.store.store import LeaseGone, StoreError, StoreUncertain
from jayshore.store.transactions import (
    MAX_TRANSACTION_ENTRIES,
    Put,
    Transaction,
    TransactionStore,
)

KEEP_MS: Final = Millis(60_000)
"""Time for which a tombstone is kept at least, in ms."""

LEASE_MS: Final = Millis(90_000)
"""Time after which it is gone, in ms; a lease is used for many."""

MAX_TOMBSTONES: Final = 4096
"""Tombstones of all instances together, at 256 instances or less."""

MIN_PER_INSTANCE: Final = 16
"""Tombstones that each of many instances may hold."""

_WORKSPACE_SHARE: Final = 4
"""A workspace may hold a quarter of the tombstones of an instance."""

_BATCH_INTERVAL_MS: Final = Millis(100)
_WRITE_LIMIT_MS: Final = Millis(1500)
_RETRY_MS: Final = Millis(50)
_PREFIX: Final = 'jobs/tombstones/'
_DIGEST_BYTES: Final = 8


class TombstonesExhausted(JayshoreError):
    """A workspace or this instance holds as many tombstones as it may."""


def tombstone_key(workspace: str, job_id: str) -> str:
    """Return the key of a tombstone.

    Args:
        workspace: workspace of the job, empty in a public queue. A workspace
            does not hinder the jobs of another one with the same ids.
        job_id: the job.

    Returns:
        The key, whose length does not depend on the workspace.
    """
    digest = hashlib.blake2b(workspace.encode(), digest_size=_DIGEST_BYTES)
    return f'{_PREFIX}{digest.hexdigest()}/{job_id}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Lease:
    """A lease of the store.

    Attributes:
        lease_id: id of the lease.
        ends_at: when it ends at the earliest, on the local clock.
    """

    lease_id: int
    ends_at: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Tombstone:
    """A tombstone of this instance.

    Attributes:
        workspace: its workspace.
        expires_at: when it expires, on the local clock.
        is_stored: the store has confirmed it.
    """

    workspace: str
    expires_at: Millis
    is_stored: bool


class _Batch:
    """Tombstones that are written together by the first of their callers.

    Attributes:
        keys: workspaces by key.
        done: set when the write has ended.
        error: why it has failed, None when it has not.
    """

    def __init__(self) -> None:
        self.keys: dict[str, str] = {}
        self.done = curio.Event()
        self.error: StoreError | None = StoreUncertain('the write was ended')


class TombstoneWriter:
    """Writes the tombstones of the cancellations at one instance."""

    def __init__(
        self,
        *,
        store: TransactionStore,
        clock: Clock,
        count_instances: Callable[[], int],
    ) -> None:
        """Create a writer that holds no tombstones.

        Args:
            store: the store.
            clock: local clock.
            count_instances: returns the number of instances, which share
                `MAX_TOMBSTONES`.
        """
        self._store = store
        self._clock = clock
        self._count_instances = count_instances
        self._held: dict[str, _Tombstone] = {}
        self._lease: _Lease | None = None
        self._batch: _Batch | None = None
        self._next_batch_at = Millis(0)

    async def write(self, workspace: str, job_id: str) -> None:
        """Make sure that a job is not accepted any more.

        Args:
            workspace: workspace of the job, empty in a public queue.
            job_id: the job.

        Raises:
            TombstonesExhausted: there is no room for another tombstone.
            StoreError: the tombstone may not be stored.
        """
        key = tombstone_key(workspace, job_id)
        now = self._clock.now()
        self._forget_expired(now)
        held = self._held.get(key)
        if held is None:
            self._check_room(workspace)
        elif held.is_stored and held.expires_at - now >= KEEP_MS:
            return
        self._held[key] = _Tombstone(
            workspace=workspace,
            expires_at=Millis(now + LEASE_MS),
            is_stored=False,
        )
        batch = self._batch
        if batch is None or len(batch.keys) >= MAX_TRANSACTION_ENTRIES:
            batch = _Batch()
            self._batch = batch
            batch.keys[key] = workspace
            await self._write_batch(batch)
        else:
            batch.keys[key] = workspace
            await batch.done.wait()
        if batch.error is not None:
            raise batch.error
        eliot.log_message('job:tombstone', job=job_id, workspace=workspace)

    def _check_room(self, workspace: str) -> None:
        limit = max(
            MIN_PER_INSTANCE,
            MAX_TOMBSTONES // max(1, self._count_instances()),
        )
        workspaces = [held.workspace for held in self._held.values()]
        if (
            len(workspaces) >= limit
            or workspaces.count(workspace) >= limit // _WORKSPACE_SHARE
        ):
            raise TombstonesExhausted('too many cancelled jobs are unknown')

    async def _write_batch(self, batch: _Batch) -> None:
        now = self._clock.now()
        begins_at = max(now, self._next_batch_at)
        self._next_batch_at = Millis(begins_at + _BATCH_INTERVAL_MS)
        try:
            await curio.sleep(to_seconds(Millis(begins_at - now)))
            if self._batch is batch:
                self._batch = None
            expires_at = await self._store_all(batch.keys)
            for key, workspace in batch.keys.items():
                self._held[key] = _Tombstone(
                    workspace=workspace, expires_at=expires_at, is_stored=True
                )
            batch.error = None
        except StoreError as error:
            batch.error = error
        finally:
            if self._batch is batch:
                self._batch = None
            await batch.done.set()

    async def _store_all(self, keys: Iterable[str]) -> Millis:
        """Store tombstones, and repeat writes that got no answer.

        Returns:
            When they expire, on the local clock.
        """
        end = self._clock.now() + _WRITE_LIMIT_MS
        while True:
            try:
                lease = await self._try_store(keys)
            except StoreUncertain:
                if self._clock.now() >= end:
                    raise
                await curio.sleep(to_seconds(_RETRY_MS))
            else:
                return lease.ends_at

    async def _try_store(self, keys: Iterable[str]) -> _Lease:
        lease = await self._current_lease()
        written = await self._store.transact(
            Transaction(
                puts=tuple(
                    Put(key=key, value='{}', lease_id=lease.lease_id)
                    for key in keys
                )
            )
        )
        if isinstance(written, LeaseGone):
            self._lease = None
            raise StoreUncertain('the lease of the tombstones has ended')
        return lease

    async def _current_lease(self) -> _Lease:
        now = self._clock.now()
        lease = self._lease
        if lease is None or lease.ends_at - now < KEEP_MS:
            granted = await self._store.grant_lease(LEASE_MS)
            lease = _Lease(
                lease_id=granted.lease_id,
                ends_at=Millis(now + granted.ttl_ms),
            )
            self._lease = lease
        return lease

    def _forget_expired(self, now: Millis) -> None:
        for key, held in tuple(self._held.items()):
            if held.expires_at <= now:
                self._held.pop(key)
