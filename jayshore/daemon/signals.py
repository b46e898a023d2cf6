"""Turns signals of the operating system into an awaitable."""

import signal
import socket
from collections.abc import Iterable
from typing import Any

import curio


async def wait_for_signal(signals: Iterable[signal.Signals]) -> None:
    """Wait for the first of several signals.

    curio 1.6 has no signal support of its own; a handler may run at any point
    of the kernel, so it only writes to a socket that the kernel watches.

    Args:
        signals: what to wait for.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)  # noqa: WPS425

    def notify(*_: Any) -> None:  # noqa: WPS430 needs the socket
        writer.send(b'\0')

    for number in signals:
        signal.signal(number, notify)
    try:
        async with curio.io.Socket(reader) as watched:
            await watched.recv(1)
    finally:
        writer.close()
