"""Deployments in memory: what the log tells of groups that wait for advice."""

import dataclasses

import curio
import pytest
from eliot.testing import MemoryLogger, swap_logger

from jayshore.clock import Millis
from jayshore.fleet.model import AdvicePolicy
from tests.memory_fleet_test import (
    CONFIG,
    QUEUE,
    make_group,
    make_job,
    running_fleet,
    wait_for,
)

ADVISED = dataclasses.replace(
    QUEUE,
    advice=AdvicePolicy(
        decision_ms=5, per_worker_ms=0.1, validity_ms=Millis(1000)
    ),
)
WAITS = (
    # tasks of the group, its fields, what the line has to say
    ('room on the permitted worker', 9, {},
     {'reason': 'no_room', 'evaluated': 3, 'permitted': 1}),
    ('a gang on too few workers', 9, {'gang': True},
     {'reason': 'no_room', 'advice': 'too_few_permitted', 'permitted': 1}),
    ('a gang on no workers', 20, {'gang': True},
     {'reason': 'no_room', 'advice': 'gang_too_wide', 'evaluated': 0}),
)  # fmt: skip


@pytest.mark.parametrize(
    ('count', 'fields', 'expected'),
    [row[1:] for row in WAITS],
    ids=[row[0] for row in WAITS],
)
def test_line_of_a_waiting_group_tells_what_advice_has_said(
    count, fields, expected
):
    """Guards against waits that look alike in the log and differ in cause."""
    memory = MemoryLogger()

    def lines():
        return [
            message
            for message in memory.messages
            if message['message_type'] == 'group:waiting'
        ]

    async def scenario():
        async with running_fleet(
            config=dataclasses.replace(CONFIG, queues=(ADVISED,)),
            run_ms=Millis(60_000),
        ) as fleet:
            fleet.relay.advised_workers = {'w0'}
            await fleet.submit(
                make_job(make_group(count, **fields), queue=ADVISED)
            )
            await wait_for(lines, 'a line of a waiting group')

    former = swap_logger(memory)
    try:
        curio.run(scenario, taskcls=curio.task.ContextTask)
    finally:
        swap_logger(former)
    assert expected.items() <= lines()[0].items()
