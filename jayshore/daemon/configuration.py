"""The configuration as one daemon holds it: polled, attested, and applied.

An apply takes two writes of the same key. The first announces the new version;
a majority of the roster then promises to attest nothing until it has seen a
later write of the key; the second is a compare-and-swap on the announcement.
"""

import dataclasses
from collections.abc import Awaitable, Callable, Collection
from typing import TypeAlias

import curio
import eliot

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.config.document import Document
from jayshore.config.snapshot import Snapshot
from jayshore.config.stored import (
    INITIAL_CONFIG,
    StoredConfig,
    decode_stored,
    encode_stored,
)
from jayshore.decoding import Faults
from jayshore.freshness.evidence import StoreReading
from jayshore.freshness.roster import Roster, has_write_quorum
from jayshore.freshness.tracker import FreshnessTracker
from jayshore.store.store import Store, StoreError, Written
from jayshore.store.writeresolver import (
    ResolvedWrite,
    Superseded,
    Write,
    WriteResolver,
    new_write_id,
)
from jayshore.wire import messages as msg

CONFIG_KEY = 'config/current'
"""Store key of the configuration."""

# A writer needs two writes and one round of promises; an announcement that is
# older than this was left by a writer that died.
_ABANDONED_AFTER_MS = Millis(3000)
_SETTLE_POLL_MS = Millis(50)


class MalformedConfigError(StoreError):
    """The store holds a value that this release does not understand.

    It counts as no answer: the daemon goes on with the version that it holds
    while evidence from others lasts, and accepts no keyed work after that.
    """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Applied:
    """The document is the accepted configuration."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionConflict:
    """Another version was accepted since the operator looked."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoMajority:
    """Too few daemons of the roster promised; nothing was changed."""

    promised: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ApplyUnsettled:
    """The store did not answer; the operator has to look again."""

    detail: str


ApplyOutcome: TypeAlias = (
    Applied | VersionConflict | NoMajority | ApplyUnsettled
)
AskPromises: TypeAlias = Callable[
    [Document, Document, int], Awaitable[Collection[str]]
]


