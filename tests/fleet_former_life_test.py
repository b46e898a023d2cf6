"""Deployments in memory: what was granted and noted in a worker's former life.

A worker is back under its id after a crash; its clock and the numbers of its
ends start anew, and the leader learns of it with the next answer.
"""

import curio
import pytest

from jayshore.clock import Millis, to_seconds
from jayshore.fleet import leasing, sessions
from jayshore.fleet.interfaces import EndKind
from standins.memoryworker import MemoryWorker
from standins.memoryworkerclient import MemoryWorkerClient
from tests.memory_fleet_test import (
    COMPLETED,
    make_group,
    make_job,
    running_fleet,
    wait_for,
)

ENDS_BEFORE = 4
MAX_LEASE_MS = Millis(1500)
LEASE_MS = Millis(600)
RUN_MS = Millis(2500)


def test_end_in_a_later_life_is_not_noted_unseen(monkeypatch):
    """Guards against a task that runs again after an end `done` is noted."""
    held = []

    async def hold(client, order, _delay):
        held.append(order)

    monkeypatch.setattr(MemoryWorkerClient, '_start_late', hold)

    async def scenario():
        async with running_fleet(workers=1, run_ms=Millis(30)) as fleet:
            worker = fleet.workers['w0']
            ids = await fleet.submit(make_job(make_group(ENDS_BEFORE)))
            await fleet.wait_state(ids, COMPLETED)
            worker.faults.lose_starts = 1
            job = make_job(make_group(1))
            await fleet.submit(job)
            await wait_for(lambda: held, 'a start without an answer')
            worker.faults.new_id = False
            worker.faults.down_ms = Millis(20)
            worker.faults.refused = True
            worker.crash()
            await wait_for(lambda: not worker.down, 'the restart')
            worker.start(held[0])
            await wait_for(lambda: not worker.running, 'the end')
            worker.faults.refused = False
            await fleet.wait_state([job.job_id], COMPLETED)
            runs = [run for run in worker.history if run.task[0] == job.job_id]
            noted = [
                run.ended_at
                for run in runs
                if run.kind is EndKind.DONE and run.noted
            ]
            for run in runs:
                assert not noted or run.started_at <= noted[0], (
                    f'run {run.run} starts {run.started_at - noted[0]} ms'
                    ' after a noted end'
                )

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_end_of_a_start_in_time_is_not_noted_unseen():
    """Guards against a task that runs again after an end `done` is noted.

    Its start reaches the later life before the leader's first renewal.
    """

    async def scenario():
        async with running_fleet(workers=1, run_ms=Millis(30)) as fleet:
            worker = fleet.workers['w0']
            ids = await fleet.submit(make_job(make_group(ENDS_BEFORE)))
            await fleet.wait_state(ids, COMPLETED)
            ledger = fleet.leading().leader_role.scheduler._ledger
            fleet.store.faults.answer_ms = Millis(50)
            job = make_job(make_group(1))
            await fleet.submit(job)
            await wait_for(ledger.workers, 'a placement')
            worker.faults.new_id = False
            worker.faults.down_ms = Millis(10)
            worker.crash()
            await fleet.wait_state([job.job_id], COMPLETED)
            runs = [run for run in worker.history if run.task[0] == job.job_id]
            assert len(runs) == 1, f'{len(runs)} runs, the first one is done'

    curio.run(scenario, taskcls=curio.task.ContextTask)


@pytest.fixture(name='_capped_leases')
def cap_leases(monkeypatch):
    """Let workers shorten leases to the longest one that they accept."""
    extend = MemoryWorker._extend_lease

    def extend_capped(worker, until):
        extend(worker, min(until, worker.clock_ms + MAX_LEASE_MS))

    monkeypatch.setattr(MemoryWorker, '_extend_lease', extend_capped)
    monkeypatch.setattr(leasing, 'LEASE_MS', LEASE_MS)
    monkeypatch.setattr(leasing, 'MAX_LEASE_MS', MAX_LEASE_MS)
    monkeypatch.setattr(sessions, 'WAIT_MS', Millis(100))


