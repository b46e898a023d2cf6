"""Deployments in memory: a leader with a backlog and a full fleet."""

import sys

import curio
from curio.kernel import Activation

from jayshore.clock import Millis
from jayshore.fleet.recordkeys import job_key
from jayshore.fleet.records import encode_job
from jayshore.resources import Resources
from tests.memory_fleet_test import (
    CONFIG,
    Fleet,
    make_group,
    make_job,
    wait_for,
)

JOBS = 5000
WORKERS = 24
ROUNDS = 12
MAX_WAIT_S = 120
MAX_CALLS = 80_000
"""Function calls that one task may make before others run.

Counted instead of time, so that the result does not depend on the machine. A
call takes about 0.2 us on average, so that this is about 20 ms.
"""


class CallCounter(Activation):
    """Counts the function calls between two turns of the event loop."""

    def __init__(self):
        self.count = 0
        self.most = (0, '')

    def running(self, task):
        self.count = 0

    def suspended(self, task, trap):
        self.most = max(self.most, (self.count, str(task)))

    def profile(self, frame, event, argument):
        if event == 'call':
            self.count += 1


def test_leader_with_a_backlog_keeps_the_event_loop_free():
    """Guards against a leader that is deposed because it places work.

    A round over 1,700 waiting groups took 0.35 to 0.98 s on the leader, so that
    its leadership, renewed every 0.67 s, expired after 2 s.
    """
    counter = CallCounter()

    async def scenario():
        fleet = Fleet(run_ms=Millis(30_000), config=CONFIG)
        for number in range(WORKERS):
            fleet.add_worker(f'w{number}')
        for number in range(JOBS):
            job = make_job(
                make_group(
                    3 + number % 23,
                    gang=number % 3 == 0,
                    need=Resources(cpu_millis=900 + number % 200, memory_mb=9),
                )
            )
            fleet.store.write(job_key(job.job_id), encode_job(job))
        sys.setprofile(counter.profile)
        counter.most = (0, '')
        await fleet.add_instance('i0')
        await wait_for(fleet.leading, 'a leader', MAX_WAIT_S)
        leader = fleet.leading()
        metrics = leader.leader_role._metrics

        def rounds():
            sample = metrics.render().decode().split('round_seconds_count ')
            return float(sample[1].split()[0])

        await wait_for(lambda: rounds() >= ROUNDS, 'rounds', MAX_WAIT_S)
        sys.setprofile(None)
        await leader.kill()

    try:
        curio.run(
            scenario, taskcls=curio.task.ContextTask, activations=[counter]
        )
    finally:
        sys.setprofile(None)
    calls, task = counter.most
    assert calls <= MAX_CALLS, f'{calls} calls without a turn of others: {task}'
