"""Resolves writes whose answer was lost.

Every value that jayshore writes is a JSON object with a random `write_id`, so
that a reader can tell its own write from that of another writer.
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
        value: JSON object with a `write_id` that no other write has.
        expect_revision: the key's revision, 0 to create.
        lease_id: the lease with which the key expires, None for ever.
    """

    key: str
    value: str
    expect_revision: int
    lease_id: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Superseded:
    """The key holds another value, and the write may have preceded it.

    Attributes:
        revision: the key's revision, 0 when it does not exist.
    """

    revision: int


ResolvedWrite: TypeAlias = PutResult | Superseded


class MissingWriteId(JayshoreError):
    """A value to be written carries no write id."""


class _Marked(msgspec.Struct):
    write_id: str = ''


class WriteResolver:
    """Writes to the store and settles lost answers."""

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        backoff: Backoff,
        source: random.Random,
    ) -> None:
        """Use a store.

        Args:
            store: the store.
            clock: measures the limit of each write.
            backoff: pause between attempts.
            source: random numbers for the pause.
        """
        self._store = store
        self._clock = clock
        self._backoff = backoff
        self._source = source

    async def resolve_write(
        self, write: Write, *, limit_ms: Millis
    ) -> ResolvedWrite:
        """Write, and after a lost answer find out whether it was applied.

        After `StoreUncertain` the key is read back. While it still has the
        expected revision, the same write is sent again: at most one of the
        copies can be applied, whichever arrives first. A creation could be
        applied twice only if the key were deleted between the copies.

        Args:
            write: what to write.
            limit_ms: the longest time for settling, in ms.

        Returns:
            The result; `Superseded` only after a lost answer.

        Raises:
            MissingWriteId: the value has no `write_id`.
            StoreUncertain: the limit has passed and it is still not known.
        """
        if read_write_id(write.value) is None:
            raise MissingWriteId(f'{write.key}: the value has no write_id')
        deadline = self._clock.now() + limit_ms
        result: ResolvedWrite | None = await self._try_put(write)
        failures = 1
        while result is None:
            if self._clock.now() >= deadline:
                raise StoreUncertain(
                    f'{write.key}: not settled within {limit_ms} ms'
                )
            pause = self._backoff.delay(attempt=failures, rng=self._source)
            await curio.sleep(to_seconds(pause))
            failures += 1
            result = await self._try_settle(write)
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

    async def _try_settle(self, write: Write) -> ResolvedWrite | None:
        try:
            entry = await self._store.get(write.key)
            known = _compare(write, entry)
            if known is not None:
                return known
            again = await self._try_put(write)
        except StoreUnavailable:
            return None
        # The lost first copy may have been applied after the read; the next
        # read tells whose write it was.
        return None if isinstance(again, Conflict) else again


def new_write_id() -> str:
    """Choose a write id.

    Returns:
        A random id that no other write has.
    """
    return secrets.token_hex(_WRITE_ID_BYTES)


def read_write_id(value: str) -> str | None:
    """Read the write id of a stored value.

    Args:
        value: the stored text.

    Returns:
        The id, or None when the text carries none.
    """
    try:
        return msgspec.json.decode(value, type=_Marked).write_id or None
    except msgspec.DecodeError:
        return None


def _compare(write: Write, entry: Entry | None) -> Written | Superseded | None:
    if entry is None:
        if write.expect_revision == 0:
            return None
        return Superseded(revision=0)
    if read_write_id(entry.value) == read_write_id(write.value):
        return Written(revision=entry.revision)
    if entry.revision == write.expect_revision:
        return None
    return Superseded(revision=entry.revision)
