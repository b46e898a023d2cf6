"""Closed-loop callers that measure the rate and latency of an HTTP server.

They send one prepared request and parse only the status and the length of the
response, so that they use far less processor time than the server.
"""

import dataclasses
import time
from typing import Any

import curio
from hdrh.histogram import HdrHistogram

from jayshore.clock import Millis, MonotonicClock, to_seconds  # noqa: WPS347
from jayshore.http.client import Address
from jayshore.outcomes import JayshoreError

_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_NANOS_PER_MICRO = 1000
_MICROS_PER_MILLI = 1000
_MILLIS_PER_SECOND = 1000
_RECEIVE_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'
_LENGTH = b'content-length: '
_OK = b'HTTP/1.1 200 '


class UnexpectedResponse(JayshoreError):
    """A response is not a success, or ended early."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLoad:
    """Load on one server.

    Attributes:
        address: address of the server.
        message: the whole request as it is sent.
        callers: number of connections, each with one request at a time.
        warm_up_ms: duration before the measurement, in ms.
        measure_ms: duration of the measurement, in ms.
    """

    address: Address
    message: bytes
    callers: int
    warm_up_ms: Millis
    measure_ms: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerMeasurement:
    """Rate and latency as seen by the callers.

    Attributes:
        requests: responses during the measurement.
        per_second: responses per second.
        p50_ms: median latency, in ms.
        p99_ms: 99th percentile of the latency, in ms.
    """

    requests: int
    per_second: float
    p50_ms: float
    p99_ms: float


class _Caller:
    def __init__(
        self, *, load: CallerLoad, measure_from: int, until: int
    ) -> None:
        self.histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self._load = load
        self._measure_from = measure_from
        self._until = until

    async def run(self) -> None:
        address = self._load.address
        sock = await curio.open_connection(address.host, address.port)
        clock = MonotonicClock()
        async with sock:
            now = clock.now()
            while now < self._until:
                sent_at_ns = time.perf_counter_ns()
                await sock.sendall(self._load.message)
                await _read_response(sock)
                elapsed_ns = time.perf_counter_ns() - sent_at_ns
                now = clock.now()
                if self._measure_from <= now < self._until:
                    self.histogram.record_value(elapsed_ns // _NANOS_PER_MICRO)


async def run_callers(load: CallerLoad) -> CallerMeasurement:
    """Run callers against a server.

    Args:
        load: the load.

    Returns:
        Rate and latency after the warm-up.
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
    merged = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for finished in callers:
        merged.add(finished.histogram)
    requests = merged.get_total_count()
    return CallerMeasurement(
        requests=requests,
        per_second=requests / to_seconds(load.measure_ms),
        p50_ms=merged.get_value_at_percentile(50) / _MICROS_PER_MILLI,
        p99_ms=merged.get_value_at_percentile(99) / _MICROS_PER_MILLI,
    )


async def _read_response(sock: Any) -> None:
    received = await sock.recv(_RECEIVE_BYTES)
    while _HEAD_END not in received:
        received += await _receive(sock)
    if not received.startswith(_OK):
        raise UnexpectedResponse(repr(received[:200]))
    head_end = received.index(_HEAD_END) + len(_HEAD_END)
    start = received.lower().index(_LENGTH) + len(_LENGTH)
    length = int(received[start : received.index(b'\r', start)])
    missing = head_end + length - len(received)
    while missing > 0:
        missing -= len(await _receive(sock))


async def _receive(sock: Any) -> bytes:
    chunk = bytes(await sock.recv(_RECEIVE_BYTES))
    if not chunk:
        raise UnexpectedResponse('the connection was closed within a response')
    return chunk
