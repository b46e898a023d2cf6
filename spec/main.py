"""Checks the models exhaustively and prints state counts and times."""

import argparse
import dataclasses
from collections.abc import Callable, Iterator
from typing import Any

from minicheck import Protocol, check_safety

from jayshore.clock import Millis, MonotonicClock
from spec import (
    fleet_model,
    freshness_model,
    quota_model,
    roster_model,
    task_model,
)

MAX_STATES = 4_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One model with its parameters.

    Attributes:
        model: builds the protocol from the rules.
        rules: parameters of the model.
        violates: the property that has to be violated, empty if all have to
            hold.
        slow: checked only with `--full`.
    """

    model: Callable[[Any], Protocol]
    rules: Any
    violates: str = ''
    slow: bool = False

    @property
    def name(self) -> str:
        """Name of the model and its non-default parameters."""
        changed = [
            f'{field.name}={getattr(self.rules, field.name)}'
            for field in dataclasses.fields(self.rules)
            if getattr(self.rules, field.name) != field.default
        ]
        return ' '.join([self.model.__name__, *changed])


def _task(violates: str = '', *, slow: bool = False, **changes: Any) -> Case:
    return Case(
        model=task_model.task_model,
        rules=task_model.Rules(**changes),
        violates=violates,
        slow=slow,
    )


def _freshness(
    violates: str = '', *, slow: bool = False, **changes: Any
) -> Case:
    return Case(
        model=freshness_model.freshness_model,
        rules=freshness_model.Rules(**changes),
        violates=violates,
        slow=slow,
    )


def _roster(violates: str = '', **changes: Any) -> Case:
    return Case(
        model=roster_model.roster_model,
        rules=roster_model.Rules(**changes),
        violates=violates,
    )


def _quota(violates: str = '', **changes: Any) -> Case:
    return Case(
        model=quota_model.quota_model,
        rules=quota_model.Rules(**changes),
        violates=violates,
    )


def _fleet(violates: str = '', **changes: Any) -> Case:
    return Case(
        model=fleet_model.fleet_model,
        rules=fleet_model.Rules(**changes),
        violates=violates,
    )


_NO_FAULTS: tuple[str, ...] = ()

SOUND = (
    _task(worker_faults=_NO_FAULTS),
    _task(last_epoch=1),
    _task(idempotent=False, worker_faults=_NO_FAULTS),
    _task(idempotent=False, last_epoch=1),
    _freshness(),
    _roster(),
    _roster(new_roster_promises=False),
    _quota(),
    _fleet(),
    _task(slow=True),
    _task(idempotent=False, slow=True),
    _task(worker_faults=_NO_FAULTS, last_epoch=3, slow=True),
    _freshness(last_revision=3, slow=True),
)

_TWO_PLACES = 'two places'
_FINISHED_STARTED = 'finished task started'
_SECOND_START = 'second start'
_LATE_WITHDRAWN_KEY = 'withdrawn key accepted late'
_VERSION_WENT_BACK = 'version went back'
_USE_EXCEEDS_PART = 'use exceeds the part'

BROKEN = (
    _task(_TWO_PLACES, starts_carry_lease=False, last_epoch=1),
    _task(_FINISHED_STARTED, starts_carry_lease=False, last_epoch=1),
    _task(_TWO_PLACES, lease_ids_unique_over_boots=False, last_epoch=1),
    _task(_TWO_PLACES, lapsed_lease_is_void=False, last_epoch=1),
    _task(_TWO_PLACES, renewal_counts_from_sending=False, last_epoch=1),
    _task(_TWO_PLACES, expiry_needs_own_lease=False, worker_faults=_NO_FAULTS),
    _task(_TWO_PLACES, expiry_reads_leader_key=False, worker_faults=_NO_FAULTS),
    _task(_TWO_PLACES, proof_from_whole_intent=False, last_epoch=1),
    _task(_TWO_PLACES, starts_within_intent=False, last_epoch=1),
    _task(
        _TWO_PLACES, uncertain_write_is_repeated=False, worker_faults=_NO_FAULTS
    ),
    _task(_TWO_PLACES, claim_writes_epoch=False, worker_faults=_NO_FAULTS),
    _task(
        'epoch went back', claim_checks_epoch=False, worker_faults=_NO_FAULTS
    ),
    _task(
        _SECOND_START, ack_after_record=False, idempotent=False, last_epoch=1
    ),
    _task(
        _SECOND_START,
        only_never_started_again=False,
        idempotent=False,
        last_epoch=1,
    ),
    _freshness(_LATE_WITHDRAWN_KEY, attesters_needed=1, last_revision=1),
    _freshness(_LATE_WITHDRAWN_KEY, promises_needed=1, last_revision=1),
    _freshness(
        _LATE_WITHDRAWN_KEY,
        promise_lasts_to_newer_revision=False,
        last_revision=1,
    ),
    _freshness(
        _LATE_WITHDRAWN_KEY, restart_counts_as_promise=False, last_revision=1
    ),
    _freshness(
        _LATE_WITHDRAWN_KEY, attests_only_after_own_read=False, last_revision=1
    ),
    _freshness(
        _LATE_WITHDRAWN_KEY, age_includes_transit=False, last_revision=1
    ),
    _freshness(
        _VERSION_WENT_BACK,
        evidence_is_younger_than_process=False,
        last_revision=1,
    ),
    _freshness(_VERSION_WENT_BACK, keeps_newer_version=False, last_revision=1),
    _roster('old version attested', old_roster_promises=False),
    _quota(_USE_EXCEEDS_PART, compare_and_swap=False),
    _quota('raised under an older limit', raise_reads_newest_limit=False),
    _quota('sum exceeds the limit', raise_from_remainder=False),
    _quota(_USE_EXCEEDS_PART, lower_after_use_fell=False),
    _quota(_USE_EXCEEDS_PART, lower_counts_when_sent=False),
    _quota(_USE_EXCEEDS_PART, uncertain_write_is_repeated=False),
    _quota(_USE_EXCEEDS_PART, successor_claims_part=False),
    _quota(_USE_EXCEEDS_PART, successor_opens_upstreams=False),
    _fleet(_TWO_PLACES, writes_expect_the_head=False),
    _fleet(_TWO_PLACES, start_is_recorded_first=False),
    _fleet(_TWO_PLACES, orders_carry_the_fence=False),
    _fleet(_TWO_PLACES, absence_counts_after_confirmation=False),
    _fleet(_TWO_PLACES, stopped_run_is_refused=False),
    _fleet(_TWO_PLACES, gives_up_after_the_lease=False),
    _fleet(_TWO_PLACES, lapsed_order_is_refused=False),
    _fleet(_TWO_PLACES, former_leader_extends_nothing=False),
    _fleet(_FINISHED_STARTED, end_is_recorded_before_it_is_forgotten=False),
)


def check(case: Case) -> dict[str, Any]:
    """Check all properties in every reachable state.

    Args:
        case: a model whose properties have to hold.

    Returns:
        The result of `minicheck.check_safety`.
    """
    protocol = case.model(case.rules)
    result: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return result


def counterexample(case: Case) -> list[str]:
    """Search a model until its expected violation is found.

    Args:
        case: a model that violates a property.

    Returns:
        The labels of the steps of a shortest trace to the violation, empty
        if the property holds.
    """
    protocol = case.model(case.rules)
    holds = protocol.invariants[case.violates]
    violated: list[bool] = []

    def check_until_violated(state: dict[str, Any]) -> bool:  # noqa: WPS430
        if not holds(state):
            violated.append(True)
        return not violated

    def transitions(state: tuple[Any, ...]) -> Iterator[Any]:  # noqa: WPS430
        return iter(()) if violated else iter(protocol.transitions(state))

    searched = dataclasses.replace(
        protocol,
        transitions=transitions,
        invariants={case.violates: check_until_violated},
    )
    found = check_safety(searched, max_states=MAX_STATES)
    trace = found['properties'][case.violates]['counterexample']
    return [step['label'] for step in trace[1:]] if trace else []


def _print_sound(case: Case) -> None:
    clock = MonotonicClock()
    started_at = clock.now()
    result = check(case)
    holds = {prop['holds'] for prop in result['properties'].values()}
    elapsed = Millis(clock.now() - started_at)
    print(  # noqa: WPS421
        f'{case.name}: {result["reachable_states"]} states, '
        f'{elapsed} ms, holds: {holds == {True}}',
    )


def _print_broken(case: Case, *, with_trace: bool) -> None:
    trace = counterexample(case)
    print(  # noqa: WPS421
        f'{case.name}: "{case.violates}" after {len(trace)} steps',
    )
    if with_trace:
        print(''.join(f'    {step}\n' for step in trace))  # noqa: WPS421


def main() -> None:
    """Check the models and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--full', action='store_true', help='check slow models too'
    )
    parser.add_argument(
        '--traces',
        action='store_true',
        help='print the steps to each violation',
    )
    options = parser.parse_args()
    for case in SOUND:
        if options.full or not case.slow:
            _print_sound(case)
    for broken in BROKEN:
        _print_broken(broken, with_trace=options.traces)


if __name__ == '__main__':
    main()
