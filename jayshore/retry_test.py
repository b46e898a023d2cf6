"""Tests of backoff and retry budgets."""

import random

import pytest

from jayshore.retry import Backoff, RetryBudgets, RetryRatio, try_retry


@pytest.mark.parametrize(
    ('attempt', 'highest'),
    [(1, 100), (2, 200), (3, 400), (4, 500), (5000, 500)],
)
def test_backoff_grows_to_its_bound(attempt, highest):
    """Guards against delays that exceed the bounds or lack jitter."""
    backoff = Backoff(base_ms=50, max_ms=500)
    rng = random.Random(7)
    delays = [backoff.delay(attempt=attempt, rng=rng) for _ in range(500)]
    assert min(delays) >= 50
    assert max(delays) <= highest
    assert len(set(delays)) > 25


def test_retries_stay_a_ratio_of_requests():
    """Guards against retries that multiply the load during an overload."""
    budgets = RetryBudgets(
        ratio=RetryRatio(retries_per_request=0.25, burst=4),
    )
    allowed = 0
    for _ in range(1000):
        budgets.of('team').record_request()
        allowed += try_retry((budgets.of('team'),))
    assert allowed <= 4 + 0.25 * 1000
    assert allowed >= 0.25 * 1000


def test_refused_retry_spends_nothing():
    """Guards against a refused retry that uses up the other budget."""
    budgets = RetryBudgets(ratio=RetryRatio(burst=1))
    assert try_retry((budgets.of('team'), budgets.of('upstream')))
    budgets.forget('upstream')
    for _ in range(3):
        assert not try_retry((budgets.of('upstream'), budgets.of('team')))
    assert budgets.of('upstream').available
