"""What is known of the ways to the store, and who is told what."""

import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.store.reachability import (
    ANSWER_OVERDUE_MS,
    DIRECT_RETRY_INTERVAL_MS,
    StoreReachability,
)
from jayshore.store.store import StoreUnavailable, StoreUncertain

LOST = StoreUnavailable('lost')
UNCERTAIN = StoreUncertain('no answer')


def make_reachability():
    clock = ManualClock(start=Millis(10_000))
    return clock, StoreReachability(clock=clock)


@pytest.mark.parametrize('isolated', [False, True])
def test_lost_store(isolated):
    """Guards against writes with unknown outcomes all through an outage."""
    _, reachability = make_reachability()
    reachability.note_unavailable(LOST)
    assert reachability.direct_unavailable
    assert reachability.reachable
    assert not reachability.no_route
    reachability.note_no_route(isolated=isolated)
    assert not reachability.reachable
    assert reachability.no_route
    assert reachability.isolated is isolated
    assert reachability.should_call_directly(is_read=True)
    assert not reachability.should_call_directly(is_read=False)
    reachability.note_answer()
    assert reachability.reachable
    assert not reachability.direct_unavailable
    assert not reachability.no_route
    assert reachability.should_call_directly(is_read=False)


def test_calls_go_through_others_until_the_next_attempt():
    """Guards against a timeout with each call while others are served."""
    clock, reachability = make_reachability()
    reachability.note_unavailable(LOST)
    reachability.note_relayed()
    assert not reachability.should_call_directly(is_read=True)
    clock.advance(DIRECT_RETRY_INTERVAL_MS)
    assert reachability.should_call_directly(is_read=True)


def test_one_unclear_answer_does_not_lose_the_store():
    """Guards against relayed calls for each lost answer of a write."""
    _, reachability = make_reachability()
    reachability.note_uncertain(UNCERTAIN)
    assert not reachability.direct_unavailable
    reachability.note_uncertain(UNCERTAIN)
    assert reachability.direct_unavailable


def test_overdue_answer_shows_a_cut_before_a_call_fails():
    """Guards against callers sent to a silent instance for seconds."""
    clock, reachability = make_reachability()
    write = reachability.begin_call(Millis(0))
    watch = reachability.begin_call(Millis(1000))
    clock.advance(Millis(ANSWER_OVERDUE_MS - 1))
    assert reachability.reachable
    clock.advance(Millis(1))
    assert not reachability.reachable
    reachability.end_call(write)
    assert reachability.reachable
    clock.advance(Millis(1000))
    assert not reachability.reachable
    reachability.end_call(watch)
    assert reachability.reachable
