"""What a daemon knows about the newest version, and what it is told.

All instants are readings of the daemon's own clock. Instants of different
daemons are never compared; peers exchange ages only.
"""

import dataclasses

from jayshore.clock import Millis
from jayshore.freshness.roster import Roster


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """No version above `version` was committed before `as_of`.

    Attributes:
        version: the version that was the newest.
        as_of: instant on the daemon's own clock.
    """

    version: int
    as_of: Millis

    def age(self, now: Millis) -> Millis:
        """Compute how old the evidence is.

        Args:
            now: the daemon's clock.

        Returns:
            Milliseconds since `as_of`.
        """
        return Millis(now - self.as_of)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreReading:
    """The configuration key as the store returned it.

    Attributes:
        version: version of the configuration.
        revision: store revision at which the key was last written.
        is_announced: whether the value announces a write of the next version.
        roster: the roster in this version.
    """

    version: int
    revision: int
    is_announced: bool
    roster: Roster


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Promise:
    """Not to attest while a write that was announced may still take effect.

    Attributes:
        revision: store revision of the announcement. The write is a
            compare-and-swap on it, so it cannot take effect once a later
            revision of the key was seen.
        opened_at: when the daemon learned of it.
    """

    revision: int
    opened_at: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attestation:
    """The answer of a peer that was asked about a version.

    Attributes:
        peer: name of the peer in the roster.
        version: the version that was asked about.
        attests: True when the peer holds no newer version and has no open
            promise.
    """

    peer: str
    version: int
    attests: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedEvidence:
    """The evidence of a peer, as stated in its answer.

    Attributes:
        version: the version that the peer holds.
        age_ms: age of the peer's evidence when it answered.
    """

    version: int
    age_ms: Millis
