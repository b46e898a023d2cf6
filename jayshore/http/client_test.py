"""Tests of the HTTP client over loopback."""

import socket

import curio
import pytest

from jayshore.clock import Millis
from jayshore.http.client import (
    Address,
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
    HttpClient,
)
from jayshore.http.loopback_test import make_client, post, run
from jayshore.http.server import ServerLimits

# A renewal that polls for 20 s, with a call timeout of 2 s, detects a vanished
# host after 22 s at the latest. Keepalive must not take longer.
MAX_DETECTION_MS = 22_000


def test_timeout_closes_the_connection():
    """Guards against a late response that is taken for the next one."""

    async def main(server, handler):
        client = make_client(server, max_connections=1)
        with pytest.raises(CallTimedOut):
            await client.call(post('/wait'), timeout_ms=Millis(20))
        await handler.release.set()
        response = await client.call(post('/', b'3'), timeout_ms=Millis(1000))
        assert response.body == b'3'
        await client.close()

    run(main)


def test_timeout_drops_the_idle_connections_too():
    """Guards against a timeout for each of many stale pooled connections.

    Seed 124 of the soak: all pooled connections to a worker were stale. Each
    lease renewal timed out on another one, until the lease had expired and the
    worker was given up.
    """

    async def main(server, handler):
        client = make_client(server, max_connections=3)
        group = curio.TaskGroup()
        async with group:
            for _ in range(3):
                await group.spawn(
                    client.call(post('/wait'), timeout_ms=Millis(5000))
                )
            while server.open_connections < 3:
                await curio.sleep(0)
            await handler.release.set()
        assert len(client._idle) == 3
        handler.release.clear()
        with pytest.raises(CallTimedOut):
            await client.call(post('/wait'), timeout_ms=Millis(20))
        assert not client._idle
        response = await client.call(post('/', b'3'), timeout_ms=Millis(1000))
        assert response.body == b'3'
        await client.close()

    run(main)


def test_vanished_host_is_noticed_while_an_answer_is_awaited():
    """Guards against a long poll that keeps waiting for a vanished host."""

    async def main(server, _handler):
        client = make_client(server)
        await client.call(post('/'), timeout_ms=Millis(1000))
        sock = client._idle[0]._sock
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle, interval, limit_ms = (
            sock.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_USER_TIMEOUT,
            )
        )
        assert 1000 * idle < limit_ms <= MAX_DETECTION_MS - 1000 * interval
        await client.close()

    run(main)


def test_closed_pooled_connection_is_not_an_error():
    """Guards against an unknown outcome although nothing was sent."""

    async def main(server, _handler):
        client = make_client(server, max_connections=1)
        for _ in range(3):
            await client.call(post('/'), timeout_ms=Millis(1000))
            while server.open_connections:
                await curio.sleep(0)
        await client.close()

    run(main, ServerLimits(idle_timeout_ms=Millis(1)))


def test_full_pool_sends_nothing():
    """Guards against calls that wait for a connection beyond their timeout."""

    async def main(server, handler):
        client = make_client(server, max_connections=1)
        call = client.call(post('/wait'), timeout_ms=Millis(5000))
        waiting = await curio.spawn(call)
        await handler.entered.wait()
        with pytest.raises(ConnectFailed):
            await client.call(post('/'), timeout_ms=Millis(10))
        await handler.release.set()
        await waiting.join()
        await client.close()

    run(main)


@pytest.mark.parametrize('keep', [True, False])
def test_connection_is_kept_only_on_request(keep):
    """Guards against reuse of a connection that carried a wrong response."""

    async def main(server, _handler):
        client = make_client(server, may_reuse=lambda _request, _response: keep)
        await client.call(post('/'), timeout_ms=Millis(1000))
        assert len(client._idle) == keep
        await client.close()

    run(main)


def test_early_refusal_of_a_large_request_is_read():
    """Guards against an unknown outcome although the server has refused."""

    async def main(server, _handler):
        client = make_client(server, max_connections=1)
        body = bytes(5_000_000)
        response = await client.call(post('/', body), timeout_ms=Millis(5000))
        assert response.status == 413
        response = await client.call(post('/', b'4'), timeout_ms=Millis(5000))
        assert response.body == b'4'
        await client.close()

    run(main)


def test_cancelled_call_frees_its_connection():
    """Guards against a pool that shrinks with every cancelled call."""

    async def main(server, handler):
        client = make_client(server, max_connections=1)
        call = client.call(post('/wait'), timeout_ms=Millis(5000))
        waiting = await curio.spawn(call)
        await handler.entered.wait()
        await waiting.cancel()
        response = await client.call(post('/', b'5'), timeout_ms=Millis(5000))
        assert response.body == b'5'
        await client.close()

    run(main)


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n123',
        b'nonsense\r\n\r\n',
    ],
)
def test_incomplete_answer_is_lost(answer):
    """Guards against taking a partial or missing response as complete."""

    async def serve_once(listener):
        sock, _ = await listener.accept()
        async with sock:
            await sock.recv(65536)
            await sock.sendall(answer)

    async def main():
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        serving = await curio.spawn(serve_once(listener))
        client = HttpClient(
            address=Address(host='127.0.0.1', port=listener.getsockname()[1]),
            max_connections=1,
            connect_timeout_ms=Millis(1000),
        )
        with pytest.raises(ConnectionLost):
            await client.call(post('/'), timeout_ms=Millis(5000))
        await serving.join()
        await listener.close()

    curio.run(main, taskcls=curio.task.ContextTask)
