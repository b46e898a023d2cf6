"""A leader is restarted shortly after a worker has crashed and come back."""

import asyncio
import pathlib
import signal

import harness_test as harness

JOB = 'a1a1a1a1a1a1a1a1'
SHORT = 'b1b1b1b1b1b1b1b1'
WORKERS = 16
CRASHED = (7, 8)
DOWN_S = 1.0
GRACE_S = 6.0
STEP = {'Cpu': 9000, 'MemMb': 512, 'EstMs': 6000}


async def scenario(case):
    await case.open(executors=WORKERS, instances=3)
    if harness.TROUBLE:
        victims = [case.executors[number] for number in CRASHED]
        for worker in victims:
            await worker.crash()
        await asyncio.sleep(DOWN_S)
        for worker in victims:
            # The next life has an id of its own, at the same address.
            worker.worker_id = f'{worker.name}-2'
            await worker.start()
    await asyncio.sleep(0.4)
    # The first workers and the last ones are empty at the change of leader.
    await submit(case, SHORT, 3, 300)
    await submit(case, JOB, 8, 6000)
    await asyncio.sleep(0.4)
    leader = case.leader()
    leader.send(signal.SIGTERM)
    if not await case.wait_for(lambda: not leader.running, GRACE_S):
        leader.send(signal.SIGKILL)
    await leader.start()
    await asyncio.sleep(8)
    await case.get(f'/plan/{JOB}')
    pairs = harness.overlaps(case.runs(JOB))
    for first, second in pairs:
        case.record.add(
            f'TWICE: {first} from {first.started_at:.3f} to'
            f' {first.ended_at or 0:.3f}, {second} from'
            f' {second.started_at:.3f} to {second.ended_at or 0:.3f}'
        )
    case.record.add(f'verdict: {len(pairs)} tasks ran twice at a time')
    return harness.BROKEN if pairs else harness.HELD


async def submit(case, job, count, run_ms):
    steps = [{'Count': count, **STEP}]
    await case.submit(job, steps, {'ms': run_ms}, at=follower(case))
    if not await case.wait_for(lambda: len(case.runs(job)) == count, 3):
        raise harness.CannotRun(f'{job} does not run')


def follower(case):
    for instance in case.instances:
        if instance.running and instance is not case.leader():
            return instance
    raise harness.CannotRun('every instance leads')


if __name__ == '__main__':
    harness.play(pathlib.Path(__file__).parent, scenario)
