"""Model of a change of the roster (design 4.4).

Two successive writes, of which the first changes the roster. Attestation is a
single step here, since `freshness_model` covers its parts; promises follow the
rules of that model.
"""

import dataclasses
from collections.abc import Iterator
from typing import Any, NamedTuple, TypeAlias

from minicheck import Protocol

OLD_ROSTER = frozenset((0, 1, 2))
NEW_ROSTER = frozenset((1, 2, 3))
ROSTERS = (OLD_ROSTER, NEW_ROSTER, NEW_ROSTER)
NOTHING = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """Rosters of which a majority has to promise before a write."""

    old_roster_promises: bool = True
    new_roster_promises: bool = True


class Daemon(NamedTuple):
    """A daemon; `promised` is the revision that its open promise covers."""

    version: int = 0
    promised: int = NOTHING
    counted: bool = False


class State(NamedTuple):
    """The whole system; the revision equals `version`, so it is no field."""

    version: int = 0
    gathering: bool = False
    sent: bool = False
    daemons: tuple[Daemon, ...] = (Daemon(),) * 4
    is_deceived: bool = False


Steps: TypeAlias = Iterator[tuple[str, State]]


def _majority(daemons: frozenset[int], roster: frozenset[int]) -> bool:
    return 2 * len(daemons & roster) > len(roster)


def _replace_daemon(state: State, daemon_id: int, daemon: Daemon) -> State:
    daemons = (
        *state.daemons[:daemon_id],
        daemon,
        *state.daemons[daemon_id + 1 :],
    )
    return state._replace(daemons=daemons)


def _write_steps(rules: Rules, state: State) -> Steps:
    blank = tuple(one._replace(counted=False) for one in state.daemons)
    idle = state._replace(daemons=blank, gathering=False)
    if state.sent:
        done = idle._replace(sent=False, version=state.version + 1)
        yield 'the store carries out the write', done
    elif state.version + 1 < len(ROSTERS):
        yield 'a writer reads the store', idle._replace(gathering=True)
        counted = frozenset(
            daemon_id
            for daemon_id, one in enumerate(state.daemons)
            if one.counted
        )
        old = _majority(counted, ROSTERS[state.version])
        new = _majority(counted, ROSTERS[state.version + 1])
        if (old or not rules.old_roster_promises) and (
            new or not rules.new_roster_promises
        ):
            yield 'the writer sends the write', idle._replace(sent=True)


def _daemon_steps(state: State, daemon_id: int) -> Steps:
    daemon = state.daemons[daemon_id]
    has_read = daemon.version != NOTHING
    if state.gathering and has_read and not daemon.counted:
        given = daemon._replace(promised=state.version, counted=True)
        yield 'promises', _replace_daemon(state, daemon_id, given)
    promised = daemon.promised if daemon.promised >= state.version else NOTHING
    if not has_read:
        promised = state.version
    read = daemon._replace(version=state.version, promised=promised)
    yield 'reads the store', _replace_daemon(state, daemon_id, read)
    lost = Daemon(version=NOTHING, counted=daemon.counted)
    yield 'restarts', _replace_daemon(state, daemon_id, lost)
    attesting = frozenset(
        other
        for other, one in enumerate(state.daemons)
        if one.promised == NOTHING and NOTHING < one.version <= daemon.version
    )
    outdated = has_read and daemon.version < state.version
    if outdated and _majority(attesting, ROSTERS[daemon.version]):
        yield 'is deceived', state._replace(is_deceived=True)


def _steps(rules: Rules, state: State) -> Steps:
    if state.is_deceived:
        return
    yield from _write_steps(rules, state)
    for daemon_id, _ in enumerate(state.daemons):
        for label, after in _daemon_steps(state, daemon_id):
            yield f'daemon {daemon_id} {label}', after


def roster_model(rules: Rules) -> Protocol:
    """Build the model.

    Args:
        rules: rosters of which a majority has to promise.

    Returns:
        A protocol with one invariant.
    """

    def _no_old_version_attested(state: dict[str, Any]) -> bool:  # noqa: WPS430
        return not state['is_deceived']

    return Protocol(
        name='roster',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: _steps(rules, state),
        invariants={'old version attested': _no_old_version_attested},
    )
