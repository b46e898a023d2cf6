"""Non-blocking output of structured log lines.

eliot writes each line to a file. If its reader stopped reading, such a write
would block the whole program. Here, lines that cannot be written at once are
dropped and counted instead.
"""

import os
from typing import IO

import eliot

from jayshore.clock import Clock, Millis

MAX_LINE_BYTES = 8192
_REPORT_MS = Millis(1000)


class LogSink:
    """A file-like eliot destination that drops lines rather than block."""

    def __init__(self, *, descriptor: int, clock: Clock) -> None:
        """Set a descriptor to non-blocking mode and write to it.

        Args:
            descriptor: an open file descriptor, such as standard output.
            clock: monotonic time between reports of dropped lines.
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
        """Number of lines dropped since the start."""
        return self._dropped

    def write(self, line: bytes) -> None:
        """Write a line, or count it as dropped.

        Args:
            line: the line with its newline; a line longer than
                `MAX_LINE_BYTES` is dropped.
        """
        if len(line) > MAX_LINE_BYTES:
            self._count_dropped()
            return
        self._report_dropped()
        self._send(line)

    def flush(self) -> None:
        """Do nothing, because lines are not buffered."""

    def _send(self, line: bytes) -> None:
        """Write a line, after the remainder of a partially written one."""
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
    """Send the log lines of this process to a sink.

    Args:
        sink: the destination.
    """
    destination: IO[bytes] = sink  # type: ignore[assignment]
    eliot.to_file(destination)
