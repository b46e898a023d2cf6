"""Socket operations shared by the server and the client.

Sending is tried first and waits, with a timer, only when the kernel says so.
Receiving waits at once: when the callers of this module receive, the bytes
are as a rule still on their way.
"""

import contextlib
import socket
from typing import Any

import curio

from jayshore.clock import Millis, to_seconds
from jayshore.outcomes import JayshoreError

RECEIVE_BYTES = 65536

# A host that vanishes without closing its connections is noticed after 19 s,
# also while a long poll waits for its answer. The kernel of a paused process
# still answers the probes.
_PROBE_AFTER_S = 15
_PROBE_INTERVAL_S = 2
_VANISHED_AFTER_MS = 19_000


class WaitExpired(JayshoreError):
    """A socket was not ready in time."""


def configure(sock: Any) -> None:
    """Switch off Nagle's algorithm, since messages are written whole.

    Args:
        sock: a connected TCP socket.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def probe_peer(sock: Any) -> None:
    """Let the kernel notice that the host at the other end has vanished.

    Args:
        sock: a connected TCP socket.
    """
    for option, setting in (
        (socket.TCP_KEEPIDLE, _PROBE_AFTER_S),
        (socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
        (socket.TCP_USER_TIMEOUT, _VANISHED_AFTER_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, setting)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def is_quiet(sock: Any) -> bool:
    """Tell whether a connection is open and nothing has arrived on it.

    Args:
        sock: a curio socket.

    Returns:
        False when bytes, the end of the stream or an error is pending.
    """
    try:
        sock._socket.recv(1, socket.MSG_PEEK)  # noqa: WPS437
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def end_receiving(sock: Any) -> None:
    """Wake the task that waits for bytes, which then sees the end.

    Args:
        sock: a curio socket.
    """
    with contextlib.suppress(OSError):
        sock._socket.shutdown(socket.SHUT_RD)  # noqa: WPS437


def end_sending(sock: Any) -> None:
    """Tell the peer that nothing follows.

    Args:
        sock: a curio socket.
    """
    with contextlib.suppress(OSError):
        sock._socket.shutdown(socket.SHUT_WR)  # noqa: WPS437


async def receive(sock: Any, limit_ms: Millis) -> bytes:
    """Receive the next bytes.

    Args:
        sock: a curio socket.
        limit_ms: the longest wait, in ms.

    Returns:
        The bytes, empty at the end of the stream.

    Raises:
        WaitExpired: nothing arrived in time.
    """
    async with curio.ignore_after(to_seconds(limit_ms)):
        return bytes(await sock.recv(RECEIVE_BYTES))
    raise WaitExpired(f'nothing received for {limit_ms} ms')


def send_ready(sock: Any, message: bytes) -> int:
    """Send what the kernel takes at once, without waiting.

    Args:
        sock: a curio socket.
        message: the bytes.

    Returns:
        How many bytes were taken.

    Raises:
        OSError: the connection is broken; nothing of the message was sent.
    """  # noqa: DAR401 raised by the socket
    try:
        return int(sock._socket.send(message))  # noqa: WPS437
    except BlockingIOError:
        return 0


async def send_rest(
    sock: Any, message: bytes, sent: int, limit_ms: Millis
) -> None:
    """Send what `send_ready` left over.

    Args:
        sock: a curio socket.
        message: the bytes.
        sent: how many of them were sent.
        limit_ms: the longest wait for the peer to take all of it, in ms.

    Raises:
        WaitExpired: the peer did not take the message in time.
    """
    if sent == len(message):
        return
    async with curio.ignore_after(to_seconds(limit_ms)):
        await sock.sendall(memoryview(message)[sent:])
        return
    raise WaitExpired(f'message not taken within {limit_ms} ms')


async def send(sock: Any, message: bytes, limit_ms: Millis) -> None:
    """Send a whole message.

    Args:
        sock: a curio socket.
        message: the bytes.
        limit_ms: the longest wait for the peer to take all of it, in ms.
    """
    await send_rest(sock, message, send_ready(sock, message), limit_ms)
