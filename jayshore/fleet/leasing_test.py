"""Tests of the lease of a worker on two clocks."""

import pytest

from jayshore.clock import Millis
from jayshore.fleet.leasing import (
    LEASE_MS,
    MAX_LEASE_MS,
    WorkerLease,
    latest_expiry,
)
from jayshore.fleet.unanswered import LATEST_MS

LATER = Millis(1_000_000)


def make_lease(reading=5000, at=1000):
    """Make a lease with a reading of the worker's clock."""
    lease = WorkerLease(max_ms=MAX_LEASE_MS)
    lease.note_clock(reading, Millis(at))
    return lease


def test_nothing_is_granted_before_the_clock_is_known():
    """Guards against lease ends that mean another time at the worker."""
    lease = WorkerLease(max_ms=MAX_LEASE_MS)
    assert lease.grant(Millis(0), LATER, extend=True) is None
    assert lease.expires_by() == 0


GRANTS = (
    ('full', 1000, LATER, 5000 + LEASE_MS),
    ('later', 1400, LATER, 5400 + LEASE_MS),
    ('as long as the leader may', 1000, 2500, 6500),
    ('leader too old', 1000, 1000, None),
)


@pytest.mark.parametrize(
    ('now', 'until', 'ends'),
    [row[1:] for row in GRANTS],
    ids=[row[0] for row in GRANTS],
)
def test_grant_on_the_clock_of_the_worker(now, until, ends):
    """Guards against leases that outlast the wait of a successor."""
    lease = make_lease()
    assert lease.grant(Millis(now), Millis(until), extend=True) == ends


def test_lease_of_unresponsive_worker_is_not_extended():
    """Guards against extending the lease of a worker that does not reply."""
    lease = make_lease()
    lease.grant(Millis(1000), LATER, extend=True)
    expires_by = lease.expires_by()
    for now in (3000, 6000, 9000):
        lease.grant(Millis(now), LATER, extend=False)
    assert lease.expires_by() == expires_by


def test_lease_of_a_former_incarnation_may_last_at_the_next_one():
    """Guards against runs that go on after their worker was given up."""
    lease = make_lease()
    lease.grant(Millis(1000), LATER, extend=True)
    lease.reset(Millis(2000))
    longest = latest_expiry(Millis(2000), MAX_LEASE_MS)
    assert lease.expires_by() == longest
    lease.note_clock(100, Millis(2100))
    lease.grant(Millis(2100), LATER, extend=True)
    assert lease.expires_by() >= longest


STARTS = (
    ('lost before the contact', 1500, 1900, False, 1500 + LATEST_MS),
    ('in flight at the contact', 1500, 2500, False, 1500 + LATEST_MS),
    ('answered after the contact', 1500, 2500, True, 2500),
    ('answered before the contact', 1500, 1900, True, 2000),
    ('lost after the contact', 2100, 2500, False, 2000),
)


@pytest.mark.parametrize(
    ('sent_at', 'noted_at', 'answered', 'arrives_by'),
    [row[1:] for row in STARTS],
    ids=[row[0] for row in STARTS],
)
def test_start_that_names_a_former_clock_may_extend_the_lease(
    sent_at, noted_at, answered, arrives_by
):
    """Guards against runs that are given up while their lease lasts.

    The worker is another incarnation from 2000 ms on.
    """
    lease = make_lease()
    lease.grant(Millis(1000), LATER, extend=True)
    contact = Millis(2000)
    if noted_at > contact:
        lease.reset(contact)
    lease.note_start(Millis(sent_at), Millis(noted_at), answered=answered)
    if noted_at <= contact:
        lease.reset(contact)
    assert lease.expires_by() == latest_expiry(Millis(arrives_by), MAX_LEASE_MS)


@pytest.mark.parametrize('rate', [0.98, 0.99, 1.0, 1.02])
def test_lease_is_over_on_every_clock(rate):
    """Guards against a second run while a slow clock keeps the first alive."""
    lease = make_lease(reading=0, at=0)
    ends = lease.grant(Millis(0), LATER, extend=True)
    assert ends is not None
    assert lease.expires_by() * rate >= ends
    assert latest_expiry(Millis(0), Millis(ends)) * rate >= ends


@pytest.mark.parametrize(
    ('max_ms', 'length_ms'), [(6000, 6000), (10_000, LEASE_MS)]
)
def test_lease_is_no_longer_than_the_worker_accepts(max_ms, length_ms):
    """Guards against runs of a dead worker that are given up late.

    A worker shortens a longer lease, so its runs end before the leader thinks.
    """
    lease = WorkerLease(max_ms=Millis(max_ms))
    lease.note_clock(5000, Millis(1000))
    ends = lease.grant(Millis(1000), LATER, extend=True)
    assert ends == 5000 + length_ms
