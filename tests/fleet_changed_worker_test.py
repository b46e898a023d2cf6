"""Deployments in memory: workers that change after a task was placed.

A worker is back under its id with other labels, and its registration follows;
or it is about to leave.
"""

import curio
import pytest

from jayshore.clock import Millis
from tests.memory_fleet_test import (
    make_group,
    make_job,
    running_fleet,
    wait_for,
)

LATER = frozenset(('b', 'r1'))


def restart_as_other_kind(worker, fleet, *, registered_after_s):
    """Crash a worker that is back under its id with other labels."""

    async def register(worker_id):
        await curio.sleep(registered_after_s)
        fleet.register(worker_id, born_ms=worker.incarnation, labels=LATER)

    restarts = []
    worker.restarted = lambda _worker, former: restarts.append(former)
    worker.faults.new_id = False
    worker.faults.down_ms = Millis(50)
    worker.crash()
    return register, restarts


async def place_beside_slow_store(fleet, job):
    """Wait until a job is placed; recording that takes a while."""
    worker = fleet.workers['w0']
    await wait_for(lambda: worker._fence, 'a first renewal')
    ledger = fleet.leading().leader_role.scheduler._ledger
    fleet.store.faults.answer_ms = Millis(250)
    await fleet.submit(job)
    await wait_for(ledger.workers, 'a placement')


@pytest.mark.parametrize('registered_after_s', [0.3, 0.6])
def test_former_labels_of_a_restarted_worker_are_not_used(registered_after_s):
    """Guards against a start at a worker without the required label."""

    async def scenario():
        async with running_fleet(workers=1) as fleet:
            worker = fleet.workers['w0']
            await wait_for(lambda: worker._fence, 'a first renewal')
            register, _ = restart_as_other_kind(
                worker, fleet, registered_after_s=registered_after_s
            )
            await wait_for(
                lambda: not worker.down and worker._fence, 'a renewal'
            )
            await fleet.submit(make_job(make_group(1, required_label='a')))
            await register('w0')
            await curio.sleep(0.2)
            assert not worker.history, 'started without the required label'

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_start_that_is_recorded_before_a_restart_is_not_sent_after_it():
    """Guards against a start for which the former labels were checked."""

    async def scenario():
        async with running_fleet(workers=1) as fleet:
            worker = fleet.workers['w0']
            await place_beside_slow_store(
                fleet, make_job(make_group(1, required_label='a'))
            )
            register, _ = restart_as_other_kind(
                worker, fleet, registered_after_s=0
            )
            await wait_for(lambda: not worker.down, 'a restart')
            await register('w0')
            await curio.sleep(1)
            assert not worker.history, 'started without the required label'

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_start_that_is_recorded_before_a_drain_is_not_sent_after_it():
    """Guards against starts at a worker that is known to leave."""

    async def scenario():
        async with running_fleet(workers=1) as fleet:
            worker = fleet.workers['w0']
            await place_beside_slow_store(fleet, make_job())
            fleet.register('w0', born_ms=worker.incarnation, draining=True)
            await curio.sleep(1)
            assert not worker.history, 'started at a worker that leaves'

    curio.run(scenario, taskcls=curio.task.ContextTask)
