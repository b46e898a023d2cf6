"""A server on loopback, for the tests of this package."""

from urllib.parse import quote

import curio
import pytest

from jayshore.clock import Millis
from jayshore.http import messages
from jayshore.http.client import Address, HttpClient
from jayshore.http.server import Handler, HttpServer, ServerLimits
from jayshore.traffic import Traffic

LIMITS = ServerLimits(
    max_header_bytes=2000,
    max_body_bytes=1000,
    header_timeout_ms=Millis(60),
    body_timeout_ms=Millis(60),
    max_connections=4,
)


class EchoHandler(Handler):
    """Echoes the body; special paths make it wait, fail or misbehave."""

    def __init__(self):
        self.entered = curio.Event()
        self.release = curio.Event()

    async def handle(self, request):
        if request.path == '/fail':
            raise LookupError('on purpose')
        if request.path == '/inject':
            return messages.Response(status=200, headers=(('a', 'b\nc'),))
        if request.path == '/big':
            return messages.Response(status=200, body=bytes(50_000_000))
        if request.path == '/wait':
            await self.entered.set()
            await self.release.wait()
        return messages.Response(
            status=200,
            headers=(('x-path', quote(request.path)), *request.query.items()),
            body=request.body,
        )


def run(main, limits=LIMITS):
    """Run `main(server, handler)` while the server serves."""

    async def supervise():
        handler = EchoHandler()
        server = HttpServer(
            host='127.0.0.1', port=0, handler=handler, limits=limits
        )
        server.listen()
        serving = await curio.spawn(server.serve())
        try:
            async with curio.timeout_after(10):
                await main(server, handler)
        finally:
            await serving.cancel()

    curio.run(supervise, taskcls=curio.task.ContextTask)


def make_client(server, **options):
    address = Address(host='127.0.0.1', port=server.bound_port)
    return HttpClient(
        address=address,
        max_connections=options.pop('max_connections', 2),
        connect_timeout_ms=Millis(1000),
        **options,
    )


def post(path, body=b'', **query):
    return messages.Request(method='POST', path=path, body=body, query=query)


async def raw_exchange(port, *chunks):
    """Send raw chunks and read until the server closes the connection."""
    sock = await curio.open_connection('127.0.0.1', port)
    async with sock:
        for chunk in chunks:
            await sock.sendall(chunk)
        received = b''
        while chunk := await sock.recv(65536):
            received += chunk
    return received


@pytest.mark.parametrize(
    ('path', 'body'),
    [
        ('/a', b''),
        ('/with space/\N{GREEK SMALL LETTER ALPHA}?', b'x' * 1000),
    ],
)
def test_answer_is_complete(path, body):
    """Guards against altered paths, queries, headers and bodies."""

    async def main(server, _handler):
        client = make_client(server)
        for _ in range(3):
            response = await client.call(
                post(path, body, q='a&b'), timeout_ms=Millis(1000)
            )
            assert response.body == body
            assert response.header('x-path') == quote(path)
            assert response.header('q') == 'a&b'
        assert server.open_connections == 1
        await client.close()

    run(main)


def test_traffic_is_counted_on_both_sides():
    """Guards against traffic figures that miss a direction or a message."""
    counted = Traffic()

    async def main(server, _handler):
        client = make_client(server, traffic=counted)
        for body in (b'', b'x' * 1000):
            await client.call(post('/a', body), timeout_ms=Millis(1000))
        await client.close()

    run(main)
    assert counted.messages == 2
    assert 1000 < counted.sent < 1400
    assert 1000 < counted.received < 1400
