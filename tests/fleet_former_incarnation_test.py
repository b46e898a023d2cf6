"""Deployments in memory whose store still lists workers that have crashed."""

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

RUN_MS = Millis(1200)
ADDRESS = 'w0:1'


def keep_former_registration(fleet, later_id):
    """Bring `w0` back under another id beside its former registration."""
    worker = fleet.workers['w0']

    def restarted(_worker, _former):
        worker.worker_id = later_id
        fleet.register(later_id, address=ADDRESS, born_ms=worker.incarnation)

    worker.restarted = restarted
    worker.faults.down_ms = Millis(50)
    return worker


LATER_IDS = (
    ('the former incarnation is listed first', 'w0~2'),
    ('the former incarnation is listed last', 'v0'),
)
GROUPS = (
    ('plain tasks', {}),
    ('a gang', {'gang': True}),
    ('spread tasks', {'max_per_worker': 2}),
)


@pytest.mark.parametrize(
    'later_id', [row[1] for row in LATER_IDS], ids=[row[0] for row in LATER_IDS]
)
@pytest.mark.parametrize(
    'fields', [row[1] for row in GROUPS], ids=[row[0] for row in GROUPS]
)
def test_new_leader_keeps_the_runs_of_a_worker_that_crashed_before(
    later_id, fields
):
    """Guards against runs that start twice when a leader follows a crash."""

    async def scenario():
        async with running_fleet(
            instances=2, workers=3, run_ms=RUN_MS
        ) as fleet:
            worker = keep_former_registration(fleet, later_id)
            worker.crash()
            await wait_for(lambda: worker.worker_id == later_id, 'a restart')
            job = make_job(make_group(6, **fields))
            ids = await fleet.submit(job)
            await wait_for(lambda: len(fleet.runs()) == 6, 'all runs')
            assert worker.running
            await fleet.leading().kill()
            await fleet.wait_state(ids, COMPLETED)
            check_runs(fleet, [job])
            assert len(fleet.runs()) == 6

    curio.run(scenario, taskcls=curio.task.ContextTask)
