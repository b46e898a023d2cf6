"""What is known of the ways to the store, and who is told what."""

import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.store.reachability import OVERDUE_MS, PROBE_MS, StoreReach
from jayshore.store.store import StoreUnavailable, StoreUncertain

LOST = StoreUnavailable('lost')
UNCLEAR = StoreUncertain('no answer')


def make_reach():
    clock = ManualClock(start=Millis(10_000))
    return clock, StoreReach(clock=clock)


@pytest.mark.parametrize('isolated', [False, True])
def test_lost_store(isolated):
    """Guards against writes with unknown outcomes all through an outage."""
    _, reach = make_reach()
    reach.note_unavailable(LOST)
    assert reach.cut_off
    assert reach.serving
    assert not reach.given_up
    reach.note_no_way(isolated=isolated)
    assert not reach.serving
    assert reach.given_up
    assert reach.isolated is isolated
    assert reach.is_tried(is_read=True)
    assert not reach.is_tried(is_read=False)
    reach.note_answer()
    assert reach.serving
    assert not reach.cut_off
    assert not reach.given_up
    assert reach.is_tried(is_read=False)


def test_calls_go_through_others_until_the_next_attempt():
    """Guards against a timeout with each call while others are served."""
    clock, reach = make_reach()
    reach.note_unavailable(LOST)
    reach.note_carried()
    assert not reach.is_tried(is_read=True)
    clock.advance(PROBE_MS)
    assert reach.is_tried(is_read=True)


def test_one_unclear_answer_does_not_lose_the_store():
    """Guards against relayed calls for each lost answer of a write."""
    _, reach = make_reach()
    reach.note_unclear(UNCLEAR)
    assert not reach.cut_off
    reach.note_unclear(UNCLEAR)
    assert reach.cut_off


def test_overdue_answer_shows_a_cut_before_a_call_fails():
    """Guards against callers sent to a silent instance for seconds."""
    clock, reach = make_reach()
    write = reach.begin(Millis(0))
    watch = reach.begin(Millis(1000))
    clock.advance(Millis(OVERDUE_MS - 1))
    assert reach.serving
    clock.advance(Millis(1))
    assert not reach.serving
    reach.end(write)
    assert reach.serving
    clock.advance(Millis(1000))
    assert not reach.serving
    reach.end(watch)
    assert reach.serving
