"""Model of the grants of one team to two domains (design 4.5).

The limit takes the values of `LIMITS` in turn. The leader of domain 0 is
replaced once, and its predecessor may keep running. A domain that is cut off
from the store takes no store step.
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
    """Safeguards of the protocol; setting one to False disables it."""

    compare_and_swap: bool = True
    raise_reads_newest_limit: bool = True
    raise_from_remainder: bool = True
    lower_after_use_fell: bool = True
    lower_counts_when_sent: bool = True
    uncertain_write_is_repeated: bool = True
    successor_claims_part: bool = True
    successor_opens_upstreams: bool = True


class Record(NamedTuple):
    """The stored grants: version of the limit, epoch and grant per domain."""

    limit_version: int = 0
    epochs: tuple[int, ...] = (1, 1)
    parts: tuple[int, ...] = (LIMITS[0], 0)


class Domain(NamedTuple):
    """A domain's leader, its usage, and its predecessor's grant.

    `part` is the grant as the leader knows it, `late` a write in flight.
    `opened` tells whether the leader has opened the leases of its upstreams.
    """

    epoch: int = 1
    part: int = UNCLAIMED
    use: int = 0
    certain: bool = True
    opened: bool = True
    former_part: int = 0
    late: Record | None = None


class State(NamedTuple):
    """The whole system; `fault` names the violated property, if any."""

    limit_version: int = 0
    record: Record = Record()
    domains: tuple[Domain, ...] = (Domain(part=LIMITS[0]), Domain(part=0))
    fault: str = ''


Steps: TypeAlias = Iterator[tuple[str, State]]


def _replace_at(
    items: tuple[Any, ...], index: int, item: Any
) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


def _update_domain(state: State, domain_id: int, **changes: Any) -> State:
    domain = state.domains[domain_id]._replace(**changes)
    return state._replace(domains=_replace_at(state.domains, domain_id, domain))


def _apply_write(rules: Rules, state: State, new: Record) -> State:
    fault = state.fault
    raised = sum(new.parts) > sum(state.record.parts)
    if raised and sum(new.parts) > LIMITS[new.limit_version]:
        fault = 'sum exceeds the limit'
    domains = state.domains
    if rules.compare_and_swap:
        # The new revision makes every other write in flight fail.
        domains = tuple(one._replace(late=None) for one in domains)
    return state._replace(record=new, domains=domains, fault=fault)


def _write_steps(
    rules: Rules, state: State, domain_id: int, new: Record
) -> Steps:
    part = new.parts[domain_id]
    applied = _apply_write(rules, state, new)
    yield (
        'writes',
        _update_domain(applied, domain_id, part=part, certain=True, late=None),
    )
    held = state.domains[domain_id].part
    counted = min(held, part) if rules.lower_counts_when_sent else held
    yield (
        'writes without an answer',
        _update_domain(state, domain_id, part=counted, certain=False, late=new),
    )


def _resolve_steps(rules: Rules, state: State, domain_id: int) -> Steps:
    domain = state.domains[domain_id]
    if domain.late is not None and rules.uncertain_write_is_repeated:
        yield from _write_steps(rules, state, domain_id, domain.late)
        return
    held = state.record.parts[domain_id]
    yield (
        'reads back',
        _update_domain(state, domain_id, part=held, certain=True),
    )


def _claim_steps(rules: Rules, state: State, domain_id: int) -> Steps:
    record = state.record
    if rules.successor_claims_part:
        epochs = _replace_at(
            record.epochs, domain_id, state.domains[domain_id].epoch
        )
        yield from _write_steps(
            rules, state, domain_id, record._replace(epochs=epochs)
        )
    else:
        yield (
            'reads',
            _update_domain(state, domain_id, part=record.parts[domain_id]),
        )


def _raise_steps(rules: Rules, state: State, domain_id: int) -> Steps:
    record, newest = state.record, state.limit_version
    parts = _replace_at(record.parts, domain_id, record.parts[domain_id] + 1)
    oldest = newest if rules.raise_reads_newest_limit else record.limit_version
    for version in range(oldest, newest + 1):
        if sum(parts) > LIMITS[version] and rules.raise_from_remainder:
            continue
        above = sum(parts) > LIMITS[newest]
        fault = 'raised under an older limit' if above else ''
        sent = state._replace(fault=fault)
        new = Record(version, record.epochs, parts)
        yield from _write_steps(rules, sent, domain_id, new)


def _lower_steps(rules: Rules, state: State, domain_id: int) -> Steps:
    domain, record = state.domains[domain_id], state.record
    part = record.parts[domain_id]
    unused = domain.use < part or not rules.lower_after_use_fell
    known = domain.opened or not rules.successor_opens_upstreams
    if part and unused and known:
        lowered = _replace_at(record.parts, domain_id, part - 1)
        yield from _write_steps(
            rules, state, domain_id, record._replace(parts=lowered)
        )


def _store_steps(rules: Rules, state: State, domain_id: int) -> Steps:
    domain = state.domains[domain_id]
    if domain.late is not None:
        applied = _apply_write(rules, state, domain.late)
        yield 'late write lands', _update_domain(applied, domain_id, late=None)
    if domain.certain and domain.part != UNCLAIMED:
        yield from _raise_steps(rules, state, domain_id)
        yield from _lower_steps(rules, state, domain_id)
    elif domain.certain:
        yield from _claim_steps(rules, state, domain_id)
    else:
        yield from _resolve_steps(rules, state, domain_id)


def _use_steps(rules: Rules, state: State, domain_id: int) -> Steps:
    domain = state.domains[domain_id]
    known = domain.opened or not rules.successor_opens_upstreams
    if domain.use < domain.part and known:
        yield (
            'starts a task',
            _update_domain(state, domain_id, use=domain.use + 1),
        )
    if not domain.opened:
        if domain.use < domain.former_part:
            yield (
                'starts a task under its former leader',
                _update_domain(state, domain_id, use=domain.use + 1),
            )
        yield (
            'opens its upstreams',
            _update_domain(state, domain_id, opened=True),
        )
    if domain.use:
        yield (
            'ends a task',
            _update_domain(state, domain_id, use=domain.use - 1),
        )


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
    for domain_id in DOMAINS:
        for label, after in _store_steps(rules, state, domain_id):
            yield f'domain {domain_id} {label}', after
        for label, after in _use_steps(rules, state, domain_id):
            yield f'domain {domain_id} {label}', after


def _use_is_within_part(state: dict[str, Any]) -> bool:
    parts = state['record'].parts
    uses = (domain.use for domain in state['domains'])
    return all(use <= part for use, part in zip(uses, parts, strict=True))


def _fault_is_absent(fault: str) -> Callable[[dict[str, Any]], bool]:
    return lambda state: state['fault'] != fault


def quota_model(rules: Rules) -> Protocol:
    """Build the model.

    Args:
        rules: the enabled safeguards.

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
            **{fault: _fault_is_absent(fault) for fault in FAULTS},
        },
    )
