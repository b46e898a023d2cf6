"""A repeating submission whose progress outgrows a value of the store.

Each occurrence adds rows to the one stored record of the submission. Once the
store refuses the record, each leader ends with the first write of it.
"""

import asyncio
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib-2'))

from deployment_test import (  # noqa: E402
    FINISH_S,
    SETTLE_S,
    TROUBLE,
    desired_state,
    play,
    route,
)

REPEATS = 2000 if TROUBLE else 40
INTERVAL_MS = 250
STEPS = 3
WIDTH = 50
TRAFFIC_S = 72
AFTER_REFUSAL_S = 20
PATH = f'/tick/{0xABC:016x}'


async def scenario(deployment):
    """Hand in one repeating submission beside ordinary ones."""
    await deployment.start(
        instances=3,
        executors=24,
        config=desired_state(
            3,
            [
                route('r-plan', '/plan/'),
                route('r-tick', '/tick/', advice=False),
            ],
            ['orchard', 'meadow'],
        ),
    )
    restarting = asyncio.create_task(deployment.restart_ended())
    await asyncio.sleep(SETTLE_S)
    status, _ = await deployment.send(
        deployment.instances[0],
        'POST',
        PATH,
        'k-meadow',
        {
            'Spec': 'ms=20 cpu=100',
            'Steps': [
                {
                    'Count': WIDTH,
                    'Cpu': 100,
                    'MemMb': 10,
                    'EstMs': 20,
                    'Checkpoints': True,
                }
            ]
            * STEPS,
            'StartAtMs': int(time.time() * 1000),
            'IntervalMs': INTERVAL_MS,
            'RepeatCount': REPEATS,
        },
    )
    accepted = {PATH: 'k-meadow'} if status == 200 else {}
    store = deployment.store
    record = deployment.record
    first = []

    def stood_still():
        if store.refused_values and not first:
            first.append(record.now())
            record.note('value refused', store.refused_values[0])
        return bool(first) and record.now() - first[0] > AFTER_REFUSAL_S

    accepted.update(await deployment.hand_in_plans(TRAFFIC_S, stood_still))
    record.note('traffic ends')
    await asyncio.sleep(FINISH_S)
    breach = await deployment.find_lost(accepted)
    record.note('values refused', len(store.refused_values))
    restarting.cancel()
    return breach


if __name__ == '__main__':
    play(CASE, scenario)
