"""Tests of the workers that a round reserves for gangs."""

import pytest

from jayshore.fleet.placing import PlacementRound
from jayshore.fleet.placing_test import NOW, demand, worker

RESERVED = (
    # free processor of the workers of 4 cores, tasks of a core, reserved
    ('on one worker', (3000, 500, 0, 0, 0), 4, ['w0']),
    ('on as many as may be reserved', (3000, 500, 0, 0, 0), 8, ['w0', 'w1']),
    ('more than may be reserved', (3000, 500, 0, 0, 0), 9, ['w0', 'w1']),
    ('on an empty worker', (4000, 500, 0, 0, 0), 8, ['w0', 'w1']),
    ('an empty worker in vain', (4000, 500, 0, 0, 0), 9, ['w1']),
    ('the rest is free elsewhere', (2000, 2000, 1000, 0, 0), 9, ['w0', 'w1']),
    ('empty workers in vain', (4000, 4000, 1000, 0, 0), 10, []),
)  # fmt: skip


@pytest.mark.parametrize(
    ('free', 'count', 'reserved'),
    [row[1:] for row in RESERVED],
    ids=[row[0] for row in RESERVED],
)
def test_no_empty_worker_is_reserved_in_vain(free, count, reserved):
    """Guards against idle workers reserved for a gang that still lacks room."""
    workers = [worker(number, cpu) for number, cpu in enumerate(free)]
    gang = demand('gang', count, gang=True)
    PlacementRound(workers=workers, allowances={}, now=NOW).decide([gang])
    assert [
        one.worker_id for one in workers if one.reserved_for is not None
    ] == reserved


def test_small_work_runs_beside_a_gang_that_cannot_reserve_enough():
    """Guards against work that waits for a gang that never starts.

    Nobody may reserve the second worker, so small tasks keep it from the gang.
    """
    workers = [worker(0), worker(1, 500)]
    gang = demand('gang', 8, gang=True)
    small = demand('small', due=1)
    decisions = PlacementRound(workers=workers, allowances={}, now=NOW).decide(
        [gang, small]
    )
    placed = [one.group_id.job_id for one in decisions.placements]
    assert placed == ['small']
