"""What a leader does when its scheduler fails."""

import curio

from jayshore.fleet.rounds import RoundPlanner
from tests.memory_fleet_test import COMPLETED, make_job, running_fleet


def test_failed_scheduler_gives_the_leadership_up(monkeypatch):
    """Guards against a leader that renews its lease and does nothing else."""
    decide = RoundPlanner.decide
    failures = [True]

    def fail_once(self, **inputs):
        if failures:
            failures.pop()
            raise ZeroDivisionError('a fault in a decision')
        return decide(self, **inputs)

    async def scenario():
        async with running_fleet() as fleet:
            leader = fleet.leading()
            leader.leading = await curio.spawn(lead_again, leader, daemon=True)
            monkeypatch.setattr(RoundPlanner, 'decide', fail_once)
            job = make_job()
            await fleet.submit(job)
            await fleet.wait_state([job.job_id], COMPLETED)

    async def lead_again(instance):
        await instance.leader_role.wait_fenced()
        await instance._tasks.pop().cancel()
        await instance.leadership.resign()
        task = await curio.spawn(instance.leadership.run, daemon=True)
        instance._tasks.append(task)

    curio.run(scenario, taskcls=curio.task.ContextTask)
