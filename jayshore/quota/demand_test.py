"""Tests of what a domain can use of a room."""

import pytest

from jayshore.quota.demand import DemandUnit, PendingDemand, group_demand
from jayshore.resources import NOTHING, Resources

TASK = Resources(cpu_millis=1000, memory_mb=64)
BIG = Resources(cpu_millis=4000, accelerators=2)
REQUEST = Resources(requests=1)


@pytest.mark.parametrize(
    ('units', 'room', 'usable'),
    [
        ((), Resources(cpu_millis=9), NOTHING),
        ((DemandUnit(amount=TASK),), NOTHING, NOTHING),
        # Guards against a fraction of a task that no other domain can use.
        (
            (DemandUnit(amount=TASK, count=5),),
            Resources(cpu_millis=2667, memory_mb=999),
            TASK.scaled(2),
        ),
        (
            (DemandUnit(amount=TASK, count=2),),
            Resources(cpu_millis=9000, memory_mb=999),
            TASK.scaled(2),
        ),
        # Guards against small tasks that use up the room of a large one.
        (
            (DemandUnit(amount=TASK, count=9), DemandUnit(amount=BIG)),
            Resources(cpu_millis=5000, memory_mb=999, accelerators=2),
            BIG + TASK,
        ),
        # Guards against a task too large to start that holds back others.
        (
            (DemandUnit(amount=BIG), DemandUnit(amount=TASK)),
            Resources(cpu_millis=5000, memory_mb=999, accelerators=1),
            TASK,
        ),
        (
            (DemandUnit(amount=REQUEST, count=7), DemandUnit(amount=TASK)),
            Resources(cpu_millis=1000, memory_mb=64, requests=3),
            TASK + REQUEST.scaled(3),
        ),
    ],
)
def test_only_whole_units_are_usable(units, room, usable):
    """Guards against parts that are raised by what nothing can use."""
    assert PendingDemand(units=units).usable(room) == usable


def test_equal_pieces_are_counted():
    """Guards against a demand that is lost when pieces are alike."""
    demand = group_demand([TASK, BIG, TASK])
    assert demand.total == TASK.scaled(2) + BIG
    assert len(demand.units) == 2
