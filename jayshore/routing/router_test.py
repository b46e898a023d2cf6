"""Tests of the outcomes of routed requests."""

import random

import pytest

from jayshore.outcomes import NotRun, NotRunReason, Ran, Unknown, UnknownReason
from jayshore.routing.executor import ExecutorLost
from jayshore.routing.fake_executor_test import (
    NO_RETRIES,
    FakeExecutor,
    let_tasks_run,
    run,
    run_router,
)
from jayshore.routing.router import DuplicateRequestError

LOST = Unknown(reason=UnknownReason.CONNECTION_LOST)
TIMED_OUT = Unknown(reason=UnknownReason.TIMEOUT)


def has_run(outcome, request_id):
    return isinstance(outcome, Ran) and outcome.body == request_id.encode()


def refusal_reason(outcome):
    assert isinstance(outcome, NotRun), outcome
    return outcome.reason


@pytest.mark.parametrize(
    ('mode', 'idempotent', 'expected', 'starts'),
    [
        (None, False, 'ran', 1),
        ('unreachable', False, 'ran', 1),
        ('fenced', False, 'ran', 1),
        ('lost_before', False, 'ran', 1),
        ('lost_before', True, 'ran', 1),
        ('lost_after', False, LOST, 1),
        ('lost_after', True, 'ran', 2),
    ],
)
def test_outcome_follows_from_proof(mode, idempotent, expected, starts):
    """Guards against a second run without proof that the first did not run."""

    async def main():
        executor = FakeExecutor()
        executor.modes['r'] = mode
        async with run_router(executor) as harness:
            outcome = await harness.route('r', idempotent=idempotent)
            if expected == 'ran':
                assert has_run(outcome, 'r')
            else:
                assert outcome == expected
            assert len(executor.started) == starts

    run(main)


def test_retry_goes_to_another_executor():
    """Guards against retries on the executor that has just failed."""

    async def main():
        bad, good = FakeExecutor(), FakeExecutor()
        bad.repeats_faults = True
        names = [f'r{number}' for number in range(10)]
        bad.modes = dict.fromkeys(names, 'unreachable')
        async with run_router(bad, good) as harness:
            for name in names:
                assert has_run(await harness.route(name), name)
            assert good.started == names

    run(main)


@pytest.mark.parametrize('mode', ['unreachable', 'lost_before', 'fenced'])
def test_not_run_is_answered_when_no_retry_is_allowed(mode):
    """Guards against `Unknown` where it is proved that nothing has run."""

    async def main():
        executor = FakeExecutor()
        executor.modes['r'] = mode
        async with run_router(executor, policy=NO_RETRIES) as harness:
            outcome = await harness.route('r')
            assert refusal_reason(outcome) is NotRunReason.NO_EXECUTOR
            assert not executor.started
            await let_tasks_run()
            assert harness.free == 2

    run(main)


def test_refusal_after_a_run_is_unknown():
    """Guards against `NotRun` for a request of which an attempt has run."""

    async def main():
        executor = FakeExecutor()
        executor.modes['r'] = 'lost_after'
        async with run_router(executor, policy=NO_RETRIES) as harness:
            assert await harness.route('r', idempotent=True) == LOST

    run(main)


def test_restarted_executor_proves_nothing():
    """Guards against `NotRun` for a request that a restart has erased."""

    class Restarting(FakeExecutor):
        async def run(self, request, *, lease_id, timeout_ms):
            self.started.append(request.request_id)
            await self.reboot()
            raise ExecutorLost('restarted')

    async def main():
        executor = Restarting()
        async with run_router(executor) as harness:
            assert await harness.route('r') == LOST
            assert executor.started == ['r']
            await let_tasks_run()
            assert harness.free == 2

    run(main)


def test_request_that_crashes_its_executors_is_given_up():
    """Guards against a request that crashes executor after executor."""

    class Crashing(FakeExecutor):
        async def run(self, request, *, lease_id, timeout_ms):
            self.started.append(request.request_id)
            await self.reboot()
            raise ExecutorLost('restarted')

    async def main():
        executors = [Crashing() for _ in range(5)]
        async with run_router(*executors) as harness:
            assert await harness.route('r', idempotent=True) == LOST
            starts = sum(len(executor.started) for executor in executors)
            assert starts == 2

    run(main)


def test_executor_that_restarts_after_the_query_proves_nothing():
    """Guards against a restart between opening the lease and the query."""

    class RestartingLater(FakeExecutor):
        async def state_of(self, request_id):
            await self.reboot()
            return await super().state_of(request_id)

    async def main():
        executor = RestartingLater()
        executor.modes['r'] = 'lost_after'
        async with run_router(executor) as harness:
            assert await harness.route('r') == LOST
            assert executor.started == ['r']

    run(main)


