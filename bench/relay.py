"""Measures three relays with small requests: bare, `jayshore.http`, a daemon.

Run with `python -m bench.relay`. The upstream is the executor stand-in. The
relays are measured in turn in every round, so that a slow phase of the machine
affects all of them. Processor time per request is reported too, since it varies
less than the rate when other programs use the machine. The daemon leads its
domain, so that a request passes through one process. It has two executors with
half of the slots each, since it keeps two of the 64 connections of an executor
for other calls.
"""

import argparse
import dataclasses
import json
import pathlib
import statistics
import sys

import curio
import msgspec

from bench.callers import CallerLoad, CallerMeasurement, run_callers
from bench.processes import read_cpu_s, running_module
from demo.cluster import Cluster, ClusterShape
from demo.document import SERVICE
from jayshore.clock import Millis, from_seconds  # noqa: WPS347
from jayshore.http.client import Address, HttpClient
from jayshore.http.messages import Request, decode_json, encode_json

_DAEMON = 'daemon'
_RELAYS = ('bench.barerelay', 'bench.httprelay', _DAEMON)
_BODY = b'x' * 100
_SLOTS = 64
_EXECUTOR_SETTINGS = json.dumps({'record_history': False, 'slots': _SLOTS})
_CALL_TIMEOUT_MS = Millis(5000)
_WARM_UP_MS = Millis(1000)


class _Lease(msgspec.Struct):
    lease_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayMeasurement:
    """One measurement of one relay.

    Attributes:
        seen: rate and latency as seen by the callers.
        cpu_ms: processor time of the relay per request, in ms.
    """

    seen: CallerMeasurement
    cpu_ms: float


async def _open_lease(address: Address) -> int:
    client = HttpClient(
        address=address, max_connections=1, connect_timeout_ms=_CALL_TIMEOUT_MS
    )
    answer = await client.call(
        Request(
            method='POST',
            path='/v1/lease/open',
            body=encode_json({'epoch': 1, 'holder': 'bench'}),
        ),
        timeout_ms=_CALL_TIMEOUT_MS,
    )
    await client.close()
    return decode_json(answer.body, _Lease).lease_id


def _executor_request(lease_id: int) -> bytes:
    head = (
        'POST /v1/run HTTP/1.1\r\n'
        'host: bench\r\n'
        'jayshore-team: bench\r\n'
        'jayshore-request-id: r\r\n'
        f'jayshore-lease: {lease_id}\r\n'
        f'content-length: {len(_BODY)}\r\n\r\n'
    )
    return head.encode() + _BODY


def _daemon_request(key: str) -> bytes:
    head = (
        f'POST /v1/requests/{SERVICE} HTTP/1.1\r\n'
        'host: bench\r\n'
        f'authorization: {key}\r\n'
        f'content-length: {len(_BODY)}\r\n\r\n'
    )
    return head.encode() + _BODY


def _measure_daemon(options: argparse.Namespace) -> RelayMeasurement:
    shape = ClusterShape(
        domains=('north',),
        daemons=1,
        workers=0,
        executors=2,
        executor_slots=_SLOTS // 2,
        service_ms=0,
    )
    team = {
        'name': 'bench',
        'share': 1,
        'limit': {'requests': 4 * _SLOTS},
        'max_waiting': 100,
    }
    with Cluster(shape=shape, teams=[team]) as cluster:
        daemon = cluster.daemons['north-0']
        message = _daemon_request(cluster.key('bench')['authorization'])
        address = Address.parse(daemon.address)
        load = _make_load(address, message, options)
        return _measure_load(load, daemon.popen.pid)


def _measure_load(load: CallerLoad, pid: int) -> RelayMeasurement:
    warm_up = dataclasses.replace(load, measure_ms=_WARM_UP_MS)
    curio.run(run_callers, warm_up)
    before_s = read_cpu_s(pid)
    seen: CallerMeasurement = curio.run(run_callers, load)
    used_s = read_cpu_s(pid) - before_s
    return RelayMeasurement(
        seen=seen, cpu_ms=1000 * used_s / max(1, seen.requests)
    )


def _make_load(
    address: Address, message: bytes, options: argparse.Namespace
) -> CallerLoad:
    return CallerLoad(
        address=address,
        message=message,
        callers=options.callers,
        warm_up_ms=Millis(0),
        measure_ms=from_seconds(options.seconds),
    )


def _measure_relay(relay: str, options: argparse.Namespace) -> RelayMeasurement:
    if relay == _DAEMON:
        return _measure_daemon(options)
    executor = ('standins.executor', '--settings', _EXECUTOR_SETTINGS)
    with running_module(*executor) as upstream:
        lease_id = curio.run(_open_lease, upstream.address)
        with running_module(relay, str(upstream.address)) as relay_process:
            load = _make_load(
                relay_process.address, _executor_request(lease_id), options
            )
            return _measure_load(load, relay_process.pid)


def _print_line(relay: str, measurement: RelayMeasurement) -> None:
    seen = measurement.seen
    sys.stdout.write(
        f'{relay:16} {seen.per_second:8.0f} requests/s'
        f'  p50 {seen.p50_ms:6.2f} ms  p99 {seen.p99_ms:6.2f} ms'
        f'  {measurement.cpu_ms:.3f} ms of processor time per request\n'
    )
    sys.stdout.flush()


def main() -> None:
    """Measure all relays and write the result file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--callers', type=int, default=64)
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--output', default='out/relay.json')
    options = parser.parse_args()
    seen: dict[str, list[RelayMeasurement]] = {relay: [] for relay in _RELAYS}
    for _ in range(options.rounds):
        for measured in _RELAYS:
            seen[measured].append(_measure_relay(measured, options))
            _print_line(measured, seen[measured][-1])
    rates = {
        relay: statistics.median(
            measurement.seen.per_second for measurement in rounds
        )
        for relay, rounds in seen.items()
    }
    costs = {
        relay: statistics.median(measurement.cpu_ms for measurement in rounds)
        for relay, rounds in seen.items()
    }
    bare = _RELAYS[0]
    shares = {relay: rate / rates[bare] for relay, rate in rates.items()}
    for name in _RELAYS:
        sys.stdout.write(
            f'{name} reaches {shares[name]:.2f} of the rate of bare, and'
            f' {costs[bare] / costs[name]:.2f} by processor time (medians)\n'
        )
    path = pathlib.Path(options.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    encoded_rounds = {
        relay: [dataclasses.asdict(measurement) for measurement in rounds]
        for relay, rounds in seen.items()
    }
    path.write_text(
        json.dumps(
            {
                'callers': options.callers,
                'seconds': options.seconds,
                'rounds': encoded_rounds,
                'median_per_second': rates,
                'median_cpu_ms': costs,
                'share_of_bare': shares,
            },
            indent=2,
        )
    )


if __name__ == '__main__':
    main()
