"""Reads complete requests from a connection, within the server's limits."""

import dataclasses
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qsl, unquote

import h11

from jayshore.clock import Millis, MonotonicClock
from jayshore.http import sockets
from jayshore.http.headers import decode_headers
from jayshore.http.messages import ErrorKind, Request, error_response
from jayshore.outcomes import JayshoreError
from jayshore.traffic import Traffic

_STATUS_REQUEST_TIMEOUT = 408
_STATUS_BODY_TOO_LARGE = 413
_STATUS_HEADERS_TOO_LARGE = 431


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
    """A request is malformed or exceeds a limit.

    Attributes:
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
        self.response = error_response(status, kind, detail)


class CallerGone(JayshoreError):
    """The caller closed the connection or sent no further request in time."""


class RequestReader:
    """Reads requests from one connection.

    Attributes:
        idle: whether no byte of a next request has been received.
    """

    def __init__(
        self,
        *,
        sock: Any,
        connection: h11.Connection,
        limits: ServerLimits,
        traffic: Traffic,
    ) -> None:
        """Create a reader for an accepted connection.

        Args:
            sock: a curio socket.
            connection: protocol state of the server's side.
            limits: limits on size and time.
            traffic: counts received bytes.
        """
        self.idle = True
        self._sock = sock
        self._http = connection
        self._limits = limits
        self._traffic = traffic
        self._clock = MonotonicClock()
        self._head_bytes = 0

    async def next_request(self) -> Request:
        """Read one request with its complete body.

        Returns:
            The request.

        Raises:
            BadRequest: the request is malformed, too large or too slow.
        """
        try:
            head = await self._read_head()
            headers = decode_headers(head)
            body = await self._read_body(headers.get('content-length'))
            return _build_request(head, headers, body)
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == _STATUS_HEADERS_TOO_LARGE:
                raise self._headers_too_large() from None
            raise BadRequest(
                error.error_status_hint, ErrorKind.MALFORMED, str(error)
            ) from None

    async def _read_head(self) -> h11.Request:
        self._head_bytes = 0
        if not self._http.trailing_data[0]:
            await self._wait_for_first_byte()
        event = self._http.next_event()
        if event is h11.NEED_DATA:
            event = await self._wait_for_head()
        if isinstance(event, h11.ConnectionClosed):
            raise CallerGone('the caller closed the connection')
        if not isinstance(event, h11.Request):
            raise BadRequest(400, ErrorKind.MALFORMED, 'a request must follow')
        # h11 limits only incomplete heads, so the size of a large head that
        # arrived at once is checked here.
        if self._head_bytes > self._limits.max_header_bytes:
            if _head_size(event) > self._limits.max_header_bytes:
                raise self._headers_too_large()
        return event

    async def _wait_for_head(self) -> Any:
        deadline = self._clock.now() + self._limits.header_timeout_ms
        event: Any = h11.NEED_DATA
        while event is h11.NEED_DATA:
            await self._receive_chunk(
                deadline, ErrorKind.HEADER_TIMEOUT, 'the headers are too slow'
            )
            event = self._http.next_event()
        return event

    async def _wait_for_first_byte(self) -> None:
        self.idle = True
        try:
            chunk = await sockets.receive(
                self._sock, self._limits.idle_timeout_ms
            )
        except sockets.WaitExpired:
            raise CallerGone('no further request') from None
        self.idle = False
        self._head_bytes = len(chunk)
        self._traffic.received += len(chunk)
        self._http.receive_data(chunk)

    async def _receive_chunk(
        self, deadline: int, kind: ErrorKind, detail: str
    ) -> None:
        remaining = Millis(max(0, deadline - self._clock.now()))
        try:
            chunk = await sockets.receive(self._sock, remaining)
        except sockets.WaitExpired:
            raise BadRequest(_STATUS_REQUEST_TIMEOUT, kind, detail) from None
        self._head_bytes += len(chunk)
        self._traffic.received += len(chunk)
        self._http.receive_data(chunk)

    async def _read_body(self, declared_length: str | None) -> bytes:
        limit = self._limits.max_body_bytes
        if declared_length and int(declared_length) > limit:
            raise self._body_too_large()
        event = self._http.next_event()
        if isinstance(event, h11.EndOfMessage):
            return b''
        chunks: list[bytes] = []
        size = 0
        deadline = self._clock.now() + self._limits.body_timeout_ms
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                size += len(event.data)
            else:
                await self._receive_body_chunk(deadline)
            if size > limit:
                raise self._body_too_large()
            event = self._http.next_event()
        return chunks[0] if len(chunks) == 1 else b''.join(chunks)

    async def _receive_body_chunk(self, deadline: int) -> None:
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await sockets.send(
                self._sock,
                self._http.send(continue_response),
                self._limits.write_timeout_ms,
            )
        await self._receive_chunk(
            deadline, ErrorKind.BODY_TIMEOUT, 'the body is too slow'
        )

    def _headers_too_large(self) -> BadRequest:
        limit = self._limits.max_header_bytes
        return BadRequest(
            _STATUS_HEADERS_TOO_LARGE,
            ErrorKind.HEADERS_TOO_LARGE,
            f'request line and headers exceed {limit} bytes',
        )

    def _body_too_large(self) -> BadRequest:
        limit = self._limits.max_body_bytes
        return BadRequest(
            _STATUS_BODY_TOO_LARGE,
            ErrorKind.BODY_TOO_LARGE,
            f'the body exceeds {limit} bytes',
        )


def _head_size(head: h11.Request) -> int:
    return len(head.target) + sum(
        len(name) + len(text) for name, text in head.headers
    )


def _build_request(
    head: h11.Request, headers: Mapping[str, str], body: bytes
) -> Request:
    path, separator, query = head.target.decode('ascii').partition('?')
    return Request(
        method=head.method.decode('ascii'),
        path=unquote(path) if '%' in path else path,
        query=dict(parse_qsl(query, keep_blank_values=True))
        if separator
        else {},
        headers=headers,
        body=body,
    )
