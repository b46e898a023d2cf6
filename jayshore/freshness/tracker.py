"""Evidence, attestations and promises of one daemon (design, section 4.4).

Safety argument: a version v+1 is committed by a compare-and-swap on the
revision of its announcement, sent only after a majority of the roster of v has
promised. A daemon that holds v and gathers attestations from a majority of the
same roster therefore asks at least one daemon that has promised. That daemon
refuses to attest: its promise stays open until it has read a later revision of
the key, which is the commit itself. If it restarted and lost the promise, it
attests only after a read of its own, and that read shows the announcement or a
later revision. So a majority of attestations requested at time t proves that
v+1 was not committed before t.
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
    """Tracks what one daemon knows of the newest version; does no I/O.

    All state is lost with the process: a restarted daemon has a new tracker.
    """

    def __init__(self, *, name: str, started_at: Millis | None = None) -> None:
        """Create a tracker that holds no version and no evidence.

        Args:
            name: name of the daemon in the roster.
            started_at: when the process started, or None. Older evidence is
                not used: before its restart the daemon may have acted on a
                version that was committed after that evidence.
        """
        self._started_at = started_at
        self._name = name
        self._version = 0
        self._roster = Roster()
        self._newest_known_version = 0
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
        """The open promise, or None.

        A promise that stays open for long while the store can be read was left
        by a writer that died. Any daemon may then rewrite the key without the
        announcement: the orphaned write fails, and the promise is closed by the
        next read.
        """
        return self._promise

    def adopt(self, *, version: int, roster: Roster) -> None:
        """Adopt a committed version, read from the store or from a peer.

        Args:
            version: the version; ignored when not newer than the one held.
            roster: the roster of that version.
        """
        self._newest_known_version = max(self._newest_known_version, version)
        if version > self._version:
            self._version = version
            self._roster = roster
            self._asked_at.clear()

    def record_store_read(
        self, *, reading: StoreReading, sent_at: Millis
    ) -> None:
        """Process a read of the store by this daemon itself.

        Args:
            reading: the key as the store returned it.
            sent_at: when the read was sent; the store answered later.
        """
        self.adopt(version=reading.version, roster=reading.roster)
        self._keep_newest_evidence(
            Evidence(version=reading.version, as_of=sent_at)
        )
        if reading.revision < (self._read_revision or 0):
            return
        self._read_revision = reading.revision
        if self._promise and reading.revision > self._promise.revision:
            self._promise = None
        if reading.is_announced:
            self._open_promise(
                Promise(revision=reading.revision, opened_at=sent_at)
            )

    def record_relayed_evidence(
        self, *, relayed: RelayedEvidence, asked_at: Millis
    ) -> None:
        """Process evidence that a peer stated in an answer.

        The stated age is counted from when the peer was asked, as the answer
        may have been delayed for any time, during which the evidence aged.

        Args:
            relayed: the peer's statement.
            asked_at: when this daemon sent the question.
        """
        self._newest_known_version = max(
            self._newest_known_version, relayed.version
        )
        self._keep_newest_evidence(
            Evidence(
                version=relayed.version,
                as_of=Millis(asked_at - relayed.age_ms),
            )
        )

    def record_attestation(
        self, *, attestation: Attestation, asked_at: Millis
    ) -> None:
        """Process an attestation, which may complete a majority.

        This daemon's own attestation is counted along with each answer.

        Args:
            attestation: the answer; its peer may be this daemon itself, which
                is needed when it is the only member of the roster.
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
            self._keep_newest_evidence(
                Evidence(version=self._version, as_of=as_of)
            )

    def may_attest(self, *, version: int) -> bool:
        """Tell whether this daemon may attest a version to a peer.

        Args:
            version: the version that the peer holds.

        Returns:
            False before this daemon's first read of the store, while a promise
            is open, and when a newer version is known.
        """
        return (
            self._read_revision is not None
            and self._promise is None
            and self._newest_known_version <= version
        )

    def give_promise(self, *, revision: int, now: Millis) -> bool:
        """Promise a writer not to attest until its write has an outcome.

        Args:
            revision: store revision of the writer's announcement.
            now: present time on the daemon's clock, in ms.

        Returns:
            False when this daemon has not yet read the store itself, or has
            read a later revision, so that the write cannot take effect.
        """
        if self._read_revision is None or self._read_revision > revision:
            return False
        self._open_promise(Promise(revision=revision, opened_at=now))
        return True

    def age(self, now: Millis) -> Millis | None:
        """Compute the age of the newest evidence for the version held.

        Args:
            now: present time on the daemon's clock, in ms.

        Returns:
            Age in ms, or None when there is no evidence or when a newer
            version is known.
        """
        is_superseded = self._newest_known_version > self._version
        if self._evidence is None or is_superseded:
            return None
        return self._evidence.age(now)

    def is_fresh(self, *, now: Millis, bound_ms: Millis) -> bool:
        """Tell whether the daemon may act on the configuration it holds.

        Args:
            now: time on the daemon's clock, read immediately before the action.
            bound_ms: maximum age of the evidence, in ms.

        Returns:
            True when there is evidence that the version held was the newest at
            a time no more than `bound_ms` ago.
        """
        age = self.age(now)
        return age is not None and age <= bound_ms

    def _keep_newest_evidence(self, candidate: Evidence) -> None:
        """Replace the evidence if the candidate is newer.

        Evidence for an older version than the one held is valid as well:
        a version that supersedes the one held was committed even later.
        """
        if candidate.version > self._version:
            return
        if self._started_at is not None and candidate.as_of < self._started_at:
            return
        if self._evidence is None or candidate.as_of > self._evidence.as_of:
            self._evidence = candidate

    def _open_promise(self, promise: Promise) -> None:
        """Keep the promise for the latest announcement.

        A later announcement replaces the earlier one, whose write then fails.
        """
        if self._promise is None or promise.revision > self._promise.revision:
            self._promise = promise
