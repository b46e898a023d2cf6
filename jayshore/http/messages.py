"""HTTP requests and responses, and JSON bodies with typed decoding."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from jayshore.decoding import DECODE_ERRORS
from jayshore.outcomes import JayshoreError

JSON_TYPE = 'application/json'
_PATH_SEPARATOR = ' - at `'

_Decoded = TypeVar('_Decoded')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """An HTTP request with its complete body.

    Attributes:
        method: method in upper case.
        path: path without query, percent-decoded.
        query: decoded query parameters; the last one of a name counts.
        headers: values by lower-case name; repeated ones joined by commas.
        body: the complete body.
    """

    method: str
    path: str
    query: Mapping[str, str] = dataclasses.field(default_factory=dict)
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """An HTTP response with its complete body.

    Attributes:
        status: status code.
        headers: names and values in order; names are lower-case in responses
            that a client received.
        body: the complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''

    def header(self, name: str) -> str | None:
        """Return the value of a header of a received response.

        Args:
            name: lower-case name.

        Returns:
            The first value of that name, or None.
        """
        for candidate, text in self.headers:
            if candidate == name:
                return text
        return None


class ErrorKind(enum.StrEnum):
    """Kinds of the errors that the server itself reports."""

    MALFORMED = 'malformed'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    HEADER_TIMEOUT = 'header_timeout'
    BODY_TIMEOUT = 'body_timeout'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    CHUNK_OVERHEAD = 'chunk_overhead'
    OVERLOADED = 'overloaded'
    INTERNAL = 'internal'


class InvalidJson(JayshoreError):
    """A body is not JSON, or not of the expected type."""

    def __init__(self, *, path: str, detail: str) -> None:
        """Describe the mismatch.

        Args:
            path: JSON path of the invalid value; `$` is the whole body.
            detail: what is wrong with it, in one line.
        """
        super().__init__(f'{path}: {detail}')
        self.path = path
        self.detail = detail


def json_response(status: int, content: object) -> Response:
    """Encode a JSON response.

    Args:
        status: status code.
        content: a value that msgspec encodes, such as a dataclass.

    Returns:
        The response, with its content type.
    """
    return Response(
        status=status,
        headers=(('content-type', JSON_TYPE),),
        body=msgspec.json.encode(content),
    )


def error_response(status: int, kind: str, detail: str) -> Response:
    """Encode an error in the form that all interfaces use.

    Args:
        status: status code.
        kind: type of the error, to be matched by programs.
        detail: explanation in one line, for people.

    Returns:
        A response with the body `{"error": kind, "detail": detail}`.
    """
    return json_response(status, {'error': kind, 'detail': detail})


def decode_json(body: bytes | str, expected: type[_Decoded]) -> _Decoded:
    """Decode a JSON body into a type.

    Args:
        body: the encoded value.
        expected: a type that msgspec decodes, such as a dataclass.

    Returns:
        The decoded value.

    Raises:
        InvalidJson: the body is not JSON, or not of that type.
    """
    try:
        return msgspec.json.decode(body, type=expected)
    except DECODE_ERRORS as error:
        detail, _, path = str(error).partition(_PATH_SEPARATOR)
        raise InvalidJson(path=path.rstrip('`') or '$', detail=detail) from None


def encode_json(content: object) -> bytes:
    """Encode a value as JSON.

    Args:
        content: a value that msgspec encodes.

    Returns:
        The encoded value.
    """
    return msgspec.json.encode(content)


JsonObject = dict[str, Any]
"""A decoded JSON object whose fields are not declared as a type."""
