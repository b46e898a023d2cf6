"""The HTTP client: one upstream address, a pool of connections.

Its errors tell what may have happened at the upstream, since callers decide
on a retry by exactly that.
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

_PORTS = range(1, 65_536)


class InvalidAddress(JayshoreError):
    """A text is not of the form `host:port`."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """Where a server listens.

    Attributes:
        host: IP number.
        port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse `host:port`.

        Args:
            text: such as `127.0.0.1:80`.

        Returns:
            The address.

        Raises:
            InvalidAddress: the text has another form.
        """
        host, _, digits = text.rpartition(':')
        if not host or not digits.isdecimal() or int(digits) not in _PORTS:
            raise InvalidAddress(f'{text!r} is not of the form host:port')
        return cls(host=host, port=int(digits))

    def __str__(self) -> str:
        """Format as `host:port`."""
        return f'{self.host}:{self.port}'


def always_reuse(_request: Request, _response: Response) -> bool:
    """Keep every connection that the protocol allows to keep.

    Returns:
        True.
    """
    return True


class HttpClient:
    """Calls one server over at most a fixed number of connections."""

    def __init__(
        self,
        *,
        address: Address,
        max_connections: int,
        connect_timeout_ms: Millis,
        may_reuse: Callable[[Request, Response], bool] = always_reuse,
        traffic: Traffic | None = None,
    ) -> None:
        """Configure a client; it connects when it is called.

        Args:
            address: the server.
            max_connections: connections open at once; further calls wait.
            connect_timeout_ms: the longest time to connect, in ms.
            may_reuse: decides after each answer whether its connection may be
                used again; False closes it, for instance when the answer
                belongs to another request.
            traffic: counts the bytes and calls, shared by several clients.
        """
        self._address = address
        self._connect_timeout_ms = connect_timeout_ms
        self._may_reuse = may_reuse
        self._clock = MonotonicClock()
        self._slots = curio.Semaphore(max_connections)
        self._idle: list[ClientConnection] = []
        self._closed = False
        self._address_changes = 0
        self._traffic = traffic or Traffic()
        self._host = str(address).encode('ascii')

    @property
    def address(self) -> Address:
        """The server that is called."""
        return self._address

    async def call(self, request: Request, *, timeout_ms: Millis) -> Response:
        """Send a request and wait for its answer.

        Args:
            request: what to send; its header names are lower-case.
            timeout_ms: the longest time until the whole answer, including
                the wait for a connection, in ms.

        Returns:
            The whole answer, whatever its status.

        Raises:
            ConnectFailed: nothing was sent.
            ConnectionLost: sent, at least in part, without a whole answer.
            CallTimedOut: sent, without an answer in time.
            InvalidHeader: a header cannot be sent; nothing was sent.
        """
        deadline = Millis(self._clock.now() + timeout_ms)
        if self._slots.value:
            await self._slots.acquire()
        else:
            await self._wait_for_slot(timeout_ms)
        try:
            return await self._call_in_slot(request, deadline)
        finally:
            await self._slots.release()

    async def set_address(self, address: Address) -> None:
        """Call another address from now on.

        Args:
            address: the server; connections to the former one are closed as
                soon as their calls have ended.
        """
        if address == self._address:
            return
        self._address = address
        self._host = str(address).encode('ascii')
        self._address_changes += 1
        await self._close_idle()

    async def close(self) -> None:
        """Close idle connections now, the others after their calls."""
        self._closed = True
        await self._close_idle()

    async def _close_idle(self) -> None:
        while self._idle:
            await self._idle.pop().close()

    async def _wait_for_slot(self, limit_ms: Millis) -> None:
        async with curio.ignore_after(to_seconds(limit_ms)):
            await self._slots.acquire()
            return
        raise ConnectFailed(f'no free connection to {self._address}')

    async def _call_in_slot(
        self, request: Request, deadline: Millis
    ) -> Response:
        outgoing = OutgoingRequest(
            request=request,
            host=self._host,
            deadline=deadline,
        )
        response = None
        while response is None:
            connection = await self._open(deadline)
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
            # A connection can go silent for good while new ones work, and
            # idle ones may have gone the same way; each costs a timeout.
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

    async def _open(self, deadline: Millis) -> 'ClientConnection':
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
                sockets.configure(sock)
                sockets.probe_peer(sock)
                return
        except ConnectionRefusedError as refusal:
            raise ConnectRefused(f'{self._address}: {refusal}') from None
        except OSError as error:
            raise ConnectFailed(f'{self._address}: {error}') from None
        raise ConnectFailed(
            f'{self._address}: not connected within {limit_ms} ms'
        )
