"""A relay on `jayshore.http` alone, to measure the cost of the HTTP layer.

Run with `python -m bench.httprelay ADDRESS`.
"""

import sys

import curio

from bench.processes import print_ready_line
from jayshore.clock import Millis
from jayshore.http.client import Address, HttpClient
from jayshore.http.messages import Request, Response
from jayshore.http.server import Handler, HttpServer, ServerLimits

_HOST = '127.0.0.1'
_DROPPED_HEADERS = frozenset(('host', 'content-length'))
_TIMEOUT_MS = Millis(10_000)


class _RelayHandler(Handler):
    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def handle(self, request: Request) -> Response:
        answer = await self._client.call(
            Request(
                method=request.method,
                path=request.path,
                headers={
                    name: text
                    for name, text in request.headers.items()
                    if name not in _DROPPED_HEADERS
                },
                body=request.body,
            ),
            timeout_ms=_TIMEOUT_MS,
        )
        return Response(
            status=answer.status,
            headers=tuple(
                pair
                for pair in answer.headers
                if pair[0] not in _DROPPED_HEADERS
            ),
            body=answer.body,
        )


async def _serve() -> None:
    client = HttpClient(
        address=Address.parse(sys.argv[1]),
        max_connections=64,
        connect_timeout_ms=Millis(1000),
    )
    server = HttpServer(
        host=_HOST, port=0, handler=_RelayHandler(client), limits=ServerLimits()
    )
    server.listen()
    print_ready_line(Address(host=_HOST, port=server.bound_port))
    await server.serve()


if __name__ == '__main__':
    curio.run(_serve, taskcls=curio.task.ContextTask)
