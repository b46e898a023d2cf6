"""Untrusted clients at a server on loopback, without processes."""

import random

import curio
import msgspec
import pytest

from jayshore.clock import Millis
from jayshore.http.budgets import Budget, ClientBudgets
from jayshore.http.loopback_test import (
    LIMITS,
    EchoHandler,
    make_client,
    post,
    raw_exchange,
    run,
)
from jayshore.http.server import HttpServer, ServerLimits

CHUNKED = b'PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
SEEDS = range(8)


@pytest.mark.parametrize(
    ('body', 'status'),
    [
        (b'1\r\nx\r\n' * 900, 400),
        (b'1;' + b'e' * 1900 + b'\r\nx\r\n' + b'1;' + b'e' * 900, 400),
        (b'4\r\nfour\r\n' * 250 + b'0\r\n\r\n', 200),
        (b'1\r\nx\r\n' * 300 + b'0\r\n\r\n', 200),
    ],
)
def test_framing_far_larger_than_the_content_is_refused(body, status):
    """Guards against chunks that cost more than their content is worth."""

    async def main(server, _handler):
        head = CHUNKED.replace(b'host', b'connection: close\r\nhost')
        response = await raw_exchange(server.bound_port, head + body)
        assert response.startswith(b'HTTP/1.1 %d ' % status), response

    run(main, ServerLimits(max_header_bytes=2000, body_timeout_ms=Millis(500)))


def test_changed_limits_apply_to_open_connections():
    """Guards against connections that keep the limits of a former version."""
    current = [ServerLimits(max_body_bytes=100)]

    async def main():
        server = HttpServer(
            host='127.0.0.1',
            port=0,
            handler=EchoHandler(),
            limits=lambda: current[0],
        )
        server.listen()
        await curio.spawn(server.serve, daemon=True)
        client = make_client(server)
        for limit, status in ((100, 200), (50, 413), (100, 200)):
            current[0] = ServerLimits(max_body_bytes=limit)
            response = await client.call(
                post('/', b'x' * 80), timeout_ms=Millis(1000)
            )
            assert response.status == status

    curio.run(main)


def test_refused_request_is_told_that_it_has_not_run():
    """Guards against a refusal for want of memory of a request that runs."""
    budgets = ClientBudgets(memory=Budget(total=100_000))

    async def main():
        handler = EchoHandler()
        server = HttpServer(
            host='127.0.0.1',
            port=0,
            handler=handler,
            limits=ServerLimits(),
            budget=budgets.address(trusted=False),
        )
        server.listen()
        await curio.spawn(server.serve, daemon=True)
        first, second = make_client(server), make_client(server)
        waiting = await curio.spawn(
            first.call(post('/wait', b'x' * 9000), timeout_ms=Millis(5000))
        )
        await handler.entered.wait()
        handler.entered.clear()
        refused = await second.call(
            post('/wait', b'x' * 9000), timeout_ms=Millis(5000)
        )
        assert refused.status == 503
        assert refused.header('retry-after') == '1'
        detail = msgspec.json.decode(refused.body)['detail']
        assert detail.startswith('not run')
        assert not handler.entered.is_set()
        await handler.release.set()
        assert (await waiting.join()).status == 200

    curio.run(main)


def test_other_tasks_run_beside_pipelined_requests():
    """Guards against a connection that keeps the event loop for itself.

    Counts passes of another task instead of time.
    """
    request = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
    last = b'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'

    async def main(server, _handler):
        passes = 0

        async def count_passes():
            nonlocal passes
            while True:
                await curio.sleep(0)
                passes += 1

        await curio.spawn(count_passes, daemon=True)
        await raw_exchange(server.bound_port, request * 60 + last)
        assert passes >= 60

    run(main)


@pytest.mark.parametrize('seed', SEEDS)
def test_reader_survives_random_bytes(seed):
    """Guards against input that ends or blocks the server, seeded.

    Valid requests are cut, repeated, mixed and altered, and sent in pieces.
    """
    rng = random.Random(seed)
    samples = (
        b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n',
        b'PUT /b HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc',
        CHUNKED + b'3;x=y\r\nabc\r\n0\r\nt: 1\r\n\r\n',
        b'PUT / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n'
        b'content-length: 2\r\n\r\nab',
        b'PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n',
        b'PUT / HTTP/1.0\r\ncontent-length: 99999999999999999999\r\n\r\n',
        b'\x00\r\n\r\n',
    )

    def mutate(text):
        changed = bytearray(text * rng.choice((1, 1, 2, 30)))
        for _ in range(rng.choice((0, 1, 1, 4))):
            changed[rng.randrange(len(changed))] = rng.randrange(256)
        cut = rng.randrange(len(changed)) if rng.random() < 0.3 else None
        return bytes(changed[:cut])

    async def main(server, _handler):
        for _ in range(40):
            sock = await curio.open_connection('127.0.0.1', server.bound_port)
            text = b''.join(mutate(rng.choice(samples)) for _ in range(3))
            async with sock:
                try:
                    for start in range(0, len(text), 97):
                        await sock.sendall(text[start : start + 97])
                        await curio.sleep(0)
                except OSError:
                    continue
        client = make_client(server)
        response = await client.call(post('/', b'1'), timeout_ms=Millis(1000))
        assert response.body == b'1'

    limits = ServerLimits(
        max_header_bytes=LIMITS.max_header_bytes,
        max_body_bytes=LIMITS.max_body_bytes,
        header_timeout_ms=Millis(60),
        body_timeout_ms=Millis(60),
    )
    run(main, limits)
