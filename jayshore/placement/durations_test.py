"""Tests of the ratio of real to stated duration."""

import pytest

from jayshore.placement.durations import (
    TYPICAL_PERCENT,
    WINDOW_TASKS,
    DurationRatios,
)


def ratios_after(durations):
    """Build ratios from real durations of tasks that are stated as 1000 ms."""
    ratios = DurationRatios()
    for real_ms in durations:
        ratios.observe('a', 'q', stated_ms=1000, real_ms=real_ms)
    return ratios


CASES = (
    ('no task', [], 500, 500),
    ('not enough tasks', [3000] * (WINDOW_TASKS - 1), 500, 500),
    ('all alike', [3000] * WINDOW_TASKS, 1500, 1500),
    ('a tenth is long', [1000] * 18 + [7000] * 2, 500, 500),
    ('a third is long', [1000] * 13 + [7000] * 7, 500, 3500),
    ('the last tasks count', [9000] * 9 + [2000] * WINDOW_TASKS, 1000, 1000),
    ('at least a millisecond', [0] * WINDOW_TASKS, 1, 1),
)


@pytest.mark.parametrize(
    ('durations', 'typical', 'cautious'),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_expected_duration(durations, typical, cautious):
    """Guards against a correction that a few odd tasks decide."""
    ratios = ratios_after(durations)
    assert ratios.expected_ms('a', 'q', 500, percent=TYPICAL_PERCENT) == typical
    assert ratios.expected_ms('a', 'q', 500) == cautious


def test_owners_and_queues_are_apart():
    """Guards against one owner that spoils the estimates of others."""
    ratios = ratios_after([3000] * WINDOW_TASKS)
    assert ratios.expected_ms('b', 'q', 500) == 500
    assert ratios.expected_ms('a', 'r', 500) == 500
    assert ratios.usual_ms('a', 'r') is None
    assert ratios.usual_ms('a', 'q') == 3000
