"""The value of the configuration's store key, as daemons exchange it.

It is decoded as strictly as an operator's files: a daemon that guessed at a
value which it does not understand could accept a withdrawn key.
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
    """What is kept beside the document.

    Attributes:
        version: counts the accepted documents from 1.
        write_id: random id of the write, of at most 64 characters.
        is_announced: whether a write of the next version may follow. A daemon
            that reads an announcement attests nothing until it has read a
            later revision, also when it had promised before it restarted.
    """

    version: Annotated[int, msgspec.Meta(ge=1)]
    write_id: Annotated[str, msgspec.Meta(max_length=_MAX_ID_CHARS)]
    is_announced: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredConfig(ConfigEnvelope):
    """The whole value: the marks and the document in force."""

    document: Document

    @property
    def snapshot(self) -> Snapshot:
        """The version in force, indexed for requests."""
        return Snapshot(
            version=self.version,
            document=self.document,
            write_id=self.write_id,
        )


INITIAL_CONFIG = StoredConfig(version=0, write_id='', document=Document())
"""What holds before the first configuration was applied."""


def encode_stored(stored: StoredConfig) -> bytes:
    """Serialise the value of the store key.

    Args:
        stored: the value.

    Returns:
        JSON as UTF-8 text, at most 1 MB.
    """
    return msgspec.json.encode(stored, order='sorted')


def decode_stored(raw: bytes) -> StoredConfig | Faults:
    """Read the value of the store key.

    Args:
        raw: what `encode_stored` returned.

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
