"""State of the store stand-in: keys, revisions and leases.

It does no I/O and reads no clock; the caller passes the time.
"""

import dataclasses

from sortedcontainers import SortedDict

from jayshore.clock import Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """A key with its value and the revision of its last write."""

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Keys under a prefix that changed since a revision."""

    revision: int
    entries: tuple[Entry, ...]
    deleted: tuple[str, ...]


class RevisionMismatch(Exception):
    """The key is not at the revision that a write expects."""

    def __init__(self, *, revision: int) -> None:
        """Create the error.

        Args:
            revision: the key's revision, 0 if it does not exist.
        """
        super().__init__(f'the key is at revision {revision}')
        self.revision = revision


class LeaseUnknown(Exception):
    """The lease does not exist or has ended."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Lease:
    ttl_ms: int
    expires_ms: int
    keys: set[str] = dataclasses.field(default_factory=set)


class KeyValueState:
    """Keys with compare-and-swap writes, leases and revisions of changes.

    Attributes:
        revision: revision of the last change.
    """

    def __init__(self) -> None:
        """Create an empty state at revision 0."""
        self.revision = 0
        self._entries: SortedDict = SortedDict()
        self._lease_of: dict[str, int] = {}
        # Key by the revision of its latest change, deletions included.
        self._changes: SortedDict = SortedDict()
        self._changed_at: dict[str, int] = {}
        self._leases: dict[int, _Lease] = {}
        self._last_lease_id = 0

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, None if it does not exist."""
        entry: Entry | None = self._entries.get(key)
        return entry

    def put(
        self, key: str, value: str, expect_revision: int, lease_id: int | None
    ) -> int:
        """Write a key if it is at the expected revision.

        Returns:
            The revision of the write.

        Raises:
            LeaseUnknown: the lease does not exist.
        """
        if lease_id is not None and lease_id not in self._leases:
            raise LeaseUnknown(f'lease {lease_id} is gone')
        self._check_revision(key, expect_revision)
        self._detach_lease(key)
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)
            self._lease_of[key] = lease_id
        revision = self._record_change(key)
        self._entries[key] = Entry(key=key, value=value, revision=revision)
        return revision

    def delete(self, key: str, expect_revision: int) -> int:
        """Delete a key if it is at the expected revision.

        Returns:
            The revision of the deletion, or the current one if the key does
            not exist.
        """
        self._check_revision(key, expect_revision)
        if key not in self._entries:
            return self.revision
        return self._remove(key)

    def read_changes(self, prefix: str, since: int) -> Listing:
        """Read the changes under a prefix after a revision.

        Returns:
            Entries and deleted keys in the order of their revisions; without
            deleted keys if `since` is 0.
        """
        keys = [
            self._changes[revision]
            for revision in self._changes.irange(minimum=since + 1)
            if self._changes[revision].startswith(prefix)
        ]
        deleted = tuple(key for key in keys if key not in self._entries)
        return Listing(
            revision=self.revision,
            entries=tuple(
                self._entries[key] for key in keys if key in self._entries
            ),
            deleted=deleted if since else (),
        )

    def grant_lease(self, ttl_ms: int, now: Millis) -> int:
        """Grant a lease.

        Returns:
            The id of the lease.
        """
        self._last_lease_id += 1
        self._leases[self._last_lease_id] = _Lease(
            ttl_ms=ttl_ms, expires_ms=now + ttl_ms
        )
        return self._last_lease_id

    def renew_lease(self, lease_id: int, now: Millis) -> int:
        """Renew a lease for another time to live.

        Returns:
            The time to live, in ms.
        """
        lease = self._find_lease(lease_id)
        lease.expires_ms = now + lease.ttl_ms
        return lease.ttl_ms

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        lease = self._find_lease(lease_id)
        for key in sorted(lease.keys):
            self._remove(key)
        del self._leases[lease_id]

    def expire_leases(self, now: Millis) -> None:
        """End the expired leases and delete their keys."""
        for lease_id, lease in tuple(self._leases.items()):
            if lease.expires_ms <= now:
                self.revoke_lease(lease_id)

    def _find_lease(self, lease_id: int) -> _Lease:
        try:
            return self._leases[lease_id]
        except KeyError:
            raise LeaseUnknown(f'lease {lease_id} is gone') from None

    def _check_revision(self, key: str, expect_revision: int) -> None:
        entry = self._entries.get(key)
        revision = entry.revision if entry else 0
        if revision != expect_revision:
            raise RevisionMismatch(revision=revision)

    def _detach_lease(self, key: str) -> None:
        lease_id = self._lease_of.pop(key, None)
        if lease_id is not None:
            self._leases[lease_id].keys.discard(key)

    def _remove(self, key: str) -> int:
        del self._entries[key]
        self._detach_lease(key)
        return self._record_change(key)

    def _record_change(self, key: str) -> int:
        self.revision += 1
        self._changes.pop(self._changed_at.get(key, 0), None)
        self._changes[self.revision] = key
        self._changed_at[key] = self.revision
        return self.revision
