"""Deployments in memory: starts that reach a later life of their worker.

A worker is back under its id after a crash, and knows nothing of the orders
that it got before. A start that got no answer may then still be carried out.
"""

import curio
import pytest

from jayshore.clock import Millis
from jayshore.fleet.interfaces import EndKind
from jayshore.fleet.phases import JobState
from standins.memoryworkerclient import MemoryWorkerClient
from tests.fleet_checks_test import check_runs
from tests.memory_fleet_test import (
    QUEUE,
    make_group,
    make_job,
    running_fleet,
    wait_for,
)

RUN_MS = Millis(3000)
OLDER_THAN_DOUBT_S = 0.4
"""Age of a run that is not suspected of the crash of its worker, in s."""


@pytest.fixture(name='late_starts')
def hold_late_starts(monkeypatch):
    """Hold starts without an answer until the test carries them out."""
    held = []

    async def hold(client, order, _delay):
        held.append(order)

    monkeypatch.setattr(MemoryWorkerClient, '_start_late', hold)
    return held


def crash_under_same_id(worker):
    """Crash a worker that is soon back under its id."""
    worker.faults.new_id = False
    worker.faults.down_ms = Millis(50)
    worker.crash()


def runs_of(fleet, job, position):
    """List the runs of a task of the first group."""
    return [
        run
        for run, _ in fleet.runs()
        if run.task.job_id == job.job_id and run.task.position == position
    ]


LOST = (
    ('its repetition is answered', 1),
    ('it is given up and stopped', 3),
)


@pytest.mark.parametrize(
    'lost', [row[1] for row in LOST], ids=[row[0] for row in LOST]
)
def test_late_start_after_a_crash_does_not_run_a_task_twice(
    *, late_starts, lost
):
    """Guards against a late start of a run that was lost with its worker."""

    async def scenario():
        async with running_fleet(workers=2, run_ms=RUN_MS) as fleet:
            worker = fleet.workers['w0']
            worker.faults.lose_starts = lost
            job = make_job(make_group(1, estimate_ms=RUN_MS))
            await fleet.submit(job)
            await wait_for(
                lambda: runs_of(fleet, job, 0), 'a start that is answered'
            )
            crash_under_same_id(worker)
            await wait_for(lambda: not worker.down, 'the restart')
            await wait_for(
                lambda: any(
                    run.run > late_starts[0].run and run.ended_at is None
                    for run in runs_of(fleet, job, 0)
                ),
                'the next run',
            )
            await curio.sleep(0.1)
            worker.start(late_starts[0])
            await curio.sleep(0.1)
            check_runs(fleet, [job])

    curio.run(scenario, taskcls=curio.task.ContextTask)


def leave(worker, fleet):
    """Crash a worker that is back under another id, and takes no tasks."""

    def restarted(_worker, former):
        fleet.unregister(former)
        fleet.register(
            worker.worker_id,
            address=f'{former}:1',
            born_ms=worker.incarnation,
            draining=True,
        )

    worker.restarted = restarted
    worker.faults.down_ms = Millis(20)
    worker.crash()


