"""Making the client that the commands use."""

import dataclasses

from jayshore.cli.client import DaemonClient, DaemonUnreachableError


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

    Raises:
        DaemonUnreachableError: always, as the HTTP client is not written yet.
    """
    raise DaemonUnreachableError(
        f'cannot call {settings.url}: the HTTP client is not written yet'
    )
