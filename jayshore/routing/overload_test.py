"""Tests of queues, early refusals, limits and fairness among teams."""

import random

import curio
import pytest

from jayshore.clock import Millis
from jayshore.outcomes import NotRun, NotRunReason, Ran
from jayshore.routing.executor import RoutedRequest
from jayshore.routing.fake_executor_test import (
    NO_DELAY,
    FakeExecutor,
    FixedShares,
    let_tasks_run,
    run,
    run_router,
)
from jayshore.routing.policy import RoutingPolicy
from jayshore.routing.queues import FairQueue, Waiter

SHORT_QUEUE = RoutingPolicy(max_queued_per_team=2, retry_backoff=NO_DELAY)
SHORT_GRANT_WAIT = RoutingPolicy(grant_wait_ms=Millis(10))
RUN_MS = 100
MAX_WAIT_S = 0.3


def refusal_reason(outcome):
    assert isinstance(outcome, NotRun), outcome
    return outcome.reason


def test_full_queue_refuses_its_own_team_only():
    """Guards against unbounded queues, and a team filling another's queue."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        async with run_router(executor, policy=SHORT_QUEUE) as harness:
            for number in range(3):
                await harness.start(f'a{number}', team='a')
            outcome = await harness.route('a3', team='a')
            assert refusal_reason(outcome) is NotRunReason.OVERLOADED
            other = await harness.start('b', team='b')
            assert not other.terminated
            assert harness.router.load()[0].waiting == 3

    run(main)


@pytest.mark.parametrize(
    ('limit', 'reason'),
    [
        (None, NotRunReason.WOULD_MISS_DEADLINE),
        (0, NotRunReason.OVER_LIMIT),
    ],
)
def test_deadline_in_the_queue_is_a_refusal_with_the_cause(limit, reason):
    """Guards against `Unknown` for a request that never left the queue."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        async with run_router(executor) as harness:
            await harness.start('running', team='other')
            if limit is not None:
                harness.headroom.limits['team'] = limit
            outcome = await harness.route('r', timeout_ms=0)
            assert refusal_reason(outcome) is reason
            assert harness.router.load()[0].waiting == 0

    run(main)


@pytest.mark.parametrize(
    ('limit', 'is_refused'),
    [(0, True), (1, False)],
)
def test_request_does_not_wait_long_where_its_team_has_no_grant(
    limit, is_refused
):
    """Guards against waiting to the deadline while other domains are free."""

    async def main():
        async with run_router(
            FakeExecutor(), policy=SHORT_GRANT_WAIT
        ) as harness:
            harness.headroom.limits['team'] = limit
            harness.headroom.in_use['team'] = limit
            task = await harness.start('r')
            async with curio.ignore_after(MAX_WAIT_S):
                await task.wait()
            assert task.terminated is is_refused
            if is_refused:
                assert refusal_reason(task.result) is NotRunReason.OVER_LIMIT
            await task.cancel()

    run(main)


