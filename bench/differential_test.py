"""Tests that the indexed cell decides as the full scan does."""

import pytest

from bench.differential import run_scenarios


@pytest.mark.parametrize('first_seed', [10_001, 20_001, 30_001])
def test_cell_agrees_with_the_full_scan(first_seed):
    """Guards against an index that omits a worker or a waiting task.

    Only the scenarios with an odd seed change the settings.
    """
    tally, disagreement = run_scenarios(first_seed=first_seed, rounds=600)
    assert disagreement is None
    assert min(tally.places, tally.gangs, tally.preempts, tally.waits) > 0
    assert tally.settings > 0
