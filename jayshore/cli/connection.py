"""Making the client that the commands use."""

import dataclasses

from jayshore.cli.client import DaemonClient
from jayshore.cli.http_client import HttpDaemonClient


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionSettings:
    """Which daemon to call and with which key.

    Attributes:
        url: base URL of the daemon.
        bearer: the bearer key, empty for none.
    """

    url: str
    bearer: str = dataclasses.field(repr=False)


def connect(settings: ConnectionSettings) -> DaemonClient:
    """Make a client that calls a daemon over HTTP.

    Args:
        settings: which daemon to call and with which key.

    Returns:
        The client.
    """
    return HttpDaemonClient(url=settings.url, bearer=settings.bearer)
