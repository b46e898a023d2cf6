"""Tests of the client over loopback."""

import curio
import pytest

from jayshore.clock import Millis
from jayshore.http.client import CallTimedOut, ConnectFailed
from jayshore.http.loopback_test import client_of, post, run
from jayshore.http.server import Bounds


def test_timeout_closes_the_connection():
    """Guards against a late answer that reaches the next request."""

    async def main(server, handler):
        client = client_of(server, max_connections=1)
        with pytest.raises(CallTimedOut):
            await client.call(post('/wait'), timeout_ms=Millis(20))
        await handler.release.set()
        answer = await client.call(post('/', b'3'), timeout_ms=Millis(1000))
        assert answer.body == b'3'
        await client.close()

    run(main)


def test_closed_pooled_connection_is_not_an_error():
    """Guards against an unknown outcome where nothing was sent."""

    async def main(server, _handler):
        client = client_of(server, max_connections=1)
        for _ in range(3):
            await client.call(post('/'), timeout_ms=Millis(1000))
            while server.open_connections:
                await curio.sleep(0)
        await client.close()

    run(main, Bounds(idle_timeout_ms=Millis(1)))


def test_full_pool_sends_nothing():
    """Guards against calls that wait for a connection without bound."""

    async def main(server, handler):
        client = client_of(server, max_connections=1)
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
    """Guards against reuse of a connection that carried a wrong answer."""

    async def main(server, _handler):
        client = client_of(server, keep=lambda _request, _response: keep)
        await client.call(post('/'), timeout_ms=Millis(1000))
        assert len(client._idle) == keep
        await client.close()

    run(main)
