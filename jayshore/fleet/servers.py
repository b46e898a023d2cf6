"""The servers of an instance, and the limits that the configuration sets."""

import dataclasses
from collections.abc import Callable

from jayshore.fleet.configuration import ConfigHolder
from jayshore.fleet.model import FleetConfig
from jayshore.http.budgets import (
    AddressBudget,
    ClientBudgets,
    descriptor_budget,
    memory_budget,
)
from jayshore.http.client import Address
from jayshore.http.messages import Request, Response
from jayshore.http.server import Handler, HttpServer, ServerLimits

_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503

# A relayed call to the store has a job as base 64 within JSON, and a text in it
# may have become longer by its encoding.
_RELAY_FACTOR = 4


class ReadinessHandler(Handler):
    """Answers the readiness checks of the balancer."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        """Create a handler.

        Args:
            is_ready: returns whether this instance can serve.
        """
        self._is_ready = is_ready

    async def handle(self, request: Request) -> Response:
        """Answer a readiness check.

        Args:
            request: the check.

        Returns:
            Status 200 while this instance can serve, otherwise 503.
        """
        if self._is_ready():
            return Response(status=_STATUS_OK)
        return Response(status=_STATUS_UNAVAILABLE)


class ConfiguredLimits:
    """Limits on one address, which follow the configuration in force."""

    def __init__(
        self,
        *,
        holder: ConfigHolder,
        derive: Callable[[FleetConfig, ServerLimits], ServerLimits],
        max_connections: int,
    ) -> None:
        """Create the limits.

        Args:
            holder: holds the configuration in force.
            derive: derives the limits from it and from the defaults.
            max_connections: most connections open at a time.
        """
        self._holder = holder
        self._derive = derive
        self._defaults = ServerLimits(max_connections=max_connections)
        self._config = holder.config
        self._limits = derive(self._config, self._defaults)

    def __call__(self) -> ServerLimits:
        """Return the limits in force."""
        config = self._holder.config
        if config is not self._config:
            self._config = config
            self._limits = self._derive(config, self._defaults)
        return self._limits


def caller_limits(config: FleetConfig, defaults: ServerLimits) -> ServerLimits:
    """Derive the limits on the address for callers.

    Args:
        config: the configuration in force.
        defaults: the limits that it does not state.

    Returns:
        The limits.
    """
    return dataclasses.replace(
        defaults,
        max_body_bytes=config.max_body_bytes,
        max_header_bytes=config.max_header_bytes,
        header_timeout_ms=config.header_timeout_ms,
        idle_timeout_ms=config.idle_timeout_ms,
    )


def peer_limits(config: FleetConfig, defaults: ServerLimits) -> ServerLimits:
    """Derive the limits on the address for other instances.

    Args:
        config: the configuration in force.
        defaults: the limits, of which a body may be larger.

    Returns:
        The limits.
    """
    relayed = _RELAY_FACTOR * config.max_body_bytes
    return dataclasses.replace(
        defaults, max_body_bytes=max(defaults.max_body_bytes, relayed)
    )


def make_budgets(
    *,
    memory_mb: float | None,
    max_fds: float | None,
    count: Callable[[str], None],
) -> ClientBudgets:
    """Create the budgets of a process.

    Args:
        memory_mb: its memory, in millions of bytes; None for no limit.
        max_fds: its file descriptors; None for no limit.
        count: counts one refusal or closed connection by its cause.

    Returns:
        The budgets, to be shared by all its servers.
    """
    return ClientBudgets(
        memory=memory_budget(memory_mb),
        descriptors=descriptor_budget(max_fds),
        count=count,
    )


def make_server(
    address: Address,
    handler: Handler,
    limits: Callable[[], ServerLimits],
    budget: AddressBudget,
) -> HttpServer:
    """Create the server of one address.

    Args:
        address: address to bind.
        handler: handles the requests.
        limits: returns the limits in force.
        budget: what the connections may use of the process.

    Returns:
        A server that does not listen yet.
    """
    return HttpServer(
        host=address.host,
        port=address.port,
        handler=handler,
        limits=limits,
        budget=budget,
    )
