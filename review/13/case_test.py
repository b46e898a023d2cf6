"""Large submissions keep others from advice, and most executors stand idle."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))

from callers_test import (  # noqa: E402
    Caller,
    desired_state,
    route,
    spec,
    tenant,
)
from deployment_test import play  # noqa: E402

WORK_MS = 8400
WIDE = 60
WIDE_CPU = 5300
NARROW_CPU = 2000
EXECUTORS = 24
CAPACITY = EXECUTORS * 32_000
NARROW = 6
FINISH_S = 14
STILL_S = 3
LARGE = tuple(f'{number:016x}' for number in range(0x100, 0x106))
SMALL = tuple(f'{number:016x}' for number in range(0x200, 0x200 + NARROW))
CONFIG = desired_state(
    [
        route(
            'mix-batch',
            '/mix/',
            Priority=2,
            Advice={'DecisionMs': 83.0, 'PeriodMs': 1.2, 'ValidityMs': 2500},
        )
    ],
    [
        tenant('kaje80', 'key-kaje80'),
        tenant('ziny153', 'key-ziny153'),
        tenant('xaba960', 'key-xaba960'),
        tenant('riverbend', 'key-riverbend'),
    ],
)


def submission(count, cpu, apart):
    """Make a submission of three steps that follow each other."""
    first = {'Count': count, 'Cpu': cpu, 'MemMb': 500, 'EstMs': WORK_MS}
    if apart:
        first['AntiAffinity'] = apart
    rest = {'Count': 2, 'Cpu': cpu, 'MemMb': 500, 'EstMs': WORK_MS}
    return {
        'Spec': spec(ms=WORK_MS),
        'Steps': [first, {**rest, 'After': [0]}, {**rest, 'After': [1]}],
    }


def measure(rows, at):
    """Return the tasks that run at a time, and the processor that they use."""
    running = set()
    for row in rows:
        if row['at'] > at:
            break
        if row['event'] == 'start':
            running.add(row['task'])
        else:
            running.discard(row['task'])
    used = sum(
        WIDE_CPU if task[:16] in LARGE else NARROW_CPU for task in running
    )
    return running, used


def case(deployment, trouble):
    """Submit some narrow work after a burst of large submissions."""
    deployment.start(instances=6, executors=EXECUTORS, config=CONFIG)
    large = [
        Caller(deployment, key=f'key-{name}', prefix='/mix/')
        for name in ('kaje80', 'ziny153', 'xaba960')
    ]
    plain = Caller(deployment, key='key-riverbend', prefix='/mix/')
    time.sleep(3)
    if trouble:
        for number, job in enumerate(LARGE):
            large[number % 3].submit(job, submission(WIDE, WIDE_CPU, 1))
    time.sleep(1)
    for job in SMALL:
        plain.submit(job, submission(2, NARROW_CPU, 0))
    time.sleep(FINISH_S + STILL_S)
    end = int(time.monotonic() * 1000)
    rows = deployment.control('GET', '/rows')
    broken = []
    for job in SMALL:
        state = plain.state(job)
        moments = range(end - 1000 * STILL_S, end, 100)
        found = [measure(rows, at) for at in moments]
        runs = any(task.startswith(job) for run, _ in found for task in run)
        most = max(used for _, used in found)
        deployment.record.note(job, state, 'runs', runs, 'in use', most)
        if state in {'queued', 'running'} and not runs and most < CAPACITY / 2:
            broken.append(
                f'LOST: {job} is {state}, nothing of it runs for {STILL_S} s, '
                f'and at most {most} of {CAPACITY} are in use'
            )
    return broken


if __name__ == '__main__':
    sys.exit(play(HERE, case))
