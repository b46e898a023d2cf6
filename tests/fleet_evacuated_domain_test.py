"""Deployments in memory: what is seen of a failure domain that is evacuated."""

import curio
import eliot
import pytest

from jayshore.clock import Millis
from jayshore.fleet.interfaces import EndKind
from jayshore.fleet.phases import JobState
from tests.fleet_checks_test import check_runs
from tests.fleet_evacuation_test import (
    EVERY_GROUP,
    NORTH,
    NOTICE_S,
    SOUTH,
    evacuate,
    hold_reads,
    run_scenario,
    running_domains,
    wait_usable,
    workers_of,
)
from tests.memory_fleet_test import COMPLETED, make_group, make_job, wait_for


@pytest.fixture(name='log_lines')
def collect_log_lines():
    """Collect log lines."""
    lines = []
    eliot.add_destinations(lines.append)
    yield lines
    eliot.remove_destination(lines.append)


@EVERY_GROUP
def test_nothing_starts_in_an_evacuated_domain_and_what_runs_goes_on(shape):
    """Guards against starts in the domain, and against runs that are stopped.

    Also guards against a domain that stays unused after its return.
    """

    async def scenario():
        async with running_domains(run_ms=Millis(500)) as fleet:
            before = make_job(make_group(6))
            await fleet.submit(before)
            await wait_for(lambda: len(fleet.runs()) == 6, 'all runs')
            await evacuate(fleet)
            during = [make_job(make_group(2, **shape)) for _ in range(3)]
            ids = await fleet.submit(*during)
            await fleet.wait_state([before.job_id, *ids], COMPLETED)
            assert workers_of(fleet, *during) == {SOUTH}
            runs = [run for run, _ in fleet.runs()]
            assert {run.kind for run in runs} == {EndKind.DONE}
            assert len(runs) == 12
            fleet.take_back('north')
            after = [make_job(make_group(2, **shape)) for _ in range(3)]
            ids = await fleet.submit(*after)
            await fleet.wait_state(ids, COMPLETED)
            assert workers_of(fleet, *after) == {NORTH, SOUTH}
            check_runs(fleet, [before, *during, *after])

    run_scenario(scenario)


def test_worker_that_joins_the_domain_gets_nothing():
    """Guards against a worker that is registered after the key."""

    async def scenario():
        async with running_domains() as fleet:
            await evacuate(fleet)
            fleet.add_worker('n1', domain='north')
            await wait_usable(fleet, 3)
            jobs = [make_job(make_group(4)) for _ in range(3)]
            ids = await fleet.submit(*jobs)
            await fleet.wait_state(ids, COMPLETED)
            assert workers_of(fleet, *jobs) == {SOUTH}

    run_scenario(scenario)


def test_worker_that_fails_its_tasks_gets_no_probe():
    """Guards against probes of quarantined workers, and late resorts to them.

    Work that waits for workers in vain may use quarantined ones.
    """

    async def scenario():
        async with running_domains(south=False) as fleet:
            fleet.workers[NORTH].faults.fail_all = True
            jobs = [make_job(make_group(2)) for _ in range(4)]
            ids = await fleet.submit(*jobs)
            await fleet.wait_state(ids, JobState.FAILED)
            await evacuate(fleet)
            count = len(fleet.runs())
            late = make_job(make_group(2))
            await fleet.submit(late)
            await curio.sleep(1.6)
            assert len(fleet.runs()) == count
            fleet.workers[NORTH].faults.fail_all = False
            fleet.take_back('north')
            await fleet.wait_state([late.job_id], COMPLETED)

    run_scenario(scenario)


def test_suspect_of_a_crash_waits_for_another_domain():
    """Guards against suspects that run alone in the evacuated domain."""

    async def scenario():
        async with running_domains(south=False) as fleet:
            faults = fleet.workers[NORTH].faults
            faults.crashing = lambda _task: True
            faults.down_ms = Millis(100)
            job = make_job(make_group(1))
            await fleet.submit(job)
            await wait_for(lambda: fleet.workers[NORTH].crashes, 'a crash')
            fleet.evacuate('north')
            await wait_for(lambda: not fleet.workers[NORTH].down, 'a restart')
            await curio.sleep(2)
            assert len(fleet.workers[NORTH].history) == 1
            fleet.add_worker(SOUTH, domain='south')
            await fleet.wait_state([job.job_id], COMPLETED)
            assert workers_of(fleet, job) == {NORTH, SOUTH}

    run_scenario(scenario)


