"""The value of the store key `config`."""

import dataclasses
from typing import Annotated

import msgspec

from jayshore.config.document import Document
from jayshore.config.loading import document_from
from jayshore.config.snapshot import Snapshot
from jayshore.decoding import Fault, Faults, convert_strictly, parse_json

_MAX_ID_CHARS = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """What the store keeps beside the document.

    Attributes:
        version: version of the document.
        write_id: random id of the write that brought the version.
        announced: random id of a write of the next version that may follow,
            None when no write is announced. A daemon that reads an
            announcement attests nothing until it has read a later revision,
            also when it had promised before it restarted.
    """

    version: Annotated[int, msgspec.Meta(ge=1)]
    write_id: Annotated[str, msgspec.Meta(max_length=_MAX_ID_CHARS)]
    announced: Annotated[str, msgspec.Meta(max_length=_MAX_ID_CHARS)] | None = (
        None
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredConfig:
    """The whole value: an envelope and the document in force."""

    envelope: Envelope
    document: Document

    @property
    def snapshot(self) -> Snapshot:
        """The version in force, indexed for requests."""
        return Snapshot(
            version=self.envelope.version,
            document=self.document,
            write_id=self.envelope.write_id,
        )


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
    if not isinstance(parsed, dict) or parsed.keys() != {
        'envelope',
        'document',
    }:
        fault = Fault(message='Expected an object of envelope and document')
        return Faults(faults=(fault,))
    envelope = convert_strictly(parsed['envelope'], Envelope, path='$.envelope')
    document = document_from(parsed['document'])
    if isinstance(envelope, Faults):
        return envelope
    if isinstance(document, Faults):
        return document
    return StoredConfig(envelope=envelope, document=document)
