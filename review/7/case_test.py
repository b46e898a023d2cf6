"""Work that is started again because of an entry that names no executor.

Another writer has left entries under `servers/`, of a service that no desired
state names. A new leader takes them for later lives of the executors at the
same addresses, and runs again what still runs there.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib-2'))

from deployment_test import (  # noqa: E402
    CAPACITY,
    SETTLE_S,
    TROUBLE,
    desired_state,
    play,
    route,
)
from platform_test import HOST  # noqa: E402

# ENTRIES=0 or KILLS=0 leaves one of the two out.
ENTRIES = TROUBLE and os.environ.get('ENTRIES', '1') != '0'
KILLS = TROUBLE and os.environ.get('KILLS', '1') != '0'
FOREIGN = 4
BEFORE_S = 6
BETWEEN_S = 4
DOWN_S = 0.8
AFTER_S = 14


def write_foreign_entries(deployment):
    """Write entries of another writer at the addresses of executors."""
    for number, executor in enumerate(deployment.executors[:FOREIGN]):
        key = f'servers/x-gauge-{number}'
        deployment.store.put(
            key,
            json.dumps(
                {
                    'Service': 'gauge',
                    'Addr': f'{HOST}:{executor.server.port}',
                    'Zone': 'north',
                    'Version': 'v1',
                    'Slots': 8,
                    'State': 'ready',
                    'ColdLeftMs': 0,
                    'Capacity': CAPACITY,
                    'Labels': ['a', 'r1-1'],
                    'ClockMs': 1000,
                    'Seq': 1,
                    'born': int(time.time() * 1000),
                }
            ),
        )
        deployment.record.note('entry of another writer', key, executor.name)


async def hand_in(deployment):
    """Hand in a submission twice a second."""
    number = 0
    while True:
        number += 1
        await deployment.send(
            deployment.instances[number % 3],
            'POST',
            f'/plan/{number:016x}',
            'k-orchard',
            {
                'Spec': 'ms=6200 cpu=3000',
                'Steps': [
                    {'Count': 6, 'Cpu': 3000, 'MemMb': 9000, 'EstMs': 6200}
                ],
            },
        )
        await asyncio.sleep(0.5)


async def scenario(deployment):
    """Kill all processes once while the foreign entries are there."""
    await deployment.start(
        instances=3,
        executors=24,
        config=desired_state(
            3, [route('r-plan', '/plan/', advice=False)], ['orchard']
        ),
    )
    await asyncio.sleep(SETTLE_S)
    sending = asyncio.create_task(hand_in(deployment))
    await asyncio.sleep(BEFORE_S)
    if ENTRIES:
        write_foreign_entries(deployment)
    await asyncio.sleep(BETWEEN_S)
    if KILLS:
        for instance in deployment.instances:
            instance.signal(signal.SIGKILL)
            instance.process.wait()
            deployment.record.note('killed', instance.name)
        await asyncio.sleep(DOWN_S)
        for killed in deployment.instances:
            killed.start()
    await asyncio.sleep(AFTER_S)
    sending.cancel()
    await asyncio.sleep(1)
    twice = deployment.find_twice()
    for first, second in twice:
        deployment.record.note(
            'two runs at the same time:',
            *(first.task, first.run, first.executor),
            *(second.run, second.executor),
        )
    if twice:
        return f'TWICE: {len(twice)} tasks ran in two places at the same time'
    return ''


if __name__ == '__main__':
    play(CASE, scenario)
