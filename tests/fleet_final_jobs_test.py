"""Deployments in memory: runs of jobs that are final when a leader takes over.

The former leader was lost before it stopped the runs. The next leader knows
of them from the records and from the workers, and has to stop them.
"""

import curio
import msgspec
import pytest

from jayshore.clock import Millis
from jayshore.fleet.phases import JobState
from jayshore.fleet.recordkeys import cancel_key, progress_key
from jayshore.fleet.records import decode_progress
from tests.memory_fleet_test import (
    make_group,
    make_job,
    running_fleet,
    wait_for,
)

STOP_LIMIT_S = 3
"""Bound on the time until a cancelled job's runs are stopped."""


def run_scenario(scenario):
    """Run a scenario in a new curio kernel."""
    curio.run(scenario, taskcls=curio.task.ContextTask)


def store_cancellation(fleet, job):
    """Cancel between the two leaders; no record says so yet."""
    fleet.store.write(cancel_key(job.job_id), '1')


def rewrite_state(state):
    """Make a former leader record a final state without a stop."""

    def rewrite(fleet, job):
        key = progress_key(job.job_id)
        record = decode_progress(fleet.store.values(key)[key])
        changed = {'state': state, 'tasks': record.tasks}
        fleet.store.write(key, msgspec.json.encode(changed).decode())
        if state is JobState.CANCELLED:
            store_cancellation(fleet, job)

    return rewrite


def make_idle(fleet):
    """Leave every worker as it is."""


def silence_one(fleet):
    """Make a worker silent until well after the takeover."""
    faults = fleet.workers['w0'].faults
    faults.silent = True
    return faults


def lose_stops(fleet):
    """Lose the answers of the first stops at each worker."""
    for worker in fleet.workers.values():
        worker.faults.lose_stops = 2


@pytest.mark.parametrize('group', [{}, {'gang': True}, {'long_running': True}])
@pytest.mark.parametrize('trouble', [make_idle, silence_one, lose_stops])
@pytest.mark.parametrize(
    'finalise',
    [
        store_cancellation,
        rewrite_state(JobState.CANCELLED),
        rewrite_state(JobState.FAILED),
    ],
)
def test_next_leader_stops_runs_of_final_jobs(finalise, trouble, group):
    """Guards against runs of a final job that go on under the next leader.

    A stop that was ordered before the worker's session existed was dropped,
    and the renewals of the lease kept the runs going.
    """

    async def scenario():
        async with running_fleet(run_ms=Millis(60_000)) as fleet:
            job = make_job(make_group(5, **group))
            await fleet.submit(job)
            await wait_for(lambda: len(fleet.runs()) == 5, 'runs')
            await curio.sleep(0.1)
            await fleet.instances.pop('i0').kill()
            finalise(fleet, job)
            faults = trouble(fleet)
            await fleet.add_instance('i1')
            await fleet.wait_leader()
            if faults is not None:
                await curio.sleep(0.3)
                faults.silent = False
            await wait_for(
                lambda: not any(w.running for w in fleet.workers.values()),
                'nothing runs',
                STOP_LIMIT_S,
            )
            assert len(fleet.runs()) == 5

    run_scenario(scenario)
