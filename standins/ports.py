"""Reserves TCP ports for processes that bind them later."""

import contextlib
import socket

HOST = '127.0.0.1'


class PortReservation(contextlib.ExitStack):
    """Ports that no other process is given while the reservation is held.

    The sockets stay bound with `SO_REUSEADDR` and never listen. A server that
    sets the same option can bind and listen on such a port, also after a
    restart, while the kernel assigns it neither to other sockets nor to
    outgoing connections.
    """

    def reserve(self, count: int) -> list[int]:
        """Reserve ports.

        Args:
            count: number of ports.

        Returns:
            Distinct ports of the loopback address.
        """
        return [self._bind(0) for _ in range(count)]

    def try_port(self, port: int) -> bool:
        """Reserve a given port.

        Args:
            port: the port.

        Returns:
            False when another socket is bound to it.
        """
        try:
            self._bind(port)
        except OSError:
            return False
        return True

    def _bind(self, port: int) -> int:
        # The option is set after the bind, so that two reservations conflict.
        sock = self.enter_context(socket.socket())
        sock.bind((HOST, port))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return int(sock.getsockname()[1])
