"""Deployments in memory: workers that run what the leader does not expect."""

import curio

from jayshore.clock import Millis
from jayshore.fleet.interfaces import StartOrder
from jayshore.fleet.model import TaskId
from tests.memory_fleet_test import (
    make_group,
    make_job,
    running_fleet,
    wait_for,
)


def test_unexpected_run_counts_for_the_limit_of_its_group_per_worker():
    """Guards against starts beside a run of the group that is being stopped."""
    job = make_job(make_group(3, max_per_worker=1))

    async def scenario():
        async with running_fleet(
            workers=2,
            run_ms=lambda task: Millis(400 if task.position else 8000),
        ) as fleet:
            await fleet.submit(job)
            await wait_for(
                lambda: all(
                    worker.running for worker in fleet.workers.values()
                ),
                'a task at each worker',
            )
            (worker,) = [
                candidate
                for candidate in fleet.workers.values()
                if candidate.running[0].task.position
            ]
            worker.faults.stop_ms = Millis(900)
            worker.start(
                StartOrder(
                    task=TaskId(job.job_id, 0, 0, 0),
                    run=1,
                    payload=job.payload,
                    lease_until_ms=worker.clock_ms + 900,
                    fence=worker._fence,
                    checkpoint='',
                    ticket='',
                )
            )
            unexpected = worker.history[-1]
            await wait_for(lambda: len(worker.history) == 3, 'the last task')
            started = worker.history[-1]
            assert started.task.position
            assert unexpected.ended_at is not None
            assert started.started_at >= unexpected.ended_at

    curio.run(scenario, taskcls=curio.task.ContextTask)
