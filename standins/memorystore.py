"""In-memory transaction store with injectable faults.

It replaces the platform's store in tests that need no network, and holds the
state of the stand-in that speaks the platform's protocol.
"""

import dataclasses

import curio

from jayshore.clock import Clock, Millis, MonotonicClock, to_seconds
from jayshore.store.store import (
    Entry,
    LeaseGone,
    Listing,
    RenewResult,
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
    TransactionResult,
    TransactionStore,
)

_POLL_MS = Millis(2)
_SILENT_CALL_MS = Millis(60_000)


@dataclasses.dataclass(kw_only=True, slots=True)
class MemoryStoreFaults:
    """Injected faults; tests change them while the store is in use.

    Attributes:
        down: calls are refused.
        lose_answers: number of writes that are applied without an answer.
        late_ms: delay until a write without an answer is applied, in ms.
        silent: calls get no answer.
        answer_ms: delay of every call, in ms.
        max_value_bytes: size above which a value is refused, None for none.
    """

    down: bool = False
    lose_answers: int = 0
    late_ms: Millis = Millis(0)
    silent: bool = False
    answer_ms: Millis = Millis(0)
    max_value_bytes: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Change:
    revision: int
    key: str
    value: str | None
    lease_id: int | None = None


class MemoryStore(TransactionStore):
    """In-memory store that several clients may share.

    Attributes:
        faults: the injected faults.
        calls: number of calls by kind.
    """

    def __init__(self, *, clock: Clock | None = None) -> None:
        """Create a store without keys.

        Args:
            clock: clock of leases and waits; monotonic time by default.
        """
        self.faults = MemoryStoreFaults()
        self.calls: dict[str, int] = {}
        self._clock = clock or MonotonicClock()
        self._revision = 1
        self._items: dict[str, _Change] = {}
        self._history: list[_Change] = []
        self._history_lost_before = 0
        self._leases: dict[int, tuple[Millis, Millis]] = {}
        self._next_lease = 1

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def values(self, prefix: str) -> dict[str, str]:
        """Read keys directly, without counting a call or applying faults.

        Args:
            prefix: prefix of the keys.

        Returns:
            Values by key.
        """
        self._expire_leases()
        return {
            key: change.value or ''
            for key, change in sorted(self._items.items())
            if key.startswith(prefix)
        }

    def write(self, key: str, value: str | None) -> int:
        """Write a key directly, on behalf of the operator or a worker.

        Args:
            key: the key.
            value: the value, None to remove the key.

        Returns:
            The revision of the change.
        """
        self._expire_leases()
        self._revision += 1
        self._apply(key, value, None)
        return self._revision

    def forget_history(self) -> None:
        """Drop the history, so that watchers have to list the keys again."""
        self._history_lost_before = self._revision
        self._history.clear()

    async def get(self, key: str) -> Entry | None:
        """Read one key.

        Args:
            key: the key.

        Returns:
            The entry, or None if the key does not exist.
        """
        await self._begin_call('get')
        change = self._items.get(key)
        return None if change is None else _to_entry(change)

    async def list(self, prefix: str, *, since: int = 0) -> Listing:
        """Read the keys under a prefix.

        Args:
            prefix: prefix of the keys.
            since: ignored.

        Returns:
            All entries.
        """
        await self._begin_call('list')
        return Listing(
            revision=self._revision,
            entries=tuple(
                _to_entry(change)
                for key, change in sorted(self._items.items())
                if key.startswith(prefix)
            ),
        )

    async def watch(
        self, prefix: str, *, since: int, wait_ms: Millis
    ) -> Listing:
        """Wait until something changes under a prefix.

        Args:
            prefix: prefix of the keys.
            since: wait for a change after this revision.
            wait_ms: longest wait, in ms.

        Returns:
            The last change of each changed key; none after the longest wait.

        Raises:
            HistoryLost: the history does not go back to this revision.
        """
        await self._begin_call('watch')
        end = self._clock.now() + wait_ms
        while True:
            if since < self._history_lost_before:
                raise HistoryLost(f'no history after {since}')
            latest = {
                change.key: change
                for change in self._history
                if change.revision > since and change.key.startswith(prefix)
            }
            if latest or self._clock.now() >= end:
                return _to_listing(self._revision, latest)
            await curio.sleep(to_seconds(_POLL_MS))
            await self._check_available()

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply a transaction if all its conditions hold.

        Args:
            transaction: conditions and changes.

        Returns:
            The revision of the write, or why it was not applied.

        Raises:
            StoreRejected: a value is too large.
            StoreUncertain: the answer is lost.
        """
        await self._begin_call('transact')
        limit = self.faults.max_value_bytes
        if limit is not None and any(
            len(put.value.encode()) > limit for put in transaction.puts
        ):
            raise StoreRejected('a value is too large')
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await curio.spawn(
                self._apply_late, transaction, self.faults.late_ms, daemon=True
            )
            raise StoreUncertain('the answer is lost')
        return self._commit(transaction)

    async def grant_lease(self, ttl_ms: Millis) -> StoreLease:
        """Grant a new lease.

        Args:
            ttl_ms: time to live, in ms.

        Returns:
            The lease.
        """
        await self._begin_call('grant_lease')
        lease_id = self._next_lease
        self._next_lease += 1
        self._leases[lease_id] = (Millis(self._clock.now() + ttl_ms), ttl_ms)
        return StoreLease(lease_id=lease_id, ttl_ms=ttl_ms)

    async def renew_lease(self, lease_id: int) -> RenewResult:
        """Renew a lease for another time to live.

        Args:
            lease_id: the lease.

        Returns:
            The lease, or `LeaseGone` if it has ended.
        """
        await self._begin_call('renew_lease')
        if lease_id not in self._leases:
            return LeaseGone(lease_id=lease_id)
        ttl_ms = self._leases[lease_id][1]
        self._leases[lease_id] = (Millis(self._clock.now() + ttl_ms), ttl_ms)
        return StoreLease(lease_id=lease_id, ttl_ms=ttl_ms)

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys.

        Args:
            lease_id: the lease.
        """
        await self._begin_call('revoke_lease')
        self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> None:
        """End a lease directly, and delete its keys.

        Args:
            lease_id: the lease; it need not exist any more.
        """
        self._leases.pop(lease_id, None)
        self._revision += 1
        for key in [
            key
            for key, change in self._items.items()
            if change.lease_id == lease_id
        ]:
            self._apply(key, None, None)

    async def _begin_call(self, kind: str) -> None:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        await curio.sleep(to_seconds(self.faults.answer_ms))
        await self._check_available()
        self._expire_leases()

    async def _check_available(self) -> None:
        if self.faults.silent:
            await curio.sleep(to_seconds(_SILENT_CALL_MS))
        if self.faults.down:
            raise StoreUnavailable('the store is down')

    async def _apply_late(
        self, transaction: Transaction, delay: Millis
    ) -> None:
        await curio.sleep(to_seconds(delay))
        self._commit(transaction)

    def _commit(self, transaction: Transaction) -> TransactionResult:
        self._expire_leases()
        revisions = {
            key: self._items[key].revision if key in self._items else 0
            for key, _ in transaction.expected
        }
        if any(revisions[key] != rev for key, rev in transaction.expected):
            return Mismatch(revisions=revisions)
        for put in transaction.puts:
            if put.lease_id and put.lease_id not in self._leases:
                return LeaseGone(lease_id=put.lease_id)
        self._revision += 1
        for change in transaction.puts:
            self._apply(change.key, change.value, change.lease_id)
        for key in transaction.removals:
            if key in self._items:
                self._apply(key, None, None)
        return Written(revision=self._revision)

    def _apply(self, key: str, value: str | None, lease_id: int | None) -> None:
        change = _Change(
            revision=self._revision, key=key, value=value, lease_id=lease_id
        )
        self._history.append(change)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = change

    def _expire_leases(self) -> None:
        now = self._clock.now()
        for lease_id, (expires_at, _) in tuple(self._leases.items()):
            if expires_at <= now:
                self.end_lease(lease_id)


def _to_entry(change: _Change) -> Entry:
    return Entry(
        key=change.key, value=change.value or '', revision=change.revision
    )


def _to_listing(revision: int, latest: dict[str, _Change]) -> Listing:
    return Listing(
        revision=revision,
        entries=tuple(
            _to_entry(change)
            for change in latest.values()
            if change.value is not None
        ),
        deleted=tuple(
            change.key for change in latest.values() if change.value is None
        ),
    )
