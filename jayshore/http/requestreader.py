"""Reads complete requests from a connection, within the server's limits."""

from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qsl, unquote

import h11

from jayshore.clock import Millis, MonotonicClock
from jayshore.http import sockets
from jayshore.http.accounts import ConnectionAccount
from jayshore.http.evictions import Activity, ConnectionState
from jayshore.http.headers import decode_headers
from jayshore.http.messages import ErrorKind, Request
from jayshore.http.serverlimits import (
    BadRequest,
    ServerLimits,
    body_too_large,
    chunk_overhead,
    headers_too_large,
    overloaded,
)
from jayshore.http.turns import Turn
from jayshore.outcomes import JayshoreError
from jayshore.traffic import Traffic

__all__ = (  # noqa: WPS410
    'BadRequest',
    'CallerGone',
    'RequestReader',
    'ServerLimits',
)

_STATUS_REQUEST_TIMEOUT = 408
_STATUS_HEADERS_TOO_LARGE = 431

# The framing of a chunk takes at least 5 bytes. A body may have twice as much
# framing as content, which allows chunks of 3 bytes, and some more for a few
# small chunks.
_CHUNK_FRAMING_BYTES = 5
_FRAMING_FACTOR = 2
_FRAMING_ALLOWANCE = 2048

# Parsing a head of short lines takes 0.7 ms for each kilobyte. Large heads and
# bodies wait for a turn of their own, and take memory while they are
# handled.
_CHEAP_BYTES = 2048

# Buffers of bodies grow while they are received: a crowd with unfinished bodies
# took 2.2 bytes of resident memory for each counted byte without this factor.
_RECEIVING_FACTOR = 2

