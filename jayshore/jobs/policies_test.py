"""Tests that each setting of the placement policies changes a decision."""

import pytest

from jayshore.config.model import Policies
from jayshore.decoding import convert_strictly
from jayshore.jobs.policies import placement_settings
from jayshore.placement.cell import Cell
from jayshore.placement.decisions import Place, Preempt, UnlimitedHeadroom, Wait
from jayshore.placement.naive import NaiveCell
from jayshore.placement.sample_task_test import CORE, sample_task
from jayshore.placement.settings import PlacementSettings
from jayshore.placement.tasks import (
    TaskId,
    TaskKind,
    WorkerView,
)

NOW = 100_000


def settings_from(policies):
    """Decode policies as from `policies.json`, and convert them."""
    decoded = convert_strictly(policies, Policies, file='policies.json')
    assert isinstance(decoded, Policies), decoded
    return placement_settings(decoded)


@pytest.fixture(params=[Cell, NaiveCell], name='cell')
def make_cell(request):
    """Create a cell of each implementation, with two workers.

    In the order by checksum, `x0` comes first.
    """
    cell = request.param(headroom=UnlimitedHeadroom())
    cell.apply_shares({'a': 1, 'b': 1})
    for number in range(2):
        cell.add_worker(
            WorkerView(
                worker_id=f'x{number}',
                rack=f'r{number}',
                failure_domain='d',
                capacity=CORE.scaled(16),
            )
        )
    return cell


def decide(cell, now=NOW):
    """Make one decision; return its job with its worker, or a preemption."""
    decision = cell.decide(now)
    if isinstance(decision, Place):
        assignment = decision.assignments[0]
        return (assignment.task_id.job_id, assignment.worker_id)
    if isinstance(decision, Preempt):
        return ('preempt', decision.beneficiary.job_id)
    assert isinstance(decision, Wait)
    return None


def run(cell, worker_id, task):
    cell.enqueue(task)
    cell.start(task.task_id, worker_id, 0)


def half_filled(cell):
    """Fill one worker partly; the other one comes first by checksum."""
    run(cell, 'x1', sample_task('filler', cores=4))
    cell.enqueue(sample_task('new'))


def second_replica(cell):
    """Run one replica of a service and enqueue a second one."""
    replica = {'kind': TaskKind.SERVICE, 'preemptible': False}
    run(cell, 'x1', sample_task('service', cores=4, **replica))
    cell.enqueue(sample_task('service', index=1, **replica))


def failing(cell):
    """Set a failure rate of one quarter on the fuller worker."""
    half_filled(cell)
    cell.set_worker_failures('x1', 8)


def old_work(cell):
    """Enqueue older work of a team with more use, and work of another team."""
    run(cell, 'x1', sample_task('running', cores=2))
    cell.enqueue(sample_task('old'))
    cell.enqueue(sample_task('young', team='b', enqueued_at=NOW - 10_000))


def full(cell):
    """Fill the cell with work of one team and enqueue work of another."""
    for number in range(2):
        run(cell, f'x{number}', sample_task(f'full{number}', cores=15))
    cell.enqueue(sample_task('blocked', team='b'))


@pytest.mark.parametrize(
    ('scene', 'policies', 'by_default', 'then'),
    [
        (half_filled, {'weights': {'packing': 0}}, 'x1', 'x0'),
        (second_replica, {'weights': {'spread': 0}}, 'x0', 'x1'),
        (failing, {'weights': {'health': 0}}, 'x0', 'x1'),
        (failing, {'weights': {'packing': 9}}, 'x0', 'x1'),
        (
            old_work,
            {'aging': {'after_ms': 1000, 'full_ms': 610_000}},
            'young',
            'old',
        ),
        (old_work, {'aging': {'full_ms': NOW}}, 'young', 'old'),
        (full, {'preemption': {'enabled': False}}, 'blocked', None),
        (full, {'preemption': {'above_share': 1.9}}, 'blocked', None),
        (full, {'preemption': {'above_share': 1.8}}, 'blocked', 'blocked'),
    ],
)
def test_settings_change_decisions(cell, scene, policies, by_default, then):
    """Guards against a setting that is accepted but has no effect.

    The settings change while work is queued, which must not be lost.
    """
    scene(cell)
    cell.apply_settings(settings_from({}))
    first = decide(cell, NOW)
    assert by_default in first
    cell.apply_settings(settings_from(policies))
    changed = decide(cell, NOW + 500)
    assert changed is None if then is None else then in changed
    cell.apply_settings(settings_from({}))
    assert decide(cell, NOW + 1000) == first


