"""Deployments in memory: jobs that repeat, and jobs of many tasks.

Their records have to stay small however many tasks have ended, and still tell
the next leader all that counts.
"""

import collections
import dataclasses

import curio
import msgspec
import pytest

from jayshore.clock import Millis, WallClock
from jayshore.fleet.interfaces import EndKind
from jayshore.fleet.model import Schedule
from jayshore.fleet.phases import JobState
from jayshore.fleet.recordkeys import (
    PROGRESS_PREFIX,
    job_key,
    progress_key,
)
from jayshore.fleet.records import encode_job
from tests.fleet_checks_test import check_runs
from tests.memory_fleet_test import (
    COMPLETED,
    NEED,
    make_group,
    make_job,
    running_fleet,
    shorten_leases,
    wait_for,
)

VALUE_BYTES = 4000
"""Limit of a value here; 40 rows of a former record fit."""

RUN_MS = Millis(20)
SMALL = dataclasses.replace(NEED, cpu_millis=100, memory_mb=10)


def run_scenario(scenario):
    """Run a scenario in a new curio kernel."""
    curio.run(scenario, taskcls=curio.task.ContextTask)


def make_repeating(repeats, *groups, interval_ms=30):
    """Make a job whose first occurrence is due now."""
    return dataclasses.replace(
        make_job(*groups),
        schedule=Schedule(
            start_at_ms=WallClock().now(),
            interval_ms=Millis(interval_ms),
            repeats=repeats,
        ),
    )


def small_group(count, **fields):
    """Make a group of short tasks that need little room."""
    return make_group(count, need=SMALL, estimate_ms=RUN_MS, **fields)


def check_job(fleet, job):
    """Check that each occurrence of a job has run once and completely.

    The end of one member of a gang represents all of them.
    """
    check_runs(fleet, [job])
    done = collections.Counter(
        task[1:3]
        for task in {
            run.task for run, _ in fleet.runs() if run.kind is EndKind.DONE
        }
    )
    for occurrence in range(max(1, job.schedule.repeats)):
        for position, group in enumerate(job.groups):
            ended = done[occurrence, position]
            assert ended == group.count or (group.gang and ended)


@pytest.mark.parametrize(
    'groups',
    [
        (small_group(20), small_group(5, after=(0,))),
        (small_group(20, gang=True),),
    ],
)
def test_records_of_a_repeating_job_stay_small(groups):
    """Guards against a job that outgrows a value and stops all workspaces."""

    async def scenario():
        async with running_fleet(run_ms=RUN_MS, workers=4) as fleet:
            fleet.store.faults.max_value_bytes = VALUE_BYTES
            repeating = make_repeating(12, *groups)
            await fleet.submit(repeating)
            await fleet.wait_state([repeating.job_id], COMPLETED)
            check_job(fleet, repeating)
            other = make_job()
            await fleet.submit(other)
            await fleet.wait_state([other.job_id], COMPLETED)
            entry = fleet.leading().leader_role.scheduler._job_table.jobs[
                repeating.job_id
            ]
            await wait_for(lambda: not entry.groups, 'no group is kept')
            key = f'{PROGRESS_PREFIX}{repeating.job_id}'
            await wait_for(
                lambda: list(fleet.store.values(key)) == [key], 'one record'
            )

    run_scenario(scenario)


@pytest.mark.parametrize('pause_s', [0.15, 0.4])
@pytest.mark.parametrize('repeats', [0, 8])
def test_large_jobs_survive_changes_of_leader(monkeypatch, repeats, pause_s):
    """Guards against runs and ends that are lost between two records."""
    shorten_leases(monkeypatch)

    async def scenario():
        async with running_fleet(run_ms=RUN_MS, workers=4) as fleet:
            fleet.store.faults.max_value_bytes = VALUE_BYTES
            groups = (small_group(70), small_group(7, gang=True, after=(0,)))
            job = make_repeating(repeats, *groups)
            await fleet.submit(job)
            for number in range(1, 4):
                await curio.sleep(pause_s)
                await fleet.leading().kill()
                await fleet.add_instance(f'i{number}')
                await fleet.wait_leader()
            await fleet.wait_state([job.job_id], COMPLETED, 15)
            check_job(fleet, job)

    run_scenario(scenario)


