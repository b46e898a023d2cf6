"""Tests of the choice of the instance that requests advice."""

import curio
import pytest

from jayshore.clock import Millis, MonotonicClock
from jayshore.fleet.advising import AdviceRelay, Advisor
from jayshore.fleet.demands import AdviceRequest
from jayshore.fleet.interfaces import Advice, AdviceUnavailable
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.model import AdvicePolicy, GroupId
from jayshore.fleet.ranking import DeadlineStatus, Rank
from tests.memory_fleet_test import make_job

QUICK = AdvicePolicy(decision_ms=5, per_worker_ms=0, validity_ms=Millis(1000))
LONG = AdvicePolicy(decision_ms=500, per_worker_ms=0, validity_ms=Millis(1000))


class Relay(AdviceRelay):
    """Relay whose instances in `cut` cannot reach the advice service."""

    def __init__(self, names, cut=()):
        self.names = names
        self.cut = cut
        self.requested_through = []
        self.busy = 0
        self.most = 0

    def relay_instances(self):
        return self.names

    async def advise_through(self, caller, group, workers, timeout_ms):
        self.requested_through.append(caller)
        self.busy += 1
        self.most = max(self.most, self.busy)
        await curio.sleep(0.02)
        self.busy -= 1
        if caller in self.cut:
            raise AdviceUnavailable('cut off')
        return Advice(tickets={'w': 't'}, validity_ms=Millis(1000))


def make_group(priority=0):
    """Make a waiting group and the request for its advice."""
    entry = JobEntry(job=make_job(), accepted_at=Millis(0))
    JobTable().add(entry)
    group = entry.groups[GroupId(entry.job.job_id, 0, 0)]
    rank = Rank(False, False, DeadlineStatus.IN_TIME, priority, Millis(0))
    request = AdviceRequest(group_id=group.group_id, rank=rank, workers=('w',))
    return request, group


def ask(relay, calls, policy):
    """Request advice on some groups, and return the groups."""

    async def scenario():
        advisor = Advisor(
            relay=relay, clock=MonotonicClock(), changed=lambda: None
        )
        made = [make_group() for _ in range(calls)]
        for request, group in made:
            await advisor.ask(request, group, policy)
        async with curio.timeout_after(5):
            while any(group.advice_pending for _, group in made):
                await curio.sleep(0.01)
        await advisor.close()
        return [group for _, group in made]

    return curio.run(scenario, taskcls=curio.task.ContextTask)


def test_instance_that_is_cut_off_is_asked_once():
    """Guards against advice that waits for one timeout after another.

    With 13 of 38 instances cut off, most calls went through these, because
    they were the first to become free again.
    """
    relay = Relay(('a', 'b', 'c'), cut=('a',))
    groups = ask(relay, 30, QUICK)
    assert relay.requested_through.count('a') == 1
    assert sum(bool(group.tickets) for group in groups) == 29


def test_all_are_tried_when_all_have_failed():
    """Guards against a leader that avoids every instance."""
    relay = Relay(('a', 'b'), cut=('a', 'b'))
    ask(relay, 6, QUICK)
    assert len(relay.requested_through) == 6


@pytest.mark.parametrize(('policy', 'most'), [(QUICK, 4), (LONG, 2)])
def test_long_calls_leave_instances_to_urgent_ones(policy, most):
    """Guards against urgent work that waits for the advice on large jobs."""
    relay = Relay(('a', 'b', 'c', 'd'))
    ask(relay, 12, policy)
    assert relay.most == most


@pytest.mark.parametrize(
    ('policy', 'calls', 'long_left', 'all_left'),
    [
        # Four instances have 10 s of calling time while a ticket holds, two of
        # them for long calls.
        (QUICK, 0, True, True),
        (QUICK, 1900, True, True),
        (QUICK, 2000, False, False),
        (LONG, 9, True, True),
        (LONG, 10, False, True),
        (LONG, 20, False, False),
    ],
)
def test_requests_are_bounded_by_what_can_be_answered(
    policy, calls, long_left, all_left
):
    """Guards against calls that begin after the tickets of others expired.

    After a change of leader 1,621 groups waited for advice in one second.
    """

    async def scenario():
        advisor = Advisor(
            relay=Relay(('a', 'b', 'c', 'd')),
            clock=MonotonicClock(),
            changed=lambda: None,
        )
        request, group = make_group()
        for _ in range(calls):
            await advisor.ask(request, group, policy)
        budget = advisor.budget()
        await advisor.close()
        return budget

    budget = curio.run(scenario, taskcls=curio.task.ContextTask)
    assert budget.has_time_for(LONG.decision_ms) is long_left
    assert budget.has_time_for(QUICK.decision_ms) is all_left
