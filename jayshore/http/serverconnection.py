"""A server connection: reads requests and sends responses in order."""

import abc
import contextlib
from collections.abc import Callable
from typing import Any

import curio
import eliot
import h11

from jayshore.clock import Millis, MonotonicClock
from jayshore.http import sockets
from jayshore.http.accounts import ConnectionAccount
from jayshore.http.budgets import AddressBudget
from jayshore.http.evictions import Activity, ConnectionState, Evictable
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
)
from jayshore.http.turns import Turn
from jayshore.http.serverlimits import ServerLimits, no_connection, overloaded
from jayshore.outcomes import JayshoreError
from jayshore.traffic import Traffic

# Lingering close: after the last response of a connection, further bytes from
# the caller are read and discarded for this long. Closing with unread bytes
# makes the kernel send a reset, which can destroy the response before the
# caller has read it.
_LINGER_MS = Millis(500)

_STATUS_INTERNAL = 500
_METHODS_WITHOUT_EFFECT = frozenset(('GET', 'HEAD'))
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


class ServerConnection(Evictable):
    """One accepted connection.

    Attributes:
        draining: whether the connection closes after the next response.
        account: what the connection uses of the budgets of the process.
    """

    def __init__(
        self,
        *,
        sock: Any,
        handler: Handler,
        read_limits: Callable[[], ServerLimits],
        traffic: Traffic,
        budget: AddressBudget,
    ) -> None:
        """Wrap an accepted connection.

        Args:
            sock: a curio socket.
            handler: handles the requests.
            read_limits: returns the limits on size and time in force.
            traffic: counts bytes and responses.
            budget: what the connections of the address may use.
        """
        self.draining = False
        self.activity = Activity(clock=budget.budgets.clock)
        self.account = ConnectionAccount(address=budget, owner=self)
        self._sock = sock
        self._handler = handler
        self._task: Any = None
        self._turn = Turn(gate=budget.gate)
        self._limits = read_limits()
        self._traffic = traffic
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )
        self._reader = RequestReader(
            sock=sock,
            connection=self._http,
            read_limits=read_limits,
            traffic=traffic,
            account=self.account,
            activity=self.activity,
            turn=self._turn,
        )

    async def run(self) -> None:
        """Serve requests until one side ends the connection."""
        self._task = await curio.current_task()
        with contextlib.suppress(OSError, CallerGone, sockets.WaitExpired):
            refusal = await self._serve_requests()
            if refusal is None:
                await self._linger()
            else:
                await self._send_final_response(refusal)

    async def refuse(self, response: Response) -> None:
        """Send a response without reading a request, and end the connection.

        Args:
            response: the response, which gives the reason.
        """
        with contextlib.suppress(OSError, sockets.WaitExpired):
            await self._send_final_response(response)

    async def close(self) -> None:
        """Close the socket and return what the connection used."""
        self.account.close()
        await self._sock.close()

    def refuse_at_once(self) -> None:
        """Send a refusal as far as that is possible without waiting."""
        self.draining = True
        with contextlib.suppress(OSError):
            sockets.send_nowait(
                self._sock, self._encode(no_connection(), 'GET')
            )
            sockets.shutdown_sending(self._sock)
            sockets.discard_received(self._sock)

    async def evict(self) -> bool:
        """Close the connection to make room for others.

        A request of which a part was received has not run, and the caller is
        told so. A request that is handled and has no effect is interrupted.

        Returns:
            False when a request has just arrived, so that it stays open.
        """
        state = self.activity.state
        if state is ConnectionState.IDLE and not sockets.is_idle(self._sock):
            self.activity.enter(ConnectionState.IDLE)
            return False
        self.activity.enter(ConnectionState.EVICTED)
        if state is ConnectionState.RECEIVING:
            self.draining = True
            with contextlib.suppress(OSError, h11.LocalProtocolError):
                refusal = overloaded().response
                sockets.send_nowait(self._sock, self._encode(refusal, 'GET'))
        sockets.shutdown_both(self._sock)
        if state is ConnectionState.WAITING:
            await self._task.cancel(blocking=False)
        return True

    def close_if_idle(self) -> None:
        """End the connection unless a request is arriving or in progress.

        The connection's task wakes up and reads the end of the stream. This is
        not done while received bytes are unread, so that a request that has
        reached this host is always answered.
        """
        self.draining = True
        if self._reader.idle and sockets.is_idle(self._sock):
            sockets.shutdown_receiving(self._sock)

    async def _serve_requests(self) -> Response | None:
        """Serve requests until one is refused or the connection ends.

        The refusal is returned instead of raised, because the traceback of an
        exception would keep the received body while the caller is told.
        """
        while True:
            try:
                request = await self._reader.next_request()
            except BadRequest as bad:
                if self.activity.evicted:
                    raise CallerGone('closed to make room') from None
                self.account.note(bad.kind.value)
                return bad.response
            response = await self._call_handler(request)
            method = request.method
            del request  # noqa: WPS420 frees the body before the response
            await self._send_response(response, method)
            self.account.release()
            if self._http.our_state is not h11.DONE:
                return None
            self._http.start_next_cycle()

    async def _call_handler(self, request: Request) -> Response:
        waits = request.method in _METHODS_WITHOUT_EFFECT
        self.activity.enter(
            ConnectionState.WAITING if waits else ConnectionState.HANDLING
        )
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
        self.account.release()
        await self._send_response(response, 'GET')
        await self._linger()

    async def _send_response(self, response: Response, method: str) -> None:
        message = self._encode(response, method)
        self._traffic.sent += len(message)
        self._traffic.messages += 1
        sent = sockets.send_nowait(self._sock, message)
        if sent < len(message):
            await self._send_rest(message, sent)

    async def _send_rest(self, message: bytes, sent: int) -> None:
        """Send what the caller has not taken, which takes memory meanwhile."""
        self.activity.enter(ConnectionState.SENDING)
        if not await self.account.cover_response(len(message), sent):
            raise CallerGone('too little memory for an unread response')
        await sockets.send_remaining(
            self._sock, message, sent, self._limits.write_timeout_ms
        )

    def _encode(self, response: Response, method: str) -> bytes:
        try:
            head = self._response_head(response)
        except (h11.LocalProtocolError, ValueError) as error:
            eliot.log_message('http:answer_invalid', error=repr(error))
            response = _INTERNAL_ERROR
            head = self._response_head(response)
        body = b'' if method == 'HEAD' else response.body
        return encode_message(self._http, head, body)

    def _response_head(self, response: Response) -> h11.Response:
        headers = encode_headers(response.headers)
        add_content_length(headers, len(response.body))
        if self.draining:
            headers.append(CLOSE_HEADER)
        return h11.Response(
            status_code=response.status, headers=Headers(headers)
        )

    async def _linger(self) -> None:
        self.activity.enter(ConnectionState.CLOSING)
        sockets.shutdown_sending(self._sock)
        clock = MonotonicClock()
        end = clock.now() + _LINGER_MS
        while clock.now() < end:
            remaining = Millis(end - clock.now())
            if not await sockets.receive(self._sock, remaining):
                return
            await self._turn.end()
