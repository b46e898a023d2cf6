"""Deployments in memory whose workers list their ends in parts."""

import curio
import pytest

from jayshore.clock import Millis
from tests.fleet_checks_test import check_runs
from tests.memory_fleet_test import (
    COMPLETED,
    make_group,
    make_job,
    running_fleet,
    wait_for,
)

TASKS = 4
LISTED_ENDS = 2
RUN_MS = Millis(400)


async def _cut_off(fleet):
    """Cut the worker off while its runs end."""
    worker = fleet.workers['w0']
    worker.faults.silent = True
    await wait_for(lambda: not worker.running, 'the end of all runs')
    worker.faults.silent = False


async def _lose_leader(fleet):
    """Lose the leader, so that the next one takes the ends over."""
    await fleet.leading().kill()
    await fleet.add_instance('n0')


async def _delay_records(fleet):
    """Let no end be recorded for a while after the worker is back."""
    await _cut_off(fleet)
    fleet.store.faults.down = True
    await curio.sleep(0.3)
    fleet.store.faults.down = False


EVENTS = (
    ('the worker is cut off', _cut_off),
    ('the leader is lost', _lose_leader),
    ('ends are recorded late', _delay_records),
)
GROUPS = (
    ('plain tasks', make_group(TASKS)),
    ('two groups', make_group(TASKS // 2), make_group(TASKS // 2)),
)


@pytest.mark.parametrize(
    'happen', [row[1] for row in EVENTS], ids=[row[0] for row in EVENTS]
)
@pytest.mark.parametrize(
    'groups', [row[1:] for row in GROUPS], ids=[row[0] for row in GROUPS]
)
def test_ends_that_a_worker_has_yet_to_list_are_not_run_again(groups, happen):
    """Guards against tasks that run again since a reply lists some ends."""

    async def scenario():
        async with running_fleet(workers=1, run_ms=RUN_MS) as fleet:
            worker = fleet.workers['w0']
            worker.faults.listed_ends = LISTED_ENDS
            job = make_job(*groups)
            ids = await fleet.submit(job)
            await wait_for(lambda: len(worker.running) == TASKS, 'all runs')
            await happen(fleet)
            await fleet.wait_state(ids, COMPLETED)
            check_runs(fleet, [job])
            assert len(fleet.runs()) == TASKS

    curio.run(scenario, taskcls=curio.task.ContextTask)
