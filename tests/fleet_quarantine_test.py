"""Deployments in memory whose workers are quarantined after failures."""

import curio
import pytest

from jayshore.clock import Millis
from jayshore.fleet.interfaces import EndKind
from jayshore.fleet.phases import JobState
from jayshore.resources import Resources
from tests.fleet_checks_test import check_runs
from tests.memory_fleet_test import (
    COMPLETED,
    make_group,
    make_job,
    running_fleet,
    wait_for,
)

WORKERS = 3
MAX_WAIT_S = 3
"""Work that can start has to start within this time."""

GROUPS = (
    ('a gang', make_group(9, gang=True)),
    ('tasks that fill the fleet', make_group(9)),
    ('lasting tasks', make_group(6, long_running=True)),
    ('one task for each worker', make_group(WORKERS, max_per_worker=1)),
)


@pytest.mark.parametrize(
    'group', [row[1] for row in GROUPS], ids=[row[0] for row in GROUPS]
)
def test_work_starts_while_all_workers_are_quarantined(group):
    """Guards against work that never starts after failures of other jobs."""

    async def scenario():
        async with running_fleet(workers=WORKERS) as fleet:
            failing = [make_job(make_group(4)) for _ in range(4)]
            for worker in fleet.workers.values():
                worker.faults.fail_all = True
            ids = await fleet.submit(*failing)
            await fleet.wait_state(ids, JobState.FAILED)
            for worker in fleet.workers.values():
                worker.faults.fail_all = False
            job = make_job(group)
            await fleet.submit(job)
            await wait_for(
                lambda: (
                    sum(
                        run.task.job_id == job.job_id for run, _ in fleet.runs()
                    )
                    == group.count
                ),
                'all runs',
                MAX_WAIT_S,
            )
            if not group.long_running:
                await fleet.wait_state([job.job_id], COMPLETED)
            check_runs(fleet, [job, *failing])

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_failing_worker_stays_out_while_the_fleet_is_busy():
    """Guards against jobs that fail because a bad worker is always free."""

    async def scenario():
        async with running_fleet(workers=4, run_ms=Millis(400)) as fleet:
            fleet.workers['w0'].faults.fail_all = True
            jobs = [make_job(make_group(4)) for _ in range(24)]
            ids = await fleet.submit(*jobs)
            await fleet.wait_state(ids, COMPLETED, limit_s=20)
            check_runs(fleet, jobs)

    curio.run(scenario, taskcls=curio.task.ContextTask)


@pytest.mark.parametrize('limit', [1, 2])
def test_probe_keeps_the_limit_of_its_group_per_worker(limit):
    """Guards against probes beside as many tasks of a group as it allows."""
    need = Resources(cpu_millis=500, memory_mb=100)
    one_each = make_group(2, need=need, max_per_worker=1)
    lasting = make_job(
        make_group(2 * limit + 2, need=need, max_per_worker=limit)
    )
    succeeding = make_job(one_each)
    failing = [make_job(one_each) for _ in range(2)]
    run_ms = {lasting.job_id: 1500, succeeding.job_id: 700}

    async def scenario():
        async with running_fleet(
            workers=2,
            run_ms=lambda task: Millis(run_ms.get(task.job_id, 100)),
        ) as fleet:
            await fleet.submit(lasting, succeeding)
            await wait_for(
                lambda: len(fleet.runs()) == 2 * limit + 2, 'the first runs'
            )
            for worker in fleet.workers.values():
                worker.faults.fail_all = True
            await fleet.submit(*failing)
            await wait_for(lambda: _failures(fleet) >= 4, 'failures')
            for worker in fleet.workers.values():
                worker.faults.fail_all = False
            await fleet.wait_state(
                [lasting.job_id, succeeding.job_id], COMPLETED
            )
            check_runs(fleet, [lasting, succeeding, *failing])

    curio.run(scenario, taskcls=curio.task.ContextTask)


def _failures(fleet):
    return sum(run.kind is EndKind.FAILED for run, _ in fleet.runs())
