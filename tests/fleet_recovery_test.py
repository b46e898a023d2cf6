"""Deployments in memory: recovery from any records and any inventories.

A leader is lost between any two of its writes and orders. Whatever its records
say of a final job, and whatever the workers run, the next leader must leave no
task of that job running.
"""

import dataclasses

import curio
import hypothesis
import msgspec
from hypothesis import strategies as st

from jayshore.clock import Millis
from jayshore.fleet.interfaces import StartOrder
from jayshore.fleet.model import TaskId
from jayshore.fleet.phases import JobState
from jayshore.fleet.recordkeys import cancel_key, job_key, progress_key
from jayshore.fleet.records import encode_job
from tests.memory_fleet_test import Fleet, make_group, make_job, wait_for

STOP_LIMIT_S = 3
LEASE_MS = 8000
WORKERS = ('w0', 'w1')


@dataclasses.dataclass(frozen=True)
class Task:
    """A task as the records and the workers know it.

    Attributes:
        phase: recorded phase, None for no record.
        recorded_at: recorded worker of a placed task.
        run: recorded number of the run.
        running_at: worker that runs it, None for none.
        running: number of the run there.
    """

    phase: str | None
    recorded_at: str
    run: int
    running_at: str | None
    running: int


tasks = st.builds(
    Task,
    phase=st.sampled_from((None, 'p', 'p', 'w', 'd')),
    recorded_at=st.sampled_from((*WORKERS, 'w9')),
    run=st.integers(1, 3),
    running_at=st.sampled_from((None, *WORKERS)),
    running=st.integers(1, 3),
)


def write_records(fleet, job, state, known, cancelled):
    """Write what the former leader and the instances have stored."""
    rows = [
        (
            0,
            0,
            number,
            task.phase,
            task.run,
            task.recorded_at if task.phase == 'p' else '',
            0,
            '',
        )
        for number, task in enumerate(known)
        if task.phase is not None
    ]
    record = msgspec.json.encode({'state': state, 'tasks': rows}).decode()
    fleet.store.write(job_key(job.job_id), encode_job(job))
    fleet.store.write(progress_key(job.job_id), record)
    if cancelled:
        fleet.store.write(cancel_key(job.job_id), '{}')


def start_runs(fleet, job, known):
    """Start runs at the workers, as the former leader has ordered."""
    for number, task in enumerate(known):
        if task.running_at is None:
            continue
        worker = fleet.workers[task.running_at]
        worker.start(
            StartOrder(
                task=TaskId(job.job_id, 0, 0, number),
                run=task.running,
                payload=job.payload,
                lease_until_ms=worker.clock_ms + LEASE_MS,
                fence=1,
            )
        )


@hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
@hypothesis.given(
    known=st.lists(tasks, min_size=1, max_size=4),
    state=st.sampled_from(
        (JobState.RUNNING, JobState.CANCELLED, JobState.FAILED)
    ),
    shape=st.sampled_from(({}, {'gang': True}, {'long_running': True})),
    late_worker=st.booleans(),
)
def test_no_task_of_a_final_job_is_left_running(
    known, state, shape, late_worker
):
    """Guards against runs that no leader stops after a change of leader."""

    async def scenario():
        fleet = Fleet(run_ms=Millis(60_000))
        for name in WORKERS:
            fleet.add_worker(name)
        job = make_job(make_group(len(known), **shape))
        write_records(fleet, job, state, known, state is not JobState.FAILED)
        start_runs(fleet, job, known)
        if late_worker:
            fleet.unregister('w1')
        instance = await fleet.add_instance('i0')
        await fleet.wait_leader()
        if late_worker:
            await curio.sleep(0.1)
            fleet.register('w1')
        try:
            await wait_for(
                lambda: not any(w.running for w in fleet.workers.values()),
                f'nothing runs of {known}',
                STOP_LIMIT_S,
            )
        finally:
            await instance.kill()

    curio.run(scenario)
