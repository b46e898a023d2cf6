"""Tests of headers, addresses and JSON bodies."""

import pytest

from jayshore.http import messages
from jayshore.http.client import Address, InvalidAddress
from jayshore.http.headers import encode_headers


@pytest.mark.parametrize(
    'pair',
    [
        ('a', '1\r\nb: 2'),
        ('a', '1\n'),
        ('a', '\x00'),
        ('a', '\N{GREEK SMALL LETTER ALPHA}'),
        ('a: b', '1'),
        ('a\r\nb', '1'),
        ('', '1'),
    ],
)
def test_header_injection_is_refused(pair):
    """Guards against header injection through names or values."""
    with pytest.raises(ValueError, match='illegal'):
        encode_headers([pair])


def test_framing_headers_are_not_forwarded():
    """Guards against a relayed `Content-Length` that contradicts the body."""
    pairs = [('Content-Length', '9'), ('transfer-encoding', 'x'), ('b', ' 1 ')]
    assert encode_headers(pairs) == [(b'b', b'b', b'1')]


@pytest.mark.parametrize('text', ['', 'a', 'a:', ':1', 'a:0', 'a:x', 'a:70000'])
def test_invalid_address_is_refused(text):
    """Guards against invalid settings that fail only on the first call."""
    with pytest.raises(InvalidAddress):
        Address.parse(text)


@pytest.mark.parametrize(
    ('body', 'path'),
    [(b'{"a": [1, "x"]}', '$[...][1]'), (b'{', '$'), (b'[]', '$')],
)
def test_json_error_names_the_path(body, path):
    """Guards against errors that do not say which value is wrong."""
    with pytest.raises(messages.InvalidJson) as caught:
        messages.decode_json(body, dict[str, list[int]])
    assert caught.value.path == path
