"""Tests of the preference of demands for the speed of workers."""

import copy
import random

import pytest

from jayshore.fleet.placing_test import (
    chosen_workers,
    decide,
    demand,
    worker,
)
from jayshore.fleet.speedorder import (
    LONG_PATH_MS,
    WIDE_GANG,
    SpeedClass,
    classify_speed,
    is_tight,
)

SPEEDS = (
    (0.1, SpeedClass.MUCH_SLOWER),
    (0.39, SpeedClass.MUCH_SLOWER),
    (0.4, SpeedClass.SLOWER),
    (0.66, SpeedClass.SLOWER),
    (0.67, SpeedClass.USUAL),
    (1.0, SpeedClass.USUAL),
    (1.49, SpeedClass.USUAL),
    (1.5, SpeedClass.FASTER),
)


@pytest.mark.parametrize(('speed', 'speed_class'), SPEEDS)
def test_class_of_a_speed(speed, speed_class):
    """Guards against classes so narrow that noise decides on the order."""
    assert classify_speed(speed) is speed_class


TIGHT = (
    ('ample time', 1000, 2250, False),
    ('late on a slower worker', 1000, 2249, True),
    ('in time on a fast worker only', 1000, 700, True),
    ('late on any worker', 1000, 600, False),
    ('overdue', 1000, -1, False),
    ('unknown path', 0, 1000, False),
)


@pytest.mark.parametrize(
    ('path_ms', 'left_ms', 'expected'),
    [row[1:] for row in TIGHT],
    ids=[row[0] for row in TIGHT],
)
def test_tight_job(path_ms, left_ms, expected):
    """Guards against urgent jobs that are late for the pace of a worker."""
    assert is_tight(path_ms, left_ms) is expected


LONG = {'path_ms': LONG_PATH_MS}
WIDE = {'count': WIDE_GANG, 'gang': True}

# Workers are empty and hold four tasks, unless their free processor is given.
CHOICES = (
    ('long path to fast', [(1, 1000), (2, 4000)], demand(**LONG), ['w1']),
    ('tight work to fast', [(1, 1000), (2, 4000)], demand(tight=True), ['w1']),
    ('short work leaves the fast', [(2, 1000), (1, 4000)], demand(), ['w1']),
    ('short work fills the fast', [(2, 1000), (1, 500)], demand(), ['w0']),
    ('short work avoids the slow', [(0.3, 1000), (2, 4000)], demand(), ['w1']),
    ('the slow if no other', [(0.3, 1000), (2, 500)], demand(**LONG), ['w0']),
    ('tightest room in a class', [(2, 4000), (1.9, 1000), (1, 1000)],
     demand(**LONG), ['w1']),
    ('even speeds: tightest room', [(1.4, 4000), (0.7, 1000)], demand(**LONG),
     ['w1']),
    ('wide gang on fast', [(1, 4000), (2, 4000), (1, 4000), (2, 4000)],
     demand(**WIDE), ['w1'] * 4 + ['w3'] * 4),
    ('wide gang does not mix', [(1, 4000), (2, 4000), (1, 4000)],
     demand(**WIDE), ['w0'] * 4 + ['w2'] * 4),
    ('wide gang mixes if it must', [(1, 4000), (2, 4000), (0.1, 4000)],
     demand(**WIDE), ['w0'] * 4 + ['w1'] * 4),
    ('wide gang with a slow one if it must', [(0.1, 4000), (2, 4000)],
     demand(**WIDE), ['w0'] * 4 + ['w1'] * 4),
    ('narrow gang leaves the fast', [(2, 1000), (1, 4000), (0.3, 4000)],
     demand(count=4, gang=True), ['w1'] * 4),
    ('all slow rather than mixed', [(2, 1000), (0.5, 4000)],
     demand(count=4, gang=True), ['w1'] * 4),
    ('slow near the data', [(0.3, 4000), (1, 4000)],
     demand(data_rack='r0'), ['w1']),
    ('usual near the data', [(1, 4000), (2, 4000)],
     demand(data_rack='r0', **LONG), ['w0']),
)  # fmt: skip


@pytest.mark.parametrize(
    ('workers', 'wanted', 'expected'),
    [row[1:] for row in CHOICES],
    ids=[row[0] for row in CHOICES],
)
def test_choice_by_speed(workers, wanted, expected):
    """Guards against work that a slow worker holds up in vain."""
    rooms = [
        worker(number, free, speed=speed)
        for number, (speed, free) in enumerate(workers)
    ]
    chosen = chosen_workers(decide(rooms, wanted)).get('j', [])
    assert sorted(chosen) == expected


@pytest.mark.parametrize('seed', range(20))
def test_noise_changes_no_decision(seed):
    """Guards against a fleet of even workers that is served otherwise."""
    rng = random.Random(seed)
    rooms = [worker(number, rng.randrange(5) * 1000) for number in range(12)]
    noisy = copy.deepcopy(rooms)
    for one in noisy:
        one.speed = rng.uniform(0.7, 1.45)
    demands = [
        demand(
            f'j{number}',
            rng.randint(1, 9),
            due=number,
            gang=rng.random() < 0.5,
            path_ms=rng.randrange(9000),
            data_rack=rng.choice(('', 'r0', 'r1')),
        )
        for number in range(12)
    ]
    assert decide(noisy, *demands) == decide(rooms, *demands)


@pytest.mark.parametrize('seed', range(20))
def test_speed_never_costs_a_gang_its_room(seed):
    """Guards against a preference that leaves a gang waiting."""
    rng = random.Random(seed)
    rooms = [worker(number, rng.randrange(5) * 1000) for number in range(6)]
    uneven = copy.deepcopy(rooms)
    for one in uneven:
        one.speed = rng.choice((0.1, 0.5, 1, 2))
    gang = demand(count=rng.randint(1, 14), gang=True)
    assert bool(decide(uneven, gang).placements) == bool(
        decide(rooms, gang).placements
    )
