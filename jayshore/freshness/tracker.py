"""Evidence, attestations and promises of one daemon (design, section 4.4).

Why this is safe: a version v+1 is committed by a compare-and-swap on the
revision of its announcement, sent only after a majority of the roster of v
promised. A daemon that holds v and gathers attestations from a majority of the
same roster therefore asks at least one daemon that promised. That daemon
refuses: its promise is open until it has read a later revision of the key,
which is the commit itself. If it restarted and forgot the promise, it answers
only after a read of its own, and that read shows the announcement or a later
revision. So a majority of attestations asked for at time t proves that v+1 was
not committed before t.
"""

from jayshore.clock import Millis
from jayshore.freshness.evidence import (
    Attestation,
    Evidence,
    Promise,
    RelayedEvidence,
    StoreReading,
)
from jayshore.freshness.roster import Roster


class FreshnessTracker:
    """What one daemon knows since its start; it does no I/O.

    A new daemon process makes a new tracker: nothing survives a restart.
    """

    def __init__(self, *, name: str, started_at: Millis | None = None) -> None:
        """Start without any knowledge.

        Args:
            name: name of the daemon in the roster.
            started_at: when the process started. Older evidence is not used:
                before its restart the daemon may have acted on a version that
                was committed after that evidence.
        """
        self._started_at = started_at
        self._name = name
        self._version = 0
        self._roster = Roster()
        self._newest_heard = 0
        self._evidence: Evidence | None = None
        self._read_revision: int | None = None
        self._promise: Promise | None = None
        self._asked_at: dict[str, Millis] = {}

    @property
    def version(self) -> int:
        """The version that the daemon holds, 0 before the first."""
        return self._version

    @property
    def roster(self) -> Roster:
        """The roster of the version that the daemon holds."""
        return self._roster

    @property
    def promise(self) -> Promise | None:
        """The open promise.

        While the store can be read, a promise that stays open for long was
        left by a writer that died. Any daemon may then rewrite the key without
        the announcement: the orphaned write fails, and the promise closes with
        the next read.
        """
        return self._promise

    def adopt(self, *, version: int, roster: Roster) -> None:
        """Take over a committed version, read from the store or from a peer.

        Args:
            version: ignored when not newer than the version held.
            roster: the roster in that version.
        """
        self._newest_heard = max(self._newest_heard, version)
        if version > self._version:
            self._version = version
            self._roster = roster
            self._asked_at.clear()

    def record_store_read(
        self, *, reading: StoreReading, sent_at: Millis
    ) -> None:
        """Take note of a read of the store by this daemon itself.

        Args:
            reading: what the store returned.
            sent_at: when the read was sent; the store answered later.
        """
        self.adopt(version=reading.version, roster=reading.roster)
        self._strengthen(Evidence(version=reading.version, as_of=sent_at))
        if reading.revision < (self._read_revision or 0):
            return
        self._read_revision = reading.revision
        if self._promise and reading.revision > self._promise.revision:
            self._promise = None
        if reading.is_announced:
            self._open(Promise(revision=reading.revision, opened_at=sent_at))

    def record_relayed_evidence(
        self, *, relayed: RelayedEvidence, asked_at: Millis
    ) -> None:
        """Take note of evidence that a peer stated in an answer.

        The age counts from when the peer was asked: the answer may have been
        under way for any time, in which its evidence became older.

        Args:
            relayed: the peer's statement.
            asked_at: when this daemon sent the question.
        """
        self._newest_heard = max(self._newest_heard, relayed.version)
        self._strengthen(
            Evidence(
                version=relayed.version,
                as_of=Millis(asked_at - relayed.age_ms),
            )
        )

    def record_attestation(
        self, *, attestation: Attestation, asked_at: Millis
    ) -> None:
        """Take note of an answer, and of the majority it may complete.

        This daemon's own attestation is counted along with each answer.

        Args:
            attestation: the answer; its peer may be this daemon itself, which
                is of use where it is the whole roster.
            asked_at: when this daemon sent the question.
        """
        if not attestation.attests or attestation.version != self._version:
            return
        peer = attestation.peer
        if peer not in self._roster.members:
            return
        self._asked_at[peer] = max(asked_at, self._asked_at.get(peer, asked_at))
        if self._name in self._roster.members and self.may_attest(
            version=self._version
        ):
            self._asked_at[self._name] = asked_at
        newest_first = sorted(self._asked_at.values(), reverse=True)
        if len(newest_first) >= self._roster.majority:
            as_of = newest_first[self._roster.majority - 1]
            self._strengthen(Evidence(version=self._version, as_of=as_of))

    def may_attest(self, *, version: int) -> bool:
        """Tell whether this daemon may attest a version to a peer.

        Args:
            version: the version that the peer holds.

        Returns:
            False before the first own read of the store, with an open promise,
            and when a newer version is known.
        """
        return (
            self._read_revision is not None
            and self._promise is None
            and self._newest_heard <= version
        )

    def give_promise(self, *, revision: int, now: Millis) -> bool:
        """Promise a writer not to attest until its write is settled.

        Args:
            revision: store revision of the writer's announcement.
            now: the daemon's clock.

        Returns:
            False when this daemon has not yet read the store itself, or has
            read a later revision, so that the write cannot take effect.
        """
        if self._read_revision is None or self._read_revision > revision:
            return False
        self._open(Promise(revision=revision, opened_at=now))
        return True

    def age(self, now: Millis) -> Millis | None:
        """Compute the age of the best evidence for the version held.

        Args:
            now: the daemon's clock.

        Returns:
            Milliseconds, or None when there is no evidence or when a newer
            version is known.
        """
        is_superseded = self._newest_heard > self._version
        if self._evidence is None or is_superseded:
            return None
        return self._evidence.age(now)

    def is_fresh(self, *, now: Millis, bound_ms: Millis) -> bool:
        """Tell whether the daemon may act on fleet-wide facts.

        Args:
            now: the daemon's clock, read immediately before the action.
            bound_ms: greatest age of the evidence.

        Returns:
            True when the version held was the newest `bound_ms` ago.
        """
        age = self.age(now)
        return age is not None and age <= bound_ms

    def _strengthen(self, found: Evidence) -> None:
        """Keep the younger evidence.

        Evidence for an older version than the one held is valid as well:
        whatever supersedes the held version was committed later still.
        """
        if found.version > self._version:
            return
        if self._started_at is not None and found.as_of < self._started_at:
            return
        if self._evidence is None or found.as_of > self._evidence.as_of:
            self._evidence = found

    def _open(self, promise: Promise) -> None:
        """Keep the promise with the latest revision.

        A later announcement has replaced the earlier one, whose write fails.
        """
        if self._promise is None or promise.revision > self._promise.revision:
            self._promise = promise