def test_after_ms_alone_changes_the_order(cell):
    """Guards against aging that starts before `after_ms` has passed."""
    old_work(cell)
    for after_ms, first in ((30_000, 'young'), (1000, 'old')):
        aging = {'after_ms': after_ms, 'full_ms': 610_000}
        cell.apply_settings(settings_from({'aging': aging}))
        assert decide(cell)[0] == first


def test_aged_work_goes_by_arrival(cell):
    """Guards against aged work behind younger work of a team with less use."""
    cell.apply_settings(settings_from({'aging': {'full_ms': 60_000}}))
    run(cell, 'x0', sample_task('running', cores=8))
    waits = {'a1': ('a', 10), 'b2': ('b', 20), 'a3': ('a', 30), 'b4': ('b', 40)}
    for job_id, (team, at) in reversed(waits.items()):
        cell.enqueue(sample_task(job_id, team=team, enqueued_at=at))
    cell.enqueue(sample_task('young', team='b', enqueued_at=NOW - 1, cores=2))
    order = []
    while (decision := decide(cell)) is not None:
        order.append(decision[0])
        cell.start(TaskId(job_id=decision[0], index=0), decision[1], NOW)
    assert order == ['a1', 'b2', 'a3', 'b4', 'young']


@pytest.mark.parametrize(
    'fields',
    [{'kind': TaskKind.PREVIEW}, {'urgent': True}, {'deadline': NOW + 1000}],
)
def test_urgent_work_precedes_aged_work(cell, fields):
    """Guards against a preview or a deadline that waits behind aged work."""
    cell.apply_settings(settings_from({'aging': {'full_ms': 60_000}}))
    cell.enqueue(sample_task('aged'))
    cell.enqueue(sample_task('urgent', enqueued_at=NOW - 1, **fields))
    assert decide(cell)[0] == 'urgent'


def test_gangs_avoid_failing_workers(cell):
    """Guards against weights that apply only to single tasks."""
    failing(cell)
    cell.withdraw(TaskId(job_id='new', index=0))
    for index in range(2):
        cell.enqueue(
            sample_task('g', index=index, kind=TaskKind.GANG, gang_size=2)
        )
    assert decide(cell) == ('g', 'x0')


def test_defaults_are_those_of_the_configuration():
    """Guards against an embedded cell with other defaults than configured."""
    assert placement_settings(Policies()) == PlacementSettings()


def forty_workers(implementation, cores):
    """Create a cell of 40 workers whose failure rate falls with the number."""
    cell = implementation(headroom=UnlimitedHeadroom())
    for number in range(40):
        cell.add_worker(
            WorkerView(
                worker_id=f'w{number}',
                rack='r',
                failure_domain='d',
                capacity=CORE.scaled(cores(number)),
            )
        )
        cell.set_worker_failures(f'w{number}', 40 - number)
    return cell


@pytest.mark.parametrize('implementation', [Cell, NaiveCell])
def test_weights_compare_the_best_fitting_workers(implementation):
    """Guards against scoring all workers, or too few of them."""
    cell = forty_workers(implementation, lambda number: number + 2)
    cell.apply_settings(settings_from({'weights': {'packing': 0}}))
    cell.enqueue(sample_task('new'))
    assert decide(cell) == ('new', 'w31')


@pytest.mark.parametrize('implementation', [Cell, NaiveCell])
def test_a_gang_may_need_more_workers_than_are_compared(implementation):
    """Guards against a large gang that never starts once a task has failed."""
    cell = forty_workers(implementation, lambda number: 2)
    for index in range(36):
        cell.enqueue(
            sample_task('g', index=index, kind=TaskKind.GANG, gang_size=36)
        )
    decision = cell.decide(NOW)
    assert len({item.worker_id for item in decision.assignments}) == 36
