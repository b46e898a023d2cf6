"""Deployments in memory: decisions of the leader on jobs and workers."""

import dataclasses

import curio
import pytest

from jayshore.clock import Millis
from jayshore.fleet.interfaces import EndKind
from jayshore.fleet.jobservice import Refused
from jayshore.fleet.model import AdvicePolicy, Schedule
from jayshore.fleet.phases import JobState
from jayshore.resources import Resources
from tests.fleet_checks_test import check_runs
from tests.memory_fleet_test import (
    COMPLETED,
    CONFIG,
    NEED,
    QUEUE,
    WORKSPACE,
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


@pytest.mark.parametrize('delay_s', [0, 0.03, 0.2])
def test_cancelled_job_stops(delay_s):
    """Guards against tasks that start or keep running after a cancellation."""

    async def scenario():
        async with running_fleet(run_ms=Millis(5000)) as fleet:
            job = make_job(make_group(20))
            await fleet.submit(job)
            await curio.sleep(delay_s)
            job_service = fleet.instances['i0'].job_service
            assert await job_service.cancel(job.job_id, WORKSPACE.name)
            await fleet.wait_state([job.job_id], JobState.CANCELLED, 2)
            await wait_for(
                lambda: not any(w.running for w in fleet.workers.values()),
                'nothing runs',
                2,
            )
            await curio.sleep(0.2)
            assert not any(w.running for w in fleet.workers.values())
            check_runs(fleet, [job])

    run_scenario(scenario)


def test_failing_job_fails_after_its_attempts():
    """Guards against unlimited attempts, and against a job that never ends."""

    async def scenario():
        async with running_fleet() as fleet:
            for worker in fleet.workers.values():
                worker.faults.fail_all = True
            job = make_job(make_group(1))
            await fleet.submit(job)
            await fleet.wait_state([job.job_id], JobState.FAILED)
            assert len(fleet.runs()) == QUEUE.max_attempts

    run_scenario(scenario)


def test_failed_gang_counts_one_attempt():
    """Guards against a gang failure that counts one attempt per member."""

    async def scenario():
        async with running_fleet() as fleet:
            for worker in fleet.workers.values():
                worker.faults.fail_all = True
            job = make_job(make_group(4, gang=True))
            await fleet.submit(job)
            await fleet.wait_state([job.job_id], JobState.FAILED)
            runs = {run.run for run, _ in fleet.runs()}
            assert len(runs) == QUEUE.max_attempts

    run_scenario(scenario)


def test_gang_members_share_their_run():
    """Guards against gang members that are started under different runs.

    Members of different runs would wait for each other.
    """

    async def scenario():
        async with running_fleet() as fleet:
            for worker in fleet.workers.values():
                worker.faults.fail_all = True
            job = make_job(make_group(9, gang=True))
            await fleet.submit(job)
            await wait_for(lambda: len(fleet.runs()) >= 18, 'a second run')
            starts = {}
            for run, _ in fleet.runs():
                starts.setdefault(run.run, set()).add(run.task)
            assert all(len(tasks) == 9 for tasks in starts.values())

    run_scenario(scenario)


def test_maximum_of_a_workspace_holds():
    """Guards against a workspace that exceeds its maximum."""
    limit = Resources(cpu_millis=3 * NEED.cpu_millis)
    config = dataclasses.replace(
        CONFIG, workspaces=(dataclasses.replace(WORKSPACE, maximum=limit),)
    )

    async def scenario():
        async with running_fleet(config=config) as fleet:
            jobs = [make_job(make_group(4)) for _ in range(3)]
            ids = await fleet.submit(*jobs)
            most = 0
            while await fleet.state(ids[-1]) is not COMPLETED:
                running = sum(len(w.running) for w in fleet.workers.values())
                most = max(most, running)
                await curio.sleep(0.005)
            assert most == 3
            await fleet.wait_state(ids, COMPLETED)

    run_scenario(scenario)


ADVISED = dataclasses.replace(
    QUEUE,
    advice=AdvicePolicy(
        decision_ms=5, per_worker_ms=1, validity_ms=Millis(1000)
    ),
)


@pytest.mark.parametrize('validity_ms', [1000, 200])
def test_tasks_run_only_where_advised(validity_ms):
    """Guards against starts without a ticket or with an expired one."""

    async def scenario():
        config = dataclasses.replace(CONFIG, queues=(ADVISED,))
        async with running_fleet(config=config) as fleet:
            fleet.relay.advised_workers = ('w1',)
            fleet.relay.validity_ms = Millis(validity_ms)
            job = make_job(make_group(12), queue=ADVISED)
            await fleet.submit(job)
            await fleet.wait_state([job.job_id], COMPLETED)
            assert {worker.worker_id for _, worker in fleet.runs()} == {'w1'}

    run_scenario(scenario)


def test_advice_outlasts_a_refused_ticket():
    """Guards against a group that waits forever after an expired ticket.

    When a store outage between a decision and its record made the ticket
    expire, the leader no longer knew that the worker may run the group.
    """

    async def scenario():
        config = dataclasses.replace(CONFIG, queues=(ADVISED,))
        async with running_fleet(config=config) as fleet:
            fleet.relay.advised_workers = ('w1',)
            fleet.relay.validity_ms = Millis(250)
            job = make_job(make_group(2), queue=ADVISED)
            await fleet.submit(job)
            await wait_for(lambda: fleet.relay.calls, 'advice')
            fleet.store.faults.down = True
            await curio.sleep(0.5)
            fleet.store.faults.down = False
            await fleet.wait_state([job.job_id], COMPLETED)

    run_scenario(scenario)


def test_job_of_a_removed_queue_still_runs():
    """Guards against losing accepted jobs when their queue is removed."""

    async def scenario():
        config = dataclasses.replace(CONFIG, version=2, queues=())
        async with running_fleet(config=config) as fleet:
            job = make_job()
            await fleet.submit(job)
            await fleet.wait_state([job.job_id], COMPLETED)

    run_scenario(scenario)


def test_repeated_submission_is_one_job():
    """Guards against a repeated submission that makes a second job."""

    async def scenario():
        async with running_fleet() as fleet:
            job = make_job(make_group(2))
            await fleet.submit(job, job)
            await fleet.wait_state([job.job_id], COMPLETED)
            await fleet.submit(job)
            other = dataclasses.replace(job, digest='another')
            job_service = fleet.instances['i0'].job_service
            assert isinstance(await job_service.submit(other), Refused)
            await curio.sleep(0.1)
            assert len(fleet.runs()) == 2

    run_scenario(scenario)


def test_draining_worker_gets_nothing_new():
    """Guards against starts on a draining worker."""

    async def scenario():
        async with running_fleet(workers=2) as fleet:
            fleet.register('w0', draining=True)
            await curio.sleep(0.6)
            job = make_job(make_group(8))
            await fleet.submit(job)
            await fleet.wait_state([job.job_id], COMPLETED)
            assert {worker.worker_id for _, worker in fleet.runs()} == {'w1'}

    run_scenario(scenario)


def test_occurrences_run_when_they_are_due():
    """Guards against occurrences that start early or never."""

    async def scenario():
        async with running_fleet() as fleet:
            plain = make_job(make_group(1))
            start = plain.accepted_at_ms + 300
            job = dataclasses.replace(
                plain,
                schedule=Schedule(
                    start_at_ms=start, interval_ms=Millis(200), repeats=3
                ),
            )
            await fleet.submit(job)
            await curio.sleep(0.2)
            assert not fleet.runs()
            await fleet.wait_state([job.job_id], COMPLETED)
            names = sorted(run.task.occurrence for run, _ in fleet.runs())
            assert names == [0, 1, 2]

    run_scenario(scenario)


def test_silent_worker_keeps_its_tasks_until_the_lease_is_over():
    """Guards against a second run while the first may still be running.

    A silent worker cannot report its runs; only the end of its lease proves
    that they have ended.
    """

    async def scenario():
        async with running_fleet(run_ms=Millis(2500), workers=2) as fleet:
            job = make_job(make_group(2, estimate_ms=Millis(2500)))
            await fleet.submit(job)
            await wait_for(lambda: len(fleet.runs()) == 2, 'runs')
            for worker in fleet.workers.values():
                worker.faults.silent = bool(worker.running)
            await fleet.wait_state([job.job_id], COMPLETED)
            check_runs(fleet, [job])
            kinds = {run.kind for run, _ in fleet.runs()}
            assert kinds == {EndKind.LEASE_EXPIRED, EndKind.DONE}

    run_scenario(scenario)


def test_wrong_estimate_does_not_stop_a_run():
    """Guards against work lost for a task that is long on any worker.

    Its estimate is too low, so it appears slow on every worker.
    """

    async def scenario():
        async with running_fleet(run_ms=Millis(2500)) as fleet:
            job = make_job(make_group(1, estimate_ms=Millis(10)))
            await fleet.submit(job)
            await fleet.wait_state([job.job_id], COMPLETED)
            check_runs(fleet, [job])
            assert len(fleet.runs()) == 1

    run_scenario(scenario)


def test_runs_leave_a_slow_worker():
    """Guards against runs that stay on a worker much slower than others.

    A run there takes 6 s, and about 2 s pass until the worker is found.
    """

    async def scenario():
        async with running_fleet(run_ms=Millis(300), workers=4) as fleet:
            group = make_group(16, estimate_ms=Millis(300))
            first = [make_job(group) for _ in range(5)]
            ids = await fleet.submit(*first)
            await fleet.wait_state(ids, COMPLETED)
            fleet.workers['w0']._run_ms = lambda _task: Millis(6000)
            jobs = [make_job(group) for _ in range(2)]
            ids = await fleet.submit(*jobs)
            await fleet.wait_state(ids, COMPLETED, limit_s=5)
            check_runs(fleet, first + jobs)
            kinds = [run.kind for run in fleet.workers['w0'].history]
            assert EndKind.STOPPED in kinds

    run_scenario(scenario)


def test_hanging_worker_is_left():
    """Guards against tasks that stay on a worker whose runs never end."""

    async def scenario():
        async with running_fleet(run_ms=Millis(400), workers=2) as fleet:
            fleet.workers['w0'].faults.hang = True
            jobs = [make_job(make_group(2)) for _ in range(3)]
            ids = await fleet.submit(*jobs)
            await fleet.wait_state(ids, COMPLETED)
            check_runs(fleet, jobs)

    run_scenario(scenario)


def test_failing_worker_does_not_draw_all_work():
    """Guards against a failing worker that attracts most tasks.

    It fails runs at once, so it has free capacity again and bin packing
    prefers it.
    """

    async def scenario():
        config = dataclasses.replace(
            CONFIG, queues=(dataclasses.replace(QUEUE, max_attempts=2),)
        )
        async with running_fleet(config=config) as fleet:
            fleet.workers['w0'].faults.fail_all = True
            jobs = [make_job(make_group(1)) for _ in range(20)]
            ids = await fleet.submit(*jobs)
            await fleet.wait_state(ids, COMPLETED)
            failed = [
                run for run, _ in fleet.runs() if run.kind is EndKind.FAILED
            ]
            assert len(failed) <= 6

    run_scenario(scenario)


def test_unknown_run_is_stopped():
    """Guards against runs without a job that hold capacity forever."""

    async def scenario():
        async with running_fleet(run_ms=Millis(3000)) as fleet:
            job = make_job(make_group(1))
            await fleet.submit(job)
            await wait_for(lambda: fleet.runs(), 'a run')
            scheduler = fleet.leading().leader_role.scheduler
            scheduler._job_table.jobs.pop(job.job_id)
            await wait_for(
                lambda: not any(w.running for w in fleet.workers.values()),
                'nothing runs',
            )

    run_scenario(scenario)


def test_pending_counts_jobs_that_have_not_begun():
    """Guards against a pending count that leaves out jobs that wait."""

    async def scenario():
        async with running_fleet(workers=0) as fleet:
            await fleet.submit(*(make_job() for _ in range(5)))
            job_service = fleet.instances['i0'].job_service

            async def counted():
                return await job_service.pending(QUEUE.name) == 5

            await wait_for(counted, 'five pending jobs')
            fleet.add_worker('w0')

            async def none_left():
                return await job_service.pending(QUEUE.name) == 0

            await wait_for(none_left, 'no pending jobs')

    run_scenario(scenario)


def test_fenced_leader_starts_nothing():
    """Guards against a replaced leader that keeps starting tasks.

    The test removes the leader's record while the leader still considers its
    leadership valid for 60 s, as after a pause.
    """

    async def scenario():
        async with running_fleet(instances=2, run_ms=Millis(300)) as fleet:
            first = fleet.leading()
            first.leadership._ttl_ms = Millis(60_000)
            for key in fleet.store.values('domains/deployment/leader'):
                fleet.store.write(key, None)
            await wait_for(
                lambda: any(
                    other.leader_role.scheduler is not None
                    for other in fleet.instances.values()
                    if other is not first
                ),
                'another leader',
            )
            jobs = [make_job(make_group(3)) for _ in range(4)]
            ids = await fleet.submit(*jobs)
            await fleet.wait_state(ids, COMPLETED)
            check_runs(fleet, jobs)
            assert len(fleet.runs()) == 12

    run_scenario(scenario)
