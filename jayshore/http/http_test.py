"""Tests of the server and the client over loopback."""

from urllib.parse import quote

import curio
import msgspec
import pytest

from jayshore.clock import Millis
from jayshore.http import messages
from jayshore.http.client import Address, HttpClient, InvalidAddress
from jayshore.http.clientconnection import (
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
)
from jayshore.http.headers import encode_headers
from jayshore.http.server import Bounds, Handler, HttpServer

BOUNDS = Bounds(
    max_header_bytes=2000,
    max_body_bytes=1000,
    header_timeout_ms=Millis(60),
    body_timeout_ms=Millis(60),
    max_connections=4,
)


class EchoHandler(Handler):
    """Answers with the body, waits or fails, as the path says."""

    def __init__(self):
        self.entered = curio.Event()
        self.release = curio.Event()

    async def handle(self, request):
        if request.path == '/fail':
            raise LookupError('on purpose')
        if request.path == '/inject':
            return messages.Response(status=200, headers=(('a', 'b\nc'),))
        if request.path == '/wait':
            await self.entered.set()
            await self.release.wait()
        return messages.Response(
            status=200,
            headers=(('x-path', quote(request.path)), *request.query.items()),
            body=request.body,
        )


def run(main, bounds=BOUNDS):
    """Run `main(server, handler)` while the server serves."""

    async def supervise():
        handler = EchoHandler()
        server = HttpServer(
            host='127.0.0.1', port=0, handler=handler, bounds=bounds
        )
        server.listen()
        serving = await curio.spawn(server.serve())
        try:
            async with curio.timeout_after(10):
                await main(server, handler)
        finally:
            await serving.cancel()

    curio.run(supervise, taskcls=curio.task.ContextTask)


def client_of(server, **options):
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
    """Send chunks as they are and read until the server closes."""
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
        client = client_of(server)
        for _ in range(3):
            answer = await client.call(
                post(path, body, q='a&b'), timeout_ms=Millis(1000)
            )
            assert answer.body == body
            assert answer.header('x-path') == quote(path)
            assert answer.header('q') == 'a&b'
        assert server.open_connections == 1
        await client.close()

    run(main)


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
    """Guards against callers that are cut off without being told why."""

    async def main(server, _handler):
        answer = await raw_exchange(server.bound_port, *chunks)
        head, _, body = answer.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 %d ' % status)
        assert msgspec.json.decode(body)['error'] == kind

    run(main)


@pytest.mark.parametrize(
    'pair',
    [
        ('a', '1\r\nb: 2'),
        ('a', '1\n'),
        ('a', '\x00'),
        ('a', '\N{GREEK SMALL LETTER ALPHA}'),
        ('a: b', '1'),
        ('a\r\nb', '1'),
        ('', '1'),
    ],
)
def test_header_injection_is_refused(pair):
    """Guards against values that smuggle headers into a message."""
    with pytest.raises(ValueError, match='illegal'):
        encode_headers([pair])


def test_framing_headers_are_not_forwarded():
    """Guards against a relayed length that contradicts the body."""
    pairs = [('Content-Length', '9'), ('transfer-encoding', 'x'), ('b', ' 1 ')]
    assert encode_headers(pairs) == [(b'b', b'b', b'1')]


def test_surplus_connection_is_refused():
    """Guards against unbounded connections and silent refusals."""

    async def main(server, _handler):
        async with await curio.open_connection('127.0.0.1', server.bound_port):
            answer = await raw_exchange(server.bound_port)
        assert b'503' in answer
        assert b'too_many_connections' in answer

    run(main, Bounds(max_connections=1))


def test_handler_failure_becomes_500():
    """Guards against a failing handler that breaks the connection."""

    async def main(server, _handler):
        client = client_of(server)
        for path, status in (('/fail', 500), ('/inject', 500), ('/ok', 200)):
            answer = await client.call(post(path), timeout_ms=Millis(1000))
            assert answer.status == status
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
        answer = await raw_exchange(server.bound_port, b''.join(requests))
        positions = [
            answer.index(b'x-path: /%d' % number) for number in range(9)
        ]
        assert positions == sorted(positions)

    run(main)


def test_drain_answers_calls_in_progress():
    """Guards against a planned stop that cuts off or refuses a call."""

    async def main(server, handler):
        client = client_of(server)
        idle = client_of(server)
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
        answer = await idle.call(post('/', b'2'), timeout_ms=Millis(1000))
        assert (answer.body, answer.header('connection')) == (b'2', 'close')
        await handler.release.set()
        answer = await waiting.join()
        assert (answer.body, answer.header('connection')) == (b'1', 'close')
        await draining.join()
        assert server.open_connections == 0

    run(main)


def test_drain_closes_idle_connections_and_bounds_calls():
    """Guards against a stop that never ends."""

    async def main(server, handler):
        stuck, idle = client_of(server), client_of(server)
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
                await curio.sleep(0.005)
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


@pytest.mark.parametrize('text', ['', 'a', 'a:', ':1', 'a:0', 'a:x', 'a:70000'])
def test_invalid_address_is_refused(text):
    """Guards against settings that fail only on the first call."""
    with pytest.raises(InvalidAddress):
        Address.parse(text)


@pytest.mark.parametrize(
    ('body', 'path'),
    [(b'{"a": [1, "x"]}', '$[...][1]'), (b'{', '$'), (b'[]', '$')],
)
def test_json_error_names_the_path(body, path):
    """Guards against errors that do not say which value is wrong."""
    with pytest.raises(messages.InvalidJson) as caught:
        messages.decode_json(body, dict[str, list[int]])
    assert caught.value.path == path
