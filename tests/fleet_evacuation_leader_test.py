"""Deployments in memory: a change of leader while a domain is evacuated."""

import curio
import pytest

from jayshore.clock import Millis
from jayshore.fleet.phases import JobState
from tests import memory_fleet_test
from tests.fleet_checks_test import check_runs
from tests.fleet_evacuation_test import (
    BOUND_MS,
    NORTH,
    QUIET_S,
    SOUTH,
    evacuate,
    hold_reads,
    run_scenario,
    running_domains,
    wait_usable,
    workers_of,
)
from tests.fleet_recovery_test import Task, start_runs, write_records
from tests.memory_fleet_test import COMPLETED, make_group, make_job


def test_new_leader_reads_the_keys_before_its_first_round():
    """Guards against a leader that places tasks before it knows the keys."""

    async def scenario():
        async with running_domains(instances=2) as fleet:
            held = []
            hold_reads(fleet.store, held)
            await evacuate(fleet)
            held.append(1)
            former = fleet.leading()
            await former.kill()
            await fleet.wait_leader()
            assert fleet.leading() is not former
            job = make_job(make_group(6))
            await fleet.submit(job)
            await wait_usable(fleet, 2)
            await curio.sleep(QUIET_S)
            assert not fleet.runs()
            held.clear()
            await fleet.wait_state([job.job_id], COMPLETED)
            assert workers_of(fleet, job) == {SOUTH}

    run_scenario(scenario)


INHERITED = (
    ('never sent', None, {SOUTH}),
    ('runs there', NORTH, {NORTH}),
)


@pytest.mark.parametrize(
    ('running_at', 'expected'),
    [row[1:] for row in INHERITED],
    ids=[row[0] for row in INHERITED],
)
def test_next_leader_starts_no_recorded_run_in_the_domain(running_at, expected):
    """Guards against starts that a former leader recorded and did not send.

    Also guards against a next leader that stops what runs there.
    """

    async def scenario():
        fleet = memory_fleet_test.Fleet(
            evacuate_ms=BOUND_MS, run_ms=Millis(1500)
        )
        fleet.add_worker(NORTH, domain='north')
        fleet.add_worker(SOUTH, domain='south')
        job = make_job(make_group(1, estimate_ms=Millis(1500)))
        known = [Task('p', NORTH, 1, running_at, 1)]
        write_records(fleet, job, JobState.RUNNING, known, cancelled=False)
        start_runs(fleet, job, known)
        fleet.evacuate('north')
        instance = await fleet.add_instance('i0')
        try:
            await fleet.wait_leader()
            await fleet.wait_state([job.job_id], COMPLETED)
            assert workers_of(fleet, job) == expected
            check_runs(fleet, [job])
        finally:
            await instance.kill()

    run_scenario(scenario)
