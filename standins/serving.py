"""Base of all stand-in processes: arguments, routes and the ready line."""

import abc
import argparse
import dataclasses
import re
from collections.abc import Awaitable, Callable
from typing import TypeAlias, TypeVar

import curio
import msgspec

from jayshore.clock import Millis
from jayshore.http.messages import (
    InvalidJson,
    Request,
    Response,
    decode_json,
    encode_json,
    error_response,
    json_response,
)
from jayshore.http.server import Handler, HttpServer, ServerLimits
from standins.faults import FaultGate

# Fits a value of 1 MB as JSON with escapes.
_MAX_BODY_BYTES = 8_388_608

ADMIN = 'admin'

_HOST = '127.0.0.1'
_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_STATUS_NOT_FOUND = 404

RouteHandler: TypeAlias = Callable[..., Awaitable[Response]]
_Settings = TypeVar('_Settings')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """One call of an interface.

    Attributes:
        method: HTTP method.
        path: pattern of the path; its groups are passed to the handler.
        kind: name under which it is counted; `ADMIN` for calls that are
            neither counted nor subject to faults.
        handler: called with the request and the groups.
    """

    method: str
    path: re.Pattern[str]
    kind: str
    handler: RouteHandler


def route(method: str, path: str, kind: str, handler: RouteHandler) -> Route:
    """Create the route of one call.

    Args:
        method: HTTP method.
        path: regular expression of the path.
        kind: name under which it is counted.
        handler: called with the request and the groups of the path.

    Returns:
        The route.
    """
    return Route(
        method=method, path=re.compile(path), kind=kind, handler=handler
    )


class StandIn(Handler):
    """HTTP handler with routes, injectable faults and counts of calls."""

    def __init__(self, *, gate: FaultGate) -> None:
        """Build the routes, including those of the administration.

        Args:
            gate: applies faults and counts calls.
        """
        self._gate = gate
        self._routes = [*self.routes(), *self._admin_routes()]

    @abc.abstractmethod
    def routes(self) -> list[Route]:
        """List the calls of the interface.

        Returns:
            The routes.
        """

    async def background(self) -> None:
        """Run periodic work until cancelled; none by default."""

    async def handle(self, request: Request) -> Response:
        """Find the route of a call and answer it.

        Args:
            request: the call.

        Returns:
            The answer.
        """
        for candidate in self._routes:
            match = candidate.path.fullmatch(request.path)
            if candidate.method == request.method and match:
                return await self._call_handler(
                    request, candidate, match.groups()
                )
        return error_response(_STATUS_NOT_FOUND, 'no_such_call', request.path)

    async def change_faults(self, request: Request) -> Response:
        """Set the faults named in the body and keep the others.

        Args:
            request: the call; its body is a JSON object of faults.

        Returns:
            The values of all faults.
        """
        faults = self._gate.faults
        changes = decode_json(request.body, dict[str, msgspec.Raw])
        current: dict[str, object] = {**msgspec.to_builtins(faults), **changes}
        updated = decode_json(encode_json(current), type(faults))
        for name in faults.__struct_fields__:
            setattr(faults, name, getattr(updated, name))
        return json_response(_STATUS_OK, faults)

    async def report_calls(self, _request: Request) -> Response:
        """Report the number of received calls of each kind.

        Returns:
            Counts by kind, in total and by sender.
        """
        return json_response(
            _STATUS_OK,
            {
                'by_kind': self._gate.calls,
                'by_sender': self._gate.calls_by_sender,
            },
        )

    def _admin_routes(self) -> list[Route]:
        return [
            route('POST', '/admin/faults', ADMIN, self.change_faults),
            route('GET', '/admin/calls', ADMIN, self.report_calls),
        ]

    async def _call_handler(
        self, request: Request, matched: Route, groups: tuple[str, ...]
    ) -> Response:
        if matched.kind != ADMIN:
            refusal = await self._gate.before_call(request, matched.kind)
            if refusal is not None:
                return refusal
        try:
            return await matched.handler(request, *groups)
        except (InvalidJson, ValueError, KeyError) as error:
            return error_response(_STATUS_BAD_REQUEST, 'malformed', repr(error))


def parse_arguments(description: str) -> argparse.Namespace:
    """Parse the command line arguments that all stand-ins share.

    Args:
        description: description of the program.

    Returns:
        `port` and `settings`, a JSON text.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--settings', default='{}', help='JSON object')
    return parser.parse_args()


def decode_settings(text: str, expected: type[_Settings]) -> _Settings:
    """Decode the settings of a stand-in.

    Args:
        text: JSON object.
        expected: type of the settings.

    Returns:
        The validated settings.
    """
    return decode_json(text, expected)


async def serve(stand_in: StandIn, port: int) -> None:
    """Print the ready line with the bound address, then serve forever.

    Args:
        stand_in: handles the calls.
        port: port to bind, 0 for any free one.
    """
    server = HttpServer(
        host=_HOST,
        port=port,
        handler=stand_in,
        limits=ServerLimits(
            max_body_bytes=_MAX_BODY_BYTES, idle_timeout_ms=Millis(600_000)
        ),
    )
    server.listen()
    print(f'ready {_HOST}:{server.bound_port}', flush=True)
    await curio.spawn(stand_in.background(), daemon=True)
    await server.serve()


def run(stand_in: StandIn, port: int) -> None:
    """Serve a stand-in until its process is terminated.

    Args:
        stand_in: handles the calls.
        port: port to bind, 0 for any free one.
    """
    curio.run(serve, stand_in, port, taskcls=curio.task.ContextTask)