ODD_NAMES = ('', ' ', 'NORTH', 'north/', 'nörd\n', '../north', 'x' * 5000)


def test_key_without_a_domain_of_that_name_has_no_effect(log_lines):
    """Guards against names of any text that stop starts, or flood the log."""

    async def scenario():
        async with running_domains() as fleet:
            fleet.register(NORTH, domain='')
            for name in ODD_NAMES:
                fleet.evacuate(name)
            await curio.sleep(3)
            job = make_job(make_group(8))
            await fleet.submit(job)
            await fleet.wait_state([job.job_id], COMPLETED)
            assert workers_of(fleet, job) == {NORTH, SOUTH}
            leader = fleet.leading()
            assert evacuated_count(leader) == 0

    run_scenario(scenario)
    lines = [line for line in log_lines if _kind(line) == 'evacuation:no_such']
    assert [line['count'] for line in lines] == [len(ODD_NAMES)]
    assert max(map(len, lines[0]['domains'])) < 100


def test_begin_and_end_of_an_evacuation_are_shown(log_lines):
    """Guards against an operator who cannot tell when a domain is empty."""

    async def scenario():
        async with running_domains(run_ms=Millis(400)) as fleet:
            job = make_job(make_group(8))
            await fleet.submit(job)
            await wait_for(lambda: len(fleet.runs()) == 8, 'all runs')
            await evacuate(fleet)
            leader = fleet.leading()
            assert evacuated_count(leader) == 1
            await fleet.wait_state([job.job_id], COMPLETED)
            fleet.take_back('north')
            await curio.sleep(NOTICE_S)
            assert evacuated_count(leader) == 0

    run_scenario(scenario)
    shown = [
        (_kind(line), line['domain'], line['runs'])
        for line in log_lines
        if _kind(line).startswith('evacuation:')
    ]
    assert shown == [
        ('evacuation:begun', 'north', 4),
        ('evacuation:ended', 'north', 0),
    ]


def test_keys_are_not_read_where_the_setting_is_missing():
    """Guards against a change of deployments without evacuations."""

    async def scenario():
        async with running_domains(evacuate_ms=None) as fleet:
            held = [1]
            hold_reads(fleet.store, held)
            await evacuate(fleet)
            job = make_job(make_group(8))
            await fleet.submit(job)
            await fleet.wait_state([job.job_id], COMPLETED)
            assert workers_of(fleet, job) == {NORTH, SOUTH}

    run_scenario(scenario)


def test_warm_worker_is_preferred_until_the_cold_one_is_warm():
    """Guards against tasks on a cold worker beside a warm one with room."""

    async def scenario():
        async with running_domains(south=False) as fleet:
            fleet.register(NORTH, domain='north', cold_left_ms=1500)
            await curio.sleep(0.5)
            fleet.add_worker(SOUTH, domain='south')
            await wait_usable(fleet, 2)
            jobs = [make_job(make_group(4)), make_job(make_group(1))]
            await fleet.submit(jobs[0])
            await fleet.wait_state([jobs[0].job_id], COMPLETED)
            assert workers_of(fleet, jobs[0]) == {SOUTH}
            await curio.sleep(1.5)
            await fleet.submit(jobs[1])
            await fleet.wait_state([jobs[1].job_id], COMPLETED)
            assert workers_of(fleet, jobs[1]) == {NORTH}

    run_scenario(scenario)


def evacuated_count(instance):
    """Read the gauge of an instance."""
    text = instance.leader_role._metrics.render().decode()
    (line,) = [
        line
        for line in text.splitlines()
        if line.startswith('jayshore_evacuated_domains ')
    ]
    return float(line.split()[1])


def _kind(line):
    return line.get('message_type', '')
