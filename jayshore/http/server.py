"""HTTP server: accepts, limits and drains connections."""

from collections.abc import Callable
from typing import Any

import curio
import eliot

from jayshore.clock import (
    Millis,
    MonotonicClock,
    to_seconds,
)
from jayshore.http import sockets
from jayshore.http.budgets import AddressBudget, ClientBudgets
from jayshore.http.messages import ErrorKind, error_response
from jayshore.http.serverconnection import Handler, ServerConnection
from jayshore.http.serverlimits import ServerLimits
from jayshore.outcomes import JayshoreError
from jayshore.traffic import Traffic

__all__ = (  # noqa: WPS410
    'Handler',
    'HttpServer',
    'NotListening',
    'ServerLimits',
)

DRAIN_GRACE_MS = Millis(250)
"""How long a draining server keeps idle connections open, in ms.

A request that a caller sends before it learns of the drain arrives after one
network latency. This is many times the latency of any link of the platform.
"""

_LISTEN_BACKLOG = 1024
_MAX_PENDING_REFUSALS = 64
_STATUS_UNAVAILABLE = 503

# A process without free file descriptors cannot accept connections, and
# retrying at once would only use processor time.
_ACCEPT_RETRY_MS = Millis(50)

# Accepting does not yield in curio while connections wait to be accepted.
_ACCEPTS_PER_TURN = 16


class NotListening(JayshoreError):
    """The server has no listening socket."""


class HttpServer:
    """Serves requests on one address with one handler."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: Handler,
        limits: ServerLimits | Callable[[], ServerLimits],
        traffic: Traffic | None = None,
        budget: AddressBudget | None = None,
    ) -> None:
        """Configure a server; `listen` or `serve` makes it listen.

        Args:
            host: IP address to bind.
            port: TCP port to bind, 0 for any free one.
            handler: handles the requests.
            limits: limits on the resources that callers use, or a function
                that returns those in force.
            traffic: counts bytes and responses.
            budget: what the connections may use of the process, by default
                without limit.
        """
        self._address = (host, port)
        self._handler = handler
        self._read_limits = limits if callable(limits) else lambda: limits
        self._budget = budget or ClientBudgets().address(trusted=False)
        self._traffic = traffic or Traffic()
        self._listener: Any = None
        self._accept_task: Any = None
        self._stopped = curio.Event()
        self._draining = False
        self._connection_tasks: dict[ServerConnection, Any] = {}
        self._pending_refusals = 0

    @property
    def bound_port(self) -> int:
        """Port on which the server listens.

        Raises:
            NotListening: the server does not listen.
        """
        if self._listener is None:
            raise NotListening('the server does not listen')
        return int(self._listener.getsockname()[1])

    @property
    def open_connections(self) -> int:
        """Number of connections that are being served."""
        return len(self._connection_tasks)

    def listen(self) -> None:
        """Bind the address and listen on it, unless this was done before."""
        if self._listener is None:
            self._listener = curio.tcp_server_socket(
                *self._address, backlog=_LISTEN_BACKLOG
            )

    async def serve(self) -> None:
        """Serve until cancelled, or until a drain is complete."""
        self.listen()
        self._accept_task = await curio.spawn(
            self._accept_connections(), daemon=True
        )
        try:
            await self._stopped.wait()
        finally:
            await self._stop_accepting()
            await self._cancel_connections()

    async def drain(
        self, limit_ms: Millis, *, grace_ms: Millis = DRAIN_GRACE_MS
    ) -> None:
        """Stop the server without interrupting calls.

        New connections are refused. Calls in progress, and calls that arrive
        on open connections, are answered with `Connection: close`. Idle
        connections are closed after the grace period. `serve` then returns.

        Args:
            limit_ms: timeout of the drain, in ms; calls that are still in
                progress then are interrupted.
            grace_ms: how long idle connections stay open, in ms.
        """
        clock = MonotonicClock()
        end = clock.now() + limit_ms
        self._draining = True
        for connection in self._connection_tasks:
            connection.draining = True
        await self._stop_accepting()
        await self._wait_for_connections(min(grace_ms, limit_ms))
        for idle in self._connection_tasks:
            idle.close_if_idle()
        await self._wait_for_connections(Millis(end - clock.now()))
        await self._cancel_connections()
        await self._stopped.set()

    async def _accept_connections(self) -> None:
        accepted = 0
        while True:
            accepted += 1
            if accepted % _ACCEPTS_PER_TURN == 0:
                await curio.sleep(0)
            try:
                sock, _ = await self._listener.accept()
            except OSError as error:
                eliot.log_message('http:accept_failed', error=repr(error))
                await self._budget.evict_one()
                await curio.sleep(to_seconds(_ACCEPT_RETRY_MS))
            else:
                await self._start_connection(sock)

    async def _start_connection(self, sock: Any) -> None:
        connection = ServerConnection(
            sock=sock,
            handler=self._handler,
            read_limits=self._read_limits,
            traffic=self._traffic,
            budget=self._budget,
        )
        connection.draining = self._draining
        is_open = await connection.account.open()
        if is_open and await self._budget.make_room(
            self._has_room, own_only=True
        ):
            self._connection_tasks[connection] = await curio.spawn(
                self._run_connection(sock, connection), daemon=True
            )
        elif is_open and self._pending_refusals < _MAX_PENDING_REFUSALS:
            self._pending_refusals += 1
            await curio.spawn(
                self._refuse_connection(sock, connection), daemon=True
            )
        else:
            connection.refuse_at_once()
            await connection.close()

    def _has_room(self) -> bool:
        limit = self._read_limits().max_connections
        return len(self._connection_tasks) < limit

    async def _run_connection(
        self, sock: Any, connection: ServerConnection
    ) -> None:
        try:
            sockets.disable_nagle(sock)
            await connection.run()
        except Exception:
            eliot.write_traceback()
        finally:
            del self._connection_tasks[connection]
            await connection.close()

    async def _refuse_connection(
        self, sock: Any, connection: ServerConnection
    ) -> None:
        limit = self._read_limits().max_connections
        try:
            await connection.refuse(
                error_response(
                    _STATUS_UNAVAILABLE,
                    ErrorKind.TOO_MANY_CONNECTIONS,
                    f'{limit} connections are open',
                )
            )
        finally:
            self._pending_refusals -= 1
            await connection.close()

    async def _stop_accepting(self) -> None:
        if self._accept_task is not None:
            await self._accept_task.cancel()
            self._accept_task = None
        if self._listener is None:
            return
        # Connections that the kernel has established already may carry
        # requests; closing the listener without accepting them would reset
        # them.
        listener = self._listener
        self._listener = None
        while self._draining:
            try:
                accepted, _ = listener._socket.accept()  # noqa: WPS437
            except OSError:
                break
            await self._start_connection(curio.io.Socket(accepted))
        await listener.close()

    async def _wait_for_connections(self, limit_ms: Millis) -> None:
        async with curio.ignore_after(to_seconds(limit_ms)):
            for task in tuple(self._connection_tasks.values()):
                await task.wait()

    async def _cancel_connections(self) -> None:
        tasks = tuple(self._connection_tasks.values())
        for task in tasks:
            await task.cancel(blocking=False)
        for cancelled in tasks:
            await cancelled.wait()
