"""Writes to the store and resolves those whose answer was lost.

Every value written here is a JSON object with a random `write_id`, so that a
writer that reads a key back can tell its own value from that of another writer.
"""

import dataclasses
import random
import secrets
from typing import TypeAlias

import curio
import msgspec

from jayshore.clock import (
    Clock,
    Millis,
    to_seconds,
)
from jayshore.decoding import DECODE_ERRORS
from jayshore.outcomes import JayshoreError
from jayshore.retry import Backoff
from jayshore.store.store import (
    Conflict,
    Entry,
    PutResult,
    Store,
    StoreUnavailable,
    StoreUncertain,
    Written,
)

_WRITE_ID_BYTES = 12


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """A write by compare-and-swap.

    Attributes:
        key: the key.
        value: JSON object with a `write_id` that is unique to this write.
        expect_revision: required revision of the key, 0 to create it.
        lease_id: lease that the key expires with, None for no expiry.
    """

    key: str
    value: str
    expect_revision: int
    lease_id: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Superseded:
    """The key holds another value; the write may have been applied before it.

    Attributes:
        revision: the key's revision, 0 when it does not exist.
    """

    revision: int


ResolvedWrite: TypeAlias = PutResult | Superseded


class MissingWriteId(JayshoreError):
    """The value to be written has no write id."""


class _ValueWithId(msgspec.Struct):
    write_id: str = ''


class WriteResolver:
    """Writes to the store and finds out the results of lost answers."""

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        backoff: Backoff,
        rng: random.Random,
    ) -> None:
        """Create a resolver.

        Args:
            store: the store.
            clock: measures the time limit of each write.
            backoff: delays between attempts.
            rng: random numbers for the jitter of the delays.
        """
        self._store = store
        self._clock = clock
        self._backoff = backoff
        self._rng = rng

    async def resolve_write(
        self, write: Write, *, limit_ms: Millis
    ) -> ResolvedWrite:
        """Write, and after a lost answer find out whether it was applied.

        After `StoreUncertain` the key is read back. While it still has the
        expected revision, the same write is sent again. At most one of the
        copies can be applied, whichever arrives first; a creation could be
        applied twice only if the key were deleted between the copies.

        Args:
            write: the write.
            limit_ms: time in ms after which it stops retrying.

        Returns:
            The result; `Superseded` only after a lost answer.

        Raises:
            MissingWriteId: the value has no `write_id`.
            StoreUncertain: the result is still unknown at the time limit.
        """
        if read_write_id(write.value) is None:
            raise MissingWriteId(f'{write.key}: the value has no write_id')
        deadline = self._clock.now() + limit_ms
        result: ResolvedWrite | None = await self._try_put(write)
        failures = 1
        while result is None:
            if self._clock.now() >= deadline:
                raise StoreUncertain(
                    f'{write.key}: write not resolved within {limit_ms} ms'
                )
            delay_ms = self._backoff.delay(attempt=failures, rng=self._rng)
            await curio.sleep(to_seconds(delay_ms))
            failures += 1
            result = await self._try_resolve(write)
        return result

    async def _try_put(self, write: Write) -> PutResult | None:
        try:
            return await self._store.put(
                write.key,
                write.value,
                expect_revision=write.expect_revision,
                lease_id=write.lease_id,
            )
        except StoreUncertain:
            return None

    async def _try_resolve(self, write: Write) -> ResolvedWrite | None:
        try:
            entry = await self._store.get(write.key)
            resolved = _resolve_from_entry(write, entry)
            if resolved is not None:
                return resolved
            retried = await self._try_put(write)
        except StoreUnavailable:
            return None
        # A conflict may be with an earlier copy of this write, applied after
        # the read; the next read shows which write won.
        return None if isinstance(retried, Conflict) else retried


def new_write_id() -> str:
    """Generate a write id.

    Returns:
        A random id of 96 bits in hexadecimal.
    """
    return secrets.token_hex(_WRITE_ID_BYTES)


def read_write_id(value: str) -> str | None:
    """Extract the write id of a stored value.

    Args:
        value: the stored text.

    Returns:
        The id, or None when the text is not a JSON object with one.
    """
    try:
        return msgspec.json.decode(value, type=_ValueWithId).write_id or None
    except DECODE_ERRORS:
        return None


def _resolve_from_entry(
    write: Write, entry: Entry | None
) -> Written | Superseded | None:
    if entry is None:
        if write.expect_revision == 0:
            return None
        return Superseded(revision=0)
    if read_write_id(entry.value) == read_write_id(write.value):
        return Written(revision=entry.revision)
    if entry.revision == write.expect_revision:
        return None
    return Superseded(revision=entry.revision)
