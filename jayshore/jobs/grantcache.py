"""A write-through cache of the grants of all teams in the store."""

from collections.abc import Mapping

from jayshore.quota.grants import (
    GrantRecord,
    decode_grants,
    encode_grants,
)
from jayshore.quota.reconciler import (
    GrantConflict,
    GrantStore,
    GrantStoreError,
    GrantUncertain,
    GrantWriteOutcome,
    GrantWritten,
    StoredGrants,
)
from jayshore.store.store import (
    Entry,
    Store,
    StoreError,
)
from jayshore.store.store import Written as StoreWritten

GRANT_PREFIX = 'grants/'


class GrantCache(GrantStore):
    """Caches all grants; `sync` reads the changes since the last read."""

    def __init__(self, *, store: Store) -> None:
        """Create an empty cache.

        Args:
            store: the platform's store.
        """
        self._store = store
        self._grants: dict[str, StoredGrants] = {}
        self._revision_seen = 0

    @property
    def records(self) -> Mapping[str, GrantRecord]:
        """The grants by team."""
        return {team: entry.record for team, entry in self._grants.items()}

    async def sync(self) -> None:
        """Read all changes with one store call, however many teams there are.

        Raises:
            GrantStoreError: the store could not be read.
        """
        try:
            listing = await self._store.list(
                GRANT_PREFIX, since=self._revision_seen
            )
        except StoreError as error:
            raise GrantStoreError(str(error)) from None
        for entry in listing.entries:
            self._update_entry(entry)
        self._revision_seen = max(self._revision_seen, listing.revision)

    async def read(self, team: str) -> StoredGrants:
        """Look up the cached grants of a team.

        Args:
            team: the team.

        Returns:
            The record and its revision; empty for a team without grants.
        """
        return self._grants.get(team, StoredGrants())

    async def write(
        self, team: str, record: GrantRecord, *, expect_revision: int
    ) -> GrantWriteOutcome:
        """Replace the grants of a team if their revision is the expected one.

        On a conflict the stored grants, if any, are read into the cache.

        Args:
            team: the team.
            record: the new grants.
            expect_revision: revision to replace, 0 for none.

        Returns:
            Whether the write was applied, conflicted or is uncertain.
        """
        key = f'{GRANT_PREFIX}{team}'
        try:
            result = await self._store.put(
                key, encode_grants(record), expect_revision=expect_revision
            )
            if isinstance(result, StoreWritten):
                self._grants[team] = StoredGrants(
                    record=record, revision=result.revision
                )
                return GrantWritten(revision=result.revision)
            entry = await self._store.get(key)
        except StoreError:
            return GrantUncertain()
        if entry is not None:
            self._update_entry(entry)
        return GrantConflict()

    def _update_entry(self, entry: Entry) -> None:
        team = entry.key.removeprefix(GRANT_PREFIX)
        known = self._grants.get(team, StoredGrants())
        if entry.revision > known.revision:
            self._grants[team] = StoredGrants(
                record=decode_grants(entry.value), revision=entry.revision
            )
