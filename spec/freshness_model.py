"""Model of configuration freshness (design 4.4).

Three daemons and one withdrawal of a key, which replaces version 0 by
version 1. Daemon 0 is observed: it acts while its evidence is fresh. The two
peers read the store, promise, attest and relay. A partition or a pause is
modelled as a step that does not happen. A tick is the maximum age of valid
evidence.
"""

import dataclasses
from collections.abc import Iterator
from typing import Any, NamedTuple, TypeAlias

from minicheck import Protocol

NOTHING = -1
STALE = 2
OVERDUE = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """Safeguards of the protocol; setting one to False disables it.

    `last_revision` bounds the rewrites of the unchanged document.
    `attesters_needed` and `promises_needed` are numbers of daemons.
    """

    last_revision: int = 2
    attesters_needed: int = 2
    promises_needed: int = 2
    promise_lasts_to_newer_revision: bool = True
    restart_counts_as_promise: bool = True
    attests_only_after_own_read: bool = True
    age_includes_transit: bool = True
    evidence_is_younger_than_process: bool = True
    keeps_newer_version: bool = True


class Daemon(NamedTuple):
    """A daemon; `promised` is the revision that its open promise covers."""

    version: int = 0
    age: int = STALE
    has_read: bool = True
    promised: int = NOTHING
    counted: bool = False
    attested: bool = False


class State(NamedTuple):
    """The whole system.

    `write_expects` is the revision that the withdrawal replaces, `sent` tells
    whether the store may still carry out the write, and `since` counts ticks
    since it did. `round_age` is the age of the running attestation round.
    `mail` is the version of evidence in flight to daemon 0 and its age when
    it was sent.
    """

    revision: int = 1
    version: int = 0
    write_expects: int = NOTHING
    sent: bool = False
    since: int = 0
    daemons: tuple[Daemon, ...] = (Daemon(), Daemon(), Daemon())
    round_age: int = STALE
    uptime: int = STALE
    acted_on: int = 0
    mail: tuple[int, int] = (NOTHING, STALE)


Steps: TypeAlias = Iterator[tuple[str, State]]


