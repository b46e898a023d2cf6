"""Tests of what a leader knows of evacuations, and of rounds beside them."""

import dataclasses

import pytest

from jayshore.clock import Millis
from jayshore.fleet.demands import WaitReason
from jayshore.fleet.evacuation import (
    EVACUATED,
    UNKNOWN,
    Evacuations,
    EvacuationSettings,
    no_evacuations,
)
from jayshore.fleet.placing_test import (
    NOW,
    chosen_workers,
    decide,
    demand,
    worker,
)

BOUNDS = ((1000, 500, 100), (5000, 2500, 500), (60_000, 2500, 500))


@pytest.mark.parametrize(('bound', 'max_age', 'watch'), BOUNDS)
def test_age_of_the_keys_leaves_half_the_bound(bound, max_age, watch):
    """Guards against knowledge that uses a short bound up."""
    settings = EvacuationSettings(prefix='e/', bound_ms=Millis(bound))
    assert (settings.max_age_ms, settings.watch_ms) == (max_age, watch)


BANS = (
    ('never read', None, 'south', UNKNOWN),
    ('never read, evacuated', None, 'north', EVACUATED),
    ('just read', 0, 'south', ''),
    ('just young enough', 2499, 'south', ''),
    ('too old', 2500, 'south', UNKNOWN),
    ('too old, evacuated', 9000, 'north', EVACUATED),
    ('evacuated', 0, 'north', EVACUATED),
    ('other case', 0, 'North', ''),
    ('no domain', 0, '', ''),
)


@pytest.mark.parametrize(
    ('age', 'domain', 'expected'),
    [row[1:] for row in BANS],
    ids=[row[0] for row in BANS],
)
def test_start_is_banned_by_a_key_and_by_old_knowledge(age, domain, expected):
    """Guards against starts in a domain of which too little is known."""
    evacuations = Evacuations(age_ms=lambda: age, max_age_ms=Millis(2500))
    for name in ('north', ''):
        evacuations.set(name, evacuated=True)
    assert evacuations.find_ban(domain) == expected
    evacuations.set('north', evacuated=False)
    assert evacuations.find_ban('north') != EVACUATED


def test_deployment_without_evacuations_bans_nothing():
    """Guards against starts that wait for keys that nobody reads."""
    assert not no_evacuations().find_ban('north')


GONE = {'evacuated': True}
TICKET = Millis(NOW + 1000)
REASONS = (
    ('the only one', [worker(0, **GONE)], {}, WaitReason.EVACUATED),
    ('a full one beside it', [worker(0, **GONE), worker(1, 500)], {},
     WaitReason.NO_ROOM),
    ('other service', [worker(0, service='t', **GONE)], {},
     WaitReason.NO_WORKER),
    ('other label', [worker(0, **GONE)], {'required_label': 'b'},
     WaitReason.NO_WORKER),
    ('quarantined', [worker(0, quarantined=True, **GONE)], {},
     WaitReason.NO_WORKER),
    ('permitted there only', [worker(0, **GONE), worker(1)],
     {'advised': True, 'evaluated': frozenset(('w0', 'w1')),
      'tickets': {'w0': TICKET}}, WaitReason.EVACUATED),
    ('permitted nowhere', [worker(0, **GONE), worker(1)],
     {'advised': True, 'evaluated': frozenset(('w0', 'w1'))},
     WaitReason.NOT_ADVISED),
    ('a gang without room outside', [worker(0, **GONE), worker(1)],
     {'count': 5, 'gang': True}, WaitReason.NO_ROOM),
)  # fmt: skip


@pytest.mark.parametrize(
    ('workers', 'fields', 'expected'),
    [row[1:] for row in REASONS],
    ids=[row[0] for row in REASONS],
)
def test_reason_names_the_evacuation(workers, fields, expected):
    """Guards against an operator who looks for a worker that is there."""
    copies = [dataclasses.replace(one) for one in workers]
    decisions = decide(copies, demand(**fields))
    assert not decisions.placements
    assert set(decisions.waiting.values()) == {expected}


def test_advice_and_tickets_are_requested_outside_only():
    """Guards against advice on workers where nothing may start."""
    fresh = demand('fresh', advised=True)
    tickets = {f'w{number}': Millis(NOW) for number in range(100)}
    expired = demand(
        'expired', advised=True, evaluated=frozenset(tickets), tickets=tickets
    )
    workers = [worker(number, evacuated=number < 90) for number in range(100)]
    outside = {f'w{number}' for number in range(90, 100)}
    for request in decide(workers, fresh, expired).advice_requests:
        assert set(request.workers) == outside


COLD = {'cold': True}
PREFERENCES = (
    ('warm before the tightest', [worker(0, 1500, **COLD), worker(1)], {},
     ['w1']),
    ('cold when the warm is full', [worker(0, **COLD), worker(1, 500)], {},
     ['w0']),
    ('cold for the rest', [worker(0, **COLD), worker(1, 1000)], {'count': 2},
     ['w1', 'w0']),
    ('sound before warm', [worker(0, **COLD), worker(1, failure_score=2)], {},
     ['w0']),
    ('near the data before warm', [worker(0), worker(1, **COLD)],
     {'data_rack': 'r1'}, ['w1']),
    ('warm rack for a gang', [worker(0, **COLD), worker(1)],
     {'count': 4, 'gang': True, 'same_rack': True}, ['w1'] * 4),
    ('cold rack for a gang', [worker(0, **COLD), worker(1, 3000)],
     {'count': 4, 'gang': True, 'same_rack': True}, ['w0'] * 4),
)  # fmt: skip


@pytest.mark.parametrize(
    ('workers', 'fields', 'expected'),
    [row[1:] for row in PREFERENCES],
    ids=[row[0] for row in PREFERENCES],
)
def test_warm_workers_are_preferred(workers, fields, expected):
    """Guards against slow runs beside idle warm workers."""
    copies = [dataclasses.replace(one) for one in workers]
    decisions = decide(copies, demand(**fields))
    assert chosen_workers(decisions) == {'j': expected}