def test_slot_stays_reserved_until_the_inventory_shows_the_end():
    """Guards against overload by requests with the outcome `Unknown`."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        executor.modes['first'] = 'lost_running'
        async with run_router(executor) as harness:
            harness.headroom.limits['team'] = 1
            assert await harness.route('first', timeout_ms=0) == TIMED_OUT
            second = await harness.start('second')
            await executor.changed()
            await let_tasks_run()
            assert executor.started == ['first']
            assert harness.headroom.in_use['team'] == 1
            with pytest.raises(DuplicateRequestError):
                await harness.route('first')
            await executor.finish('first')
            await let_tasks_run()
            assert executor.started == ['first', 'second']
            await executor.finish('second')
            assert has_run(await second.join(), 'second')
            assert executor.peak == 1

    run(main)


def test_idempotent_request_is_never_in_two_places():
    """Guards against a retry while the first attempt is still running."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        executor.modes['r'] = 'lost_running'
        async with run_router(executor) as harness:
            task = await harness.start('r', idempotent=True)
            other = FakeExecutor()
            await harness.add('other', other)
            assert not other.started
            await executor.finish('r')
            assert has_run(await task.join(), 'r')
            assert other.started == ['r']

    run(main)


def test_crossed_answers_reach_their_requests():
    """Guards against giving a caller the answer to another request."""

    async def main():
        executor = FakeExecutor(slots=3, is_instant=False)
        executor.answer_ids.update({'a': 'b', 'b': 'a'})
        async with run_router(executor) as harness:
            first = await harness.start('a')
            second = await harness.start('b')
            await executor.finish('a')
            assert has_run(await second.join(), 'b')
            await let_tasks_run()
            assert not first.terminated
            await executor.finish('b')
            assert has_run(await first.join(), 'a')
            await let_tasks_run()
            assert harness.free == 3
            assert executor.started == ['a', 'b']

    run(main)


def test_stray_answer_is_dropped():
    """Guards against an answer whose id no request in progress has."""

    async def main():
        executor = FakeExecutor()
        executor.answer_ids['r'] = 'nobody'
        async with run_router(executor) as harness:
            assert await harness.route('r') == LOST
            await let_tasks_run()
            assert harness.free == 2

    run(main)


MODES = (
    None,
    None,
    None,
    'unreachable',
    'fenced',
    'lost_before',
    'lost_after',
    'lost_running',
)


async def _end_some_requests(harness, rng):
    """Let requests end, answers cross and executors restart at random."""
    running = [
        request_id
        for executor in harness.executors.values()
        for request_id in executor.running
    ]
    assert len(running) == len(set(running)), 'running in two places'
    for executor in harness.executors.values():
        if rng.random() < 0.02:
            await executor.reboot()
        here = tuple(executor.running)
        if len(here) == 2 and rng.random() < 0.2:
            executor.answer_ids.update(zip(here, reversed(here), strict=True))
        for request_id in here:
            if rng.random() < 0.5:
                await executor.finish(request_id)
        await executor.changed()
    await let_tasks_run()


@pytest.mark.parametrize('seed', range(12))
def test_random_failures_break_no_guarantee(seed):
    """Guards against overload, double runs and wrong outcomes."""
    rng = random.Random(seed)

    async def main():
        executors = [FakeExecutor(2, is_instant=False) for _ in range(3)]
        async with run_router(*executors, seed=seed) as harness:
            harness.headroom.limits['t0'] = 2
            tasks = {}
            for number in range(60):
                request_id = f'r{number}'
                for executor in executors:
                    executor.modes[request_id] = rng.choice(MODES)
                idempotent = rng.random() < 0.5
                tasks[request_id, idempotent] = await harness.start(
                    request_id,
                    team=f't{rng.randrange(3)}',
                    idempotent=idempotent,
                )
                await _end_some_requests(harness, rng)
            for _ in range(40):
                await _end_some_requests(harness, rng)
            for (request_id, idempotent), task in tasks.items():
                outcome = await task.join()
                starts = sum(
                    executor.started.count(request_id) for executor in executors
                )
                assert starts or not isinstance(outcome, Ran)
                assert has_run(outcome, request_id) or outcome.reason
                assert not (starts and isinstance(outcome, NotRun))
                assert starts <= 1 or idempotent
                assert outcome != TIMED_OUT
            assert harness.used == 0
            assert not any(harness.headroom.in_use.values())
            assert max(executor.peak for executor in executors) == 2

    run(main)
