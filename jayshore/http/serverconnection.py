"""A server connection: reads requests and sends responses in order."""

import abc
import contextlib
from typing import Any

import curio
import eliot
import h11

from jayshore.clock import Millis, MonotonicClock
from jayshore.http import sockets
from jayshore.http.headers import (
    CLOSE_HEADER,
    Headers,
    add_content_length,
    encode_headers,
    encode_message,
)
from jayshore.http.messages import (
    ErrorKind,
    Request,
    Response,
    error_response,
)
from jayshore.http.requestreader import (
    BadRequest,
    CallerGone,
    RequestReader,
    ServerLimits,
)
from jayshore.outcomes import JayshoreError
from jayshore.traffic import Traffic

# Lingering close: after the last response of a connection, further bytes from
# the caller are read and discarded for this long. Closing with unread bytes
# makes the kernel send a reset, which can destroy the response before the
# caller has read it.
_LINGER_MS = Millis(500)

_STATUS_INTERNAL = 500
_INTERNAL_ERROR = error_response(
    _STATUS_INTERNAL, ErrorKind.INTERNAL, 'the server failed on this request'
)


class Handler(abc.ABC):
    """Handles the requests to a server."""

    @abc.abstractmethod
    async def handle(self, request: Request) -> Response:
        """Handle one request.

        Args:
            request: the complete request.

        Returns:
            The response.
        """


class DropConnection(JayshoreError):
    """A handler ends its connection without a response.

    Stand-ins raise it to simulate a broken upstream; the daemon never does.
    """


class ServerConnection:
    """One accepted connection.

    Attributes:
        draining: whether the connection closes after the next response.
    """

    def __init__(
        self,
        *,
        sock: Any,
        handler: Handler,
        limits: ServerLimits,
        traffic: Traffic,
    ) -> None:
        """Wrap an accepted connection.

        Args:
            sock: a curio socket.
            handler: handles the requests.
            limits: limits on size and time.
            traffic: counts bytes and responses.
        """
        self.draining = False
        self._sock = sock
        self._handler = handler
        self._limits = limits
        self._traffic = traffic
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._reader = RequestReader(
            sock=sock,
            connection=self._http,
            limits=limits,
            traffic=traffic,
        )

    async def run(self) -> None:
        """Serve requests until one side ends the connection."""
        with contextlib.suppress(OSError, CallerGone, sockets.WaitExpired):
            try:
                await self._serve_requests()
            except BadRequest as bad:
                await self._send_final_response(bad.response)

    async def refuse(self, response: Response) -> None:
        """Send a response without reading a request, and end the connection.

        Args:
            response: the response, which gives the reason.
        """
        with contextlib.suppress(OSError, sockets.WaitExpired):
            await self._send_final_response(response)

    def close_if_idle(self) -> None:
        """End the connection unless a request is arriving or in progress.

        The connection's task wakes up and reads the end of the stream. This is
        not done while received bytes are unread, so that a request that has
        reached this host is always answered.
        """
        self.draining = True
        if self._reader.idle and sockets.is_idle(self._sock):
            sockets.shutdown_receiving(self._sock)

    async def _serve_requests(self) -> None:
        while True:
            request = await self._reader.next_request()
            response = await self._call_handler(request)
            await self._send_response(response, request.method)
            if self._http.our_state is not h11.DONE:
                break
            self._http.start_next_cycle()
        await self._linger()

    async def _call_handler(self, request: Request) -> Response:
        try:
            return await self._handler.handle(request)
        except DropConnection:
            raise CallerGone('dropped by the handler') from None
        except (Exception, curio.TaskTimeout) as error:
            eliot.write_traceback()
            eliot.log_message(
                'http:handler_failed',
                method=request.method,
                path=request.path,
                error=repr(error),
            )
        return _INTERNAL_ERROR

    async def _send_final_response(self, response: Response) -> None:
        self.draining = True
        await self._send_response(response, 'GET')
        await self._linger()

    async def _send_response(self, response: Response, method: str) -> None:
        try:
            head = self._response_head(response)
        except (h11.LocalProtocolError, ValueError) as error:
            eliot.log_message('http:answer_invalid', error=repr(error))
            response = _INTERNAL_ERROR
            head = self._response_head(response)
        body = b'' if method == 'HEAD' else response.body
        message = encode_message(self._http, head, body)
        self._traffic.sent += len(message)
        self._traffic.messages += 1
        await sockets.send(self._sock, message, self._limits.write_timeout_ms)

    def _response_head(self, response: Response) -> h11.Response:
        headers = encode_headers(response.headers)
        add_content_length(headers, len(response.body))
        if self.draining:
            headers.append(CLOSE_HEADER)
        return h11.Response(
            status_code=response.status, headers=Headers(headers)
        )

    async def _linger(self) -> None:
        sockets.shutdown_sending(self._sock)
        clock = MonotonicClock()
        end = clock.now() + _LINGER_MS
        while clock.now() < end:
            remaining = Millis(end - clock.now())
            if not await sockets.receive(self._sock, remaining):
                return
