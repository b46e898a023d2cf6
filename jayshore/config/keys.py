"""Bearer keys: `<key_id>.<secret>`, of which only a digest is configured.

The secret has 256 random bits, so a plain SHA-256 cannot be searched and no
slow password hash is needed on the path of every request.
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
    """The key is valid in the configuration that was asked.

    Attributes:
        key_id: id of the key, for a later check that it was not withdrawn.
        team: the team that the key acts for.
    """

    key_id: str
    team: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyRejected:
    """The key is not valid; the reason is for logs, not for the caller."""

    reason: KeyRejection


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bearer:
    """The two parts of a bearer key.

    Attributes:
        key_id: public id.
        secret: never logged.
    """

    key_id: str
    secret: str = dataclasses.field(repr=False)

    def __str__(self) -> str:
        """Format as the value that a caller presents."""
        return f'{self.key_id}{_SEPARATOR}{self.secret}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewKey:
    """A key that was just generated.

    Attributes:
        bearer: given to the team; it cannot be recovered from the entry.
        entry: put into `keys.json`.
    """

    bearer: Bearer
    entry: Key


def generate_key(team: str) -> NewKey:
    """Generate a key from the operating system's random source.

    Args:
        team: the team that the key acts for.

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
    """Hash a secret as it is kept in `keys.json`.

    Args:
        secret: ASCII text.

    Returns:
        SHA-256 in hex.
    """
    return hashlib.sha256(secret.encode('ascii')).hexdigest()


def parse_bearer(presented: str) -> Bearer | KeyRejected:
    """Split what a caller presents.

    Args:
        presented: `<key_id>.<secret>`.

    Returns:
        Both parts, or a rejection.
    """
    key_id, _, secret = presented.partition(_SEPARATOR)
    is_well_formed = len(presented) <= _MAX_BEARER_CHARS and presented.isascii()
    if not (is_well_formed and key_id and secret):
        return KeyRejected(reason=KeyRejection.MALFORMED)
    return Bearer(key_id=key_id, secret=secret)


def verify_bearer(bearer: Bearer, entry: Key | None) -> TeamKey | KeyRejected:
    """Compare a bearer key with its entry in constant time.

    Args:
        bearer: what was presented.
        entry: the entry of that key id, None when there is none.

    Returns:
        The team of the key, or a rejection.
    """
    if entry is None:
        return KeyRejected(reason=KeyRejection.UNKNOWN_KEY)
    if hmac.compare_digest(hash_secret(bearer.secret), entry.sha256):
        return TeamKey(key_id=entry.id, team=entry.team)
    return KeyRejected(reason=KeyRejection.WRONG_SECRET)
