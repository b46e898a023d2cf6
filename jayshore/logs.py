"""Structured log lines on a descriptor, without ever waiting for its reader.

eliot writes each line to a file. A reader that stops reading would block the
whole program there; lines that the descriptor does not take at once are
dropped and counted instead.
"""

import os
from typing import IO

import eliot

from jayshore.clock import Clock, Millis

_MAX_LINE_BYTES = 8192
_REPORT_MS = Millis(1000)


class LogSink:
    """A destination of eliot that drops lines instead of waiting."""

    def __init__(self, *, descriptor: int, clock: Clock) -> None:
        """Use a descriptor.

        Args:
            descriptor: written without blocking, such as standard output.
            clock: spaces the reports of dropped lines.
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._partial_line = b''
        self._dropped = 0
        self._unreported = 0
        self._reported_at = clock.now()

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped."""
        return self._dropped

    def write(self, line: bytes) -> None:
        """Write a line, or count it as dropped.

        Args:
            line: with its line end.
        """
        if len(line) > _MAX_LINE_BYTES:
            self._count_dropped()
            return
        self._report_dropped()
        self._send(line)

    def flush(self) -> None:
        """Do nothing; each line is sent at once."""

    def _send(self, line: bytes) -> None:
        """Send a line after the rest of one that was sent in part."""
        if self._partial_line and not self._send_partial_line():
            self._count_dropped()
            return
        try:
            sent = os.write(self._descriptor, line)
        except OSError:
            self._count_dropped()
            return
        self._partial_line = line[sent:]

    def _send_partial_line(self) -> bool:
        try:
            sent = os.write(self._descriptor, self._partial_line)
        except OSError:
            return False
        self._partial_line = self._partial_line[sent:]
        return not self._partial_line

    def _count_dropped(self) -> None:
        self._dropped += 1
        self._unreported += 1

    def _report_dropped(self) -> None:
        now = self._clock.now()
        if self._unreported and now - self._reported_at >= _REPORT_MS:
            text = (
                f'{{"message_type":"log:dropped","lines":{self._unreported}}}'
            )
            self._unreported = 0
            self._reported_at = now
            self._send(f'{text}\n'.encode())


def open_log(sink: LogSink) -> None:
    """Send the program's log lines to a sink.

    Args:
        sink: the destination.
    """
    destination: IO[bytes] = sink  # type: ignore[assignment]
    eliot.to_file(destination)
