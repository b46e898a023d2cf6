"""The value of the configuration's store key, also exchanged by daemons.

It is decoded as strictly as an operator's files: a daemon that ignored parts
which it does not understand could accept a revoked key.
"""

import dataclasses
from typing import Annotated

import msgspec

from jayshore.config.document import Document
from jayshore.config.loading import convert_document
from jayshore.config.snapshot import Snapshot
from jayshore.decoding import Fault, Faults, convert_strictly, parse_json

_MAX_ID_CHARS = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigEnvelope:
    """The stored fields beside the document.

    Attributes:
        version: number of committed documents, starting from 1.
        write_id: random id of the write, of at most 64 characters.
        is_announced: whether a write of the next version may follow. A daemon
            that reads an announcement attests no version until it has read a
            later revision, even if a restart made it forget its promise.
    """

    version: Annotated[int, msgspec.Meta(ge=1)]
    write_id: Annotated[str, msgspec.Meta(max_length=_MAX_ID_CHARS)]
    is_announced: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredConfig(ConfigEnvelope):
    """The complete stored value: the envelope and the document in force."""

    document: Document

    @property
    def snapshot(self) -> Snapshot:
        """The version in force, indexed for lookups."""
        return Snapshot(
            version=self.version,
            document=self.document,
            write_id=self.write_id,
        )


INITIAL_CONFIG = StoredConfig(version=0, write_id='', document=Document())
"""The empty configuration, in force until the first one is applied."""


def encode_stored(stored: StoredConfig) -> bytes:
    """Serialise the value of the store key.

    Args:
        stored: the value.

    Returns:
        UTF-8 JSON, at most 1 MB for a document of valid size.
    """
    return msgspec.json.encode(stored, order='sorted')


def decode_stored(raw: bytes) -> StoredConfig | Faults:
    """Decode and validate the value of the store key.

    Args:
        raw: the value as `encode_stored` writes it.

    Returns:
        The value, or every fault found.
    """
    parsed = parse_json(raw)
    if isinstance(parsed, Faults):
        return parsed
    if not isinstance(parsed, dict):
        return Faults(faults=(Fault(message='Expected an object'),))
    document = convert_document(parsed.pop('document', None))
    mark = convert_strictly(parsed, ConfigEnvelope)
    if isinstance(mark, Faults):
        return mark
    if isinstance(document, Faults):
        return document
    return StoredConfig(
        version=mark.version,
        write_id=mark.write_id,
        is_announced=mark.is_announced,
        document=document,
    )
