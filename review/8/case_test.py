"""A submission that runs after its cancelling was answered with 410.

The store carries out the write of a submission late. Its requester is told
that the outcome is unknown, cancels, and is told that there is no such
submission.
"""

import asyncio
import pathlib
import random
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib-2'))

from deployment_test import (  # noqa: E402
    BOUNDS,
    SETTLE_S,
    TROUBLE,
    desired_state,
    play,
    route,
)

LOST_SHARE = 0.3
LOST_FOR_S = 4.5
LATE_S = (1, 6)
CALM_S = 4
TRAFFIC_S = 14
GAP_S = 0.25
REST_S = 16
CONTACT_S = BOUNDS['ContactMs'] / 1000
CANCEL_S = BOUNDS['cancel_ms'] / 1000
STOP_S = BOUNDS['StopTimeoutMs'] / 1000


class LostWrites:
    """Loses the answers of a share of the writes for a while."""

    def __init__(self, record):
        self.record = record
        self.rng = random.Random(41)
        self.begin = record.now() + CALM_S
        self.end = self.begin + LOST_FOR_S

    def __call__(self, fields):
        """Return by how much a write is late, 0 for not at all."""
        inside = self.begin <= self.record.now() < self.end
        if not inside or self.rng.random() >= LOST_SHARE:
            return 0
        late_s = self.rng.uniform(*LATE_S)
        keys = [put['Key'] for put in fields['Puts']][:3]
        self.record.note(f'write is {late_s:.1f} s late:', *keys)
        return late_s


async def hand_in(deployment, number, cancelled):
    """Hand a submission in; cancel it when its outcome is unknown."""
    path = f'/plan/{number:016x}'
    instance = deployment.instances[number % 3]
    status, _ = await deployment.send(
        instance,
        'POST',
        path,
        'k-orchard',
        {
            'Spec': 'ms=6200 cpu=1000',
            'Steps': [{'Count': 1, 'Cpu': 1000, 'MemMb': 1000, 'EstMs': 6200}],
        },
    )
    if status in {200, 429, 503}:
        return
    other = deployment.instances[(number + 1) % 3]
    status, _ = await deployment.send(other, 'DELETE', path, 'k-orchard')
    if status in {200, 410}:
        cancelled[f'{number:016x}'] = deployment.record.now()


async def scenario(deployment):
    """Hand in and cancel beside a store that loses answers."""
    await deployment.start(
        instances=3,
        executors=24,
        config=desired_state(
            3, [route('r-plan', '/plan/', advice=False)], ['orchard']
        ),
    )
    restarting = asyncio.create_task(deployment.restart_ended())
    await asyncio.sleep(SETTLE_S)
    lost = LostWrites(deployment.record)
    if TROUBLE:
        deployment.store.lose_write = lost
    cancelled = {}
    sending = []
    for number in range(int(TRAFFIC_S / GAP_S)):
        sending.append(
            asyncio.create_task(hand_in(deployment, number, cancelled))
        )
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*sending)
    await asyncio.sleep(REST_S)
    restarting.cancel()
    return judge(deployment, cancelled, lost.end + CONTACT_S)


def judge(deployment, cancelled, calm_from):
    """Find what starts, or runs on, too long after its cancelling.

    Args:
        deployment: what was played.
        cancelled: when the cancelling of a submission was acknowledged.
        calm_from: from when on all machines are in touch.
    """
    record = deployment.record
    started = []
    running = []
    for run in deployment.runs:
        acknowledged = cancelled.get(run.task.partition('.')[0])
        if acknowledged is None:
            continue
        begin = run.started - record.started
        end = (run.ended or run.started + 1000) - record.started
        bound = acknowledged + CANCEL_S
        if begin > max(bound, calm_from):
            started.append(run.task)
        limit = bound + STOP_S
        if limit > calm_from and begin < limit < end:
            running.append(run.task)
    record.note(
        f'cancellings acknowledged {len(cancelled)},'
        f' started too late {started}, ran on {running}'
    )
    if started or running:
        return (
            f'UNASKED: of {len(cancelled)} cancelled submissions'
            f' {len(started)} start over 3 s after the answer to the'
            f' cancelling, and {len(running)} run on'
        )
    return ''


if __name__ == '__main__':
    play(CASE, scenario)
