"""Tests of refusals that are repeated without routing the request."""

import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from jayshore.routing.executor import RoutedRequest
from jayshore.routing.recentrefusals import RecentRefusals

FULL = NotRun(
    reason=NotRunReason.WOULD_MISS_DEADLINE, retry_after_ms=Millis(300)
)


def make_request(team='fenland', timeout_ms=250, service='previews'):
    return RoutedRequest(
        request_id='r1',
        service=service,
        team=team,
        idempotent=False,
        timeout_ms=Millis(timeout_ms),
        body=b'',
        content_type='text/plain',
    )


@pytest.mark.parametrize(
    ('request_fields', 'later_ms', 'repeated'),
    [
        ({}, 0, True),
        ({}, 24, True),
        # The queue may have moved on.
        ({}, 25, False),
        ({'timeout_ms': 100}, 0, True),
        # More time may be enough.
        ({'timeout_ms': 251}, 0, False),
        ({'team': 'millrace'}, 0, False),
        ({'service': 'quotes'}, 0, False),
    ],
)
def test_refusal_holds_for_like_requests_only(
    request_fields, later_ms, repeated
):
    """Guards against a refusal of a request that would have been served."""
    clock = ManualClock()
    refusals = RecentRefusals(clock=clock)
    refusals.note(make_request(), FULL)
    clock.advance(Millis(later_ms))
    found = refusals.find(make_request(**request_fields))
    assert found is (FULL if repeated else None)


@pytest.mark.parametrize(
    'outcome',
    [
        NotRun(reason=NotRunReason.OVER_LIMIT),
        NotRun(reason=NotRunReason.NO_LEADER),
        Unknown(reason=UnknownReason.PEER_LOST),
    ],
)
def test_other_outcomes_are_not_repeated(outcome):
    """Guards against repeating an answer that says nothing of the queue."""
    refusals = RecentRefusals(clock=ManualClock())
    refusals.note(make_request(), outcome)
    assert refusals.find(make_request()) is None
