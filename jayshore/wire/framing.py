"""Length-prefixed frames on a curio socket.

The stream reports whether the operating system has taken a complete frame. The
peer cannot decode a truncated frame, so the call in it certainly did not run.
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
"""Twice the largest request body, and above the 1 MB limit of store values."""

_PREFIX: Final = struct.Struct('>I')


class FrameStream:
    """Reads and writes frames on one connection.

    Only one task may read at a time; any number of tasks may write.
    """

    def __init__(
        self,
        *,
        sock: Any,
        max_frame_bytes: int,
        traffic: Traffic | None = None,
    ) -> None:
        """Wrap a connected socket, which the stream closes.

        Args:
            sock: a curio socket.
            max_frame_bytes: maximum length of a frame in either direction.
            traffic: counts bytes in both directions and written frames.
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
        """Hand a complete frame to the operating system.

        Args:
            frame: the bytes without the length prefix.
            on_sent: called when the complete frame has been handed over, before
                this task can be cancelled.

        Raises:
            FrameTooLargeError: the frame exceeds the limit; nothing was sent.
            FrameNotSentError: the connection ended before the whole frame was
                handed over.
        """
        self._check_size(len(frame))
        remaining = memoryview(_PREFIX.pack(len(frame)) + frame)
        async with self._write_lock:
            if self._broken:
                raise FrameNotSentError('the connection was already broken')
            # Stays set when an error or a cancellation truncates the frame:
            # no other frame can follow on this connection.
            self._broken = True
            try:
                while remaining:
                    remaining = remaining[await self._sock.send(remaining) :]
            except OSError as error:
                raise FrameNotSentError('the connection ended') from error
            finally:
                if remaining:
                    self._shut_down()
            self._traffic.sent += _PREFIX.size + len(frame)
            self._traffic.messages += 1
            if on_sent is not None:
                on_sent()
            self._broken = False

    def abort(self) -> None:
        """Shut the connection down, which wakes its readers and writers."""
        self._shut_down()

    async def close(self) -> None:
        """Shut the connection down and close the socket."""
        self._shut_down()
        async with self._write_lock:
            self._broken = True
            await self._sock.close()

    def _shut_down(self) -> None:
        try:
            # The shutdown method of the curio socket itself is a coroutine.
            self._sock._socket.shutdown(socket.SHUT_RDWR)  # noqa: SLF001
        except (OSError, AttributeError):
            # The peer has ended the connection, or it was closed here.
            return

    def _check_size(self, length: int) -> None:
        if length > self._max_frame_bytes:
            raise FrameTooLargeError(
                f'frame of {length} bytes, limit {self._max_frame_bytes}',
            )
