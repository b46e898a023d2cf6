"""Bearer keys of the form `<key_id>.<secret>`.

The configuration holds only the digest of a secret. A secret has 256 random
bits, so a plain SHA-256 cannot be inverted by search, and no slow password hash
is needed for every request.
"""

import dataclasses
import enum
import hashlib
import hmac
import secrets

from jayshore.config.model import Key

_SECRET_BYTES = 32
_ID_BYTES = 6
_MAX_BEARER_CHARS = 256
_SEPARATOR = '.'


class KeyRejection(enum.StrEnum):
    """Why a bearer key was rejected."""

    MALFORMED = 'malformed'
    UNKNOWN_KEY = 'unknown_key'
    WRONG_SECRET = 'wrong_secret'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TeamKey:
    """A key that is valid in the configuration that was checked.

    Attributes:
        key_id: id of the key, for a later check that it was not revoked.
        team: the team that the key authenticates.
    """

    key_id: str
    team: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyRejected:
    """The key is invalid; the reason is not meant for the caller."""

    reason: KeyRejection


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bearer:
    """The two parts of a bearer key.

    Attributes:
        key_id: public id.
        secret: secret part, left out of the representation.
    """

    key_id: str
    secret: str = dataclasses.field(repr=False)

    def __str__(self) -> str:
        """Format as the bearer value of an authorization header."""
        return f'{self.key_id}{_SEPARATOR}{self.secret}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewKey:
    """A newly generated key.

    Attributes:
        bearer: the key for the team; it cannot be recovered from the entry.
        entry: the entry for `keys.json`.
    """

    bearer: Bearer
    entry: Key


def generate_key(team: str) -> NewKey:
    """Generate a key from the operating system's secure random source.

    Args:
        team: the team that the key authenticates.

    Returns:
        The key and its entry for `keys.json`.
    """
    bearer = Bearer(
        key_id=f'k{secrets.token_hex(_ID_BYTES)}',
        secret=secrets.token_urlsafe(_SECRET_BYTES),
    )
    entry = Key(id=bearer.key_id, team=team, sha256=hash_secret(bearer.secret))
    return NewKey(bearer=bearer, entry=entry)


def hash_secret(secret: str) -> str:
    """Compute the digest of a secret for `keys.json`.

    Args:
        secret: ASCII text.

    Returns:
        SHA-256 in hex.
    """
    return hashlib.sha256(secret.encode('ascii')).hexdigest()


def parse_bearer(presented: str) -> Bearer | KeyRejected:
    """Split a bearer key into its parts.

    Args:
        presented: `<key_id>.<secret>`, as presented by a caller.

    Returns:
        Both parts, or a rejection when it is malformed or too long.
    """
    key_id, _, secret = presented.partition(_SEPARATOR)
    is_well_formed = len(presented) <= _MAX_BEARER_CHARS and presented.isascii()
    if not (is_well_formed and key_id and secret):
        return KeyRejected(reason=KeyRejection.MALFORMED)
    return Bearer(key_id=key_id, secret=secret)


def verify_bearer(bearer: Bearer, entry: Key | None) -> TeamKey | KeyRejected:
    """Verify a bearer key; the digests are compared in constant time.

    Args:
        bearer: the presented key.
        entry: the configured entry of that key id, None when there is none.

    Returns:
        The team of the key, or a rejection.
    """
    if entry is None:
        return KeyRejected(reason=KeyRejection.UNKNOWN_KEY)
    if hmac.compare_digest(hash_secret(bearer.secret), entry.sha256):
        return TeamKey(key_id=entry.id, team=entry.team)
    return KeyRejected(reason=KeyRejection.WRONG_SECRET)
