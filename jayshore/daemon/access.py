"""Decides for which team a call is made."""

import dataclasses
from typing import TypeAlias

from jayshore.config.keys import KeyRejected
from jayshore.config.model import Team
from jayshore.daemon.configuration import ConfigKeeper
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


def bearer_of(request: Request) -> str:
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


def check_key(request: Request, keeper: ConfigKeeper) -> Access:
    """Check the key that a call presents.

    Args:
        request: the call.
        keeper: the configuration; a key counts only while it is fresh.

    Returns:
        The team of the key, or why there is none.
    """
    if not keeper.is_fresh:
        return NotFresh()
    bearer = bearer_of(request)
    found = keeper.snapshot.authenticate(bearer)
    if isinstance(found, KeyRejected):
        return Denied()
    team = keeper.snapshot.team(found.team)
    if team is None:
        return Denied()
    secret = bearer.partition('.')[2]
    return Granted(team=team, key_id=found.key_id, secret=secret)


def open_access(team_name: str | None, keeper: ConfigKeeper) -> Access:
    """Grant access to a queue or service that is open to all.

    Args:
        team_name: the team on whose account the work runs.
        keeper: the configuration.

    Returns:
        That team.
    """
    team = keeper.snapshot.team(team_name or '')
    return Granted(team=team) if team else Denied()
