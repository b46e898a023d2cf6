"""Socket operations shared by the server and the client.

Sending is tried first, and waits with a timer only when the socket's buffer is
full. Receiving is tried first as well.
"""

import contextlib
import socket
from typing import Any

import curio
from curio.traps import _read_wait  # noqa: WPS450 public one tries again

from jayshore.clock import Millis, to_seconds
from jayshore.outcomes import JayshoreError

RECEIVE_BYTES = 65536

# A peer host that vanishes without closing its connections is detected after
# 19 s, even while a long poll waits for its response. A paused process is not:
# its kernel still answers the keepalive probes.
_KEEPALIVE_IDLE_S = 15
_KEEPALIVE_INTERVAL_S = 2
_USER_TIMEOUT_MS = 19_000


class WaitExpired(JayshoreError):
    """A socket was not ready in time."""


def disable_nagle(sock: Any) -> None:
    """Disable Nagle's algorithm, since messages are written at once.

    Args:
        sock: a connected TCP socket.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def enable_keepalive(sock: Any) -> None:
    """Let the kernel detect that the host of the peer has vanished.

    Args:
        sock: a connected TCP socket.
    """
    for option, setting in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, setting)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def is_idle(sock: Any) -> bool:
    """Tell whether a connection is open and has no unread bytes.

    Args:
        sock: a curio socket.

    Returns:
        False when bytes, the end of the stream, or an error is pending.
    """
    try:
        sock._socket.recv(1, socket.MSG_PEEK)  # noqa: WPS437
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def shutdown_receiving(sock: Any) -> None:
    """Shut down the receiving side, which wakes a task that waits for bytes.

    Args:
        sock: a curio socket.
    """
    with contextlib.suppress(OSError):
        sock._socket.shutdown(socket.SHUT_RD)  # noqa: WPS437


def shutdown_both(sock: Any) -> None:
    """Shut down both sides, which wakes a task that waits for the socket.

    Args:
        sock: a curio socket.
    """
    with contextlib.suppress(OSError):
        sock._socket.shutdown(socket.SHUT_RDWR)  # noqa: WPS437


def discard_received(sock: Any) -> None:
    """Read and discard what has arrived, without waiting.

    Args:
        sock: a curio socket.
    """
    with contextlib.suppress(OSError):
        sock._socket.recv(RECEIVE_BYTES)  # noqa: WPS437


def shutdown_sending(sock: Any) -> None:
    """Shut down the sending side: the peer reads the end of the stream.

    Args:
        sock: a curio socket.
    """
    with contextlib.suppress(OSError):
        sock._socket.shutdown(socket.SHUT_WR)  # noqa: WPS437


async def receive(
    sock: Any, limit_ms: Millis, size: int = RECEIVE_BYTES
) -> bytes:
    """Receive the next bytes; yields only when none have arrived.

    Args:
        sock: a curio socket.
        limit_ms: timeout in ms.
        size: most bytes to receive.

    Returns:
        The bytes; empty at the end of the stream.

    Raises:
        WaitExpired: nothing arrived in time.
    """
    async with curio.ignore_after(to_seconds(limit_ms)):
        return bytes(await sock.recv(size))
    raise WaitExpired(f'nothing received for {limit_ms} ms')


def receive_nowait(sock: Any, size: int) -> bytes | None:
    """Receive bytes that have arrived, without waiting.

    Args:
        sock: a curio socket.
        size: most bytes to receive.

    Returns:
        The bytes; empty at the end of the stream, None if there are none yet.
    """
    try:
        return bytes(sock._socket.recv(size))  # noqa: WPS437
    except BlockingIOError:
        return None


async def receive_later(sock: Any, limit_ms: Millis, size: int) -> bytes:
    """Wait for the next bytes and receive them.

    Args:
        sock: a curio socket of which nothing could be received.
        limit_ms: timeout in ms.
        size: most bytes to receive.

    Returns:
        The bytes; empty at the end of the stream.

    Raises:
        WaitExpired: nothing arrived in time.
    """
    async with curio.ignore_after(to_seconds(limit_ms)):
        chunk = None
        while chunk is None:
            await _read_wait(sock._fileno)  # noqa: WPS437
            chunk = receive_nowait(sock, size)
        return chunk
    raise WaitExpired(f'nothing received for {limit_ms} ms')


def send_nowait(sock: Any, message: bytes) -> int:
    """Send as much as the socket's buffer takes, without waiting.

    Args:
        sock: a curio socket.
        message: the bytes.

    Returns:
        Number of bytes that were sent.

    Raises:
        OSError: the connection is broken; nothing of the message was sent.
    """  # noqa: DAR401 raised by the socket
    try:
        return int(sock._socket.send(message))  # noqa: WPS437
    except BlockingIOError:
        return 0


async def send_remaining(
    sock: Any, message: bytes, sent: int, limit_ms: Millis
) -> None:
    """Send the part of a message that `send_nowait` has not sent.

    Args:
        sock: a curio socket.
        message: the bytes.
        sent: number of bytes that were sent already.
        limit_ms: timeout in ms.

    Raises:
        WaitExpired: the message could not be sent completely in time.
    """
    if sent == len(message):
        return
    async with curio.ignore_after(to_seconds(limit_ms)):
        await sock.sendall(memoryview(message)[sent:])
        return
    raise WaitExpired(f'message not sent within {limit_ms} ms')


async def send(sock: Any, message: bytes, limit_ms: Millis) -> None:
    """Send a complete message.

    Args:
        sock: a curio socket.
        message: the bytes.
        limit_ms: timeout in ms.
    """
    await send_remaining(sock, message, send_nowait(sock, message), limit_ms)