class ConfigManager:
    """Holds the newest configuration that this daemon has seen."""

    def __init__(
        self,
        *,
        name: str,
        store: Store,
        write_resolver: WriteResolver,
        clock: Clock,
        freshness_ms: Millis,
    ) -> None:
        """Start without a configuration.

        Args:
            name: name of this daemon in the roster.
            store: the platform's store.
            write_resolver: resolves lost answers of writes.
            clock: measures the age of evidence.
            freshness_ms: oldest evidence on which keyed work is accepted.
        """
        self._name = name
        self._store = store
        self._write_resolver = write_resolver
        self._clock = clock
        self._freshness_ms = freshness_ms
        self._tracker = FreshnessTracker(name=name, started_at=clock.now())
        self._snapshot = INITIAL_CONFIG.snapshot
        self._store_reachable = False
        self._adopted_at = clock.now()
        self._stored = INITIAL_CONFIG
        self._key_revision = 0
        self._list_revision = 0

    @property
    def tracker(self) -> FreshnessTracker:
        """Evidence, attestations and promises of this daemon."""
        return self._tracker

    @property
    def snapshot(self) -> Snapshot:
        """The newest version seen, which need not be the newest there is."""
        return self._snapshot

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last read of the store was answered."""
        return self._store_reachable

    @property
    def held_for_ms(self) -> Millis:
        """How long the version held has been held."""
        return Millis(self._clock.now() - self._adopted_at)

    @property
    def needs_evidence(self) -> bool:
        """Whether half of the time in which evidence counts has passed."""
        return not self._tracker.is_fresh(
            now=self._clock.now(), bound_ms=Millis(self._freshness_ms // 2)
        )

    @property
    def is_fresh(self) -> bool:
        """Whether fleet-wide facts may be acted on now."""
        return self._tracker.is_fresh(
            now=self._clock.now(), bound_ms=self._freshness_ms
        )

    async def poll(self, interval_ms: Millis) -> None:
        """Read the store at a fixed interval until cancelled.

        Args:
            interval_ms: pause between two reads.
        """
        while True:
            await self.refresh()
            await curio.sleep(to_seconds(interval_ms))

    async def refresh(self) -> None:
        """Read the store once and take note of the result."""
        try:
            await self._read()
        except StoreError as error:
            if self._store_reachable:
                eliot.log_message('config:store_error', error=str(error))
            self._store_reachable = False

    def adopt(self, stored: StoredConfig) -> None:
        """Take over a committed version.

        Args:
            stored: read from the store, or sent by the peer that wrote it.
        """
        self._tracker.adopt(
            version=stored.version, roster=roster_of(stored.document)
        )
        if stored.version > self._snapshot.version:
            self._snapshot = stored.snapshot
            self._adopted_at = self._clock.now()
            eliot.log_message('config:adopted', version=stored.version)

    async def apply(
        self,
        document: Document,
        *,
        expected_version: int,
        ask_promises: AskPromises,
    ) -> ApplyOutcome:
        """Make a document the accepted configuration.

        Args:
            document: the new document, already checked.
            expected_version: the version that the operator last saw.
            ask_promises: asks the rosters of the old and the new document for
                promises on a store revision; returns the names that promised.

        Returns:
            What became of it.
        """
        try:
            return await self._apply(document, expected_version, ask_promises)
        except StoreError as error:
            return ApplyUnsettled(detail=str(error))

    def committed_message(self) -> msg.ConfigCommitted:
        """Make the message that tells peers of the version held.

        Returns:
            The whole configuration with its version.
        """
        stored = StoredConfig(
            version=self._snapshot.version,
            document=self._snapshot.document,
            write_id=self._snapshot.write_id,
        )
        return msg.ConfigCommitted(
            version=stored.version, document=encode_stored(stored)
        )

    async def _apply(
        self,
        document: Document,
        expected_version: int,
        ask_promises: AskPromises,
    ) -> ApplyOutcome:
        current, revision = await self._read_settled()
        if current.version != expected_version:
            return VersionConflict(version=current.version)
        proposed = StoredConfig(
            version=current.version + 1,
            document=document,
            write_id=new_write_id(),
        )
        if current.version:
            announced = await self._put(
                _marked(current, is_announced=True), revision
            )
            if announced is None:
                return await self._version_conflict()
            revision = announced
            promised = await self._collect_promises(
                current.document, document, revision, ask_promises
            )
            if promised is not None:
                await self._put(_marked(current, is_announced=False), revision)
                return NoMajority(promised=promised)
        committed = await self._resolve_write(proposed, revision)
        if isinstance(committed, Superseded):
            return await self._overwritten_outcome(current.version)
        if not isinstance(committed, Written):
            return await self._version_conflict()
        self.adopt(proposed)
        await self.refresh()
        return Applied(version=proposed.version)

    async def _read_settled(self) -> tuple[StoredConfig, int]:
        """Wait until the write that another daemon announced is settled.

        Replacing its announcement would make it fail although no new version
        exists. An announcement of a writer that died is withdrawn in time.
        """
        current, revision = await self._read()
        while current.is_announced:
            await curio.sleep(to_seconds(_SETTLE_POLL_MS))
            current, revision = await self._read()
        return current, revision

    async def _collect_promises(
        self,
        old: Document,
        new: Document,
        revision: int,
        ask_promises: AskPromises,
    ) -> tuple[str, ...] | None:
        """Gather promises.

        Returns:
            None when a majority promised, else those that did.
        """
        promised = set(await ask_promises(old, new, revision))
        if self._tracker.give_promise(revision=revision, now=self._clock.now()):
            promised.add(self._name)
        if has_write_quorum(
            promised=promised,
            old=roster_of(old),
            new=roster_of(new),
        ):
            return None
        return tuple(sorted(promised))

    async def _version_conflict(self) -> VersionConflict:
        current, _ = await self._read()
        return VersionConflict(version=current.version)

    async def _overwritten_outcome(self, version: int) -> ApplyOutcome:
        """Judge a commit that was overwritten after its answer was lost.

        Versions only grow: while the old one is still there, the commit did
        not take effect. Otherwise it may have been in force for a moment.
        """
        current, _ = await self._read()
        if current.version == version:
            return VersionConflict(version=version)
        return ApplyUnsettled(
            detail=f'version {current.version} may have replaced it'
        )

    async def _put(self, stored: StoredConfig, revision: int) -> int | None:
        result = await self._resolve_write(stored, revision)
        return result.revision if isinstance(result, Written) else None

    async def _resolve_write(
        self, stored: StoredConfig, revision: int
    ) -> ResolvedWrite:
        return await self._write_resolver.resolve_write(
            Write(
                key=CONFIG_KEY,
                value=encode_stored(stored).decode(),
                expect_revision=revision,
            ),
            limit_ms=self._freshness_ms,
        )

    async def _read(self) -> tuple[StoredConfig, int]:
        """Read what changed since the last read.

        An unchanged document is not sent again: it may have a megabyte.

        Returns:
            The value of the key and the revision of its last write.
        """
        sent_at = self._clock.now()
        listing = await self._store.list(CONFIG_KEY, since=self._list_revision)
        for entry in listing.entries:
            if entry.revision > self._key_revision:
                self._stored = _decode(entry.value)
                self._key_revision = entry.revision
        self._store_reachable = True
        # Answers of concurrent reads may arrive in any order.
        self._list_revision = max(self._list_revision, listing.revision)
        self.adopt(self._stored)
        self._tracker.record_store_read(
            reading=StoreReading(
                version=self._stored.version,
                revision=self._key_revision,
                is_announced=self._stored.is_announced,
                roster=roster_of(self._stored.document),
            ),
            sent_at=sent_at,
        )
        await self._withdraw_abandoned(self._stored, self._key_revision)
        return self._stored, self._key_revision

    async def _withdraw_abandoned(
        self, stored: StoredConfig, revision: int
    ) -> None:
        """Withdraw an announcement whose writer died, so promises close."""
        promise = self._tracker.promise
        if not stored.is_announced or promise is None:
            return
        age = self._clock.now() - promise.opened_at
        if age > _ABANDONED_AFTER_MS and promise.revision == revision:
            eliot.log_message('config:announcement_abandoned', age_ms=age)
            await self._put(_marked(stored, is_announced=False), revision)


def roster_of(document: Document) -> Roster:
    """Collect the names of the daemons.

    Args:
        document: a configuration.

    Returns:
        Its roster.
    """
    return Roster(members=frozenset(entry.name for entry in document.instances))


def _decode(text: str) -> StoredConfig:
    decoded = decode_stored(text.encode())
    if isinstance(decoded, Faults):
        raise MalformedConfigError(
            f'{CONFIG_KEY} is malformed: {decoded.faults[0]}'
        )
    return decoded


def _marked(stored: StoredConfig, *, is_announced: bool) -> StoredConfig:
    return dataclasses.replace(
        stored, is_announced=is_announced, write_id=new_write_id()
    )
