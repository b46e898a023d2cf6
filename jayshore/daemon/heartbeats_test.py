"""Tests of the heartbeat schedule."""

import pytest

from jayshore.clock import Millis
from jayshore.daemon.heartbeats import HeartbeatSchedule

INTERVAL_MS = Millis(2000)
STEP_MS = 250
MINUTE_MS = 60_000


@pytest.mark.parametrize(
    ('is_initiator', 'sent_at', 'received_at', 'due_at'),
    [
        (True, 1000, None, 3000),
        (False, 1000, None, 3000),
        (True, 1000, 900, 3000),
        (True, 1000, 2500, 4500),
        (False, 1000, 2500, 5500),
        (False, 9000, 2500, 11_000),
    ],
)
def test_due_time(is_initiator, sent_at, received_at, due_at):
    """Guards against a heartbeat that is sent too late or too often."""
    timing = HeartbeatSchedule(
        interval_ms=INTERVAL_MS, is_initiator=is_initiator
    )
    assert timing.due_at(sent_at=sent_at, received_at=received_at) == due_at


def simulate_exchanges(*, first_delivers, second_delivers):
    """Simulate the heartbeats of two daemons for one minute.

    Args:
        first_delivers: whether heartbeats of the first daemon arrive.
        second_delivers: whether heartbeats of the second daemon arrive.

    Returns:
        Arrival times of the heartbeats sent by the first daemon, and of those
        sent by the second.
    """
    timings = [
        HeartbeatSchedule(interval_ms=INTERVAL_MS, is_initiator=is_initiator)
        for is_initiator in (True, False)
    ]
    delivers = (first_delivers, second_delivers)
    sent = [Millis(0), Millis(0)]
    received = [None, None]
    arrived = [[], []]
    for now in range(0, MINUTE_MS, STEP_MS):
        for own, timing in enumerate(timings):
            due = timing.due_at(sent_at=sent[own], received_at=received[own])
            if now < due:
                continue
            sent[own] = now
            if delivers[own]:
                received[1 - own] = now
                arrived[own].append(now)
    return arrived


def test_one_exchange_for_each_pair_and_interval():
    """Guards against two exchanges per interval, one from each daemon."""
    first, second = simulate_exchanges(
        first_delivers=True, second_delivers=True
    )
    assert not second
    assert len(first) == (MINUTE_MS - 1) // INTERVAL_MS


@pytest.mark.parametrize('is_initiator_cut_off', [True, False])
def test_one_way_loss_leaves_an_exchange_each_interval(is_initiator_cut_off):
    """Guards against missed exchanges when only one direction fails."""
    arrived = simulate_exchanges(
        first_delivers=not is_initiator_cut_off,
        second_delivers=is_initiator_cut_off,
    )
    times = arrived[1 if is_initiator_cut_off else 0]
    gaps = [
        after - before for before, after in zip(times, times[1:], strict=False)
    ]
    assert max(gaps) <= INTERVAL_MS
