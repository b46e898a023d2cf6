"""Keeps a daemon's configuration up to date and applies new versions.

An apply makes two writes to the same key. The first announces that a new
version follows. A majority of the roster then promises to attest no version
until it has read a later write of the key. The second write commits the new
version by a compare-and-swap on the revision of the announcement.
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

# A live writer needs two writes and one round of promises; an announcement
# older than this is taken for that of a writer that died.
_ABANDONED_AFTER_MS = Millis(3000)
_SETTLE_POLL_MS = Millis(50)


class MalformedConfigError(StoreError):
    """The store holds a configuration that this release cannot decode.

    The read counts as failed: the daemon keeps the version that it holds, and
    refuses work that needs a key once its evidence from peers has expired.
    """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Applied:
    """The document was committed as this version."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionConflict:
    """The stored version is not the one that the operator expected."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoMajority:
    """Too few daemons promised; the configuration is unchanged."""

    promised: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ApplyUnsettled:
    """It is unknown whether the apply took effect; read the version again."""

    detail: str


ApplyOutcome: TypeAlias = (
    Applied | VersionConflict | NoMajority | ApplyUnsettled
)
AskPromises: TypeAlias = Callable[
    [Document, Document, int], Awaitable[Collection[str]]
]


class ConfigManager:
    """Holds the newest configuration seen and tracks its freshness."""

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
            freshness_ms: largest age of evidence at which keys are accepted.
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
        """The evidence, attestations and promise of this daemon."""
        return self._tracker

    @property
    def snapshot(self) -> Snapshot:
        """The newest version seen; the store may hold a newer one."""
        return self._snapshot

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last read of the store succeeded."""
        return self._store_reachable

    @property
    def held_for_ms(self) -> Millis:
        """Time since the current version was adopted, in ms."""
        return Millis(self._clock.now() - self._adopted_at)

    @property
    def needs_evidence(self) -> bool:
        """Whether the evidence is older than half the freshness bound."""
        return not self._tracker.is_fresh(
            now=self._clock.now(), bound_ms=Millis(self._freshness_ms // 2)
        )

    @property
    def is_fresh(self) -> bool:
        """Whether the evidence is recent enough to act on this version."""
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
        """Read the store once; on failure, note that it is unreachable."""
        try:
            await self._read()
        except StoreError as error:
            if self._store_reachable:
                eliot.log_message('config:store_error', error=str(error))
            self._store_reachable = False

    def adopt(self, stored: StoredConfig) -> None:
        """Adopt a committed version if it is newer than the one held.

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
        """Commit a document as the next version of the configuration.

        Args:
            document: the new document, already validated.
            expected_version: the version that it replaces.
            ask_promises: asks the rosters of the old and the new document for
                promises on a store revision; returns the names that promised.

        Returns:
            The outcome; errors of the store become ApplyUnsettled.
        """
        try:
            return await self._apply(document, expected_version, ask_promises)
        except StoreError as error:
            return ApplyUnsettled(detail=str(error))

    def committed_message(self) -> msg.ConfigCommitted:
        """Build the message that tells peers about the version held.

        Returns:
            The message, with the whole configuration.
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
        """Read the key, waiting while another daemon's announcement is open.

        Replacing that announcement would make the other apply fail although
        no new version exists. The announcement of a writer that died is
        withdrawn by `_withdraw_abandoned`, so the wait ends.
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
        """Collect promises; None with a write quorum, else who promised."""
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
        """Decide the outcome of a commit overwritten after a lost answer.

        Versions only grow: if the old one is still stored, the commit did not
        take effect. Otherwise it may have been in force briefly.
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
        """Read the key if it changed since the last read.

        The store does not send an unchanged document again, which may have
        a size of 1 MB.

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
        # Responses to concurrent reads may arrive in any order.
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
        """Withdraw the announcement of a dead writer, to close promises."""
        promise = self._tracker.promise
        if not stored.is_announced or promise is None:
            return
        age = self._clock.now() - promise.opened_at
        if age > _ABANDONED_AFTER_MS and promise.revision == revision:
            eliot.log_message('config:announcement_abandoned', age_ms=age)
            await self._put(_marked(stored, is_announced=False), revision)


def roster_of(document: Document) -> Roster:
    """Build the roster of a configuration.

    Args:
        document: a configuration.

    Returns:
        The names of its daemons.
    """
    return Roster(members=frozenset(entry.name for entry in document.instances))


def _decode(text: str) -> StoredConfig:
    decoded = decode_stored(text.encode())
    if isinstance(decoded, Faults):
        raise MalformedConfigError(
            f'{CONFIG_KEY} cannot be decoded: {decoded.faults[0]}'
        )
    return decoded


def _marked(stored: StoredConfig, *, is_announced: bool) -> StoredConfig:
    return dataclasses.replace(
        stored, is_announced=is_announced, write_id=new_write_id()
    )
