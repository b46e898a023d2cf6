"""Deployments in memory: runs that a worker lists and no record expects."""

import dataclasses

import curio
import eliot
import msgspec
import pytest

from jayshore.clock import Millis
from jayshore.fleet.interfaces import EndKind, StartOrder
from jayshore.fleet.model import TaskId
from jayshore.fleet.phases import JobState
from jayshore.fleet.recordkeys import job_key, progress_key
from jayshore.fleet.records import encode_job
from tests.memory_fleet_test import (
    CONFIG,
    NEED,
    WORKSPACE,
    Fleet,
    make_group,
    make_job,
    running_fleet,
    wait_for,
)

RUN_MS = Millis(5000)
LEASE_MS = 8000
STOP_MS = Millis(400)
"""How long a run takes to stop, in ms."""

MAX_STOP_S = 3
"""A run that is not wanted has to be gone within this time."""


def write_records(fleet, job, rows):
    """Write the records of a former leader."""
    record = msgspec.json.encode({'state': JobState.RUNNING, 'tasks': rows})
    fleet.store.write(job_key(job.job_id), encode_job(job))
    fleet.store.write(progress_key(job.job_id), record.decode())


def start_run(worker, job, position, run):
    """Start a run at a worker, as by an order that is carried out late."""
    worker.start(
        StartOrder(
            task=TaskId(job.job_id, 0, 0, position),
            run=run,
            payload=job.payload,
            lease_until_ms=worker.clock_ms + LEASE_MS,
            fence=max(1, worker._fence),
        )
    )


EXPECTED = (
    ('a later run at another worker', (0, 0, 1, 'p', 2, 'w9', 0, '')),
    ('none, as a later run is done', (0, 0, 1, 'd', 2, '', 0, '')),
)


@pytest.mark.parametrize(
    'expected', [row[1] for row in EXPECTED], ids=[row[0] for row in EXPECTED]
)
def test_unexpected_runs_count_for_the_limit_per_worker(expected):
    """Guards against a start beside an unexpected run that is stopped."""

    async def scenario():
        fleet = Fleet(run_ms=RUN_MS)
        worker = fleet.add_worker('w0')
        worker.faults.stop_ms = STOP_MS
        job = make_job(make_group(2, max_per_worker=1))
        write_records(fleet, job, [expected])
        start_run(worker, job, position=1, run=1)
        instance = await fleet.add_instance('i0')
        try:
            await wait_for(lambda: len(worker.history) > 1, 'the other task')
            beside = [run.task.position for run in worker.running]
            assert beside == [0], f'{beside} run there, and one may'
        finally:
            await instance.kill()

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_unexpected_runs_count_for_the_limit_of_a_workspace():
    """Guards against starts beyond a limit that unexpected runs use up.

    One task more than the limit is allowed.
    """
    limited = dataclasses.replace(
        CONFIG, workspaces=(dataclasses.replace(WORKSPACE, maximum=NEED),)
    )

    async def scenario():
        fleet = Fleet(run_ms=RUN_MS, config=limited)
        worker = fleet.add_worker('w0')
        worker.faults.stop_ms = STOP_MS
        job = make_job(make_group(3))
        done = [(0, 0, index, 'd', 2, '', 0, '') for index in (1, 2)]
        write_records(fleet, job, done)
        for index in (1, 2):
            start_run(worker, job, position=index, run=1)
        instance = await fleet.add_instance('i0')
        try:
            await wait_for(lambda: len(worker.history) > 2, 'the other task')
            assert len(worker.running) <= 2, f'{len(worker.running)} run'
        finally:
            await instance.kill()

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_task_waits_for_the_end_of_an_unexpected_run_of_its_group():
    """Guards against starts beside a run of the group that is being stopped."""
    job = make_job(make_group(3, max_per_worker=1, estimate_ms=RUN_MS))

    async def scenario():
        async with running_fleet(
            workers=2,
            run_ms=lambda task: Millis(400 if task.position else 8000),
        ) as fleet:
            await fleet.submit(job)
            await wait_for(
                lambda: all(
                    worker.running for worker in fleet.workers.values()
                ),
                'a task at each worker',
            )
            (worker,) = [
                candidate
                for candidate in fleet.workers.values()
                if candidate.running[0].task.position
            ]
            worker.faults.stop_ms = STOP_MS
            start_run(worker, job, position=0, run=1)
            unexpected = worker.history[-1]
            await wait_for(lambda: len(worker.history) == 3, 'the last task')
            started = worker.history[-1]
            assert started.task.position
            assert unexpected.ended_at is not None
            assert started.started_at >= unexpected.ended_at

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_runs_of_a_group_beyond_its_limit_are_logged():
    """Guards against a broken limit of which no log line tells."""
    job = make_job(make_group(2, max_per_worker=1, estimate_ms=RUN_MS))
    lines = []

    async def scenario():
        async with running_fleet(workers=1, run_ms=RUN_MS) as fleet:
            worker = fleet.workers['w0']
            await fleet.submit(job)
            await wait_for(lambda: worker.running, 'a run')
            start_run(worker, job, position=1, run=1)
            await wait_for(
                lambda: 'worker:over_limit' in _kinds(lines), 'the line'
            )

    collect = lines.append
    eliot.add_destinations(collect)
    try:
        curio.run(scenario, taskcls=curio.task.ContextTask)
    finally:
        eliot.remove_destination(collect)
    (placed,) = (
        line
        for line in lines
        if line.get('job') == job.job_id
        and line['message_type'] == 'job:placed'
    )
    assert placed['limits'] == [(0, 0, 0, 0, 1, 'w0')]


def _kinds(lines):
    return [line['message_type'] for line in lines]


def test_run_that_was_taken_for_lost_is_stopped_when_it_is_listed_again():
    """Guards against a run that nobody counts and nobody stops."""
    job = make_job(make_group(1, estimate_ms=RUN_MS))

    async def scenario():
        async with running_fleet(workers=1, run_ms=RUN_MS) as fleet:
            worker = fleet.workers['w0']
            await fleet.submit(job)
            await wait_for(lambda: worker.running, 'a run')
            (run,) = worker.running
            fleet.register('w0', born_ms=worker.incarnation, draining=True)
            await curio.sleep(0.1)
            scheduler = fleet.leading().leader_role.scheduler
            (task,) = scheduler._ledger.tasks_at('w0')
            await scheduler._run_tracker.mark_lost(task)
            await wait_for(
                lambda: run.kind is EndKind.STOPPED, 'the stop', MAX_STOP_S
            )

    curio.run(scenario, taskcls=curio.task.ContextTask)
