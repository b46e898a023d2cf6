"""Limits of a server on its callers, and the refusals that state them."""

import dataclasses

from jayshore.clock import Millis
from jayshore.http.messages import ErrorKind, Response, error_response
from jayshore.outcomes import JayshoreError

_STATUS_MALFORMED = 400
_STATUS_BODY_TOO_LARGE = 413
_STATUS_HEADERS_TOO_LARGE = 431
_STATUS_UNAVAILABLE = 503
_RETRY_AFTER = ('retry-after', '1')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimits:
    """Limits on the resources that callers use.

    Attributes:
        max_header_bytes: size of request line and headers together.
        max_body_bytes: size of the body of a request.
        header_timeout_ms: time from the first byte of a request to the end of
            its headers.
        body_timeout_ms: time from the end of the headers to the end of the
            body.
        idle_timeout_ms: time until the first byte of a request.
        write_timeout_ms: time for the caller to receive a response.
        max_connections: connections of all callers open at a time.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: Millis = Millis(5000)
    body_timeout_ms: Millis = Millis(10_000)
    idle_timeout_ms: Millis = Millis(60_000)
    write_timeout_ms: Millis = Millis(10_000)
    max_connections: int = 4096


class BadRequest(JayshoreError):
    """A request is malformed, exceeds a limit, or finds no memory.

    Attributes:
        kind: type of the error.
        response: the response to the caller.
    """

    def __init__(self, status: int, kind: ErrorKind, detail: str) -> None:
        """Create the error with its response.

        Args:
            status: status code.
            kind: type of the error.
            detail: explanation in one line.
        """
        super().__init__(detail)
        self.kind = kind
        self.response = error_response(status, kind, detail)


def headers_too_large(limits: ServerLimits) -> BadRequest:
    """Refuse a request with a too large head.

    Args:
        limits: the limits in force.

    Returns:
        The refusal.
    """
    return BadRequest(
        _STATUS_HEADERS_TOO_LARGE,
        ErrorKind.HEADERS_TOO_LARGE,
        f'request line and headers exceed {limits.max_header_bytes} bytes',
    )


def body_too_large(limits: ServerLimits) -> BadRequest:
    """Refuse a request with a too large body.

    Args:
        limits: the limits in force.

    Returns:
        The refusal.
    """
    return BadRequest(
        _STATUS_BODY_TOO_LARGE,
        ErrorKind.BODY_TOO_LARGE,
        f'the body exceeds {limits.max_body_bytes} bytes',
    )


def chunk_overhead() -> BadRequest:
    """Refuse a request whose body is sent in tiny chunks.

    Returns:
        The refusal.
    """
    return BadRequest(
        _STATUS_MALFORMED,
        ErrorKind.CHUNK_OVERHEAD,
        'the framing of the chunks is far larger than the body',
    )


def overloaded() -> BadRequest:
    """Refuse a request that was not given to its handler.

    Returns:
        The refusal.
    """
    refusal = BadRequest(
        _STATUS_UNAVAILABLE,
        ErrorKind.OVERLOADED,
        'not run: requests of other callers use the memory',
    )
    refusal.response = _retry_later(refusal.response)
    return refusal


def no_connection() -> Response:
    """Refuse a connection for which there is no descriptor or memory.

    Returns:
        The response.
    """
    return _retry_later(
        error_response(
            _STATUS_UNAVAILABLE,
            ErrorKind.TOO_MANY_CONNECTIONS,
            'not run: connections of other callers use all descriptors',
        )
    )


def _retry_later(response: Response) -> Response:
    return dataclasses.replace(
        response, headers=(*response.headers, _RETRY_AFTER)
    )
