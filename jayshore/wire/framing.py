"""Length-prefixed frames on a curio socket.

The stream knows whether a frame was handed over in whole. A frame that was cut
short cannot be decoded by the peer, so the call in it certainly did not run.
"""

import socket
import struct
from collections.abc import Callable
from typing import Any, Final

import curio

from jayshore.traffic import Traffic
from jayshore.wire.errors import (
    FrameNotSentError,
    FrameTooLargeError,
    StreamBrokenError,
)

DEFAULT_MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
"""Twice the largest request body, and above the 1 MB of a store value."""

_PREFIX: Final = struct.Struct('>I')


class FrameStream:
    """Frames in both directions on one connection.

    One task reads; any number of tasks write.
    """

    def __init__(
        self,
        *,
        sock: Any,
        max_frame_bytes: int,
        traffic: Traffic | None = None,
    ) -> None:
        """Take over a connected socket.

        Args:
            sock: a curio socket.
            max_frame_bytes: limit for a frame in either direction.
            traffic: counts the bytes and the frames that were written.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._reader = sock.as_stream()
        self._max_frame_bytes = max_frame_bytes
        self._write_lock = curio.Lock()
        self._broken = False
        self._traffic = traffic or Traffic()

    async def read(self) -> bytes:
        """Read the next frame.

        Returns:
            The frame without its length prefix.

        Raises:
            FrameTooLargeError: the announced length exceeds the limit.
            StreamBrokenError: the connection ended.
        """
        try:
            prefix = await self._reader.read_exactly(_PREFIX.size)
            length = _PREFIX.unpack(prefix)[0]
            self._check_size(length)
            frame: bytes = await self._reader.read_exactly(length)
        except (OSError, EOFError) as error:
            raise StreamBrokenError('the connection ended') from error
        self._traffic.received += _PREFIX.size + length
        return frame

    async def write(
        self,
        frame: bytes,
        *,
        on_sent: Callable[[], None] | None = None,
    ) -> None:
        """Hand a frame over to the operating system in whole.

        Args:
            frame: the bytes without the length prefix.
            on_sent: called as soon as the whole frame is handed over, before
                this task can be cancelled.

        Raises:
            FrameTooLargeError: the frame exceeds the limit; nothing was sent.
            FrameNotSentError: the connection ended before the end of the frame.
        """
        self._check_size(len(frame))
        unsent = memoryview(_PREFIX.pack(len(frame)) + frame)
        async with self._write_lock:
            if self._broken:
                raise FrameNotSentError('the connection has ended')
            # Stays set when the frame is cut short, by an error or by a
            # cancellation: nothing can follow on this connection.
            self._broken = True
            try:
                while unsent:
                    unsent = unsent[await self._sock.send(unsent) :]
            except OSError as error:
                raise FrameNotSentError('the connection ended') from error
            finally:
                if unsent:
                    self._shut_down()
            self._traffic.sent += _PREFIX.size + len(frame)
            self._traffic.messages += 1
            if on_sent is not None:
                on_sent()
            self._broken = False

    def abort(self) -> None:
        """End the connection; wakes the tasks that read or write on it."""
        self._shut_down()

    async def close(self) -> None:
        """End the connection and release the socket."""
        self._shut_down()
        async with self._write_lock:
            self._broken = True
            await self._sock.close()

    def _shut_down(self) -> None:
        try:
            # The method of the curio socket is a coroutine function.
            self._sock._socket.shutdown(socket.SHUT_RDWR)  # noqa: SLF001
        except (OSError, AttributeError):
            # The peer has ended the connection or it was closed here.
            return

    def _check_size(self, length: int) -> None:
        if length > self._max_frame_bytes:
            raise FrameTooLargeError(
                f'frame of {length} bytes, limit {self._max_frame_bytes}',
            )
