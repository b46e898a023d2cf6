"""Tests of the stored form of the configuration."""

import msgspec
import pytest

from jayshore.config.document import MAX_DOCUMENT_BYTES, Document
from jayshore.config.loading import load_directory
from jayshore.config.loading_test import valid_sections, write_files
from jayshore.config.stored import (
    StoredConfig,
    decode_stored,
    encode_stored,
)
from jayshore.decoding import Faults

MAX_VALUE_BYTES = 1_000_000


@pytest.mark.parametrize('is_announced', [False, True])
def test_round_trip(tmp_path, is_announced):
    """Guards against a value that changes when it is stored and read."""
    write_files(tmp_path, valid_sections())
    stored = StoredConfig(
        version=3,
        write_id='w',
        is_announced=is_announced,
        document=load_directory(tmp_path),
    )
    assert decode_stored(encode_stored(stored)) == stored
    assert stored.snapshot.version == 3


@pytest.mark.parametrize(
    ('changes', 'path'),
    [
        ({'version': 0}, '$.version'),
        ({'version': '3'}, '$.version'),
        ({'version': None}, '$.version'),
        ({'write_id': 'w' * 65}, '$.write_id'),
        ({'is_announced': 'no'}, '$.is_announced'),
        ({'from_a_later_release': 1}, '$.from_a_later_release'),
        ({'document': {}}, '$'),
        ({'document': None}, '$'),
    ],
)
def test_value_that_is_not_understood_is_refused(tmp_path, changes, path):
    """Guards against accepting part of a value from another release."""
    write_files(tmp_path, valid_sections())
    stored = StoredConfig(
        version=3, write_id='w', document=load_directory(tmp_path)
    )
    parsed = {**msgspec.json.decode(encode_stored(stored)), **changes}
    refused = decode_stored(msgspec.json.encode(parsed))
    assert isinstance(refused, Faults)
    assert path in {fault.path for fault in refused.faults}


@pytest.mark.parametrize('raw', [b'', b'[]', b'{', b'\xff'])
def test_malformed_value_is_refused(raw):
    """Guards against an exception on a value that is not a configuration."""
    assert isinstance(decode_stored(raw), Faults)


def test_envelope_fits_beside_the_largest_document():
    """Guards against a valid document that exceeds the store with envelope."""
    largest = StoredConfig(
        version=2**63,
        write_id='w' * 64,
        is_announced=False,
        document=Document(),
    )
    envelope_bytes = len(encode_stored(largest)) - len(Document().to_bytes())
    assert envelope_bytes + MAX_DOCUMENT_BYTES <= MAX_VALUE_BYTES
