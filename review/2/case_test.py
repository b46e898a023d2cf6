"""After submissions that always fail, a gang never starts again."""

import asyncio
import pathlib

import harness_test as harness

SERVICES = 57
POISON = 3
GANG = [{'Count': 4, 'Cpu': 4000, 'MemMb': 1024, 'EstMs': 500, 'Gang': True}]
# finish_s, and the 3 s in which a submission has nothing running.
LIMIT_S = 14 + 3


async def scenario(case):
    await case.open(executors=4, instances=3)
    await case.submit('a0a0a0a0a0a0a0a0', GANG, {'ms': 500})
    if not await case.wait_for(lambda: len(case.runs('a0')) == 4, 5):
        raise harness.CannotRun('the first gang does not run')
    service = [
        {'Count': 1, 'Cpu': 50, 'MemMb': 64, 'EstMs': 500, 'LongRunning': True}
    ]
    poison = [{'Count': 4, 'Cpu': 100, 'MemMb': 64, 'EstMs': 200}]
    jobs = [(f'b{number:015x}', service, {}) for number in range(SERVICES)]
    if harness.TROUBLE:
        for number in range(POISON):
            jobs.insert(
                19 * number,
                (f'c{number:015x}', poison, {'ms': 200, 'fail': True}),
            )
    for job, steps, spec in jobs:
        await case.submit(job, steps, spec)
        await asyncio.sleep(0.02)
    await asyncio.sleep(5)
    await case.submit('d0d0d0d0d0d0d0d0', GANG, {'ms': 500})
    started = await case.wait_for(lambda: case.runs('d0'), LIMIT_S)
    await case.get('/plan/d0d0d0d0d0d0d0d0')
    used = sum(50 for run in case.runs('b') if run.ended_at is None)
    case.record.add(f'in use: {used} of 64000 millicores')
    if started:
        case.record.add('verdict: the gang started')
        return harness.HELD
    case.record.add(f'verdict: LOST, the gang did not start in {LIMIT_S} s')
    return harness.BROKEN


if __name__ == '__main__':
    harness.play(pathlib.Path(__file__).parent, scenario)
