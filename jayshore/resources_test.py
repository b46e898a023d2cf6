"""Tests of the resource vector."""

import pytest

from jayshore.resources import NOTHING, Resources, total


@pytest.mark.parametrize(
    ('wanted', 'room', 'short'),
    [
        (Resources(cpu_millis=1), Resources(cpu_millis=1), ()),
        (Resources(cpu_millis=2), Resources(cpu_millis=1), ('cpu_millis',)),
        (
            Resources(memory_mb=2, accelerators=1),
            Resources(cpu_millis=9),
            ('memory_mb', 'accelerators'),
        ),
        (NOTHING, NOTHING, ()),
    ],
)
def test_short_resources_are_named(wanted, room, short):
    """Guards against a refusal that does not name the exceeded resources."""
    assert wanted.components_exceeding(room) == short
    assert wanted.fits_in(room) == (not short)


def test_sum_and_difference():
    """Guards against arithmetic that leaves out a component."""
    one = Resources(cpu_millis=1, memory_mb=2, accelerators=3, requests=4)
    assert total([one, one]) == one.scaled(2)
    assert one - one == NOTHING
