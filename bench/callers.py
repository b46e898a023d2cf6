"""Closed-loop callers that measure a server's rate and waiting time.

They write one prepared request and look only for the length of the answer, so
that the callers need far less processor time than what they measure.
"""

import dataclasses
import time
from typing import Any

import curio
from hdrh.histogram import HdrHistogram

from jayshore.clock import Millis, MonotonicClock, to_seconds  # noqa: WPS347
from jayshore.http.client import Address
from jayshore.outcomes import JayshoreError

_LONGEST_MICROS = 60_000_000
_DIGITS = 3
_NANOS_PER_MICRO = 1000
_MICROS_PER_MILLI = 1000
_MILLIS_PER_SECOND = 1000
_RECEIVE_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'
_LENGTH = b'content-length: '
_OK = b'HTTP/1.1 200 '


class WrongAnswer(JayshoreError):
    """An answer is not a success, or ended early."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """What the callers do.

    Attributes:
        address: the server.
        message: the whole request as it is sent.
        callers: connections, each with one request at a time.
        warm_up_ms: time before the measurement, in ms.
        measure_ms: time of the measurement, in ms.
    """

    address: Address
    message: bytes
    callers: int
    warm_up_ms: Millis
    measure_ms: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Measured:
    """What the callers saw.

    Attributes:
        requests: answers within the measurement.
        per_second: answers per second.
        p50_ms: median waiting time, in ms.
        p99_ms: 99th percentile of the waiting time, in ms.
    """

    requests: int
    per_second: float
    p50_ms: float
    p99_ms: float


class _Caller:
    def __init__(self, *, load: Load, measure_from: int, until: int) -> None:
        self.histogram = HdrHistogram(1, _LONGEST_MICROS, _DIGITS)
        self._load = load
        self._from = measure_from
        self._until = until

    async def run(self) -> None:
        address = self._load.address
        sock = await curio.open_connection(address.host, address.port)
        clock = MonotonicClock()
        async with sock:
            now = clock.now()
            while now < self._until:
                before = time.perf_counter_ns()
                await sock.sendall(self._load.message)
                await _read_answer(sock)
                passed = time.perf_counter_ns() - before
                now = clock.now()
                if self._from <= now < self._until:
                    self.histogram.record_value(passed // _NANOS_PER_MICRO)


async def measure(load: Load) -> Measured:
    """Run callers against a server.

    Args:
        load: what they do.

    Returns:
        What they saw.
    """
    start = MonotonicClock().now() + load.warm_up_ms
    callers = [
        _Caller(load=load, measure_from=start, until=start + load.measure_ms)
        for _ in range(load.callers)
    ]
    group = curio.TaskGroup()
    async with group:
        for caller in callers:
            await group.spawn(caller.run())
    for task in group.tasks:
        if task.exception:
            raise task.exception
    whole = HdrHistogram(1, _LONGEST_MICROS, _DIGITS)
    for finished in callers:
        whole.add(finished.histogram)
    requests = whole.get_total_count()
    return Measured(
        requests=requests,
        per_second=requests / to_seconds(load.measure_ms),
        p50_ms=whole.get_value_at_percentile(50) / _MICROS_PER_MILLI,
        p99_ms=whole.get_value_at_percentile(99) / _MICROS_PER_MILLI,
    )


async def _read_answer(sock: Any) -> None:
    received = await sock.recv(_RECEIVE_BYTES)
    while _HEAD_END not in received:
        received += await _more(sock)
    if not received.startswith(_OK):
        raise WrongAnswer(repr(received[:200]))
    head_end = received.index(_HEAD_END) + len(_HEAD_END)
    start = received.lower().index(_LENGTH) + len(_LENGTH)
    length = int(received[start : received.index(b'\r', start)])
    missing = head_end + length - len(received)
    while missing > 0:
        missing -= len(await _more(sock))


async def _more(sock: Any) -> bytes:
    chunk = bytes(await sock.recv(_RECEIVE_BYTES))
    if not chunk:
        raise WrongAnswer('the connection ended within an answer')
    return chunk
