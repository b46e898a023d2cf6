"""Tests which incarnations a reply shows to be over."""

import pytest

from jayshore.fleet.inherited import InheritedIncarnations, PlacedAt
from jayshore.fleet.model import Incarnation

HERE = 'w0:1'
ELSEWHERE = 'w1:1'
FIRST = PlacedAt('w0', Incarnation(HERE, 10))
SECOND = PlacedAt('w0~2', Incarnation(HERE, 20))
UNDATED = PlacedAt('w0', Incarnation(HERE, 0))

ROWS = (
    # placed, (worker, incarnation) that replied, over
    ('a later one', (FIRST,), SECOND, [FIRST]),
    ('the same one', (FIRST,), FIRST, []),
    ('a former one', (SECOND,), FIRST, []),
    ('one of two', (FIRST, SECOND), SECOND, [FIRST]),
    (
        'both',
        (SECOND, FIRST),
        PlacedAt('w0~3', Incarnation(HERE, 30)),
        [FIRST, SECOND],
    ),
    (
        'reborn under the same id',
        (FIRST,),
        PlacedAt('w0', Incarnation(HERE, 20)),
        [FIRST],
    ),
    (
        'at another address',
        (FIRST,),
        PlacedAt('w1', Incarnation(ELSEWHERE, 20)),
        [],
    ),
    ('of unknown birth', (UNDATED,), SECOND, [UNDATED]),
    ('of unknown birth, same id', (UNDATED,), FIRST, []),
)


def _inherited(placed):
    inherited = InheritedIncarnations()
    for placed_at in placed:
        inherited.add(placed_at)
    return inherited


@pytest.mark.parametrize(
    ('placed', 'replied', 'over'),
    [row[1:] for row in ROWS],
    ids=[row[0] for row in ROWS],
)
def test_only_earlier_incarnations_are_over(placed, replied, over):
    """Guards against an old reply that ends a living incarnation."""
    inherited = _inherited(placed)
    assert (
        inherited.take_replaced(replied.worker_id, replied.incarnation) == over
    )


def test_an_incarnation_is_reported_once():
    """Guards against a crash that is counted twice."""
    inherited = _inherited((FIRST, SECOND))
    inherited.discard('w0', HERE)
    later = Incarnation(HERE, 30)
    assert inherited.take_replaced('w0~3', later) == [SECOND]
    assert not inherited.take_replaced('w0~3', later)
