"""Tests of the round, on the cell and on its full-scan oracle."""

import pytest

from jayshore.placement.cell import Cell
from jayshore.placement.decisions import (
    Place,
    UnlimitedHeadroom,
    Wait,
)
from jayshore.placement.feasible import unsatisfiable_resources
from jayshore.placement.naive import NaiveCell
from jayshore.placement.sample_task_test import CORE, sample_task
from jayshore.placement.tasks import (
    TaskId,
    TaskKind,
    WorkerState,
    WorkerView,
)
from jayshore.resources import Resources


def worker(number, *, cores=16):
    """Build a worker; every second one stands in the same rack."""
    return WorkerView(
        worker_id=f'w{number}',
        rack=f'r{number % 2}',
        failure_domain='d0',
        capacity=Resources(cpu_millis=1000 * cores, memory_mb=1024 * cores),
    )


def waiting(job_id, **fields):
    """Build a waiting task whose run time is known."""
    return sample_task(job_id, **({'estimated_run_ms': 10_000} | fields))


@pytest.fixture(params=[Cell, NaiveCell], name='cell')
def make_cell(request):
    """Build an empty cell of each implementation."""
    return request.param(headroom=UnlimitedHeadroom())


def carry_out(cell, now=0):
    """Run one round and return all assignments as (job, worker)."""
    placed = []
    while True:
        decision = cell.decide(now)
        if isinstance(decision, Wait):
            return placed
        if isinstance(decision, Place):
            for one in decision.assignments:
                cell.start(one.task_id, one.worker_id, now)
                placed.append((one.task_id.job_id, one.worker_id))
        else:
            cell.preempt(decision)
            placed.append((decision.beneficiary.job_id, None))


def test_a_gang_starts_whole_or_not_at_all(cell):
    """Guards against a gang that holds workers while it waits."""
    cell.add_worker(worker(0))
    for index in range(3):
        cell.enqueue(
            waiting('g', index=index, cores=6, kind=TaskKind.GANG, gang_size=3)
        )
    assert carry_out(cell) == []
    cell.add_worker(worker(1))
    assert len(carry_out(cell)) == 3


def test_two_gangs_do_not_block_each_other(cell):
    """Guards against a deadlock of two gangs that each get half the cell."""
    for number in range(2):
        cell.add_worker(worker(number))
    for job_id in ('g1', 'g2'):
        for index in range(2):
            cell.enqueue(
                waiting(
                    job_id,
                    index=index,
                    cores=10,
                    kind=TaskKind.GANG,
                    gang_size=2,
                )
            )
    assert {job_id for job_id, _ in carry_out(cell)} == {'g1'}
    for index in range(2):
        cell.finish(TaskId(job_id='g1', index=index))
    assert {job_id for job_id, _ in carry_out(cell, 10_000)} == {'g2'}


@pytest.mark.parametrize(
    ('finished', 'started'),
    [
        (('b0',), 0),
        (('b0', 'b1'), 0),
        (('b0', 'b1', 'b2'), 3),
        (('b2', 'b0', 'b1'), 3),
    ],
)
def test_a_gang_starts_once_its_seats_add_up(cell, finished, started):
    """Guards against seats that are counted on the last worker only."""
    for number in range(3):
        cell.add_worker(worker(number))
        cell.enqueue(waiting(f'b{number}', cores=15))
    carry_out(cell)
    for index in range(3):
        cell.enqueue(
            waiting('g', index=index, cores=9, kind=TaskKind.GANG, gang_size=3)
        )
    placed = carry_out(cell, 1)
    for now, job_id in enumerate(finished, start=2):
        cell.finish(TaskId(job_id=job_id, index=0))
        placed += carry_out(cell, now)
    assert len(placed) == started


def test_seats_that_other_work_took_do_not_count(cell):
    """Guards against a gang that starts on room that was free only before."""
    for number in range(2):
        cell.add_worker(worker(number))
        cell.enqueue(waiting(f'b{number}', cores=15))
    carry_out(cell)
    for index in range(2):
        cell.enqueue(
            waiting('g', index=index, cores=9, kind=TaskKind.GANG, gang_size=2)
        )
    assert carry_out(cell, 1) == []
    cell.finish(TaskId(job_id='b0', index=0))
    cell.enqueue(waiting('u', cores=10, urgent=True, enqueued_at=1))
    assert [job_id for job_id, _ in carry_out(cell, 2)] == ['u']
    cell.finish(TaskId(job_id='b1', index=0))
    assert carry_out(cell, 3) == []
    cell.finish(TaskId(job_id='u', index=0))
    assert [job_id for job_id, _ in carry_out(cell, 4)] == ['g', 'g']


def test_a_changed_head_keeps_its_place(cell):
    """Guards against a reserved entry that is passed over once resubmitted."""
    cell.add_worker(worker(0))
    cell.enqueue(waiting('long', cores=10, estimated_run_ms=20_000))
    carry_out(cell)
    cell.enqueue(waiting('head', cores=12, team='z', enqueued_at=1))
    assert carry_out(cell, 1000) == []
    cell.withdraw(TaskId(job_id='head', index=0))
    cell.enqueue(waiting('other', cores=4, team='b', enqueued_at=2))
    cell.enqueue(waiting('head', cores=3, team='z', enqueued_at=3))
    assert carry_out(cell, 1001) == [('head', 'w0')]


