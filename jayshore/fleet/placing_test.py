"""Tests of placement rounds over given workers and demands."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies as st

from jayshore.clock import Millis
from jayshore.fleet.allowances import limit_allowance
from jayshore.fleet.demands import GroupDemand, WaitReason, WorkerHeadroom
from jayshore.fleet.model import GroupId
from jayshore.fleet.placing import PlacementRound
from jayshore.fleet.ranking import DeadlineStatus, Rank
from jayshore.resources import NOTHING, Resources, total

NOW = Millis(10_000)
CAPACITY = Resources(cpu_millis=4000, memory_mb=4000)
NEED = Resources(cpu_millis=1000, memory_mb=100)
GROUP = GroupId('j', 0, 0)


def worker(number, free_cpu=4000, **fields):
    """Make the headroom of a worker, by default of an empty one."""
    return WorkerHeadroom(
        **{
            'worker_id': f'w{number}',
            'service': 's',
            'rack': f'r{number % 2}',
            'labels': frozenset(('a',)),
            'capacity': CAPACITY,
            'free': dataclasses.replace(CAPACITY, cpu_millis=free_cpu),
            **fields,
        }
    )


def demand(job='j', count=1, *, due=0, priority=0, **fields):
    """Make a demand of a job."""
    rank = fields.pop(
        'rank',
        Rank(False, False, DeadlineStatus.IN_TIME, priority, Millis(due)),
    )
    return GroupDemand(
        **{
            'group_id': GroupId(job, 0, 0),
            'rank': rank,
            'indexes': tuple(range(count)),
            'need': NEED,
            'service': 's',
            **fields,
        }
    )


def decide(workers, *demands, allowances=None):
    """Run a placement round and return its decisions."""
    return PlacementRound(
        workers=workers, allowances=allowances or {}, now=NOW
    ).decide(demands)


def chosen_workers(decisions):
    """List the chosen workers by job."""
    found = {}
    for placement in decisions.placements:
        found.setdefault(placement.group_id.job_id, []).append(
            placement.worker_id
        )
    return found


CHOICES = (
    ('tightest room', [worker(0), worker(1, 1500)], demand(), ['w1']),
    ('no room', [worker(0, 500)], demand(), None),
    ('failed there, the only room', [worker(0), worker(1, 500)],
     demand(failed_on=frozenset(('w0',))), ['w0']),
    ('last attempt waits for another', [worker(0), worker(1, 500)],
     demand(failed_on=frozenset(('w0',)), last_attempt=True), None),
    ('last attempt, no other worker', [worker(0)],
     demand(failed_on=frozenset(('w0',)), last_attempt=True), ['w0']),
    ('other service', [worker(0, service='t')], demand(), None),
    ('label', [worker(0), worker(1, labels=frozenset(('b',)))],
     demand(required_label='b'), ['w1']),
    ('near data', [worker(0, 1000), worker(1)], demand(data_rack='r1'), ['w1']),
    ('spread', [worker(0), worker(1)], demand(count=2, max_per_worker=1),
     ['w0', 'w1']),
    ('spread counts what runs', [worker(0, group_runs={GROUP: 1}), worker(1)],
     demand(count=2, max_per_worker=1), ['w1']),
    ('part of a group', [worker(0, 1000)], demand(count=3), ['w0']),
    ('whole gang', [worker(0), worker(1)], demand(count=8, gang=True),
     ['w0'] * 4 + ['w1'] * 4),
    ('no part of a gang', [worker(0), worker(1)], demand(count=9, gang=True),
     None),
    ('one rack', [worker(0, 3000), worker(1), worker(2, 3000)],
     demand(count=4, gang=True, same_rack=True), None),
)  # fmt: skip


@pytest.mark.parametrize(
    ('workers', 'wanted', 'expected'),
    [row[1:] for row in CHOICES],
    ids=[row[0] for row in CHOICES],
)
def test_choice_of_workers(workers, wanted, expected):
    """Guards against placements without headroom or against a constraint."""
    workers = [dataclasses.replace(place) for place in workers]
    chosen = chosen_workers(decide(workers, wanted)).get('j')
    if wanted.same_rack:
        racks = {worker for worker in chosen or ()}
        assert racks in ({'w1'}, {'w0', 'w2'})
    else:
        assert chosen == expected


ORDERS = (
    ('urgent first', {'priority': 1}, {'priority': 0}),
    ('earlier objective first', {'due': 20}, {'due': 10}),
    (
        'in time before late',
        {'rank': Rank(False, False, DeadlineStatus.LATE, 0, Millis(0))},
        {'priority': 1},
    ),
    (
        'within its rate first',
        {'rank': Rank(False, True, DeadlineStatus.IN_TIME, 0, Millis(0))},
        {'rank': Rank(False, False, DeadlineStatus.MISSED, 2, Millis(0))},
    ),
)


@pytest.mark.parametrize(
    ('behind', 'ahead'),
    [row[1:] for row in ORDERS],
    ids=[row[0] for row in ORDERS],
)
def test_order_when_the_fleet_is_full(behind, ahead):
    """Guards against placing late work before work that can be in time."""
    decisions = decide(
        [worker(0, 1000)], demand('x', **behind), demand('y', **ahead)
    )
    assert list(chosen_workers(decisions)) == ['y']
    assert decisions.waiting == {GroupId('x', 0, 0): WaitReason.NO_ROOM}


def test_waiting_gang_reserves_workers():
    """Guards against small tasks that starve a wide gang."""
    workers = [worker(number, 3000) for number in range(4)]
    gang = demand('gang', 7, gang=True, need=Resources(cpu_millis=2000))
    small = demand('small', 20, priority=2)
    decisions = decide(workers, gang, small)
    assert len(set(chosen_workers(decisions)['small'])) == 2
    assert decisions.waiting[gang.group_id] is WaitReason.NO_ROOM


def test_impossible_gang_reserves_nothing():
    """Guards against reserving workers for a gang that can never fit."""
    workers = [worker(number) for number in range(3)]
    gang = demand('gang', 7, gang=True, need=Resources(cpu_millis=3000))
    decisions = decide(workers, gang, demand('small', 12, priority=2))
    assert len(chosen_workers(decisions)['small']) == 12


def test_limit_of_a_workspace():
    """Guards against placements beyond the limit of a workspace."""
    allowances = {
        't': limit_allowance(
            Resources(cpu_millis=5000), Resources(cpu_millis=3000)
        )
    }
    decisions = decide(
        [worker(0), worker(1)],
        demand('a', 4, workspace='t'),
        demand('b', 1, workspace='t', due=1),
        demand('c', 1, workspace='u', due=2),
        allowances=allowances,
    )
    assert {
        job: len(found) for job, found in chosen_workers(decisions).items()
    } == {
        'a': 2,
        'c': 1,
    }


LOWERED = (
    (Resources(cpu_millis=1000), Resources(cpu_millis=5000)),
    (Resources(memory_mb=100), Resources(memory_mb=300)),
)


@pytest.mark.parametrize(('maximum', 'used'), LOWERED)
def test_lowered_limit_starts_nothing(maximum, used):
    """Guards against placements while usage exceeds a lowered limit."""
    allowances = {'t': limit_allowance(maximum, used)}
    assert not decide(
        [worker(0)], demand(workspace='t'), allowances=allowances
    ).placements


def advised(**fields):
    """Make a demand whose workers need tickets."""
    return demand(**{'advised': True, 'count': 2, **fields})


VALID = Millis(NOW + 1000)
OLD = Millis(NOW - 1)
ADVICE = (
    ('never asked', advised(), [], {'w0', 'w1'}),
    ('on its way', advised(advice_pending=True), [], None),
    ('valid', advised(evaluated=frozenset(('w0', 'w1')), tickets={'w1': VALID}),
     ['w1', 'w1'], None),
    ('too old', advised(evaluated=frozenset(('w0', 'w1')), tickets={'w1': OLD}),
     [], {'w1'}),
    ('none allowed', advised(evaluated=frozenset(('w0', 'w1'))), [], None),
    ('new worker', advised(evaluated=frozenset(('w0',))), [], {'w1'}),
)  # fmt: skip


@pytest.mark.parametrize(
    ('wanted', 'placed', 'asked'),
    [row[1:] for row in ADVICE],
    ids=[row[0] for row in ADVICE],
)
def test_advice_comes_before_a_start(wanted, placed, asked):
    """Guards against placements without a ticket, and needless requests."""
    decisions = decide([worker(0), worker(1)], wanted)
    assert chosen_workers(decisions).get('j', []) == placed
    advice_requests = [
        set(request.workers) for request in decisions.advice_requests
    ]
    assert advice_requests == ([] if asked is None else [asked])


@pytest.mark.parametrize(('count', 'asked'), [(1, 24), (12, 30), (99, 80)])
def test_advice_is_asked_on_some_of_many_workers(count, asked):
    """Guards against a request for more workers than the service accepts."""
    workers = [worker(number) for number in range(200)]
    (request,) = decide(workers, advised(count=count)).advice_requests
    assert len(set(request.workers)) == asked


def test_more_workers_are_asked_about_when_those_allowed_are_full():
    """Guards against a group that waits while unevaluated workers are free."""
    workers = [worker(0, 500), *(worker(number) for number in range(1, 30))]
    full = advised(evaluated=frozenset(('w0',)), tickets={'w0': VALID})
    (request,) = decide(workers, full).advice_requests
    assert 'w0' not in request.workers
    assert len(request.workers) == 24


def test_slots_are_held_while_a_ticket_is_renewed():
    """Guards against lower ranked work in the slots of a better ranked gang."""
    gang = advised(
        evaluated=frozenset(('w0',)), tickets={'w0': OLD}, gang=True, count=4
    )
    decisions = decide([worker(0)], gang, demand('small', priority=2))
    assert not decisions.placements
    assert decisions.waiting[gang.group_id] is WaitReason.OLD_TICKET


@hypothesis.given(
    frees=st.lists(st.integers(0, 4000), max_size=5),
    wanted=st.lists(
        st.tuples(
            st.integers(1, 6),
            st.integers(1, 3000),
            st.booleans(),
            st.integers(0, 2),
            st.integers(0, 2),
        ),
        max_size=6,
    ),
    limit=st.integers(0, 8000),
)
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_rounds_keep_headroom_limits_and_gangs(frees, wanted, limit):
    """Guards against rounds that exceed headroom or limits, or split gangs."""
    workers = [worker(number, free) for number, free in enumerate(frees)]
    demands = [
        demand(
            f'j{number}',
            count,
            gang=gang,
            need=Resources(cpu_millis=cpu),
            max_per_worker=apart,
            priority=priority,
            workspace='t',
        )
        for number, (count, cpu, gang, apart, priority) in enumerate(wanted)
    ]
    allowance = limit_allowance(Resources(cpu_millis=limit), NOTHING)
    decisions = decide(workers, *demands, allowances={'t': allowance})
    by_group = {entry.group_id: entry for entry in demands}
    used = {}
    for placement in decisions.placements:
        need = by_group[placement.group_id].need
        used.setdefault(placement.worker_id, []).append(need)
    for number, free in enumerate(frees):
        assert total(used.get(f'w{number}', ())).cpu_millis <= free
    spent = total(need for needs in used.values() for need in needs)
    assert not limit or spent.cpu_millis <= limit
    for entry in demands:
        chosen = chosen_workers(decisions).get(entry.group_id.job_id, [])
        if entry.gang:
            assert len(chosen) in {0, len(entry.indexes)}
        if entry.max_per_worker:
            most = max(map(chosen.count, chosen), default=0)
            assert most <= entry.max_per_worker


OTHER = GroupId('other', 0, 0)
SUSPECT = {'suspect': True, 'patient': True}
APART = (
    ('an empty worker', [worker(0, 3000), worker(1)], SUSPECT, 1, ['w1']),
    (
        'not beside a new task of another group',
        [worker(0, new_groups={OTHER})],
        SUSPECT,
        1,
        None,
    ),
    (
        'beside new tasks of its own group',
        [worker(0, new_groups={GROUP})],
        SUSPECT,
        1,
        ['w0'],
    ),
    ('waits until a worker is empty', [worker(0, 3000)], SUSPECT, 1, None),
    ('no worker left for suspects', [worker(0)], SUSPECT, 0, None),
    (
        'the last one is kept for less likely ones',
        [worker(0)],
        {**SUSPECT, 'likely': True},
        1,
        None,
    ),
    (
        'patience is over, the least used worker',
        [worker(0, 2000), worker(1, 3000)],
        {'suspect': True},
        0,
        ['w1'],
    ),
    (
        'patience is over, no worker without new tasks',
        [worker(0, new_groups={OTHER})],
        {'suspect': True},
        0,
        ['w0'],
    ),
    (
        'others stay away from a suspect',
        [worker(0, reserved_for=OTHER), worker(1, 1000)],
        {},
        0,
        ['w1'],
    ),
)


@pytest.mark.parametrize(
    ('workers', 'fields', 'slots', 'expected'),
    [row[1:] for row in APART],
    ids=[row[0] for row in APART],
)
def test_suspects_run_apart(workers, fields, slots, expected):
    """Guards against crashes that cannot be put down to one task."""
    decisions = PlacementRound(
        workers=[
            dataclasses.replace(place, new_groups=set(place.new_groups))
            for place in workers
        ],
        allowances={},
        now=NOW,
        probation_slots=slots,
    ).decide([demand(**fields)])
    assert chosen_workers(decisions).get('j') == expected
    if expected is None:
        assert list(decisions.waiting.values()) == [WaitReason.PROBATION]


def test_worker_is_kept_until_it_is_empty_for_a_suspect():
    """Guards against new tasks at the worker that a suspect waits for."""
    decisions = PlacementRound(
        workers=[worker(0, 3000)], allowances={}, now=NOW, probation_slots=1
    ).decide([demand('a', **SUSPECT), demand('b', due=5)])
    assert not decisions.placements


def test_suspects_and_others_of_a_group_share_its_limit_per_worker():
    """Guards against two parts of a group that exceed its limit together."""
    spread = {'max_per_worker': 1}
    decisions = PlacementRound(
        workers=[worker(0)], allowances={}, now=NOW, probation_slots=1
    ).decide([demand(**SUSPECT, **spread), demand(indexes=(1, 2), **spread)])
    assert chosen_workers(decisions) == {'j': ['w0']}