def test_run_is_not_given_up_while_a_lease_of_its_worker_lasts(_capped_leases):
    """Guards against leases that outlast what the leader has granted.

    The first renewal that reaches a later life names a time on the clock of
    the former one.
    """

    async def scenario():
        async with running_fleet(workers=2, run_ms=RUN_MS) as fleet:
            worker = fleet.workers['w0']
            await curio.sleep(2)
            worker.faults.new_id = False
            worker.faults.down_ms = Millis(50)
            worker.crash()
            job = make_job(make_group(2, max_per_worker=1, estimate_ms=RUN_MS))
            await wait_for(lambda: not worker.down, 'the restart')
            await fleet.submit(job)
            await wait_for(lambda: worker.running, 'a run')
            worker.faults.silent = True
            (run,) = worker.running
            fleet.add_worker('w2')
            await wait_for(
                lambda: fleet.workers['w2'].history, 'the next run', 4
            )
            (following,) = fleet.workers['w2'].history
            assert following.task == run.task
            assert not worker.running, (
                f'runs {run.run} and {following.run} of one task'
            )

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_limit_per_worker_holds_beside_runs_that_were_given_up(
    _capped_leases, monkeypatch
):
    """Guards against more tasks of a group on a worker that was silent.

    Its runs have been given up, and what it stops takes a while to end.
    """

    async def scenario():
        async with running_fleet(workers=2, run_ms=RUN_MS) as fleet:
            worker = fleet.workers['w0']
            await curio.sleep(2)
            worker.faults.new_id = False
            worker.faults.down_ms = Millis(50)
            worker.crash()
            await wait_for(lambda: not worker.down, 'the restart')
            job = make_job(make_group(4, max_per_worker=1, estimate_ms=RUN_MS))
            await fleet.submit(job)
            await wait_for(lambda: worker.running, 'a run')
            worker.faults.silent = True
            monkeypatch.setattr(worker, 'stop', lambda *_order: True)
            fleet.add_worker('w2')
            ledger = fleet.leading().leader_role.scheduler._ledger
            await wait_for(lambda: not ledger.tasks_at('w0'), 'a lost run', 4)
            fleet.add_worker('w3')
            await wait_for(lambda: fleet.workers['w3'].history, 'the next run')
            worker.faults.silent = False
            await wait_for(
                lambda: any(run.task.position == 3 for run, _ in fleet.runs()),
                'the last task',
            )
            beside = [run.task.position for run in worker.running]
            assert len(beside) <= 1, f'{beside} run there, and one may'

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_lease_that_a_late_start_extends_is_waited_for(
    _capped_leases, monkeypatch
):
    """Guards against runs that are given up while their lease lasts.

    A start with a time on the clock of a former life is refused as old, and
    extends the lease all the same.
    """
    held = []

    async def hold(client, order, _delay):
        held.append(order)

    monkeypatch.setattr(MemoryWorkerClient, '_start_late', hold)

    async def scenario():
        async with running_fleet(workers=1, run_ms=RUN_MS) as fleet:
            worker = fleet.workers['w0']
            await curio.sleep(2)
            worker.faults.lose_starts = 1
            job = make_job(make_group(1, estimate_ms=RUN_MS))
            await fleet.submit(job)
            await wait_for(lambda: worker.running, 'a run')
            worker.faults.new_id = False
            worker.faults.down_ms = Millis(50)
            worker.crash()
            await wait_for(lambda: not worker.down, 'the restart')
            await wait_for(lambda: worker.running, 'the next run', 4)
            await curio.sleep(to_seconds(MAX_LEASE_MS))
            worker.start(held[0])
            worker.faults.silent = True
            other = fleet.add_worker('w1')
            await wait_for(lambda: not worker.running, 'the end of the lease')
            early = [run.run for run in other.history]
            assert not early, f'run {early} starts while the former one lasts'

    curio.run(scenario, taskcls=curio.task.ContextTask)