def test_batch_leaves_the_lane_to_previews(cell):
    """Guards against a preview that waits behind a full batch load."""
    cell.add_worker(worker(0))
    for index in range(20):
        cell.enqueue(waiting('b', index=index))
    assert len(carry_out(cell)) == 15
    cell.enqueue(waiting('p', kind=TaskKind.PREVIEW))
    assert carry_out(cell) == [('p', 'w0')]


def test_backfill_does_not_delay_the_head(cell):
    """Guards against small work that keeps a large task from starting."""
    cell.add_worker(worker(0))
    cell.enqueue(waiting('long', cores=10, estimated_run_ms=20_000))
    assert carry_out(cell) == [('long', 'w0')]
    cell.enqueue(
        waiting('head', cores=12, enqueued_at=1, estimated_run_ms=70_000)
    )
    cell.enqueue(
        waiting('late', cores=4, enqueued_at=2, estimated_run_ms=60_000)
    )
    cell.enqueue(
        waiting('short', cores=4, enqueued_at=3, estimated_run_ms=8_000)
    )
    assert carry_out(cell, 1000) == [('short', 'w0')]


def test_services_of_a_job_spread_over_racks(cell):
    """Guards against losing a service with one rack."""
    for number in range(4):
        cell.add_worker(worker(number))
    for index in range(2):
        cell.enqueue(
            waiting(
                's', index=index, kind=TaskKind.SERVICE, estimated_run_ms=None
            )
        )
    racks = {int(name[1:]) % 2 for _, name in carry_out(cell)}
    assert racks == {0, 1}


def test_short_slack_goes_before_ordinary_work(cell):
    """Guards against a night run that misses its deadline while others run."""
    cell.add_worker(worker(0, cores=2))
    cell.enqueue(waiting('day', enqueued_at=0))
    cell.enqueue(waiting('night', enqueued_at=1, deadline=700_000))
    assert carry_out(cell, 100_000)[0] == ('night', 'w0')


@pytest.mark.parametrize(
    ('fields', 'stopped'),
    [
        ({}, True),
        ({'idempotent': False}, False),
        ({'preemptible': False}, False),
    ],
)
def test_only_harmless_stops_are_made(cell, fields, stopped):
    """Guards against a preempted dispatch that then runs twice."""
    cell.apply_shares({'a': 1, 'b': 1})
    cell.add_worker(worker(0))
    for index in range(15):
        cell.enqueue(waiting('b', index=index, estimated_run_ms=None, **fields))
    carry_out(cell)
    cell.enqueue(waiting('new', team='b', enqueued_at=1))
    assert carry_out(cell, 1000) == []
    assert carry_out(cell, 31_001) == ([('new', None)] if stopped else [])


def test_teams_are_served_by_weighted_share(cell):
    """Guards against a large backlog that crowds out another team."""
    cell.apply_shares({'a': 2, 'b': 1})
    cell.add_worker(worker(0))
    for index in range(20):
        cell.enqueue(waiting('a', index=index))
        cell.enqueue(waiting('b', index=index, team='b', enqueued_at=9))
    placed = [job_id for job_id, _ in carry_out(cell)]
    assert (placed.count('a'), placed.count('b')) == (10, 5)


@pytest.mark.parametrize(
    'state', [WorkerState.LEAVING, WorkerState.QUARANTINED]
)
def test_unusable_workers_get_nothing(cell, state):
    """Guards against new work on a worker that leaves or fails."""
    cell.add_worker(worker(0))
    cell.set_worker_state('w0', state)
    cell.enqueue(waiting('b'))
    assert carry_out(cell) == []
    cell.set_worker_state('w0', WorkerState.USABLE)
    assert carry_out(cell) == [('b', 'w0')]


def test_reported_usage_closes_room(cell):
    """Guards against overcommitting a worker whose tasks use more."""
    cell.add_worker(worker(0))
    cell.enqueue(waiting('b', cores=2))
    carry_out(cell)
    cell.update_usage(TaskId(job_id='b', index=0), CORE.scaled(14))
    cell.enqueue(waiting('c', cores=2))
    assert carry_out(cell) == []
    cell.update_usage(TaskId(job_id='b', index=0), CORE)
    assert carry_out(cell) == [('c', 'w0')]


@pytest.mark.parametrize(
    ('cores', 'size', 'short'),
    [
        (16, 1, ()),
        (17, 1, ('cpu_millis', 'memory_mb')),
        (9, 2, ()),
        (9, 3, ('cpu_millis', 'memory_mb')),
        (8, 5, ('cpu_millis', 'memory_mb')),
    ],
)
def test_impossible_jobs_are_named(cores, size, short):
    """Guards against a job that waits for ever for a short resource."""
    capacities = [worker(number).capacity for number in range(2)]
    assert (
        unsatisfiable_resources(CORE.scaled(cores), capacities, size) == short
    )
