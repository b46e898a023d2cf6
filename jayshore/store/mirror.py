"""Follows the keys under a prefix of the store."""

import abc

import curio
import eliot

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.store.store import Entry, Listing, Store, StoreError
from jayshore.store.transactions import HistoryLost

_RETRY_STEP_MS = Millis(200)
_NO_WAIT = Millis(0)
_FAILURES_PER_LOG_LINE = 10
_MAX_RETRY_MS = Millis(400)


class MirrorObserver(abc.ABC):
    """Receives the changes of the keys that a mirror follows."""

    @abc.abstractmethod
    async def changed(self, key: str, entry: Entry | None) -> None:
        """Handle the change of a key.

        Args:
            key: the key that changed.
            entry: its new entry, None when the key no longer exists.
        """


class Mirror:
    """Reports the keys under one prefix and their changes to an observer.

    The prefix is listed once and then followed by watches; errors of the store
    are retried after a linear backoff. When the store no longer holds the
    history after the last seen revision, the prefix is listed again, and known
    keys that are missing from that listing are reported as gone.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        prefix: str,
        observer: MirrorObserver,
        wait_ms: Millis,
        pause_ms: Millis = _NO_WAIT,
    ) -> None:
        """Create a mirror; it reads nothing before `run`.

        Args:
            store: the store.
            clock: measures the age of what was read last.
            prefix: common prefix of the keys.
            observer: receives the changes.
            wait_ms: longest wait of one watch, in ms; bounds the age while the
                store answers.
            pause_ms: pause after each watch, in ms, to collect changes.
        """
        self._store = store
        self._clock = clock
        self._prefix = prefix
        self._observer = observer
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._revisions: dict[str, int] = {}
        self._revision: int | None = None
        self._fresh_as_of: Millis | None = None
        self._loaded = curio.Event()

    @property
    def loaded(self) -> bool:
        """Whether the prefix has been listed once."""
        return bool(self._loaded.is_set())

    @property
    def age_ms(self) -> Millis | None:
        """Time since the last answered call began, None before the first."""
        if self._fresh_as_of is None:
            return None
        return Millis(self._clock.now() - self._fresh_as_of)

    async def wait_loaded(self) -> None:
        """Wait until the prefix has been listed once."""
        await self._loaded.wait()

    async def run(self) -> None:
        """List the prefix and follow its changes until cancelled."""
        failures = 0
        while True:
            # After a failure the watch doesn't wait for a change: the age
            # keeps growing until the store has answered.
            wait_ms = _NO_WAIT if failures else self._wait_ms
            try:
                await self._list_or_watch(wait_ms)
                failures = 0
            except HistoryLost:
                eliot.log_message('mirror:history_lost', prefix=self._prefix)
                self._revision = None
            except StoreError as error:
                failures += 1
                if failures % _FAILURES_PER_LOG_LINE == 1:
                    eliot.log_message(
                        'mirror:store_lost',
                        prefix=self._prefix,
                        error=str(error),
                    )
                pause = min(_MAX_RETRY_MS, _RETRY_STEP_MS * failures)
                await curio.sleep(to_seconds(Millis(pause)))

    async def _list_or_watch(self, wait_ms: Millis) -> None:
        started = self._clock.now()
        if self._revision is None:
            listing = await self._store.list(self._prefix)
            await self._apply_listing(listing)
            self._fresh_as_of = started
            await self._loaded.set()
            return
        listing = await self._store.watch(
            self._prefix, since=self._revision, wait_ms=wait_ms
        )
        await self._apply_changes(listing)
        self._fresh_as_of = max(started, self._fresh_as_of or started)
        if self._pause_ms:
            await curio.sleep(to_seconds(self._pause_ms))

    async def _apply_listing(self, listing: Listing) -> None:
        present = {entry.key for entry in listing.entries}
        gone = [key for key in self._revisions if key not in present]
        self._revision = listing.revision
        await self._report_entries(listing.entries)
        for key in gone:
            await self._report_removal(key)

    async def _apply_changes(self, listing: Listing) -> None:
        self._revision = max(listing.revision, self._revision or 0)
        await self._report_entries(listing.entries)
        for key in listing.deleted:
            await self._report_removal(key)

    async def _report_entries(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if self._revisions.get(entry.key, 0) < entry.revision:
                self._revisions[entry.key] = entry.revision
                await self._report(entry.key, entry)

    async def _report_removal(self, key: str) -> None:
        if self._revisions.pop(key, None) is not None:
            await self._report(key, None)

    async def _report(self, key: str, entry: Entry | None) -> None:
        """Report a change; one that fails does not hold up the others."""
        try:
            await self._observer.changed(key, entry)
        except Exception as error:
            eliot.write_traceback()
            eliot.log_message('mirror:entry_failed', key=key, error=repr(error))