def test_records_of_cancelled_jobs_are_removed(monkeypatch):
    """Guards against segments that are kept after their job is forgotten."""
    monkeypatch.setattr(
        'jayshore.fleet.sweeping._JOB_RETENTION_MS', Millis(200)
    )

    async def scenario():
        async with running_fleet(run_ms=Millis(60_000), workers=4) as fleet:
            job = make_repeating(3, small_group(40))
            await fleet.submit(job)
            await wait_for(lambda: len(fleet.runs()) >= 60, 'runs')
            service = fleet.leading().job_service
            assert await service.cancel(job.job_id, job.workspace)
            await fleet.wait_state([job.job_id], JobState.CANCELLED)
            await wait_for(lambda: not fleet.store.values('jobs/run/'), 'none')
            assert not fleet.store.values('jobs/in/')

    run_scenario(scenario)


def test_failed_task_ends_a_job_whose_state_was_not_recorded():
    """Guards against an attempt beyond the limit after a change of leader."""

    async def scenario():
        async with running_fleet(run_ms=RUN_MS) as fleet:
            await fleet.leading().kill()
            job = make_job(small_group(40))
            row = (0, 0, 3, 'w', 3, '', job.queue.max_attempts, '')
            key = progress_key(job.job_id)
            fleet.store.write(
                key,
                '{"state":"running","next_occurrence":1,"unfinished":[[0,0]]}',
            )
            fleet.store.write(
                f'{key}/0.0.0', msgspec.json.encode([row]).decode()
            )
            fleet.store.write(job_key(job.job_id), encode_job(job))
            await fleet.add_instance('i1')
            await fleet.wait_leader()
            await fleet.wait_state([job.job_id], JobState.FAILED)
            assert not fleet.runs()

    run_scenario(scenario)


ALL_DONE = (
    # groups of the job, and done tasks in the segments of each group
    ('one group', (small_group(40),), (range(40),)),
    ('two groups', (small_group(40), small_group(7, after=(0,))),
     (range(40), range(7))),
    ('a gang of which one end is recorded', (small_group(40, gang=True),),
     ((5,),)),
)  # fmt: skip


@pytest.mark.parametrize(
    ('groups', 'done'),
    [row[1:] for row in ALL_DONE],
    ids=[row[0] for row in ALL_DONE],
)
def test_job_whose_tasks_are_all_done_is_completed_by_the_next_leader(
    groups, done
):
    """Guards against a finished job that is shown as running for ever.

    The former leader was lost after the segments and before the state.
    """

    async def scenario():
        async with running_fleet(run_ms=RUN_MS) as fleet:
            await fleet.leading().kill()
            job = make_job(*groups)
            key = progress_key(job.job_id)
            unfinished = [[0, position] for position in range(len(groups))]
            fleet.store.write(
                key,
                msgspec.json.encode(
                    {
                        'state': 'running',
                        'next_occurrence': 1,
                        'unfinished': unfinished,
                    }
                ).decode(),
            )
            for position, indexes in enumerate(done):
                rows = [
                    (0, position, index, 'd', 1, '', 0, '') for index in indexes
                ]
                fleet.store.write(
                    f'{key}/0.{position}.0', msgspec.json.encode(rows).decode()
                )
            fleet.store.write(job_key(job.job_id), encode_job(job))
            await fleet.add_instance('i1')
            await fleet.wait_leader()
            await fleet.wait_state([job.job_id], COMPLETED)
            await wait_for(
                lambda: set(fleet.store.values(key)) == {key}, 'no segments'
            )
            assert not fleet.runs()

    run_scenario(scenario)
