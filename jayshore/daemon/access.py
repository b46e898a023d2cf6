"""Decides for which team a call is made."""

import dataclasses
from typing import TypeAlias

from jayshore.config.keys import KeyRejected
from jayshore.config.model import Team
from jayshore.daemon.configuration import ConfigManager
from jayshore.http.messages import Request

_SCHEME = 'bearer '


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The call is made for this team.

    Attributes:
        team: the team.
        key_id: the key presented, empty on what is open to all.
        secret: of the key.
    """

    team: Team
    key_id: str = ''
    secret: str = dataclasses.field(default='', repr=False)


class NotFresh:
    """It is not known whether keys were withdrawn elsewhere."""


class Denied:
    """No valid key was presented."""


Access: TypeAlias = Granted | NotFresh | Denied


def read_bearer_key(request: Request) -> str:
    """Read the key that a call presents.

    Args:
        request: the call.

    Returns:
        `<key_id>.<secret>`, or an empty text.
    """
    presented = request.headers.get('authorization', '')
    if presented.lower().startswith(_SCHEME):
        return presented[len(_SCHEME) :].strip()
    return ''


def check_key(request: Request, config: ConfigManager) -> Access:
    """Check the key that a call presents.

    Args:
        request: the call.
        config: the configuration; a key counts only while it is fresh.

    Returns:
        The team of the key, or why there is none.
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
    """Grant access to a queue or service that is open to all.

    Args:
        team_name: the team on whose account the work runs.
        config: the configuration.

    Returns:
        That team.
    """
    team = config.snapshot.team(team_name or '')
    return Granted(team=team) if team else Denied()
