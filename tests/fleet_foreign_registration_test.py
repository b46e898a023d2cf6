"""Deployments in memory with registrations that other programs have written.

Such an entry names the address of a worker and a later start. It shows nothing
of the worker, at which runs go on.
"""

import dataclasses

import curio
import pytest

from jayshore.clock import Millis
from tests.fleet_checks_test import check_runs
from tests.memory_fleet_test import (
    COMPLETED,
    CONFIG,
    QUEUE,
    SERVICE,
    make_group,
    make_job,
    running_fleet,
    shorten_leases,
    wait_for,
)

RUN_MS = Millis(1200)
LONG_RUN_MS = Millis(4000)
LATER_MS = 10**15
GAUGE = 'gauge'
GAUGE_QUEUE = dataclasses.replace(
    QUEUE, name='gauges', prefix='/gauges/', service=GAUGE
)


def configure_gauge(fleet):
    """Let a queue name the service of the entries."""
    fleet.config = dataclasses.replace(CONFIG, queues=(QUEUE, GAUGE_QUEUE))


def remove_gauge(fleet):
    """Let no queue name that service any more."""
    fleet.config = CONFIG


ENTRIES = (
    # service, configuration before the entries, configuration after them
    ('a service that nobody names', GAUGE, remove_gauge, remove_gauge),
    ('a service of another queue', GAUGE, configure_gauge, configure_gauge),
    ('a service that is removed', GAUGE, configure_gauge, remove_gauge),
    ('a service that is added', GAUGE, remove_gauge, configure_gauge),
    ('the service of the queue', SERVICE, remove_gauge, remove_gauge),
)
parametrize_entries = pytest.mark.parametrize(
    ('service', 'before', 'after'),
    [row[1:] for row in ENTRIES],
    ids=[row[0] for row in ENTRIES],
)


def register_foreign(fleet, service):
    """Write an entry at the address of each worker."""
    for name in tuple(fleet.workers):
        fleet.register(
            f'x-{name}', address=f'{name}:1', born_ms=LATER_MS, service=service
        )


def run_scenario(scenario):
    """Run a scenario in a new curio kernel."""
    curio.run(scenario, taskcls=curio.task.ContextTask)


@parametrize_entries
def test_new_leader_keeps_what_runs_beside_foreign_entries(
    service, before, after
):
    """Guards against runs that start twice for an entry that nobody answers."""

    async def scenario():
        async with running_fleet(
            instances=2, workers=3, run_ms=RUN_MS
        ) as fleet:
            before(fleet)
            job = make_job(make_group(6))
            ids = await fleet.submit(job)
            await wait_for(lambda: len(fleet.runs()) == 6, 'all runs')
            register_foreign(fleet, service)
            await fleet.leading().kill()
            await fleet.wait_leader()
            await curio.sleep(0.3)
            after(fleet)
            await fleet.wait_state(ids, COMPLETED)
            check_runs(fleet, [job])
            assert len(fleet.runs()) == 6

    run_scenario(scenario)


@parametrize_entries
def test_foreign_entry_counts_no_crash_against_tasks(
    monkeypatch, service, before, after
):
    """Guards against tasks that are given up though no worker has crashed."""
    shorten_leases(monkeypatch)

    async def scenario():
        async with running_fleet(workers=4, run_ms=LONG_RUN_MS) as fleet:
            before(fleet)
            job = make_job(make_group(3, max_per_worker=1))
            ids = await fleet.submit(job)
            await wait_for(lambda: len(fleet.runs()) == 3, 'all runs')
            worker_id = next(worker.worker_id for _, worker in fleet.runs())
            silent = fleet.workers[worker_id]
            silent.faults.silent = True
            await wait_for(lambda: len(fleet.runs()) == 4, 'an expired lease')
            register_foreign(fleet, service)
            await curio.sleep(0.3)
            after(fleet)
            silent.faults.silent = False
            scheduler = fleet.leading().leader_role.scheduler
            tasks = list(scheduler._job_table.jobs[job.job_id].tasks())
            assert not any(task.crashes or task.exposures for task in tasks)
            await fleet.wait_state(ids, COMPLETED)
            check_runs(fleet, [job])

    run_scenario(scenario)