# While a request is handled, its body is held again as decoded value, as the
# value to store, in base 64, and in the call to the store, which makes 5.7
# times its size.
_HANDLING_FACTOR = 6


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
        read_limits: Callable[[], ServerLimits],
        traffic: Traffic,
        account: ConnectionAccount,
        activity: Activity,
        turn: Turn,
    ) -> None:
        """Create a reader for an accepted connection.

        Args:
            sock: a curio socket.
            connection: protocol state of the server's side.
            read_limits: returns the limits in force for the next request.
            traffic: counts received bytes.
            account: takes memory for what was received.
            activity: tells what the connection is doing.
            turn: bounds the work between two turns of other tasks.
        """
        self.idle = True
        self._sock = sock
        self._http = connection
        self._read_limits = read_limits
        self._limits = read_limits()
        self._traffic = traffic
        self._account = account
        self._activity = activity
        self._turn = turn
        self._clock = MonotonicClock()
        self._received_bytes = 0

    async def next_request(self) -> Request:
        """Read one request with its complete body.

        Returns:
            The request.

        Raises:
            BadRequest: the request is malformed, too large or too slow, or
                finds no memory.
            CallerGone: the connection has ended.
        """
        self._limits = self._read_limits()
        try:
            head = await self._read_head()
            headers = decode_headers(head)
            body = await self._read_body(headers.get('content-length'))
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == _STATUS_HEADERS_TOO_LARGE:
                raise headers_too_large(self._limits) from None
            raise BadRequest(
                error.error_status_hint, ErrorKind.MALFORMED, str(error)
            ) from None
        if len(body) > _CHEAP_BYTES:
            await self._turn.end()
            await self._cover(
                self._received_bytes + _HANDLING_FACTOR * len(body)
            )
        if self._activity.evicted:
            raise CallerGone('closed for others, who need its memory')
        return _build_request(head, headers, body)

    async def _read_head(self) -> h11.Request:
        pipelined = self._http.trailing_data[0]
        self._received_bytes = len(pipelined)
        if pipelined:
            await self._turn.end()
        else:
            await self._wait_for_first_byte()
        if self._received_bytes > _CHEAP_BYTES:
            await self._turn.end()
        event = self._http.next_event()
        if event is h11.NEED_DATA:
            event = await self._wait_for_head()
        if isinstance(event, h11.ConnectionClosed):
            raise CallerGone('the caller closed the connection')
        if not isinstance(event, h11.Request):
            raise BadRequest(400, ErrorKind.MALFORMED, 'a request must follow')
        # h11 limits only incomplete heads, so the size of a large head that
        # arrived at once is checked here.
        if self._received_bytes > self._limits.max_header_bytes:
            if _head_size(event) > self._limits.max_header_bytes:
                raise headers_too_large(self._limits)
        return event

    async def _wait_for_head(self) -> Any:
        deadline = self._clock.now() + self._limits.header_timeout_ms
        event: Any = h11.NEED_DATA
        while event is h11.NEED_DATA:
            await self._receive_chunk(
                deadline, ErrorKind.HEADER_TIMEOUT, 'the headers are too slow'
            )
            if self._received_bytes > _CHEAP_BYTES:
                await self._turn.end()
            event = self._http.next_event()
        return event

    async def _wait_for_first_byte(self) -> None:
        self.idle = True
        self._activity.enter(ConnectionState.IDLE)
        size = self._limits.max_header_bytes
        chunk = sockets.receive_nowait(self._sock, size)
        if chunk is None:
            self._turn.restart()
            try:
                chunk = await sockets.receive_later(
                    self._sock, self._limits.idle_timeout_ms, size
                )
            except sockets.WaitExpired:
                raise CallerGone('no further request') from None
        self.idle = False
        # The limits may have changed while the connection was idle.
        self._limits = self._read_limits()
        await self._accept_bytes(chunk)

    async def _receive_chunk(
        self, deadline: int, kind: ErrorKind, detail: str, expected: int = 0
    ) -> None:
        """Receive bytes of the current request.

        Not much more is received than the request may still have, so that the
        parser holds little of what follows.
        """
        if self._activity.state is not ConnectionState.RECEIVING:
            self._activity.enter(ConnectionState.RECEIVING)
        remaining = Millis(max(0, deadline - self._clock.now()))
        size = max(expected, self._limits.max_header_bytes)
        try:
            chunk = await sockets.receive(
                self._sock, remaining, min(size, sockets.RECEIVE_BYTES)
            )
        except sockets.WaitExpired:
            raise BadRequest(_STATUS_REQUEST_TIMEOUT, kind, detail) from None
        if self._turn.step():
            await self._turn.end()
        await self._accept_bytes(chunk)

    async def _accept_bytes(self, chunk: bytes) -> None:
        self._received_bytes += len(chunk)
        self._traffic.received += len(chunk)
        self._http.receive_data(chunk)
        used = _RECEIVING_FACTOR * self._received_bytes
        if used > self._account.covered:
            await self._cover(used)

    async def _cover(self, amount: int) -> None:
        if not await self._account.cover(amount):
            raise overloaded()

    async def _read_body(self, declared_length: str | None) -> bytes:
        declared = int(declared_length or 0)
        if declared > self._limits.max_body_bytes:
            raise body_too_large(self._limits)
        head_bytes = 0
        if declared_length is None:
            head_bytes = self._received_bytes - len(self._http.trailing_data[0])
        event = self._http.next_event()
        if isinstance(event, h11.EndOfMessage):
            return b''
        body = bytearray()
        chunks = 0
        deadline = self._clock.now() + self._limits.body_timeout_ms
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.Data):
                body += event.data
                chunks += event.chunk_start
                framing = chunks * _CHUNK_FRAMING_BYTES
            else:
                framing = self._received_bytes - head_bytes - len(body)
            if declared_length is None:
                self._check_chunked(len(body), framing)
            if event is h11.NEED_DATA:
                await self._receive_body_chunk(deadline, declared - len(body))
            elif self._turn.step():
                await self._turn.end()
            event = self._http.next_event()
        return bytes(body)

    def _check_chunked(self, size: int, framing: int) -> None:
        if size > self._limits.max_body_bytes:
            raise body_too_large(self._limits)
        if framing > _FRAMING_ALLOWANCE + _FRAMING_FACTOR * size:
            raise chunk_overhead()

    async def _receive_body_chunk(self, deadline: int, expected: int) -> None:
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
            deadline,
            ErrorKind.BODY_TIMEOUT,
            'the body is too slow',
            expected,
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
