"""Tests of the metrics and log lines of placement rounds."""

import pytest
from eliot.testing import MemoryLogger, swap_logger

from jayshore.clock import Millis
from jayshore.fleet.demands import Decisions, WaitReason
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import GroupId
from jayshore.fleet.roundlog import SLOW_ROUND_MS, RoundLog

GROUP = GroupId('j', 0, 0)
SLOW = (
    # time and duration of each round in ms, number of lines
    ('fast rounds', [(0, SLOW_ROUND_MS - 1)], 0),
    ('a slow round', [(0, SLOW_ROUND_MS)], 1),
    ('one line a second', [(0, 900), (500, 900), (999, 900)], 1),
    ('again after a second', [(0, 900), (1000, 900)], 2),
)


@pytest.mark.parametrize(
    ('rounds', 'lines'),
    [row[1:] for row in SLOW],
    ids=[row[0] for row in SLOW],
)
def test_slow_rounds_are_logged_once_a_second(rounds, lines):
    """Guards against slow rounds without a line, and a flood of lines."""
    log = RoundLog(metrics=FleetMetrics())
    decisions = Decisions(waiting={GROUP: WaitReason.NO_ROOM}, considered=7)
    memory = MemoryLogger()
    former = swap_logger(memory)
    for now, took_ms in rounds:
        log.record(decisions, took_ms=Millis(took_ms), now=Millis(now))
    swap_logger(former)
    assert len(memory.messages) == lines
    for message in memory.messages:
        assert message['message_type'] == 'round:slow'
        assert message['considered'] == 7
        assert message['waiting'] == 1


def test_gauge_drops_reasons_that_are_over():
    """Guards against a gauge that shows a backlog after it is gone."""
    metrics = FleetMetrics()
    log = RoundLog(metrics=metrics)
    waiting = {GROUP: WaitReason.NO_ROOM}
    log.record(Decisions(waiting=waiting), took_ms=Millis(3), now=Millis(0))
    gauge = b'jayshore_waiting_groups{reason="no_room"} 1.0'
    assert gauge in metrics.render()
    log.record(Decisions(), took_ms=Millis(3), now=Millis(999))
    assert gauge not in metrics.render()
    assert b'jayshore_round_seconds_count 2.0' in metrics.render()
