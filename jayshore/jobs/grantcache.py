"""The grants of all teams as a leader has read them from the store."""

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
    """All grants, kept up to date by reading what has changed."""

    def __init__(self, *, store: Store) -> None:
        """Start without grants.

        Args:
            store: the platform's store.
        """
        self._store = store
        self._known: dict[str, StoredGrants] = {}
        self._seen = 0

    @property
    def records(self) -> Mapping[str, GrantRecord]:
        """The grants by team."""
        return {team: held.record for team, held in self._known.items()}

    async def sync(self) -> None:
        """Read what has changed; one call whatever the number of teams.

        Raises:
            GrantStoreError: the store gave no answer.
        """
        try:
            listing = await self._store.list(GRANT_PREFIX, since=self._seen)
        except StoreError as error:
            raise GrantStoreError(str(error)) from None
        for entry in listing.entries:
            self._note(entry)
        self._seen = max(self._seen, listing.revision)

    async def read(self, team: str) -> StoredGrants:
        """Look up a team's grants as of the last call of `sync`.

        Args:
            team: any team.

        Returns:
            The record and its revision.
        """
        return self._known.get(team, StoredGrants())

    async def write(
        self, team: str, record: GrantRecord, *, expect_revision: int
    ) -> GrantWriteOutcome:
        """Replace a team's grants if the revision is the expected one.

        Args:
            team: whose grants.
            record: the new grants.
            expect_revision: 0 when there must be none.

        Returns:
            What is known of the write.
        """
        key = f'{GRANT_PREFIX}{team}'
        try:
            result = await self._store.put(
                key, encode_grants(record), expect_revision=expect_revision
            )
            if isinstance(result, StoreWritten):
                self._known[team] = StoredGrants(
                    record=record, revision=result.revision
                )
                return GrantWritten(revision=result.revision)
            entry = await self._store.get(key)
        except StoreError:
            return GrantUncertain()
        if entry is not None:
            self._note(entry)
        return GrantConflict()

    def _note(self, entry: Entry) -> None:
        team = entry.key.removeprefix(GRANT_PREFIX)
        known = self._known.get(team, StoredGrants())
        if entry.revision > known.revision:
            self._known[team] = StoredGrants(
                record=decode_grants(entry.value), revision=entry.revision
            )
