"""Tests of the tracking of store reachability."""

import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.store.reachability import (
    ANSWER_OVERDUE_MS,
    DIRECT_RETRY_INTERVAL_MS,
    PEER_CALL_RECENT_MS,
    StoreReachability,
)
from jayshore.store.store import StoreUnavailable, StoreUncertain

UNAVAILABLE = StoreUnavailable('lost')
UNCERTAIN = StoreUncertain('no answer')


def make_reachability():
    clock = ManualClock(start=Millis(10_000))
    return clock, StoreReachability(clock=clock)


@pytest.mark.parametrize('isolated', [False, True])
def test_unavailable_store(isolated):
    """Guards against writes with unknown outcomes throughout an outage."""
    _, reachability = make_reachability()
    reachability.note_unavailable(UNAVAILABLE)
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


def test_calls_are_relayed_until_the_next_direct_attempt():
    """Guards against a timeout on each call while a relay would work."""
    clock, reachability = make_reachability()
    reachability.note_unavailable(UNAVAILABLE)
    reachability.note_relayed()
    assert not reachability.should_call_directly(is_read=True)
    clock.advance(DIRECT_RETRY_INTERVAL_MS)
    assert reachability.should_call_directly(is_read=True)


def test_one_uncertain_call_does_not_make_the_store_unavailable():
    """Guards against relaying all calls after one lost answer of a write."""
    _, reachability = make_reachability()
    reachability.note_uncertain(UNCERTAIN)
    assert not reachability.direct_unavailable
    reachability.note_uncertain(UNCERTAIN)
    assert reachability.direct_unavailable


def test_overdue_answer_shows_a_partition_before_a_call_fails():
    """Guards against routing callers to a partitioned instance for seconds."""
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


def test_instance_that_others_call_is_not_isolated():
    """Guards against callers sent elsewhere at once during an outage.

    A busy instance gets no answer of the others in time, but they call it.
    """
    clock, reachability = make_reachability()
    reachability.note_peer_call()
    reachability.note_no_route(isolated=True)
    assert reachability.no_route
    assert not reachability.isolated
    clock.advance(PEER_CALL_RECENT_MS)
    assert reachability.isolated
