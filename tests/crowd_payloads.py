"""What the clients of the crowds send, and how many they are.

Numbers of clients are derived from what the settings of the tests give a
process: 100 MB and 640 descriptors to an instance, of which 35 MB and 20 are in
use before the crowd, and 110 MB and 640 to a daemon. A crowd that sends bodies
sends more than is left (200 clients of 1 MB, or 320 of 262 kB), and one that
only holds connections holds 700.
"""

from tests.crowd_support import CrowdCase

OVER_LIMIT = 1_048_000
"""Size of a body that the limit of the configuration forbids, in bytes."""

WITHIN_LIMIT = 262_144
"""`Limits.MaxBodyBytes` of the configuration, in bytes."""

MANY_BODIES = 320
LARGE_BODIES = 200
MANY_CONNECTIONS = 700

_JOB = '/checks/{:016x}'


def head(
    *headers: str, path: str = _JOB.format(0), method: str = 'POST'
) -> bytes:
    """Encode a request head with the host of the tests' configuration.

    Args:
        headers: further header lines.
        path: path of the request.
        method: method of the request.

    Returns:
        The head with its blank line.
    """
    lines = (f'{method} {path} HTTP/1.1', 'host: plans.example', *headers)
    return ''.join(f'{line}\r\n' for line in (*lines, '')).encode()


def chunk(content: bytes) -> bytes:
    """Encode one chunk of a chunked body.

    Args:
        content: bytes of the chunk.

    Returns:
        The chunk with its framing.
    """
    return b'%x\r\n%s\r\n' % (len(content), content)


CHUNKED = 'transfer-encoding: chunked'
KEY_HEADER = 'authorization: Bearer k-riverbend'


def _declared(size: int, sent: int, *headers: str) -> bytes:
    return head(f'content-length: {size}', *headers) + b'x' * sent


def _json(content: bytes) -> bytes:
    return head(f'content-length: {len(content)}', KEY_HEADER) + content


_EMPTY_STEPS = b'{"Spec":"","Steps":[' + b'{},' * 87_000 + b'{}]}'
_NESTED = b'{"Spec":"","Steps":' + b'[' * 130_000 + b']' * 130_000 + b'}'
_NUMBER = b'{"Spec":"","Steps":[{"Count":' + b'9' * 260_000 + b'}]}'
_EMPTY_LISTS = b'{"Spec":"","Steps":[],"Other":[' + b'[],' * 87_000 + b'[]]}'

FRONT_CASES = (
    CrowdCase(
        name='bodies announced over the limit',
        clients=LARGE_BODIES,
        payload=_declared(OVER_LIMIT, 1_040_000),
    ),
    CrowdCase(
        name='bodies sent over the limit, unfinished',
        clients=LARGE_BODIES,
        payload=head(CHUNKED) + chunk(bytes(65_536)) * 15,
    ),
    CrowdCase(
        name='one chunk of a gigabyte, unfinished',
        clients=LARGE_BODIES,
        payload=head(CHUNKED) + b'40000000\r\n' + bytes(1_040_000),
    ),
    CrowdCase(
        name='bodies far over the limit',
        clients=40,
        payload=head(CHUNKED) + chunk(bytes(65_536)) * 48,
    ),
    CrowdCase(
        name='bodies in chunks of one byte',
        clients=LARGE_BODIES,
        payload=head(CHUNKED) + chunk(b'x') * 60_000,
    ),
    CrowdCase(
        name='bodies within the limit, never finished',
        clients=MANY_BODIES,
        payload=_declared(WITHIN_LIMIT, 262_000),
    ),
    CrowdCase(
        name='complete bodies within the limit from many clients at once',
        clients=MANY_BODIES,
        payload=_declared(WITHIN_LIMIT, WITHIN_LIMIT),
    ),
    CrowdCase(
        name='slow bodies',
        clients=MANY_BODIES,
        payload=_declared(WITHIN_LIMIT, 250_000),
        drip=b'x',
    ),
    CrowdCase(
        name='bodies after Expect: 100-continue',
        clients=MANY_BODIES,
        payload=_declared(WITHIN_LIMIT, 262_000, 'expect: 100-continue'),
    ),
    CrowdCase(
        name='odd transfer codings',
        clients=LARGE_BODIES,
        payload=head('transfer-encoding: gzip, chunked') + bytes(1_040_000),
    ),
    CrowdCase(
        name='compressed bodies',
        clients=MANY_BODIES,
        payload=_declared(WITHIN_LIMIT, 262_000, 'content-encoding: gzip'),
    ),
    CrowdCase(
        name='long heads, never finished',
        clients=MANY_CONNECTIONS,
        payload=head()[:-2] + b'x: ' + b'y' * 16_000,
    ),
    CrowdCase(
        name='heads of many lines',
        clients=LARGE_BODIES,
        payload=head()[:-2] + b'a:b\r\n' * 200_000,
    ),
    CrowdCase(
        name='pipelined requests, responses not read',
        clients=50,
        payload=head(method='GET') * 20_000,
        reads=False,
    ),
    CrowdCase(
        name='connections opened and left',
        clients=MANY_CONNECTIONS,
        payload=b'',
    ),
    CrowdCase(
        name='JSON of empty steps', clients=40, payload=_json(_EMPTY_STEPS) * 4
    ),
    CrowdCase(
        name='JSON nested deeply', clients=40, payload=_json(_NESTED) * 4
    ),
    CrowdCase(
        name='JSON with a long number', clients=40, payload=_json(_NUMBER) * 4
    ),
    CrowdCase(
        name='JSON of empty lists', clients=40, payload=_json(_EMPTY_LISTS) * 4
    ),
)
"""Crowds on the address for callers of an instance."""

OTHER_ADDRESS_CASES = (
    (
        'internal',
        CrowdCase(
            name='bodies on the internal address, never finished',
            clients=LARGE_BODIES,
            payload=_declared(OVER_LIMIT, 1_040_000),
        ),
    ),
    (
        'readiness',
        CrowdCase(
            name='connections opened and left on the readiness address',
            clients=MANY_CONNECTIONS,
            payload=b'',
        ),
    ),
)
"""Crowds on the other addresses of an instance."""

_METRICS = head(path='/metrics', method='GET')

DAEMON_CASES = (
    CrowdCase(
        name='bodies within the limit of a daemon, never finished',
        clients=LARGE_BODIES,
        payload=head('content-length: 1000000', path='/v1/jobs')
        + bytes(990_000),
    ),
    CrowdCase(
        name='bodies in chunks of one byte to a daemon',
        clients=LARGE_BODIES,
        payload=head(CHUNKED, path='/v1/jobs') + chunk(b'x') * 60_000,
    ),
    CrowdCase(
        name='connections to a daemon opened and left',
        clients=MANY_CONNECTIONS,
        payload=b'',
    ),
    CrowdCase(
        name='metrics of a daemon, pipelined and not read',
        clients=100,
        payload=_METRICS * 200,
        reads=False,
    ),
)
"""Crowds on the address for callers of a daemon."""

WAITING_CLIENTS = 700
"""Clients that wait for the end of a job at a daemon."""