def test_late_start_after_a_crash_keeps_the_limit_of_a_group_per_worker(
    late_starts,
):
    """Guards against a late start beside another task of its group.

    The task of the late start waits, because the other one took its place.
    """

    async def scenario():
        async with running_fleet(workers=2, run_ms=RUN_MS) as fleet:
            first, second = fleet.workers['w0'], fleet.workers['w1']
            second.faults.lose_starts = 1
            job = make_job(make_group(2, max_per_worker=1, estimate_ms=RUN_MS))
            await fleet.submit(job)
            await wait_for(
                lambda: first.running and second.running, 'both runs'
            )
            assert [order.task.position for order in late_starts] == [1]
            await curio.sleep(OLDER_THAN_DOUBT_S)
            leave(first, fleet)
            await wait_for(lambda: not first.down, 'the restart')
            await curio.sleep(OLDER_THAN_DOUBT_S)
            crash_under_same_id(second)
            await wait_for(
                lambda: [run.task.position for run in second.running] == [0],
                'the other task at the second worker',
            )
            second.start(late_starts[0])
            beside = [run.task.position for run in second.running]
            assert beside == [0], f'{beside} run there, and one may'

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_late_start_of_a_task_that_waits_is_known_to_the_leader(late_starts):
    """Guards against a run that no leader counts and none stops."""

    async def scenario():
        async with running_fleet(workers=1, run_ms=RUN_MS) as fleet:
            worker = fleet.workers['w0']
            worker.faults.lose_starts = 1
            job = make_job(make_group(1, estimate_ms=RUN_MS))
            await fleet.submit(job)
            await wait_for(lambda: worker.running, 'a run')
            fleet.register('w0', born_ms=worker.incarnation, draining=True)
            worker.restarted = lambda _worker, _former: None
            await curio.sleep(OLDER_THAN_DOUBT_S)
            crash_under_same_id(worker)
            await wait_for(lambda: not worker.down, 'the restart')
            await curio.sleep(1)
            worker.start(late_starts[0])
            await curio.sleep(OLDER_THAN_DOUBT_S)
            fleet.register('w0', born_ms=worker.incarnation)
            await curio.sleep(1)
            active = [
                run.run
                for run in runs_of(fleet, job, 0)
                if run.ended_at is None
            ]
            assert len(active) <= 1, f'runs {active} of one task'

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_no_start_follows_the_noted_end_of_a_late_run(late_starts):
    """Guards against a task that starts after an end `done` is noted."""

    async def scenario():
        async with running_fleet(workers=2, run_ms=Millis(100)) as fleet:
            await start_late_run(fleet, late_starts)
            await wait_for(
                lambda: fleet.workers['w1'].history, 'the next run', 2
            )
            done_at = [
                run.ended_at
                for run in fleet.workers['w0'].history
                if run.kind is EndKind.DONE and run.noted
            ]
            for run in fleet.workers['w1'].history:
                assert not done_at or run.started_at <= done_at[0], (
                    f'run {run.run} starts {run.started_at - done_at[0]} ms'
                    ' after a noted end'
                )

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_noted_failures_of_late_runs_count_as_attempts(late_starts):
    """Guards against more attempts than allowed beside a late run."""

    async def scenario():
        async with running_fleet(workers=2, run_ms=Millis(100)) as fleet:
            for worker in fleet.workers.values():
                worker.faults.fail_all = True
            job = await start_late_run(fleet, late_starts)
            await fleet.wait_state([job.job_id], JobState.FAILED)
            await curio.sleep(0.2)
            failed = [
                run
                for run in runs_of(fleet, job, 0)
                if run.kind is EndKind.FAILED and run.noted
            ]
            assert len(failed) <= QUEUE.max_attempts, (
                f'{len(failed)} noted failures, {QUEUE.max_attempts} allowed'
            )

    curio.run(scenario, taskcls=curio.task.ContextTask)


async def start_late_run(fleet, late_starts):
    """Start a former run at `w0` while the next one is ordered at `w1`.

    The orders of the next run are lost.
    """
    first, second = fleet.workers['w0'], fleet.workers['w1']
    first.faults.lose_starts = 1
    second.faults.lose_starts = 3
    second.faults.late_ms = None
    job = make_job(make_group(1))
    await fleet.submit(job)
    await wait_for(lambda: first.running, 'a run')
    leave_under_same_id(first, fleet)
    await wait_for(lambda: second.faults.lose_starts < 3, 'the next start')
    first.start(late_starts[0])
    return job


def leave_under_same_id(worker, fleet):
    """Crash a worker that is back under its id, and takes no tasks."""

    def restarted(_worker, former):
        fleet.register(former, born_ms=worker.incarnation, draining=True)

    worker.restarted = restarted
    crash_under_same_id(worker)
