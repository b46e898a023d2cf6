"""Keeps a copy of all keys under a prefix up to date."""

import abc

import curio
import eliot

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.store.store import Entry, Listing, Store, StoreError
from jayshore.store.transactions import HistoryLost

_RETRY_MS = Millis(200)
_NO_PAUSE = Millis(0)
_LOGGED_FAILURES = 10
_MAX_RETRY_MS = Millis(400)


class MirrorObserver(abc.ABC):
    """Is told of changes of the keys."""

    @abc.abstractmethod
    async def changed(self, key: str, entry: Entry | None) -> None:
        """Take a change over.

        Args:
            key: the key.
            entry: its new entry, None when the key is gone.
        """


class Mirror:
    """A copy of the keys under one prefix.

    The copy is read once and then kept by watches, with one retry rule. When
    the store has forgotten its history the prefix is read again, and keys that
    are missing then are reported as gone.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        prefix: str,
        observer: MirrorObserver,
        wait_ms: Millis,
        pause_ms: Millis = _NO_PAUSE,
    ) -> None:
        """Prepare a copy.

        Args:
            store: the store.
            clock: measures the age of the copy.
            prefix: start of the keys.
            observer: is told of changes.
            wait_ms: how long one watch waits; bounds the age of the copy.
            pause_ms: pause between watches, to gather changes.
        """
        self._store = store
        self._clock = clock
        self._prefix = prefix
        self._observer = observer
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._revisions: dict[str, int] = {}
        self._revision: int | None = None
        self._fresh_at: Millis | None = None
        self._loaded = curio.Event()

    @property
    def loaded(self) -> bool:
        """Whether the prefix has been read once."""
        return bool(self._loaded.is_set())

    @property
    def age_ms(self) -> Millis | None:
        """Time since the store last answered, None before the first time."""
        if self._fresh_at is None:
            return None
        return Millis(self._clock.now() - self._fresh_at)

    async def wait_loaded(self) -> None:
        """Wait until the prefix has been read once."""
        await self._loaded.wait()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        failures = 0
        while True:
            # The first answer after an outage must not wait for a change, as
            # the copy counts as old until it comes.
            wait_ms = _NO_PAUSE if failures else self._wait_ms
            try:
                await self._follow(wait_ms)
                failures = 0
            except HistoryLost:
                eliot.log_message('mirror:history_lost', prefix=self._prefix)
                self._revision = None
            except StoreError as error:
                failures += 1
                if failures % _LOGGED_FAILURES == 1:
                    eliot.log_message(
                        'mirror:store_lost',
                        prefix=self._prefix,
                        error=str(error),
                    )
                pause = min(_MAX_RETRY_MS, _RETRY_MS * failures)
                await curio.sleep(to_seconds(Millis(pause)))

    async def _follow(self, wait_ms: Millis) -> None:
        started = self._clock.now()
        if self._revision is None:
            listing = await self._store.list(self._prefix)
            await self._replace(listing)
            self._fresh_at = started
            await self._loaded.set()
            return
        listing = await self._store.watch(
            self._prefix, since=self._revision, wait_ms=wait_ms
        )
        await self._apply(listing)
        self._fresh_at = max(started, self._fresh_at or started)
        if self._pause_ms:
            await curio.sleep(to_seconds(self._pause_ms))

    async def _replace(self, listing: Listing) -> None:
        present = {entry.key for entry in listing.entries}
        gone = [key for key in self._revisions if key not in present]
        self._revision = listing.revision
        await self._take(listing.entries)
        for key in gone:
            await self._remove(key)

    async def _apply(self, listing: Listing) -> None:
        self._revision = max(listing.revision, self._revision or 0)
        await self._take(listing.entries)
        for key in listing.deleted:
            await self._remove(key)

    async def _take(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if self._revisions.get(entry.key, 0) < entry.revision:
                self._revisions[entry.key] = entry.revision
                await self._observer.changed(entry.key, entry)

    async def _remove(self, key: str) -> None:
        if self._revisions.pop(key, None) is not None:
            await self._observer.changed(key, None)