def test_request_that_would_miss_its_deadline_is_refused_early():
    """Guards against queueing requests that would miss their deadline."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        async with run_router(executor) as harness:
            task = await harness.start('first')
            harness.clock.advance(RUN_MS)
            await executor.finish('first')
            await task.join()
            for number in range(3):
                await harness.start(f'r{number}')
            # One runs and two wait, so another starts after 3 runs of 100 ms.
            outcome = await harness.route('late', timeout_ms=399)
            assert refusal_reason(outcome) is NotRunReason.WOULD_MISS_DEADLINE
            assert outcome.retry_after_ms == 3 * RUN_MS
            in_time = await harness.start('in-time', timeout_ms=400)
            assert not in_time.terminated

    run(main)


def test_raised_limit_starts_waiting_requests():
    """Guards against requests that keep waiting although there is headroom."""

    async def main():
        executor = FakeExecutor(slots=4)
        async with run_router(executor) as harness:
            harness.headroom.limits['team'] = 0
            task = await harness.start('r')
            other = await harness.start('other', team='other')
            assert isinstance(await other.join(), Ran)
            assert not executor.started.count('r')
            harness.headroom.limits['team'] = 1
            await harness.router.dispatch_waiting()
            assert isinstance(await task.join(), Ran)

    run(main)


@pytest.mark.parametrize('mode', ['unreachable', 'lost_before'])
def test_failing_executor_is_ejected_and_comes_back(mode):
    """Guards against sending half of the requests to a broken executor."""

    async def main():
        bad, good = FakeExecutor(), FakeExecutor()
        bad.repeats_faults = True
        bad.modes = {f'r{number}': mode for number in range(40)}
        policy = RoutingPolicy(retry_backoff=NO_DELAY)
        async with run_router(bad, good, policy=policy) as harness:
            for number in range(40):
                assert isinstance(await harness.route(f'r{number}'), Ran)
            assert bad.calls == policy.ejection.consecutive_failures
            harness.clock.advance(policy.ejection.backoff.max_ms)
            for number in range(20):
                await harness.route(f'later{number}')
            assert len(bad.started) > 3

    run(main)


def test_failing_service_ends_in_refusals_within_the_retry_budget():
    """Guards against retries that multiply the load of a broken service."""

    async def main():
        bad = FakeExecutor()
        bad.repeats_faults = True
        bad.modes = {f'r{number}': 'unreachable' for number in range(300)}
        policy = RoutingPolicy(retry_backoff=NO_DELAY)
        async with run_router(bad, policy=policy) as harness:
            for number in range(300):
                outcome = await harness.route(f'r{number}')
                assert refusal_reason(outcome) is NotRunReason.NO_EXECUTOR
            ratio = policy.retry_ratio
            earned = 300 * ratio.retries_per_request
            assert bad.calls <= 300 + ratio.burst + earned

    run(main)


async def _measure_small_team_waits(flood):
    """Return the waits of a small team beside a flood of another team."""
    executor = FakeExecutor(slots=4, is_instant=False)
    waits = []
    async with run_router(executor, policy=RoutingPolicy()) as harness:
        for number in range(flood):
            await harness.start(f'flood{number}', team='flood')
        due = {}
        for step in range(200):
            if step % 10 == 5:
                name = f'small{step}'
                due[name] = harness.clock.now()
                await harness.start(name, team='small')
            for name in tuple(due):
                if name in executor.started:
                    waits.append(harness.clock.now() - due.pop(name))
            # Each run takes 40 ms; one slot becomes free every 10 ms.
            harness.clock.advance(10)
            if len(executor.running) == 4:
                await executor.finish(next(iter(executor.running)))
                await let_tasks_run()
    assert len(waits) >= 19
    return waits


def test_flood_of_one_team_leaves_the_waiting_time_of_another():
    """Guards against a team that has to wait behind another team's queue."""

    async def main():
        modest = await _measure_small_team_waits(flood=20)
        flooded = await _measure_small_team_waits(flood=240)
        assert max(flooded) <= max(modest) + 10
        assert max(flooded) <= 20

    run(main)


def _waiter(team, number):
    return Waiter(
        request=RoutedRequest(
            request_id=f'{team}{number}',
            service='fill',
            team=team,
            idempotent=False,
            timeout_ms=1,
        ),
    )


def test_starts_follow_shares_of_slot_time():
    """Guards against equal turns for unequal shares or unequal runs."""
    shares = FixedShares()
    shares.shares.update({'a': 1, 'b': 3, 'long': 1})
    queue = FairQueue(shares=shares, max_per_team=1000)
    for number in range(1000):
        for team in ('a', 'b', 'long'):
            queue.push(_waiter(team, number))
    starts = {'a': 0, 'b': 0, 'long': 0}
    for _ in range(500):
        team = queue.pop(lambda _: True).request.team
        starts[team] += 1
        queue.charge(team, 10)
        if team == 'long':
            queue.charge(team, 30)
    # Slot time of 1 : 3 : 1, with runs of 10, 10 and 40 ms.
    assert starts['b'] == pytest.approx(3 * starts['a'], abs=4)
    assert starts['long'] == pytest.approx(starts['a'] / 4, abs=2)


def test_idle_team_gains_no_credit():
    """Guards against a team that takes every slot after being idle."""
    queue = FairQueue(shares=FixedShares(), max_per_team=1000)
    queue.charge('idle', 10)
    for number in range(500):
        queue.push(_waiter('busy', number))
    order = []
    for turn in range(140):
        if turn == 100:
            for number in range(100):
                queue.push(_waiter('idle', number))
        order.append(queue.pop(lambda _: True).request.team)
        queue.charge(order[-1], 10)
    assert order[100:].count('idle') == pytest.approx(20, abs=1)


def test_teams_at_their_limit_are_skipped():
    """Guards against head-of-line blocking by a team at its limit."""
    queue = FairQueue(shares=FixedShares(), max_per_team=10)
    queue.push(_waiter('a', 0))
    queue.push(_waiter('b', 0))
    assert queue.pop(lambda team: team == 'b').request.team == 'b'
    assert queue.pop(lambda team: team == 'b') is None
    assert len(queue) == 1


def test_estimate_of_starts_is_close_to_the_real_order():
    """Guards against early refusals because of a wrong estimate."""
    rng = random.Random(5)
    for _ in range(100):
        shares = FixedShares()
        queue = FairQueue(shares=shares, max_per_team=100)
        for team in 'abcd':
            shares.shares[team] = rng.randint(1, 3)
            for number in range(rng.randint(0, 20)):
                queue.push(_waiter(team, number))
        estimate = queue.requests_ahead('a')
        mine = _waiter('a', 'new')
        queue.push(mine)
        before = 0
        while (popped := queue.pop(lambda _: True)) is not mine:
            queue.charge(popped.request.team, 10)
            before += 1
        assert abs(estimate - before) <= 4
