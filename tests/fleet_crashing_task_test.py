"""Deployments in memory with tasks that crash the worker that starts them."""

import curio
import pytest

from jayshore.fleet.jobtable import JobState
from tests.fleet_checks_test import check_runs
from tests.memory_fleet_test import (
    COMPLETED,
    make_group,
    make_job,
    running_fleet,
    shorten_leases,
)

MAX_CRASHES = 3
MAX_FURTHER_STARTS = 2


@pytest.fixture(autouse=True)
def _short_leases(monkeypatch):
    shorten_leases(monkeypatch)


def make_crashing(fleet, job, positions=(0,), **faults):
    """Let some tasks of a job crash every worker that starts them."""

    def crashing(task):
        return task.job_id == job.job_id and task.position in positions

    for worker in fleet.workers.values():
        worker.faults.crashing = crashing
        for name, setting in faults.items():
            setattr(worker.faults, name, setting)


def count_starts(fleet, job, position=0):
    """Count the starts of a task over all workers and incarnations."""
    return sum(
        run.task.job_id == job.job_id and run.task.position == position
        for run, _ in fleet.runs()
    )


def check_budget(fleet, job, positions=(0,)):
    """Check that no crashing task starts three times after three crashes."""
    for position in positions:
        starts = count_starts(fleet, job, position)
        assert starts <= MAX_CRASHES + MAX_FURTHER_STARTS, starts


CRASHES = (
    ('another id', {'new_id': True}),
    ('the same id', {'new_id': False}),
)


@pytest.mark.parametrize(
    'faults', [row[1] for row in CRASHES], ids=[row[0] for row in CRASHES]
)
def test_task_that_crashes_its_workers_is_given_up(faults):
    """Guards against a task that crashes worker after worker without end."""

    async def scenario():
        async with running_fleet(workers=5) as fleet:
            job = make_job(make_group(1))
            others = [make_job(make_group(3)) for _ in range(4)]
            make_crashing(fleet, job, **faults)
            ids = await fleet.submit(*others, job)
            await fleet.wait_state([job.job_id], JobState.FAILED)
            await fleet.wait_state(ids[:-1], COMPLETED)
            check_runs(fleet, [job, *others])
            check_budget(fleet, job)

    curio.run(scenario, taskcls=curio.task.ContextTask)
