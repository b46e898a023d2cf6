"""Authenticates calls: maps the presented key to a team."""

import dataclasses
from typing import TypeAlias

from jayshore.config.keys import KeyRejected
from jayshore.config.model import Team
from jayshore.daemon.configuration import ConfigManager
from jayshore.http.messages import Request

_SCHEME = 'bearer '


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The call is authenticated, or the queue or service is open.

    Attributes:
        team: the team on whose account the work runs.
        key_id: id of the presented key, empty without a key.
        secret: secret part of the presented key, empty without a key.
    """

    team: Team
    key_id: str = ''
    secret: str = dataclasses.field(default='', repr=False)


class NotFresh:
    """The configuration held may be outdated, so keys cannot be checked."""


class Denied:
    """No valid key was presented."""


Access: TypeAlias = Granted | NotFresh | Denied


def read_bearer_key(request: Request) -> str:
    """Read the bearer key from the authorization header.

    Args:
        request: the call.

    Returns:
        `<key_id>.<secret>`, or an empty string when there is none.
    """
    presented = request.headers.get('authorization', '')
    if presented.lower().startswith(_SCHEME):
        return presented[len(_SCHEME) :].strip()
    return ''


def check_key(request: Request, config: ConfigManager) -> Access:
    """Authenticate a call by its bearer key.

    Args:
        request: the call.
        config: the configuration; keys are accepted only while it is fresh.

    Returns:
        The team of the key, or why access is not granted.
    """
    if not config.is_fresh:
        return NotFresh()
    bearer = read_bearer_key(request)
    found = config.snapshot.authenticate(bearer)
    if isinstance(found, KeyRejected):
        return Denied()
    team = config.snapshot.team(found.team)
    if team is None:
        return Denied()
    secret = bearer.partition('.')[2]
    return Granted(team=team, key_id=found.key_id, secret=secret)


def grant_open_access(team_name: str | None, config: ConfigManager) -> Access:
    """Grant access to a queue or service that needs no key.

    Args:
        team_name: the team on whose account the work runs.
        config: the configuration, which need not be fresh here.

    Returns:
        The team, or Denied when the configuration has no such team.
    """
    team = config.snapshot.team(team_name or '')
    return Granted(team=team) if team else Denied()
