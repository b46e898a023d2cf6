"""A loopback proxy whose connections can be delayed, cut and reset."""

import enum
import socket
import struct
from typing import Any

import curio

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds

HOST = '127.0.0.1'

_CHUNK = 65_536
_POLL_MS = Millis(10)
_NO_DELAY = Millis(0)
_RESET = struct.pack('ii', 1, 0)
"""Linger option with which closing a socket sends a reset."""


class Mode(enum.Enum):
    """What a link does with its connections.

    `SILENT`: bytes are held up in both directions. `ONE_WAY`: bytes towards
    the server pass, answers are held up. `REFUSED`: connections are reset.
    """

    PASS = 'pass'  # noqa: S105
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    REFUSED = 'refused'


class _Connection:
    """Two sockets; a stale one carries nothing more."""

    def __init__(self, *, caller: Any, server: Any, task: Any) -> None:
        self.caller = caller
        self.server = server
        self.task = task
        self.stale = False


class Link:
    """Forwards connections to one port."""

    def __init__(self, *, target_port: int) -> None:
        """Prepare a link.

        Args:
            target_port: on 127.0.0.1.
        """
        self._target_port = target_port
        self._mode = Mode.PASS
        self._delay_ms = Millis(0)
        self._connections: set[_Connection] = set()
        self._tasks = BackgroundTasks()
        self._listener: Any = None

    @property
    def port(self) -> int:
        """Where callers connect."""
        return int(self._listener.getsockname()[1])

    async def open(self) -> None:
        """Listen on a free port."""
        self._listener = curio.tcp_server_socket(HOST, 0)
        await self._tasks.spawn(self._accept())

    async def close(self) -> None:
        """End all connections."""
        await self._tasks.close()
        await self._listener.close()

    async def change(self, mode: Mode, delay_ms: Millis = _NO_DELAY) -> None:
        """Change what the link does.

        Args:
            mode: from now on.
            delay_ms: of each piece of a delayed connection, in ms.
        """
        self._mode = mode
        self._delay_ms = delay_ms
        if mode is Mode.REFUSED:
            await self._reset_all()

    def make_stale(self) -> None:
        """Let the open connections carry nothing more, without a reset."""
        for connection in self._connections:
            connection.stale = True

    async def _reset_all(self) -> None:
        for connection in tuple(self._connections):
            for sock in (connection.caller, connection.server):
                _reset(sock)
            await connection.task.cancel()

    async def _accept(self) -> None:
        while True:
            caller, _ = await self._listener.accept()
            if self._mode is Mode.REFUSED:
                _reset(caller)
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
            _reset(caller)
        finally:
            self._connections.discard(connection)
            await _close(caller, server)

    async def _pump(self, connection: _Connection, to_server: bool) -> None:
        source, sink = connection.caller, connection.server
        if not to_server:
            source, sink = sink, source
        try:
            while chunk := await source.recv(_CHUNK):
                await curio.sleep(to_seconds(self._delay_ms))
                while self._holds(connection, to_server):
                    await curio.sleep(to_seconds(_POLL_MS))
                await sink.sendall(chunk)
        except OSError:
            return

    def _holds(self, connection: _Connection, to_server: bool) -> bool:
        if connection.stale or self._mode is Mode.SILENT:
            return True
        return self._mode is Mode.ONE_WAY and not to_server


async def _close(*sockets: Any) -> None:
    for sock in sockets:
        await sock.close()


def _reset(sock: Any) -> None:
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
