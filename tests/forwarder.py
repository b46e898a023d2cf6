"""A TCP forwarder for tests, with threads for each connection."""

import contextlib
import socket
import threading


class Forwarder:
    """Forwards TCP connections to a local port and counts them."""

    def __init__(self, target: int) -> None:
        self._target = target
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        self.accepted = 0

    def __enter__(self) -> 'Forwarder':
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            server = socket.create_connection(('127.0.0.1', self._target))
            for pair in ((caller, server), (server, caller)):
                threading.Thread(target=pump, args=pair, daemon=True).start()


def pump(source: socket.socket, sink: socket.socket) -> None:
    """Copy bytes until either socket closes, then close the write side."""
    with contextlib.suppress(OSError):
        while chunk := source.recv(65_536):
            sink.sendall(chunk)
    with contextlib.suppress(OSError):
        sink.shutdown(socket.SHUT_WR)
