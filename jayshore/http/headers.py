"""Conversion between headers as text and those of h11.

h11 validates every name and value that it sends with regular expressions,
which costs a relay about as much as parsing the messages. The checks here are
the same or stricter, and cheaper: names are checked once and cached, values
with two string methods. Checked headers are passed in h11's own type `Headers`,
which h11 does not check again. That type is private, so the version of h11 is
pinned.
"""

import functools
import re
from collections.abc import Iterable
from typing import TypeAlias

import h11
from h11._headers import Headers  # noqa: WPS436

from jayshore.outcomes import JayshoreError

__all__ = (  # noqa: WPS410
    'CLOSE_HEADER',
    'Headers',
    'InvalidHeader',
    'add_content_length',
    'decode_header_pairs',
    'decode_headers',
    'encode_headers',
    'encode_message',
)

RawHeader: TypeAlias = tuple[bytes, bytes, bytes]
"""Name as sent, lower-case name, and value: an item of `Headers`."""

CLOSE_HEADER: RawHeader = (b'connection', b'connection', b'close')

_NAME_CACHE_SIZE = 1024
_CONTENT_LENGTH = b'content-length'
_FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding', 'host'))
_END_OF_MESSAGE = h11.EndOfMessage()

# Token of RFC 9110, section 5.6.2.
_HEADER_NAME = re.compile(r"[-!#$%&'*+.^_`|~0-9a-zA-Z]+")


class InvalidHeader(JayshoreError, ValueError):
    """A header has a name or value that cannot be sent."""


def encode_headers(pairs: Iterable[tuple[str, str]]) -> list[RawHeader]:
    """Check and encode headers.

    Args:
        pairs: names and values.

    Returns:
        Headers for h11, without `Content-Length`, `Transfer-Encoding` and
        `Host`, which are added separately.

    Raises:
        InvalidHeader: a name or value cannot be sent.
    """
    encoded = []
    for name, text in pairs:
        if not text.isascii() or not text.isprintable():
            raise InvalidHeader(f'illegal value of header {name!r}')
        raw_name = _encode_name(name)
        if raw_name:
            encoded.append((raw_name, raw_name, text.strip().encode('ascii')))
    return encoded


def add_content_length(headers: list[RawHeader], length: int) -> None:
    """Append the `Content-Length` header.

    Args:
        headers: headers for h11.
        length: length of the body, in bytes.
    """
    headers.append((_CONTENT_LENGTH, _CONTENT_LENGTH, b'%d' % length))


def decode_header_pairs(
    head: h11.Request | h11.Response,
) -> tuple[tuple[str, str], ...]:
    """Decode received headers into pairs.

    Args:
        head: request or response as parsed by h11.

    Returns:
        Lower-case names and values, in order.
    """
    return tuple(
        [
            (_decode_name(name), text.decode('latin-1'))
            for name, text in head.headers.raw_items()
        ]
    )


def decode_headers(head: h11.Request) -> dict[str, str]:
    """Decode received headers into a mapping.

    Args:
        head: request as parsed by h11.

    Returns:
        Values by lower-case name; repeated ones are joined by commas.
    """
    headers: dict[str, str] = {}
    for raw_name, raw_text in head.headers.raw_items():
        name = _decode_name(raw_name)
        text = raw_text.decode('latin-1')
        headers[name] = f'{headers[name]}, {text}' if name in headers else text
    return headers


def encode_message(
    connection: h11.Connection, head: h11.Request | h11.Response, body: bytes
) -> bytes:
    """Encode a complete message.

    Args:
        connection: protocol state of the connection.
        head: request line or status line, with headers.
        body: the complete body.

    Returns:
        The bytes to send.
    """
    parts = connection.send_with_data_passthrough(head) or []
    if body:
        parts += (
            connection.send_with_data_passthrough(h11.Data(data=body)) or []
        )
    parts += connection.send_with_data_passthrough(_END_OF_MESSAGE) or []
    return b''.join(parts)


@functools.lru_cache(maxsize=_NAME_CACHE_SIZE)
def _encode_name(name: str) -> bytes:
    if not _HEADER_NAME.fullmatch(name):
        raise InvalidHeader(f'illegal header name {name!r}')
    lowered = name.lower()
    return b'' if lowered in _FRAMING_HEADERS else lowered.encode('ascii')


@functools.lru_cache(maxsize=_NAME_CACHE_SIZE)
def _decode_name(name: bytes) -> str:
    return name.decode('ascii').lower()
