"""One connection of the server: reads requests and writes answers in order."""

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

# After an answer that ends a connection, the rest of what the caller sent is
# read and discarded for a moment: closing with unread bytes makes the kernel
# send a reset, which can destroy the answer before the caller has read it.
_LINGER_MS = Millis(500)

_STATUS_INTERNAL = 500
_INTERNAL_ERROR = error_response(
    _STATUS_INTERNAL, ErrorKind.INTERNAL, 'the server failed on this request'
)


class Handler(abc.ABC):
    """Answers the requests of a server."""

    @abc.abstractmethod
    async def handle(self, request: Request) -> Response:
        """Answer one request.

        Args:
            request: a whole request.

        Returns:
            The answer.
        """


class DropConnection(JayshoreError):
    """A handler ends its connection without an answer.

    Stand-ins raise it to act as a broken upstream; the daemon never does.
    """


class ServerConnection:
    """One accepted connection.

    Attributes:
        draining: True when the connection closes after the next answer.
    """

    def __init__(
        self,
        *,
        sock: Any,
        handler: Handler,
        limits: ServerLimits,
        traffic: Traffic,
    ) -> None:
        """Take over an accepted connection.

        Args:
            sock: a curio socket.
            handler: answers the requests.
            limits: what the caller may cost.
            traffic: counts the bytes and answers.
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
        """Answer requests until one side ends the connection."""
        with contextlib.suppress(OSError, CallerGone, sockets.WaitExpired):
            try:
                await self._answer_requests()
            except BadRequest as bad:
                await self._end_with(bad.answer)

    async def refuse(self, answer: Response) -> None:
        """Send an answer without reading a request, and end the connection.

        Args:
            answer: the reason.
        """
        with contextlib.suppress(OSError, sockets.WaitExpired):
            await self._end_with(answer)

    def end_if_idle(self) -> None:
        """End the connection unless a request is arriving or in progress.

        The connection's task wakes and sees the end of the stream. This is
        not done while received bytes wait, so that a request that has reached
        this host is always answered.
        """
        self.draining = True
        if self._reader.idle and sockets.is_quiet(self._sock):
            sockets.end_receiving(self._sock)

    async def _answer_requests(self) -> None:
        while True:
            request = await self._reader.next_request()
            answer = await self._call_handler(request)
            await self._write(answer, request.method)
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

    async def _end_with(self, answer: Response) -> None:
        self.draining = True
        await self._write(answer, 'GET')
        await self._linger()

    async def _write(self, answer: Response, method: str) -> None:
        try:
            head = self._response_head(answer)
        except (h11.LocalProtocolError, ValueError) as error:
            eliot.log_message('http:answer_invalid', error=repr(error))
            answer = _INTERNAL_ERROR
            head = self._response_head(answer)
        body = b'' if method == 'HEAD' else answer.body
        message = encode_message(self._http, head, body)
        self._traffic.sent += len(message)
        self._traffic.messages += 1
        await sockets.send(self._sock, message, self._limits.write_timeout_ms)

    def _response_head(self, answer: Response) -> h11.Response:
        headers = encode_headers(answer.headers)
        add_content_length(headers, len(answer.body))
        if self.draining:
            headers.append(CLOSE_HEADER)
        return h11.Response(status_code=answer.status, headers=Headers(headers))

    async def _linger(self) -> None:
        sockets.end_sending(self._sock)
        clock = MonotonicClock()
        end = clock.now() + _LINGER_MS
        while clock.now() < end:
            remaining = Millis(end - clock.now())
            if not await sockets.receive(self._sock, remaining):
                return
