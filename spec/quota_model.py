"""Model of the grants of one team to two domains (design 4.5).

The limit goes through `LIMITS`. The leader of domain 0 is replaced once and
its predecessor may go on. A domain that is cut off takes no store step.
"""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, TypeAlias

from minicheck import Protocol

LIMITS = (2, 3, 1)
UNCLAIMED = -1
DOMAINS = (0, 1)
FAULTS = ('sum exceeds the limit', 'raised under an older limit')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """Mechanisms of the protocol; each False switches one off."""

    compare_and_swap: bool = True
    raise_reads_newest_limit: bool = True
    raise_from_remainder: bool = True
    lower_after_use_fell: bool = True
    lower_counts_when_sent: bool = True
    uncertain_write_is_repeated: bool = True
    successor_claims_part: bool = True
    successor_opens_upstreams: bool = True


class Record(NamedTuple):
    """The stored grants: version of the limit, epoch and part per domain."""

    limit_version: int = 0
    epochs: tuple[int, ...] = (1, 1)
    parts: tuple[int, ...] = (LIMITS[0], 0)


class Domain(NamedTuple):
    """A domain's leader, its use, and what its predecessor may still use."""

    epoch: int = 1
    part: int = UNCLAIMED
    use: int = 0
    certain: bool = True
    opened: bool = True
    former_part: int = 0
    late: Record | None = None


class State(NamedTuple):
    """The whole system; `fault` names the property that was violated."""

    limit_version: int = 0
    record: Record = Record()
    domains: tuple[Domain, ...] = (Domain(part=LIMITS[0]), Domain(part=0))
    fault: str = ''


Steps: TypeAlias = Iterator[tuple[str, State]]


def _put(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


def _domain(state: State, at: int, **changes: Any) -> State:
    domain = state.domains[at]._replace(**changes)
    return state._replace(domains=_put(state.domains, at, domain))


def _land(rules: Rules, state: State, new: Record) -> State:
    fault = state.fault
    raised = sum(new.parts) > sum(state.record.parts)
    if raised and sum(new.parts) > LIMITS[new.limit_version]:
        fault = 'sum exceeds the limit'
    domains = state.domains
    if rules.compare_and_swap:
        # The new revision makes every other write under way fail.
        domains = tuple(one._replace(late=None) for one in domains)
    return state._replace(record=new, domains=domains, fault=fault)


def _write(rules: Rules, state: State, at: int, new: Record) -> Steps:
    part = new.parts[at]
    landed = _land(rules, state, new)
    yield 'writes', _domain(landed, at, part=part, certain=True, late=None)
    held = state.domains[at].part
    counted = min(held, part) if rules.lower_counts_when_sent else held
    yield (
        'writes without an answer',
        _domain(state, at, part=counted, certain=False, late=new),
    )


def _resolve(rules: Rules, state: State, at: int) -> Steps:
    domain = state.domains[at]
    if domain.late is not None and rules.uncertain_write_is_repeated:
        yield from _write(rules, state, at, domain.late)
        return
    held = state.record.parts[at]
    yield 'reads back', _domain(state, at, part=held, certain=True)


def _claim(rules: Rules, state: State, at: int) -> Steps:
    record = state.record
    if rules.successor_claims_part:
        epochs = _put(record.epochs, at, state.domains[at].epoch)
        yield from _write(rules, state, at, record._replace(epochs=epochs))
    else:
        yield 'reads', _domain(state, at, part=record.parts[at])


def _raise(rules: Rules, state: State, at: int) -> Steps:
    record, newest = state.record, state.limit_version
    parts = _put(record.parts, at, record.parts[at] + 1)
    oldest = newest if rules.raise_reads_newest_limit else record.limit_version
    for version in range(oldest, newest + 1):
        if sum(parts) > LIMITS[version] and rules.raise_from_remainder:
            continue
        above = sum(parts) > LIMITS[newest]
        fault = 'raised under an older limit' if above else ''
        sent = state._replace(fault=fault)
        new = Record(version, record.epochs, parts)
        yield from _write(rules, sent, at, new)


def _lower(rules: Rules, state: State, at: int) -> Steps:
    domain, record = state.domains[at], state.record
    part = record.parts[at]
    unused = domain.use < part or not rules.lower_after_use_fell
    known = domain.opened or not rules.successor_opens_upstreams
    if part and unused and known:
        lowered = _put(record.parts, at, part - 1)
        yield from _write(rules, state, at, record._replace(parts=lowered))


def _store_steps(rules: Rules, state: State, at: int) -> Steps:
    domain = state.domains[at]
    if domain.late is not None:
        landed = _land(rules, state, domain.late)
        yield 'late write lands', _domain(landed, at, late=None)
    if domain.certain and domain.part != UNCLAIMED:
        yield from _raise(rules, state, at)
        yield from _lower(rules, state, at)
    elif domain.certain:
        yield from _claim(rules, state, at)
    else:
        yield from _resolve(rules, state, at)


def _use(rules: Rules, state: State, at: int) -> Steps:
    domain = state.domains[at]
    known = domain.opened or not rules.successor_opens_upstreams
    if domain.use < domain.part and known:
        yield 'starts a task', _domain(state, at, use=domain.use + 1)
    if not domain.opened:
        if domain.use < domain.former_part:
            yield (
                'starts a task under its former leader',
                _domain(state, at, use=domain.use + 1),
            )
        yield 'opens its upstreams', _domain(state, at, opened=True)
    if domain.use:
        yield 'ends a task', _domain(state, at, use=domain.use - 1)


def _steps(rules: Rules, state: State) -> Steps:
    if state.fault:
        return
    if state.limit_version + 1 < len(LIMITS):
        changed = state._replace(limit_version=state.limit_version + 1)
        yield 'an operator changes the limit', changed
    first = state.domains[0]
    if first.epoch == 1:
        successor = Domain(
            epoch=2,
            use=first.use,
            opened=False,
            former_part=max(first.part, 0),
            late=first.late,
        )
        domains = (successor, state.domains[1])
        yield 'domain 0 has a new leader', state._replace(domains=domains)
    for at in DOMAINS:
        for label, after in _store_steps(rules, state, at):
            yield f'domain {at} {label}', after
        for label, after in _use(rules, state, at):
            yield f'domain {at} {label}', after


def _use_is_within_part(state: dict[str, Any]) -> bool:
    parts = state['record'].parts
    uses = (domain.use for domain in state['domains'])
    return all(use <= part for use, part in zip(uses, parts, strict=True))


def _lacks(fault: str) -> Callable[[dict[str, Any]], bool]:
    return lambda state: state['fault'] != fault


def quota_model(rules: Rules) -> Protocol:
    """Build the model.

    Args:
        rules: the mechanisms in force.

    Returns:
        A protocol with one invariant for each property.
    """
    return Protocol(
        name='quota',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: _steps(rules, state),
        invariants={
            'use exceeds the part': _use_is_within_part,
            **{fault: _lacks(fault) for fault in FAULTS},
        },
    )
