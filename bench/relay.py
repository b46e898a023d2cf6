"""Measures relays with small requests: the bare one and that of the library.

Run with `python -m bench.relay`. The upstream is the executor stand-in. The
runs of the relays alternate, so that a slow phase of the machine meets all.
"""

import argparse
import dataclasses
import json
import pathlib
import statistics
import sys

import curio
import msgspec

from bench.callers import Load, Measured, measure
from bench.processes import started
from jayshore.clock import Millis, from_seconds  # noqa: WPS347
from jayshore.http.client import Address, HttpClient
from jayshore.http.messages import Request, decode_json, encode_json

_RELAYS = ('bench.barerelay', 'bench.httprelay')
_BODY = b'x' * 100
_SETTINGS = '{"record_history": false, "slots": 64}'
_CALL_TIMEOUT_MS = Millis(5000)


class _Lease(msgspec.Struct):
    lease_id: int


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


def _message(lease_id: int) -> bytes:
    head = (
        'POST /v1/run HTTP/1.1\r\n'
        'host: bench\r\n'
        'jayshore-team: bench\r\n'
        'jayshore-request-id: r\r\n'
        f'jayshore-lease: {lease_id}\r\n'
        f'content-length: {len(_BODY)}\r\n\r\n'
    )
    return head.encode() + _BODY


def _measure_relay(relay: str, options: argparse.Namespace) -> Measured:
    executor = ('standins.executor', '--settings', _SETTINGS)
    with started(*executor) as upstream:
        lease_id = curio.run(_open_lease, upstream)
        with started(relay, str(upstream)) as address:
            load = Load(
                address=address,
                message=_message(lease_id),
                callers=options.callers,
                warm_up_ms=Millis(1000),
                measure_ms=from_seconds(options.seconds),
            )
            return curio.run(measure, load)  # type: ignore[no-any-return]


def _print_line(relay: str, seen: Measured) -> None:
    sys.stdout.write(
        f'{relay:16} {seen.per_second:8.0f} requests/s'
        f'  p50 {seen.p50_ms:6.2f} ms  p99 {seen.p99_ms:6.2f} ms\n'
    )
    sys.stdout.flush()


def main() -> None:
    """Measure all relays and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--callers', type=int, default=64)
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--output', default='out/relay.json')
    options = parser.parse_args()
    seen: dict[str, list[Measured]] = {relay: [] for relay in _RELAYS}
    for _ in range(options.rounds):
        for measured in _RELAYS:
            seen[measured].append(_measure_relay(measured, options))
            _print_line(measured, seen[measured][-1])
    medians = {
        relay: statistics.median(one.per_second for one in rounds)
        for relay, rounds in seen.items()
    }
    share = medians['bench.httprelay'] / medians['bench.barerelay']
    sys.stdout.write(f'httprelay reaches {share:.2f} of bare (medians)\n')
    path = pathlib.Path(options.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    rounds_seen = {
        relay: [dataclasses.asdict(one) for one in rounds]
        for relay, rounds in seen.items()
    }
    path.write_text(
        json.dumps(
            {
                'callers': options.callers,
                'seconds': options.seconds,
                'rounds': rounds_seen,
                'median_per_second': medians,
                'share_of_bare': share,
            },
            indent=2,
        )
    )


if __name__ == '__main__':
    main()
