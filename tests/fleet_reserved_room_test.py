"""Deployments in memory: room of runs that were recorded and never arrived.

The leader is lost after it has recorded a placement and before a worker gets
the order; the job is cancelled before the next leader calls any worker.
"""

import curio
import pytest

from jayshore.fleet.phases import JobState
from jayshore.fleet.recordkeys import cancel_key, progress_key
from jayshore.fleet.records import decode_progress
from tests.fleet_checks_test import check_runs
from tests.memory_fleet_test import (
    COMPLETED,
    make_group,
    make_job,
    running_fleet,
    wait_for,
)

MAX_WAIT_S = 3
"""Work that can start has to start within this time."""


def _make_idle(worker):
    """Leave the worker as it is."""


def _reboot(worker):
    worker.reboot()


def _lose_stops(worker):
    worker.faults.lose_stops = 2


def _refuse_for_a_while(worker):
    worker.faults.refused = True


def _is_placed(fleet, job):
    """Return whether the placement of a job is recorded."""
    key = progress_key(job.job_id)
    text = fleet.store.values(key).get(key)
    return text is not None and bool(decode_progress(text).tasks)


MEANWHILE = (
    ('nothing else', _make_idle),
    ('the worker is back under its id', _reboot),
    ('answers of stops are lost', _lose_stops),
    ('the worker is cut off', _refuse_for_a_while),
)
GROUPS = (('plain tasks', {}), ('a gang', {'gang': True}))


@pytest.mark.parametrize(
    'happen', [row[1] for row in MEANWHILE], ids=[row[0] for row in MEANWHILE]
)
@pytest.mark.parametrize(
    'fields', [row[1] for row in GROUPS], ids=[row[0] for row in GROUPS]
)
def test_cancelled_job_frees_the_room_of_runs_that_never_arrived(
    happen, fields
):
    """Guards against a workspace that is blocked after a lost leader."""

    async def scenario():
        async with running_fleet(workers=1) as fleet:
            worker = fleet.workers['w0']
            worker.faults.lose_starts = 100
            worker.faults.late_ms = None
            job = make_job(make_group(4, **fields))
            await fleet.submit(job)
            await wait_for(lambda: _is_placed(fleet, job), 'a placement')
            await fleet.leading().kill()
            fleet.store.write(cancel_key(job.job_id), '1')
            happen(worker)
            worker.faults.lose_starts = 0
            await fleet.add_instance('n0')
            await fleet.wait_leader()
            await curio.sleep(0.3)
            worker.faults.refused = False
            following = make_job(make_group(4))
            ids = await fleet.submit(following)
            await fleet.wait_state(ids, COMPLETED, MAX_WAIT_S)
            assert await fleet.state(job.job_id) is JobState.CANCELLED
            check_runs(fleet, [job, following])

    curio.run(scenario, taskcls=curio.task.ContextTask)
