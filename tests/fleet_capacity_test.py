"""Deployments in memory whose workers change their capacity while they run."""

import curio
import pytest

from jayshore.clock import Millis
from jayshore.fleet.phases import JobState
from jayshore.resources import NOTHING, Resources
from tests.fleet_checks_test import check_runs
from tests.memory_fleet_test import (
    CAPACITY,
    COMPLETED,
    WORKSPACE,
    make_group,
    make_job,
    running_fleet,
    shorten_leases,
    wait_for,
)

SMALL = Resources(cpu_millis=2000, memory_mb=8000)
CONTACT_MS = Millis(3000)
HEARTBEAT_MS = Millis(500)
RUN_MS = Millis(900)


@pytest.fixture(autouse=True)
def _short_leases(monkeypatch):
    shorten_leases(monkeypatch)


def set_capacity(fleet, capacity):
    """Let all workers report another capacity; return the time of it."""
    for name, worker in fleet.workers.items():
        fleet.register(name, capacity=capacity, born_ms=worker.incarnation)
    return fleet.clock.now()


def check_starts(fleet, jobs, capacity, since):
    """Check that no start since a time brought a worker over a capacity."""
    assert any(run.started_at >= since for run, _ in fleet.runs())
    known = {job.job_id: job for job in jobs}
    now = fleet.clock.now()
    for worker in fleet.workers.values():
        worker.end_due_runs()
        for started in worker.history:
            used = NOTHING
            for run in worker.history:
                end = run.ended_at or Millis(now + 1)
                if run.started_at <= started.started_at < end:
                    used += known[run.task.job_id].groups[run.task.group].need
            if started.started_at >= since:
                assert used.fits_in(capacity), f'{worker.worker_id}: {used}'


async def _keep(fleet, job):
    """Change nothing else."""


async def _cancel(fleet, job):
    service = fleet.instances['i0'].job_service
    assert await service.cancel(job.job_id, WORKSPACE.name)


async def _kill_leader(fleet, job):
    await fleet.leading().kill()
    await fleet.wait_leader()


BESIDE = (
    ('nothing else', 1, _keep),
    ('what is being stopped counts', 1, _cancel),
    ('another leader', 2, _kill_leader),
)


@pytest.mark.parametrize(
    ('instances', 'change'),
    [row[1:] for row in BESIDE],
    ids=[row[0] for row in BESIDE],
)
def test_shrunk_capacity_holds_for_new_starts(instances, change):
    """Guards against starts above a capacity that a worker reports as smaller.

    The bound is the time of contact and one heartbeat after the report.
    """

    async def scenario():
        async with running_fleet(
            instances=instances, workers=2, run_ms=RUN_MS
        ) as fleet:
            full = make_job(make_group(8))
            later = [make_job(make_group(3)) for _ in range(8)]
            await fleet.submit(full)
            await wait_for(
                lambda: all(
                    len(worker.running) == 4
                    for worker in fleet.workers.values()
                ),
                'all workers are full',
            )
            shrunk_at = set_capacity(fleet, SMALL)
            await change(fleet, full)
            ids = await fleet.submit(*later)
            await fleet.wait_state(ids, COMPLETED, limit_s=20)
            since = Millis(shrunk_at + HEARTBEAT_MS + CONTACT_MS)
            check_starts(fleet, [full, *later], SMALL, since)
            check_starts(fleet, [full, *later], CAPACITY, Millis(0))

    run_scenario(scenario)


def run_scenario(scenario):
    """Run a scenario in a new curio kernel."""
    curio.run(scenario, taskcls=curio.task.ContextTask)


LARGE = (
    ('a task', make_group(1, need=Resources(cpu_millis=3000, memory_mb=1))),
    ('a gang', make_group(8, gang=True)),
)


@pytest.mark.parametrize(
    'group', [row[1] for row in LARGE], ids=[row[0] for row in LARGE]
)
def test_work_that_fits_no_more_waits_until_the_capacity_grows(group):
    """Guards against large work that starts in part, or is lost meanwhile."""

    async def scenario():
        async with running_fleet(workers=2) as fleet:
            set_capacity(fleet, SMALL)
            await curio.sleep(0.6)
            job = make_job(group)
            (job_id,) = await fleet.submit(job)
            await curio.sleep(0.6)
            assert await fleet.state(job_id) == JobState.QUEUED
            assert not fleet.runs()
            set_capacity(fleet, CAPACITY)
            await fleet.wait_state([job_id], COMPLETED)
            check_runs(fleet, [job])

    run_scenario(scenario)
