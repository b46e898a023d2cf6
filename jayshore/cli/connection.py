"""Creates the client that the commands use."""

import dataclasses

from jayshore.cli.client import DaemonClient
from jayshore.cli.http_client import HttpDaemonClient


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionSettings:
    """Address of the daemon and the key to call it with.

    Attributes:
        url: base URL of the daemon.
        bearer: the bearer key, empty for none.
    """

    url: str
    bearer: str = dataclasses.field(repr=False)


def connect(settings: ConnectionSettings) -> DaemonClient:
    """Create a client that calls a daemon over HTTP.

    Args:
        settings: the address of the daemon and the key.

    Returns:
        The client; it has not connected yet.
    """
    return HttpDaemonClient(url=settings.url, bearer=settings.bearer)
