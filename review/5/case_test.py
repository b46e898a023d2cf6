"""After a cut, ends beyond the first 500 of a worker run a second time."""

import asyncio
import pathlib

import harness_test as harness
import platform_test as platform

# Fourteen submissions of 48 tasks, all of which one worker has room for.
JOBS = 14
WIDTH = 48
RUN_MS = 10_000
MIN_RUNNING = 560
LISTED_ENDS = 500
CUT_S = 5.4
WORKERS = 6


async def scenario(case):
    case.executors = [
        platform.Executor(
            store=case.store, name=f'w{number:02d}', cpu=32_000, memory=131_072
        )
        for number in range(WORKERS)
    ]
    await case.open(executors=WORKERS, instances=3)
    steps = [{'Count': WIDTH, 'Cpu': 45, 'MemMb': 180, 'EstMs': RUN_MS}]
    jobs = [f'a5{number:014x}' for number in range(JOBS)]
    for job in jobs:
        await case.submit(job, steps, {'ms': RUN_MS})
        await asyncio.sleep(0.1)
    worker = case.executors[0]
    if not await case.wait_for(lambda: len(worker.running) >= MIN_RUNNING, 8):
        raise harness.CannotRun(f'{len(worker.running)} tasks run at a time')
    case.record.add(f'{worker.name}: {len(worker.running)} runs')
    if harness.TROUBLE:
        age_s = case.record.now() - worker.history[0].started_at
        await asyncio.sleep(max(0, RUN_MS / 1000 - 0.5 - age_s))
        case.record.add(f'{worker.name}: cut off')
        worker.cut = True
        await asyncio.sleep(CUT_S)
        if len(worker.finished) <= LISTED_ENDS:
            raise harness.CannotRun(f'{len(worker.finished)} ends in the cut')
        worker.cut = False
        case.record.add(f'{worker.name}: reachable again')
    await asyncio.sleep(15)
    for job in jobs:
        await case.get(f'/plan/{job}')
    again = list(started_after_end(case.runs('a5')))
    for first, second in again:
        case.record.add(
            f'TWICE: {first} was done at {first.ended_at:.3f} and taken note'
            f' of at {first.noted_at:.3f}; {second} started at'
            f' {second.started_at:.3f}'
        )
    case.record.add(f'verdict: {len(again)} tasks ran again after their end')
    return harness.BROKEN if again else harness.HELD


def started_after_end(runs):
    """Find runs that start after a run that was done and taken note of."""
    done = {}
    for run in sorted(runs, key=lambda run: run.started_at):
        first = done.get(run.task)
        if first is not None and run.started_at > first.ended_at:
            yield first, run
        if run.how == 'done' and run.noted_at is not None:
            done.setdefault(run.task, run)


if __name__ == '__main__':
    harness.play(pathlib.Path(__file__).parent, scenario)
