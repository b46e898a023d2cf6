"""Loopback TCP proxy that can delay, stall or reset its connections."""

import enum
import socket
import struct
from typing import Any

import curio

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds

HOST = '127.0.0.1'

_CHUNK_BYTES = 65_536
_POLL_MS = Millis(10)
_NO_DELAY = Millis(0)
_LINGER_RESET = struct.pack('ii', 1, 0)
"""SO_LINGER value with which closing a socket sends a reset."""


class LinkMode(enum.Enum):
    """How a link treats its connections.

    `SILENT`: data is held back in both directions. `ONE_WAY`: data to the
    server passes, answers are held back. `REFUSED`: connections are reset.
    """

    PASS = 'pass'  # noqa: S105
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    REFUSED = 'refused'


class _Connection:
    """A proxied connection; a stale one forwards nothing any more."""

    def __init__(self, *, caller: Any, server: Any, task: Any) -> None:
        self.caller = caller
        self.server = server
        self.task = task
        self.stale = False


class Link:
    """TCP proxy to one port."""

    def __init__(self, *, target_port: int) -> None:
        """Create a link that does not listen yet.

        Args:
            target_port: port on 127.0.0.1 to forward to.
        """
        self._target_port = target_port
        self._mode = LinkMode.PASS
        self._delay_ms = Millis(0)
        self._connections: set[_Connection] = set()
        self._tasks = BackgroundTasks()
        self._listener: Any = None

    @property
    def port(self) -> int:
        """The port on which the link listens."""
        return int(self._listener.getsockname()[1])

    async def open(self) -> None:
        """Listen on a free port of 127.0.0.1."""
        self._listener = curio.tcp_server_socket(HOST, 0)
        await self._tasks.spawn(self._accept())

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._tasks.close()
        await self._listener.close()

    async def switch_mode(
        self, mode: LinkMode, delay_ms: Millis = _NO_DELAY
    ) -> None:
        """Change how the link treats its connections, open ones included.

        Args:
            mode: the new mode.
            delay_ms: delay of each chunk of data, in ms.
        """
        self._mode = mode
        self._delay_ms = delay_ms
        if mode is LinkMode.REFUSED:
            await self._reset_all()

    def make_stale(self) -> None:
        """Make the open connections forward nothing more, without a reset."""
        for connection in self._connections:
            connection.stale = True

    async def _reset_all(self) -> None:
        for connection in tuple(self._connections):
            for sock in (connection.caller, connection.server):
                _reset_on_close(sock)
            await connection.task.cancel()

    async def _accept(self) -> None:
        while True:
            caller, _ = await self._listener.accept()
            if self._mode is LinkMode.REFUSED:
                _reset_on_close(caller)
                await caller.close()
            else:
                await self._tasks.spawn(self._forward(caller))

    async def _forward(self, caller: Any) -> None:
        server = curio.socket.socket()
        connection = _Connection(
            caller=caller, server=server, task=await curio.current_task()
        )
        self._connections.add(connection)
        try:
            await server.connect((HOST, self._target_port))
            async with curio.TaskGroup(wait=any) as pumps:
                await pumps.spawn(self._pump, connection, True)
                await pumps.spawn(self._pump, connection, False)
        except OSError:
            _reset_on_close(caller)
        finally:
            self._connections.discard(connection)
            await _close_all(caller, server)

    async def _pump(self, connection: _Connection, to_server: bool) -> None:
        source, sink = connection.caller, connection.server
        if not to_server:
            source, sink = sink, source
        try:
            while chunk := await source.recv(_CHUNK_BYTES):
                await curio.sleep(to_seconds(self._delay_ms))
                while self._is_held(connection, to_server):
                    await curio.sleep(to_seconds(_POLL_MS))
                await sink.sendall(chunk)
        except OSError:
            return

    def _is_held(self, connection: _Connection, to_server: bool) -> bool:
        if connection.stale or self._mode is LinkMode.SILENT:
            return True
        return self._mode is LinkMode.ONE_WAY and not to_server


async def _close_all(*sockets: Any) -> None:
    for sock in sockets:
        await sock.close()


def _reset_on_close(sock: Any) -> None:
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
