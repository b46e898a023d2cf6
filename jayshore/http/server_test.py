"""Tests of the HTTP server over loopback."""

import random
import socket
from collections import Counter

import curio
import msgspec
import pytest

from jayshore.clock import Millis
from jayshore.http.client import ConnectFailed, ConnectionLost, ConnectRefused
from jayshore.http.loopback_test import make_client, post, raw_exchange, run
from jayshore.http.server import ServerLimits

SEED = 11


@pytest.mark.parametrize(
    ('chunks', 'status', 'kind'),
    [
        ([b'nonsense\r\n\r\n'], 400, 'malformed'),
        ([b'GET / HTTP/1.1\r\n\r\n'], 400, 'malformed'),
        (
            [b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 3000 + b'\r\n\r\n'],
            431,
            'headers_too_large',
        ),
        ([b'GET / HTTP/1.1\r\nx: ' + b'y' * 90_000], 431, 'headers_too_large'),
        ([b'GET / HTTP/1.1\r\nhost'], 408, 'header_timeout'),
        (
            [b'PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n1'],
            408,
            'body_timeout',
        ),
        (
            [
                b'PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n',
                b'x' * 100_000,
            ],
            413,
            'body_too_large',
        ),
        (
            [
                b'PUT / HTTP/1.1\r\nhost: a\r\n',
                b'transfer-encoding: chunked\r\n\r\n',
                b'5dc\r\n' + b'x' * 1500 + b'\r\n',
            ],
            413,
            'body_too_large',
        ),
    ],
)
def test_bad_input_gets_typed_error(chunks, status, kind):
    """Guards against closing a connection without an error response."""

    async def main(server, _handler):
        response = await raw_exchange(server.bound_port, *chunks)
        head, _, body = response.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 %d ' % status)
        assert msgspec.json.decode(body)['error'] == kind

    run(main)


def test_surplus_connection_is_refused():
    """Guards against unlimited connections and refusals without a response."""

    async def main(server, _handler):
        async with await curio.open_connection('127.0.0.1', server.bound_port):
            response = await raw_exchange(server.bound_port)
        assert b'503' in response
        assert b'too_many_connections' in response

    run(main, ServerLimits(max_connections=1))


def test_handler_failure_becomes_500():
    """Guards against a failing handler that closes the connection."""

    async def main(server, _handler):
        client = make_client(server)
        for path, status in (('/fail', 500), ('/inject', 500), ('/ok', 200)):
            response = await client.call(post(path), timeout_ms=Millis(1000))
            assert response.status == status
        assert server.open_connections == 1
        await client.close()

    run(main)


def test_pipelined_requests_are_answered_in_order():
    """Guards against lost or reordered answers to pipelined requests."""

    async def main(server, _handler):
        requests = [
            b'PUT /%d HTTP/1.1\r\nhost: a\r\n%scontent-length: 1\r\n\r\n%d'
            % (number, b'connection: close\r\n' if number == 8 else b'', number)
            for number in range(9)
        ]
        response = await raw_exchange(server.bound_port, b''.join(requests))
        positions = [
            response.index(b'x-path: /%d' % number) for number in range(9)
        ]
        assert positions == sorted(positions)

    run(main)


def test_drain_answers_calls_in_progress():
    """Guards against a planned stop that interrupts or refuses a call."""

    async def main(server, handler):
        client = make_client(server)
        idle = make_client(server)
        await idle.call(post('/'), timeout_ms=Millis(1000))
        call = client.call(post('/wait', b'1'), timeout_ms=Millis(5000))
        waiting = await curio.spawn(call)
        await handler.entered.wait()
        port = server.bound_port
        draining = await curio.spawn(
            server.drain(Millis(5000), grace_ms=Millis(30))
        )
        await curio.sleep(0)
        with pytest.raises((ConnectFailed, OSError)):
            await curio.open_connection('127.0.0.1', port)
        response = await idle.call(post('/', b'2'), timeout_ms=Millis(1000))
        assert (response.body, response.header('connection')) == (b'2', 'close')
        await handler.release.set()
        response = await waiting.join()
        assert (response.body, response.header('connection')) == (b'1', 'close')
        await draining.join()
        assert server.open_connections == 0

    run(main)


def test_drain_closes_idle_connections_and_bounds_calls():
    """Guards against a drain that never ends."""

    async def main(server, handler):
        stuck, idle = make_client(server), make_client(server)
        await idle.call(post('/'), timeout_ms=Millis(1000))
        call = stuck.call(post('/wait'), timeout_ms=Millis(5000))
        waiting = await curio.spawn(call)
        await handler.entered.wait()
        await server.drain(Millis(60), grace_ms=Millis(20))
        await waiting.wait()
        assert isinstance(waiting.exception, ConnectionLost)
        with pytest.raises(ConnectFailed):
            await idle.call(post('/'), timeout_ms=Millis(1000))

    run(main)


def test_drain_under_load_loses_no_request():
    """Guards against losing requests that race with the drain."""
    rng = random.Random(SEED)
    outcomes = Counter()

    async def send_requests(client):
        while True:
            try:
                response = await client.call(
                    post('/', b'x'), timeout_ms=Millis(5000)
                )
            except (ConnectFailed, ConnectionLost) as error:
                outcomes[type(error)] += 1
                return
            outcomes[response.status] += 1
            for _ in range(rng.randrange(100)):
                await curio.sleep(0)

    async def main(server, _handler):
        group = curio.TaskGroup()
        async with group:
            for _ in range(40):
                await group.spawn(
                    send_requests(make_client(server, max_connections=1))
                )
            while outcomes[200] < 200:
                await curio.sleep(0)
            await server.drain(Millis(5000), grace_ms=Millis(3))
        assert outcomes[ConnectRefused] == 40
        assert outcomes[ConnectionLost] == 0

    for _ in range(5):
        outcomes.clear()
        run(main, ServerLimits())


def test_drain_answers_a_request_that_is_arriving():
    """Guards against a drain that interrupts a partly received request."""

    async def main(server, _handler):
        head = b'PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n1'
        sock = await curio.open_connection('127.0.0.1', server.bound_port)
        async with sock:
            await sock.sendall(head)
            await curio.sleep(0)
            draining = await curio.spawn(
                server.drain(Millis(5000), grace_ms=Millis(0))
            )
            for _ in range(50):
                await curio.sleep(0)
            await sock.sendall(b'2')
            assert (await sock.recv(65536)).endswith(b'12')
        await draining.join()

    run(main, ServerLimits())


def test_drain_answers_connections_not_yet_accepted():
    """Guards against resetting connections in the accept queue."""

    async def main(server, _handler):
        address = ('127.0.0.1', server.bound_port)
        # The kernel completes all of this before the server's task can run.
        with socket.create_connection(address) as caller:
            caller.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            caller.shutdown(socket.SHUT_WR)
            await server.drain(Millis(5000))
            assert caller.recv(65536).startswith(b'HTTP/1.1 200')

    run(main)


def test_caller_that_takes_no_answer_is_bounded():
    """Guards against connections that slow callers keep open."""

    async def main(server, _handler):
        sock = await curio.open_connection('127.0.0.1', server.bound_port)
        async with sock:
            await sock.sendall(b'GET /big HTTP/1.1\r\nhost: a\r\n\r\n')
            while not server.open_connections:
                await curio.sleep(0)
            while server.open_connections:
                await curio.sleep(0)

    run(main, ServerLimits(write_timeout_ms=Millis(30)))