def _replace_daemon(state: State, daemon_id: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[daemon_id] = daemon
    # The peers are symmetric: states that differ by a swap of them are equal.
    return state._replace(daemons=(daemons[0], *sorted(daemons[1:])))


def _end_round(state: State) -> State:
    daemons = tuple(one._replace(attested=False) for one in state.daemons)
    return state._replace(round_age=STALE, daemons=daemons)


def _read_store(rules: Rules, state: State, daemon_id: int) -> Daemon:
    daemon = state.daemons[daemon_id]
    promised = daemon.promised
    if not rules.promise_lasts_to_newer_revision or state.revision > promised:
        promised = NOTHING
    if not daemon.has_read and rules.restart_counts_as_promise:
        promised = state.revision
    return daemon._replace(
        version=state.version, age=0, has_read=True, promised=promised
    )


def _learn_steps(rules: Rules, state: State, version: int, age: int) -> Steps:
    daemon = state.daemons[0]
    if version < daemon.version and rules.keeps_newer_version:
        return
    if age >= state.uptime and rules.evidence_is_younger_than_process:
        return
    if version != daemon.version:
        state = _end_round(state)
    if version != daemon.version or age < daemon.age:
        learned = state.daemons[0]._replace(version=version, age=age)
        yield 'daemon 0 accepts evidence', _replace_daemon(state, 0, learned)


def _write_steps(rules: Rules, state: State) -> Steps:
    if state.version == 0 and not state.sent:
        daemons = tuple(one._replace(counted=False) for one in state.daemons)
        begun = state._replace(daemons=(daemons[0], *sorted(daemons[1:])))
        reads = begun._replace(write_expects=state.revision)
        yield 'a writer reads the store', reads
        counted = sum(one.counted for one in state.daemons)
        needed = rules.promises_needed
        if state.write_expects != NOTHING and counted >= needed:
            sent = begun._replace(write_expects=state.write_expects, sent=True)
            yield 'the writer sends the write', sent
    if state.sent:
        idle = state._replace(sent=False, write_expects=NOTHING)
        if state.revision == state.write_expects:
            done = idle._replace(version=1, revision=state.revision + 1)
            yield 'the store carries out the write', done
        else:
            yield 'the store refuses the write', idle
    if state.revision < rules.last_revision:
        bumped = state._replace(revision=state.revision + 1)
        yield 'a daemon rewrites the unchanged document', bumped


def _daemon_steps(rules: Rules, state: State, daemon_id: int) -> Steps:
    daemon = state.daemons[daemon_id]
    reading = _read_store(rules, state, daemon_id)
    ended = _end_round(state) if daemon_id == 0 else state
    yield 'reads the store', _replace_daemon(ended, daemon_id, reading)
    gathering = state.write_expects != NOTHING and not state.sent
    may_vouch = daemon.has_read or not rules.attests_only_after_own_read
    if gathering and may_vouch and not daemon.counted:
        promised = max(daemon.promised, state.write_expects)
        given = daemon._replace(promised=promised, counted=True)
        yield 'promises', _replace_daemon(state, daemon_id, given)
    if state.round_age != STALE and may_vouch and not daemon.attested:
        asker = state.daemons[0]
        if daemon.promised == NOTHING and daemon.version <= asker.version:
            attests = daemon._replace(attested=True)
            yield 'attests', _replace_daemon(state, daemon_id, attests)
    blank = Daemon(version=NOTHING, has_read=False, counted=daemon.counted)
    restarted = _replace_daemon(ended, daemon_id, blank)
    yield (
        'restarts',
        restarted._replace(uptime=0) if daemon_id == 0 else restarted,
    )


def _observed_steps(rules: Rules, state: State) -> Steps:
    daemon = state.daemons[0]
    if daemon.version != NOTHING and state.round_age == STALE:
        yield 'daemon 0 asks for attestation', state._replace(round_age=0)
    attested = sum(one.attested for one in state.daemons)
    if attested >= rules.attesters_needed and state.round_age != STALE:
        ended = _end_round(state)
        proved = ended.daemons[0]._replace(age=state.round_age)
        yield 'daemon 0 has a majority', _replace_daemon(ended, 0, proved)
    for peer in state.daemons[1:]:
        if peer.age == STALE:
            continue
        yield from _learn_steps(rules, state, peer.version, peer.age)
        if not rules.age_includes_transit:
            mail = (peer.version, peer.age)
            yield 'a peer sends evidence', state._replace(mail=mail)
    if state.mail[0] != NOTHING:
        yield from _learn_steps(rules, state, *state.mail)


def _advance_time(state: State) -> State:
    daemons = tuple(
        one._replace(age=min(one.age + 1, STALE)) for one in state.daemons
    )
    ticked = state._replace(
        daemons=(daemons[0], *sorted(daemons[1:])),
        since=min(state.since + state.version, OVERDUE),
        uptime=min(state.uptime + 1, STALE),
        round_age=min(state.round_age + 1, STALE),
    )
    return ticked if ticked.round_age < STALE else _end_round(ticked)


def _steps(rules: Rules, state: State) -> Steps:
    daemon = state.daemons[0]
    if daemon.age < STALE and daemon.version > state.acted_on:
        state = state._replace(acted_on=daemon.version)
    yield 'time passes', _advance_time(state)
    yield from _write_steps(rules, state)
    for daemon_id, _ in enumerate(state.daemons):
        for label, after in _daemon_steps(rules, state, daemon_id):
            yield f'daemon {daemon_id} {label}', after
    yield from _observed_steps(rules, state)


def _withdrawn_key_is_refused(state: dict[str, Any]) -> bool:
    daemon = state['daemons'][0]
    accepts = daemon.age < STALE and daemon.version == 0
    return not accepts or state['since'] < OVERDUE


def _version_never_goes_back(state: dict[str, Any]) -> bool:
    daemon = state['daemons'][0]
    return bool(daemon.age == STALE or daemon.version >= state['acted_on'])


def freshness_model(rules: Rules) -> Protocol:
    """Build the model.

    Args:
        rules: the enabled safeguards.

    Returns:
        A protocol with its two invariants.
    """
    return Protocol(
        name='freshness',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: _steps(rules, state),
        invariants={
            'withdrawn key accepted late': _withdrawn_key_is_refused,
            'version went back': _version_never_goes_back,
        },
    )
