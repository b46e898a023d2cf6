"""HTTP client for one upstream address, with a connection pool.

Its errors tell whether the upstream may have received the request, since
callers decide by that whether to retry.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

import curio

from jayshore.clock import (
    Millis,
    MonotonicClock,
    to_seconds,
)
from jayshore.http import sockets
from jayshore.http.clientconnection import (
    CallTimedOut,
    ClientConnection,
    ConnectFailed,
    ConnectionLost,
    ConnectRefused,
    NothingSent,
    OutgoingRequest,
)
from jayshore.http.messages import Request, Response
from jayshore.outcomes import JayshoreError
from jayshore.traffic import Traffic

__all__ = (  # noqa: WPS410
    'Address',
    'CallTimedOut',
    'ConnectFailed',
    'ConnectRefused',
    'ConnectionLost',
    'HttpClient',
    'InvalidAddress',
)

_VALID_PORTS = range(1, 65_536)
_MAX_PORT_DIGITS = 5


class InvalidAddress(JayshoreError):
    """A text does not have the form `host:port`."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """Address on which a server listens.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse `host:port`.

        Args:
            text: the address, such as `127.0.0.1:80`.

        Returns:
            The address.

        Raises:
            InvalidAddress: the text has another form.
        """
        host, _, digits = text.rpartition(':')
        is_number = digits.isascii() and digits.isdecimal()
        if (
            not host
            or not is_number
            or len(digits) > _MAX_PORT_DIGITS
            or int(digits) not in _VALID_PORTS
        ):
            raise InvalidAddress(f'{text!r} is not of the form host:port')
        return cls(host=host, port=int(digits))

    def __str__(self) -> str:
        """Format as `host:port`."""
        return f'{self.host}:{self.port}'


def always_reuse(_request: Request, _response: Response) -> bool:
    """Allow reuse of every connection that the protocol leaves open.

    Returns:
        True.
    """
    return True


class HttpClient:
    """Calls one server over a limited number of connections."""

    def __init__(
        self,
        *,
        address: Address,
        max_connections: int,
        connect_timeout_ms: Millis,
        may_reuse: Callable[[Request, Response], bool] = always_reuse,
        traffic: Traffic | None = None,
    ) -> None:
        """Configure a client; connections are opened by calls.

        Args:
            address: address of the server.
            max_connections: most connections open at a time; further calls
                wait for one.
            connect_timeout_ms: timeout of connecting, in ms.
            may_reuse: decides after each response whether its connection may
                be used again. False closes it, for instance when the response
                belongs to another request.
            traffic: counts bytes and calls; several clients may share it.
        """
        self._address = address
        self._connect_timeout_ms = connect_timeout_ms
        self._may_reuse = may_reuse
        self._clock = MonotonicClock()
        self._connection_slots = curio.Semaphore(max_connections)
        self._idle: list[ClientConnection] = []
        self._closed = False
        self._address_changes = 0
        self._traffic = traffic or Traffic()
        self._host = str(address).encode('ascii')

    @property
    def address(self) -> Address:
        """Address of the server."""
        return self._address

    async def call(self, request: Request, *, timeout_ms: Millis) -> Response:
        """Send a request and wait for its response.

        Args:
            request: the request, with lower-case header names.
            timeout_ms: timeout of the whole call, including the wait for a
                connection, in ms.

        Returns:
            The complete response, whatever its status.

        Raises:
            ConnectFailed: nothing was sent.
            ConnectionLost: the request was sent, at least in part, and no
                complete response was received.
            CallTimedOut: the request was sent and no complete response was
                received in time.
            InvalidHeader: a header cannot be sent; nothing was sent.
        """
        deadline = Millis(self._clock.now() + timeout_ms)
        if self._connection_slots.value:
            await self._connection_slots.acquire()
        else:
            await self._wait_for_slot(timeout_ms)
        try:
            return await self._call_with_slot(request, deadline)
        finally:
            await self._connection_slots.release()

    async def change_address(self, address: Address) -> None:
        """Send further calls to another address.

        Args:
            address: the new address. Connections to the former one are closed
                as soon as their calls have ended.
        """
        if address == self._address:
            return
        self._address = address
        self._host = str(address).encode('ascii')
        self._address_changes += 1
        await self._close_idle()

    async def close(self) -> None:
        """Close idle connections now, and the others after their calls."""
        self._closed = True
        await self._close_idle()

    async def _close_idle(self) -> None:
        while self._idle:
            await self._idle.pop().close()

    async def _wait_for_slot(self, limit_ms: Millis) -> None:
        async with curio.ignore_after(to_seconds(limit_ms)):
            await self._connection_slots.acquire()
            return
        raise ConnectFailed(f'no free connection to {self._address}')

    async def _call_with_slot(
        self, request: Request, deadline: Millis
    ) -> Response:
        outgoing = OutgoingRequest(
            request=request,
            host=self._host,
            deadline=deadline,
        )
        response = None
        while response is None:
            connection = await self._get_connection(deadline)
            response = await self._try_call(connection, outgoing)
        return response

    async def _try_call(
        self, connection: ClientConnection, outgoing: OutgoingRequest
    ) -> Response | None:
        reusable = False
        address_changes = self._address_changes
        try:
            response = await connection.call(outgoing)
            reusable = connection.reusable and self._may_reuse(
                outgoing.request, response
            )
        except CallTimedOut:
            # A connection may stop carrying data while new ones work. Idle
            # connections may have failed in the same way and would cost a
            # timeout each, so they are closed.
            await self._close_idle()
            raise
        except NothingSent as unsent:
            if connection.pooled:
                return None
            raise ConnectFailed(f'{self._address}: {unsent}') from None
        finally:
            if (
                reusable
                and not self._closed
                and address_changes == self._address_changes
            ):
                connection.pooled = True
                self._idle.append(connection)
            else:
                await connection.close()
        return response

    async def _get_connection(self, deadline: Millis) -> 'ClientConnection':
        while self._idle:
            pooled = self._idle.pop()
            if pooled.is_alive():
                return pooled
            await pooled.close()
        remaining = max(0, deadline - self._clock.now())
        limit = min(self._connect_timeout_ms, remaining)
        sock = curio.socket.socket()
        try:
            await self._connect(sock, Millis(limit))
        except BaseException:
            await sock.close()
            raise
        return ClientConnection(sock=sock, traffic=self._traffic)

    async def _connect(self, sock: Any, limit_ms: Millis) -> None:
        try:
            async with curio.ignore_after(to_seconds(limit_ms)):
                await sock.connect((self._address.host, self._address.port))
                sockets.disable_nagle(sock)
                sockets.enable_keepalive(sock)
                return
        except ConnectionRefusedError as refusal:
            raise ConnectRefused(f'{self._address}: {refusal}') from None
        except OSError as error:
            raise ConnectFailed(f'{self._address}: {error}') from None
        raise ConnectFailed(
            f'{self._address}: not connected within {limit_ms} ms'
        )
