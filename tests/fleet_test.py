"""Deployments in memory: invariants under one kind of fault at a time."""

import curio
import pytest

from jayshore.clock import Millis
from jayshore.fleet.jobservice import Accepted, Refused, Uncertain
from tests.fleet_checks_test import check_runs
from tests.memory_fleet_test import (
    COMPLETED,
    make_group,
    make_job,
    running_fleet,
    shorten_leases,
    wait_for,
)


@pytest.fixture(autouse=True)
def _short_leases(monkeypatch):
    shorten_leases(monkeypatch)


def run_scenario(scenario):
    """Run a scenario in a new curio kernel."""
    curio.run(scenario, taskcls=curio.task.ContextTask)


JOBS = (
    ('one group', (make_group(3),)),
    ('groups in order', (make_group(2), make_group(3, after=(0,)))),
    ('a gang', (make_group(5, gang=True),)),
    (
        'a gang after a group',
        (make_group(1), make_group(4, after=(0,), gang=True)),
    ),
    ('more than fits', (make_group(30),)),
    ('spread', (make_group(3, max_per_worker=1),)),
)


@pytest.mark.parametrize(
    'groups', [row[1] for row in JOBS], ids=[row[0] for row in JOBS]
)
def test_calm_job_completes_once(groups):
    """Guards against tasks lost, repeated or reordered without any fault."""

    async def scenario():
        async with running_fleet() as fleet:
            job = make_job(*groups)
            await fleet.submit(job)
            await fleet.wait_state([job.job_id], COMPLETED)
            check_runs(fleet, [job])
            assert len(fleet.runs()) == sum(group.count for group in groups)

    run_scenario(scenario)


def _lose_starts(fleet):
    for worker in fleet.workers.values():
        worker.faults.lose_starts = 2
        worker.faults.late_ms = Millis(500)


def _lose_starts_for_good(fleet):
    for worker in fleet.workers.values():
        worker.faults.lose_starts = 3
        worker.faults.late_ms = None


def _lose_starts_and_stops(fleet):
    _lose_starts(fleet)
    for worker in fleet.workers.values():
        worker.faults.lose_stops = 2


def _lose_store_answers(fleet):
    fleet.store.faults.lose_answers = 6


def _apply_store_writes_late(fleet):
    fleet.store.faults.lose_answers = 4
    fleet.store.faults.late_ms = Millis(300)


def _forget_history(fleet):
    fleet.store.forget_history()


def _slow_store(fleet):
    fleet.store.faults.answer_ms = Millis(60)


def _refuse_one(fleet):
    fleet.workers['w0'].faults.refused = True


def _silence_one(fleet):
    fleet.workers['w0'].faults.silent = True


def _unregister_one(fleet):
    fleet.unregister('w0')


def _garble_one(fleet):
    fleet.store.write('workers/w0', '{"service": 7}')


def _reboot_one(fleet):
    fleet.workers['w1'].reboot()


TROUBLES = (
    _lose_starts,
    _lose_starts_for_good,
    _lose_starts_and_stops,
    _lose_store_answers,
    _apply_store_writes_late,
    _forget_history,
    _slow_store,
    _refuse_one,
    _silence_one,
    _unregister_one,
    _garble_one,
    _reboot_one,
)


@pytest.mark.parametrize('trouble', TROUBLES)
@pytest.mark.parametrize('delay_s', [0, 0.1])
def test_trouble_loses_and_repeats_nothing(trouble, delay_s):
    """Guards against a fault that loses tasks or makes them run twice."""

    async def scenario():
        async with running_fleet() as fleet:
            jobs = [
                make_job(make_group(2), make_group(2, after=(0,))),
                make_job(make_group(3, gang=True)),
                make_job(make_group(6)),
            ]
            ids = [job.job_id for job in jobs]
            if delay_s:
                await fleet.submit(*jobs)
                await curio.sleep(delay_s)
                trouble(fleet)
            else:
                trouble(fleet)
                await submit_until_accepted(fleet, jobs)
            await fleet.wait_state(ids, COMPLETED)
            check_runs(fleet, jobs)

    run_scenario(scenario)


async def submit_until_accepted(fleet, jobs):
    """Submit each job, and repeat the call until it is accepted."""
    job_service = fleet.instances['i0'].job_service
    for job in jobs:
        result = Uncertain()
        while not isinstance(result, Accepted):
            result = await job_service.submit(job)
            # A refusal comes at once; callers pause between their attempts.
            await curio.sleep(0.005)


@pytest.mark.parametrize('lost_worker', [False, True])
def test_next_leader_takes_over_what_runs(lost_worker):
    """Guards against a new leader that starts tasks that already run."""

    async def scenario():
        async with running_fleet(instances=2, run_ms=Millis(700)) as fleet:
            jobs = [make_job(make_group(4)) for _ in range(3)]
            ids = await fleet.submit(*jobs)
            await wait_for(lambda: len(fleet.runs()) >= 6, 'runs')
            first = fleet.leading()
            if lost_worker:
                fleet.workers['w0'].faults.silent = True
            await first.kill()
            del fleet.instances[first.name]
            await fleet.wait_state(ids, COMPLETED)
            check_runs(fleet, jobs)
            if not lost_worker:
                assert len(fleet.runs()) == 12

    run_scenario(scenario)


def test_takeover_is_quick():
    """Guards against a takeover that takes longer than the store lease.

    The bound is the time to live of the store lease plus half a second.
    """

    async def scenario():
        async with running_fleet(instances=2) as fleet:
            first = fleet.leading()
            await first.kill()
            del fleet.instances[first.name]
            started = fleet.clock.now()
            job = make_job()
            await submit_through_any_instance(fleet, job)
            await wait_for(lambda: fleet.runs(), 'a start by the next leader')
            assert fleet.clock.now() - started < 1100 + 500

    run_scenario(scenario)


async def submit_through_any_instance(fleet, job):
    """Submit through a remaining instance until the job is accepted."""
    job_service = next(iter(fleet.instances.values())).job_service
    while not isinstance(await job_service.submit(job), Accepted):
        await curio.sleep(0.02)


def test_all_instances_lost_at_once():
    """Guards against accepted jobs that only the instances' memory holds."""

    async def scenario():
        async with running_fleet(instances=2, run_ms=Millis(400)) as fleet:
            jobs = [make_job(make_group(3)) for _ in range(4)]
            ids = await fleet.submit(*jobs)
            await curio.sleep(0.15)
            for instance in list(fleet.instances.values()):
                await instance.kill()
            fleet.instances.clear()
            await fleet.add_instance('i9')
            await fleet.wait_state(ids, COMPLETED)
            check_runs(fleet, jobs)

    run_scenario(scenario)


def test_store_outage_stops_nothing_that_runs():
    """Guards against runs that end because the store is down.

    Nothing can be recorded during the outage, so nothing new starts.
    """

    async def scenario():
        async with running_fleet(run_ms=Millis(500)) as fleet:
            job = make_job(make_group(3))
            await fleet.submit(job)
            await wait_for(lambda: len(fleet.runs()) == 3, 'runs')
            fleet.store.faults.down = True
            refused = await fleet.instances['i0'].job_service.submit(make_job())
            assert isinstance(refused, Refused)
            assert refused.retry_after_ms
            await curio.sleep(0.7)
            fleet.store.faults.down = False
            await fleet.wait_state([job.job_id], COMPLETED)
            check_runs(fleet, [job])
            assert len(fleet.runs()) == 3

    run_scenario(scenario)
