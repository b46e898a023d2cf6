"""A client connection: sends requests and reads their responses."""

import dataclasses
from typing import Any
from urllib.parse import quote, urlencode

import h11

from jayshore.clock import Millis, MonotonicClock
from jayshore.http import sockets
from jayshore.http.headers import (
    Headers,
    add_content_length,
    decode_header_pairs,
    encode_headers,
    encode_message,
)
from jayshore.http.messages import Request, Response
from jayshore.outcomes import JayshoreError
from jayshore.traffic import Traffic

MAX_RESPONSE_BYTES = 67_108_864
"""Limit on the body of a response, so that no upstream exhausts memory."""

_MAX_HEAD_BYTES = 65_536
_METHODS_WITH_BODY = frozenset(('POST', 'PUT'))
_PATH_SAFE = "/-._~!$&'()*+,;=:@"


class ConnectFailed(JayshoreError):
    """No connection was established; certainly nothing was sent."""


class ConnectRefused(ConnectFailed):
    """Nothing was sent: the host answered, but no process listens there."""


class ConnectionLost(JayshoreError):
    """The request was sent, at least in part, without a complete response."""


class CallTimedOut(JayshoreError):
    """The request was sent and no complete response was received in time."""


class NothingSent(JayshoreError):
    """The connection was broken before any byte of the request was sent."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutgoingRequest:
    """A request with its `Host` header and deadline.

    Attributes:
        request: the request to send.
        host: value of the `Host` header.
        deadline: time of the monotonic clock by which the response must be
            complete, in ms.
    """

    request: Request
    host: bytes
    deadline: Millis


class ClientConnection:
    """One connection to a server.

    Attributes:
        pooled: whether the connection has been returned to a pool.
        reusable: whether the last response left the connection usable.
    """

    def __init__(self, *, sock: Any, traffic: Traffic) -> None:
        """Wrap a connected socket.

        Args:
            sock: a curio socket.
            traffic: counts bytes and calls.
        """
        self.pooled = False
        self.reusable = False
        self._sock = sock
        self._traffic = traffic
        self._clock = MonotonicClock()
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )

    async def call(self, outgoing: OutgoingRequest) -> Response:
        """Send a request and read its response.

        Args:
            outgoing: the request.

        Returns:
            The complete response.

        Raises:
            NothingSent: the connection was broken before.
            ConnectionLost: the connection broke or carried invalid HTTP.
            CallTimedOut: no complete response before the deadline.
        """
        self.reusable = False
        message = _encode_request(self._http, outgoing)
        try:
            sent = sockets.send_nowait(self._sock, message)
        except OSError as error:
            raise NothingSent(str(error)) from None
        self._traffic.sent += len(message)
        self._traffic.messages += 1
        try:
            return await self._finish_call(message, sent, outgoing.deadline)
        except sockets.WaitExpired:
            raise CallTimedOut('no answer in time') from None
        except (OSError, h11.RemoteProtocolError) as broken:
            raise ConnectionLost(str(broken)) from None

    def is_alive(self) -> bool:
        """Tell whether the idle connection is open and has no unread data.

        Returns:
            False when the server has closed it or sent unrequested data.
        """
        return sockets.is_idle(self._sock)

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    async def _finish_call(
        self, message: bytes, sent: int, deadline: Millis
    ) -> Response:
        try:
            await sockets.send_remaining(
                self._sock, message, sent, self._remaining(deadline)
            )
        except OSError:
            # A server may refuse a large request before it has read all of
            # it. Its response is then in the receive buffer.
            return await self._read_response(deadline)
        response = await self._read_response(deadline)
        self._prepare_next_cycle()
        return response

    def _prepare_next_cycle(self) -> None:
        if self._http.our_state is not h11.DONE:
            return
        if self._http.their_state is h11.DONE:
            self.reusable = not self._http.trailing_data[0]
            self._http.start_next_cycle()

    async def _read_response(self, deadline: Millis) -> Response:
        await self._receive_chunk(deadline)
        head = await self._next_event(deadline)
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event(deadline)
        if not isinstance(head, h11.Response):
            raise ConnectionLost('the server closed the connection')
        chunks: list[bytes] = []
        size = 0
        event = await self._next_event(deadline)
        while isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
            size += len(event.data)
            if size > MAX_RESPONSE_BYTES:
                raise ConnectionLost(f'answer over {MAX_RESPONSE_BYTES} bytes')
            event = await self._next_event(deadline)
        return Response(
            status=head.status_code,
            headers=decode_header_pairs(head),
            body=chunks[0] if len(chunks) == 1 else b''.join(chunks),
        )

    async def _next_event(self, deadline: Millis) -> Any:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            await self._receive_chunk(deadline)
            event = self._http.next_event()
        return event

    async def _receive_chunk(self, deadline: Millis) -> None:
        chunk = await sockets.receive(self._sock, self._remaining(deadline))
        self._traffic.received += len(chunk)
        self._http.receive_data(chunk)

    def _remaining(self, deadline: Millis) -> Millis:
        return Millis(max(0, deadline - self._clock.now()))


def _encode_request(
    connection: h11.Connection, outgoing: OutgoingRequest
) -> bytes:
    request = outgoing.request
    target = quote(request.path, safe=_PATH_SAFE)
    if request.query:
        target = f'{target}?{urlencode(request.query)}'
    headers = encode_headers(request.headers.items())
    headers.append((b'host', b'host', outgoing.host))
    if request.body or request.method in _METHODS_WITH_BODY:
        add_content_length(headers, len(request.body))
    head = h11.Request(
        method=request.method, target=target, headers=Headers(headers)
    )
    return encode_message(connection, head, request.body)
