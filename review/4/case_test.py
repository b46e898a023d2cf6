"""A cancellation during a change of leader blocks its tenant for good."""

import asyncio
import pathlib
import signal

import harness_test as harness

FIRST = 'a4a4a4a4a4a4a4a4'
SECOND = 'b4b4b4b4b4b4b4b4'
MAXIMUM = 8000
STEPS = [{'Count': 2, 'Cpu': 4000, 'MemMb': 1024, 'EstMs': 500}]
# finish_s, and the 3 s in which a submission has nothing running.
LIMIT_S = 14 + 3


async def scenario(case):
    case.tenants[0]['Maximum'] = {'Cpu': MAXIMUM, 'MemMb': 0, 'Gpu': 0}
    await case.open(executors=4, instances=3)
    killed = []

    def kill_leader(puts):
        """Kill the process that has just written under a condition."""
        if f'jobs/run/{FIRST}' in puts and not killed:
            leader = case.leader()
            killed.append(leader)
            leader.send(signal.SIGKILL)

    if harness.TROUBLE:
        case.store.on_write = kill_leader
    await case.submit(FIRST, STEPS, {'ms': 60000}, at=_follower(case))
    if harness.TROUBLE:
        if not await case.wait_for(lambda: killed, 5):
            raise harness.CannotRun('the leader placed nothing')
        case.store.on_write = None
    else:
        await case.wait_for(lambda: len(case.runs(FIRST)) == 2, 5)
    case.record.add(f'runs of {FIRST}: {len(case.runs(FIRST))}')
    status, _ = await case.send(
        'DELETE', f'/plan/{FIRST}', at=_follower(case, killed)
    )
    if status != 200:
        raise harness.CannotRun('the cancellation is not acknowledged')
    if killed:
        await asyncio.sleep(1)
        await killed[0].start()
    await case.wait_ready()
    await case.get(f'/plan/{FIRST}')
    await case.submit(SECOND, STEPS, {'ms': 500})
    started = await case.wait_for(lambda: case.runs(SECOND), LIMIT_S)
    await case.get(f'/plan/{SECOND}')
    running = [str(run) for run in case.runs() if run.ended_at is None]
    case.record.add(f'runs that are active at any executor: {running}')
    if started:
        case.record.add('verdict: the second submission started')
        return harness.HELD
    case.record.add(
        f'verdict: LOST, {SECOND} did not start in {LIMIT_S} s, though its'
        ' tenant has nothing running'
    )
    return harness.BROKEN


def _follower(case, dead=()):
    for instance in case.instances:
        if instance is not case.leader() and instance not in dead:
            return instance
    raise harness.CannotRun('no follower')


if __name__ == '__main__':
    harness.play(pathlib.Path(__file__).parent, scenario)
