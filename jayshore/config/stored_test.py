"""Tests of the value of the store key."""

import pytest

from jayshore.config.document import MAX_DOCUMENT_BYTES, Document
from jayshore.config.loading import load_directory
from jayshore.config.loading_test import sections, write
from jayshore.config.stored import (
    Envelope,
    StoredConfig,
    decode_stored,
    encode_stored,
)
from jayshore.decoding import Faults

MAX_VALUE_BYTES = 1_000_000


@pytest.mark.parametrize('announced', [None, 'a' * 64])
def test_round_trip(tmp_path, announced):
    """Guards against a value that changes on its way through the store."""
    write(tmp_path, sections())
    stored = StoredConfig(
        envelope=Envelope(version=3, write_id='w', announced=announced),
        document=load_directory(tmp_path),
    )
    assert decode_stored(encode_stored(stored)) == stored
    assert stored.snapshot.version == 3


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'[]',
        b'{"envelope": {"version": 1, "write_id": "w"}}',
        b'{"envelope": {"version": 0, "write_id": "w"}, "document": {}}',
        b'{"envelope": {"version": 1, "write_id": "w"}, "document": {}}',
    ],
)
def test_malformed_value_is_refused(raw):
    """Guards against an exception on a value that another version wrote."""
    assert isinstance(decode_stored(raw), Faults)


def test_envelope_fits_beside_the_largest_document():
    """Guards against an accepted document that the store refuses."""
    largest = Envelope(version=2**63, write_id='w' * 64, announced='a' * 64)
    empty = Document()
    around = len(
        encode_stored(StoredConfig(envelope=largest, document=empty))
    ) - len(empty.to_bytes())
    assert around + MAX_DOCUMENT_BYTES <= MAX_VALUE_BYTES
