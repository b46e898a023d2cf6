"""A TCP relay between daemons that can isolate some of them.

The roster holds one address per daemon, which all of its peers use. The relay
in front of a daemon therefore identifies the caller of a connection by the
sender's name in its first heartbeat.
"""

import contextlib
import selectors
import socket
import threading
from collections.abc import Iterable

from demo.processes import HOST

_CHUNK_BYTES = 65_536
_CONNECT_S = 2


class _Connection:
    def __init__(self, caller: socket.socket, callee: socket.socket) -> None:
        self.sockets = (caller, callee)
        self.sender = ''

    def close(self) -> None:
        for end in self.sockets:
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)


class PeerRelay:
    """Relays connections to the peer addresses of all daemons."""

    def __init__(self, *, targets: dict[str, str]) -> None:
        """Listen on one port for each daemon.

        Args:
            targets: peer addresses of the daemons by name.
        """
        self.addresses: dict[str, str] = {}
        self._names = tuple(targets)
        self._isolated: frozenset[str] = frozenset()
        self._connections: dict[str, list[_Connection]] = {
            name: [] for name in targets
        }
        self._listeners = []
        for name, target in targets.items():
            listener = socket.create_server((HOST, 0))
            self._listeners.append(listener)
            port = listener.getsockname()[1]
            self.addresses[name] = f'{HOST}:{port}'
            _spawn(self._accept, name, target, listener)

    def isolate(self, names: Iterable[str]) -> None:
        """Isolate daemons from all others, and close their connections.

        Args:
            names: names of the isolated daemons; empty ends the isolation.
        """
        self._isolated = frozenset(names)
        for target, connections in self._connections.items():
            for connection in connections:
                if self._is_isolated(target, connection):
                    connection.close()

    def close(self) -> None:
        """Close all listeners and connections."""
        for listener in self._listeners:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        for connections in self._connections.values():
            for connection in connections:
                connection.close()

    def _is_isolated(self, target: str, connection: _Connection) -> bool:
        if not self._isolated:
            return False
        # A caller that has not sent its name yet may be an isolated one.
        is_known = bool(connection.sender)
        return (
            target in self._isolated
            or connection.sender in self._isolated
            or not is_known
        )

    def _accept(self, name: str, target: str, listener: socket.socket) -> None:
        host, port = target.split(':')
        while True:
            try:
                caller, _ = listener.accept()
            except OSError:
                return
            try:
                callee = socket.create_connection((host, int(port)), _CONNECT_S)
            except OSError:
                caller.close()
                continue
            connection = _Connection(caller, callee)
            self._connections[name].append(connection)
            _spawn(self._copy, name, connection)

    def _copy(self, target: str, connection: _Connection) -> None:
        caller, callee = connection.sockets
        with selectors.DefaultSelector() as ready, caller, callee:
            ready.register(caller, selectors.EVENT_READ, callee)
            ready.register(callee, selectors.EVENT_READ, caller)
            with contextlib.suppress(OSError):
                while self._copy_once(target, connection, ready):
                    pass
        self._connections[target].remove(connection)

    def _copy_once(
        self,
        target: str,
        connection: _Connection,
        ready: selectors.BaseSelector,
    ) -> bool:
        for key, _ in ready.select():
            source = key.fileobj
            assert isinstance(source, socket.socket)
            chunk = source.recv(_CHUNK_BYTES)
            if source is connection.sockets[0] and not connection.sender:
                connection.sender = self._sender_of(chunk)
            if not chunk or self._is_isolated(target, connection):
                return False
            key.data.sendall(chunk)
        return True

    def _sender_of(self, chunk: bytes) -> str:
        for name in self._names:
            if name.encode() in chunk:
                return name
        return ''


def _spawn(function: object, *arguments: object) -> None:
    thread = threading.Thread(
        target=function,  # type: ignore[arg-type]
        args=arguments,
        daemon=True,
    )
    thread.start()
