"""Makes operating system signals awaitable."""

import signal
import socket
from collections.abc import Iterable
from typing import Any

import curio


class SignalWatch:
    """Delivers signals one by one.

    curio 1.6 has no signal support of its own. A handler may run at any point
    of curio's kernel, so it only writes to a socket that the kernel polls.
    """

    def __init__(self, *, signals: Iterable[signal.Signals]) -> None:
        """Install the signal handlers.

        Args:
            signals: the signals to deliver.
        """
        reader, writer = socket.socketpair()
        self._writer = writer
        self._writer.setblocking(False)  # noqa: WPS425
        self._reader = curio.io.Socket(reader)
        for number in signals:
            signal.signal(number, self._notify)

    async def wait(self) -> signal.Signals:
        """Wait for the next signal.

        Returns:
            The signal.
        """
        received = await self._reader.recv(1)
        return signal.Signals(received[0])

    async def close(self) -> None:
        """Close the sockets; the handlers stay installed and do nothing."""
        self._writer.close()
        await self._reader.close()

    def _notify(self, number: int, _frame: Any) -> None:
        if self._writer.fileno() >= 0:
            self._writer.send(bytes((number,)))


async def wait_for_signal(signals: Iterable[signal.Signals]) -> None:
    """Wait for the first of several signals.

    Args:
        signals: the signals to wait for.
    """
    watch = SignalWatch(signals=signals)
    try:
        await watch.wait()
    finally:
        await watch.close()
