"""What a daemon knows and learns about the newest configuration version.

All times are readings of the daemon's own clock. Times of different daemons
are never compared; peers exchange ages only.
"""

import dataclasses

from jayshore.clock import Millis
from jayshore.freshness.roster import Roster


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """States that no version above `version` was committed before `as_of`.

    Attributes:
        version: the newest version at that time.
        as_of: time on the daemon's own clock, in ms.
    """

    version: int
    as_of: Millis

    def age(self, now: Millis) -> Millis:
        """Compute the age of the evidence.

        Args:
            now: present time on the daemon's clock, in ms.

        Returns:
            Milliseconds since `as_of`.
        """
        return Millis(now - self.as_of)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreReading:
    """The configuration key as a read of the store returned it.

    Attributes:
        version: version of the configuration.
        revision: store revision at which the key was last written.
        is_announced: whether the value announces a write of the next version.
        roster: the roster of this version.
    """

    version: int
    revision: int
    is_announced: bool
    roster: Roster


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Promise:
    """A promise not to attest while an announced write may take effect.

    Attributes:
        revision: store revision of the announcement. The write is a
            compare-and-swap on it, so it cannot take effect once a later
            revision of the key was seen.
        opened_at: when the daemon learned of the announcement, in ms on its
            own clock.
    """

    revision: int
    opened_at: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attestation:
    """A peer's answer to the question whether a version is the newest.

    Attributes:
        peer: name of the peer in the roster.
        version: the version that was asked about.
        attests: True when the peer has read the store, knows of no newer
            version and has no open promise.
    """

    peer: str
    version: int
    attests: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedEvidence:
    """A peer's own evidence, as stated in its answer.

    Attributes:
        version: the version that the peer holds.
        age_ms: age of the peer's evidence when it answered, in ms.
    """

    version: int
    age_ms: Millis
