"""Tests of when waiting work may use quarantined workers."""

import copy
import random

import pytest

from jayshore.clock import Millis
from jayshore.fleet.demands import WaitReason
from jayshore.fleet.model import GroupId
from jayshore.fleet.placing import PlacementRound
from jayshore.fleet.quarantine import PATIENCE_MS, WaitTimes, busy_services
from jayshore.placement.health import FIRST_PROBE_INTERVAL_MS, WorkerHealth
from jayshore.fleet.placing_test import NOW, demand, worker

GROUP = GroupId('j', 0, 0)


WAITS = (
    # reason by time of a round in ms, time of the question, expected
    ('no round yet', {}, PATIENCE_MS, False),
    ('too short', {0: WaitReason.NO_ROOM}, PATIENCE_MS - 1, False),
    ('long enough', {0: WaitReason.NO_ROOM}, PATIENCE_MS, True),
    (
        'the reasons differ',
        {0: WaitReason.NO_WORKER, 500: WaitReason.NOT_ADVISED},
        PATIENCE_MS,
        True,
    ),
    (
        'started in between',
        {0: WaitReason.NO_ROOM, 400: None, 500: WaitReason.NO_ROOM},
        PATIENCE_MS,
        False,
    ),
    ('at its limit', {0: WaitReason.LIMIT}, PATIENCE_MS, False),
)


@pytest.mark.parametrize(
    ('rounds', 'asked_at', 'expected'),
    [row[1:] for row in WAITS],
    ids=[row[0] for row in WAITS],
)
def test_wait_for_other_workers(rounds, asked_at, expected):
    """Guards against waits that are counted too long or without end."""
    wait_times = WaitTimes()
    for at, reason in rounds.items():
        wait_times.update({GROUP: reason}, Millis(at))
    assert wait_times.is_over(GROUP, Millis(asked_at)) is expected


def test_round_that_ends_early_keeps_the_waits_of_the_others():
    """Guards against groups that wait anew when a round does not reach them."""
    wait_times = WaitTimes()
    wait_times.update({GROUP: WaitReason.NO_ROOM}, Millis(0))
    wait_times.update({}, Millis(500))
    assert wait_times.is_over(GROUP, PATIENCE_MS)
    wait_times.forget(GROUP)
    assert not wait_times.is_over(GROUP, PATIENCE_MS)


def test_service_is_busy_by_its_own_workers():
    """Guards against a service that counts as busy because of another one."""
    workers = [
        worker(0, 1600),
        worker(1, 1600, quarantined=True),
        worker(2, 1700, service='t'),
    ]
    assert busy_services(workers) == {'s'}


CASES = (
    # workers, demands, worker of each placed task
    ('is not used', [{}], [demand()], []),
    ('waited in vain', [{}], [demand(any_worker=True)], ['w0']),
    (
        'a gang that waited in vain',
        [{}, {}],
        [demand(count=8, gang=True, any_worker=True)],
        ['w0'] * 4 + ['w1'] * 4,
    ),
    (
        'only when no other has room',
        [{}, {'quarantined': False, 'free_cpu': 1000}],
        [demand(count=2, any_worker=True)],
        ['w0', 'w1'],
    ),
    (
        'one probe in a round',
        [{'probe': True}],
        [demand('x', 3), demand('y', 3, due=1)],
        ['w0'],
    ),
    (
        'a probe at the limit of its group',
        [{'probe': True, 'group_runs': {GROUP: 1}}],
        [demand(count=2, max_per_worker=1)],
        [],
    ),
    (
        'a probe below the limit of its group',
        [{'probe': True, 'group_runs': {GROUP: 1}}],
        [demand(count=2, max_per_worker=2)],
        ['w0'],
    ),
    (
        'a probe beside another part of its group',
        [{'probe': True}],
        [
            demand(suspect=True, any_worker=True, max_per_worker=1),
            demand(indexes=(1,), max_per_worker=1, due=1),
        ],
        ['w0'],
    ),
    (
        'waited in vain at the limit of its group',
        [{'group_runs': {GROUP: 1}}],
        [demand(count=2, any_worker=True, max_per_worker=1)],
        [],
    ),
    ('a gang is no probe', [{'probe': True}], [demand(gang=True)], []),
    ('nor what lasts', [{'probe': True}], [demand(long_running=True)], []),
    (
        'nor what failed elsewhere',
        [{'probe': True}],
        [demand(failed_on=frozenset(('w9',)))],
        [],
    ),
)


@pytest.mark.parametrize(
    ('workers', 'demands', 'expected'),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_use_of_quarantined_workers(workers, demands, expected):
    """Guards against work that waits for ever beside quarantined workers."""
    headrooms = [
        worker(
            number,
            **{
                'quarantined': True,
                'failure_score': 4,
                **copy.deepcopy(fields),
            },
        )
        for number, fields in enumerate(workers)
    ]
    decisions = PlacementRound(
        workers=headrooms, allowances={}, now=NOW
    ).decide(demands)
    assert (
        sorted(placed.worker_id for placed in decisions.placements) == expected
    )


def _quarantined():
    health = WorkerHealth(rng=random.Random(7))
    for job in ('a', 'b'):
        health.record_failure('w0', job, NOW)
    assert health.is_quarantined('w0')
    return health


def test_probe_stays_due_until_it_is_claimed():
    """Guards against a probe that a round without placements uses up."""
    health = _quarantined()
    later = Millis(NOW + 2 * FIRST_PROBE_INTERVAL_MS)
    assert not health.is_probe_due('w0', NOW)
    assert health.is_probe_due('w0', later)
    assert health.is_probe_due('w0', later)
    assert health.claim_probe('w0', later)
    assert not health.is_probe_due('w0', later)


def test_success_brings_the_next_probe_forward():
    """Guards against a worker that recovers and stays out for minutes."""
    health = _quarantined()
    for _ in range(3):
        health.record_success('w0')
        assert health.is_probe_due('w0', NOW) or not health.is_quarantined('w0')
    assert not health.is_quarantined('w0')


@pytest.mark.parametrize('any_worker', [False, True])
def test_placement_tells_whether_it_is_a_probe(any_worker):
    """Guards against logs that do not show why a bad worker was used."""
    bad = worker(0, quarantined=True, probe=True, group_runs={GROUP: 1})
    wanted = demand(count=2, max_per_worker=2, any_worker=any_worker)
    decisions = PlacementRound(workers=[bad], allowances={}, now=NOW).decide(
        [wanted]
    )
    (placement,) = decisions.placements
    assert placement.probe is not any_worker
    assert placement.beside == 1
