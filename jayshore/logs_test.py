"""Tests of log output whose reader does not read."""

import os
import time

from jayshore.clock import ManualClock, Millis
from jayshore.logs import LogSink

LINES = 5000
LINE = b'{"message_type":"job:placed","job":"0123456789abcdef"}\n'


def test_reader_that_stops_does_not_block():
    """Guards against a program blocked by a log reader that stopped reading.

    Lines that do not fit into the pipe are dropped; the number is reported once
    the reader reads again, and no line is cut off.
    """
    reader, writer = os.pipe()
    clock = ManualClock()
    sink = LogSink(descriptor=writer, clock=clock)
    started = time.monotonic()
    for _ in range(LINES):
        sink.write(LINE)
    assert time.monotonic() - started < 1
    assert sink.dropped > 0
    output = os.read(reader, 1 << 20)
    clock.advance(Millis(1000))
    sink.write(LINE)
    sink.write(LINE)
    output += os.read(reader, 1 << 20)
    lines = output.decode().splitlines()
    assert all(line.startswith('{') and line.endswith('}') for line in lines)
    assert any('log:dropped' in line for line in lines)
    os.close(reader)
    os.close(writer)


def test_long_line_is_dropped():
    """Guards against a single line that fills the pipe."""
    reader, writer = os.pipe()
    sink = LogSink(descriptor=writer, clock=ManualClock())
    sink.write(b'x' * 100_000)
    assert sink.dropped == 1
    os.close(reader)
    os.close(writer)
