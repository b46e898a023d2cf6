"""Tests of the times of heartbeats."""

import pytest

from jayshore.clock import Millis
from jayshore.daemon.heartbeats import HeartbeatSchedule

INTERVAL_MS = Millis(2000)
STEP_MS = 250
MINUTE_MS = 60_000


@pytest.mark.parametrize(
    ('is_first', 'sent_at', 'asked_at', 'due_at'),
    [
        (True, 1000, None, 3000),
        (False, 1000, None, 3000),
        (True, 1000, 900, 3000),
        (True, 1000, 2500, 4500),
        (False, 1000, 2500, 5500),
        (False, 9000, 2500, 11_000),
    ],
)
def test_due_time(is_first, sent_at, asked_at, due_at):
    """Guards against a peer that is not heard for more than an interval."""
    timing = HeartbeatSchedule(interval_ms=INTERVAL_MS, is_first=is_first)
    assert timing.due_at(sent_at=sent_at, asked_at=asked_at) == due_at


def exchanges(*, first_reaches, second_reaches):
    """Let two daemons run for a minute.

    Args:
        first_reaches: whether heartbeats of the first daemon arrive.
        second_reaches: whether heartbeats of the second one arrive.

    Returns:
        Arrival times of the first daemon's and of the second one's heartbeats.
    """
    timings = [
        HeartbeatSchedule(interval_ms=INTERVAL_MS, is_first=is_first)
        for is_first in (True, False)
    ]
    reaches = (first_reaches, second_reaches)
    sent = [Millis(0), Millis(0)]
    asked = [None, None]
    arrived = [[], []]
    for now in range(0, MINUTE_MS, STEP_MS):
        for own, timing in enumerate(timings):
            due = timing.due_at(sent_at=sent[own], asked_at=asked[own])
            if now < due:
                continue
            sent[own] = now
            if reaches[own]:
                asked[1 - own] = now
                arrived[own].append(now)
    return arrived


def test_one_exchange_for_each_pair_and_interval():
    """Guards against both daemons of a pair asking in every interval."""
    first, second = exchanges(first_reaches=True, second_reaches=True)
    assert not second
    assert len(first) == (MINUTE_MS - 1) // INTERVAL_MS


@pytest.mark.parametrize('is_first_cut_off', [True, False])
def test_one_way_loss_leaves_an_exchange_each_interval(is_first_cut_off):
    """Guards against a pair that loses touch when one of them cannot ask."""
    arrived = exchanges(
        first_reaches=not is_first_cut_off, second_reaches=is_first_cut_off
    )
    times = arrived[1 if is_first_cut_off else 0]
    gaps = [
        after - before for before, after in zip(times, times[1:], strict=False)
    ]
    assert max(gaps) <= INTERVAL_MS
