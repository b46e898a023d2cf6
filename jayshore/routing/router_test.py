"""Tests of the outcomes of routed requests."""

import random

import pytest

from jayshore.outcomes import NotRun, NotRunReason, Ran, Unknown, UnknownReason
from jayshore.routing.executor import ExecutorLost
from jayshore.routing.fake_executor_test import (
    NO_RETRIES,
    FakeExecutor,
    rig,
    run,
    settle,
)
from jayshore.routing.router import DuplicateRequestError

LOST = Unknown(reason=UnknownReason.CONNECTION_LOST)
TIMED_OUT = Unknown(reason=UnknownReason.TIMEOUT)


def is_ran(outcome, request_id):
    return isinstance(outcome, Ran) and outcome.body == request_id.encode()


def refused(outcome):
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
        async with rig(executor) as made:
            outcome = await made.route('r', idempotent=idempotent)
            if expected == 'ran':
                assert is_ran(outcome, 'r')
            else:
                assert outcome == expected
            assert len(executor.started) == starts

    run(main)


def test_retry_goes_to_another_executor():
    """Guards against retries on the executor that has just failed."""

    async def main():
        bad, good = FakeExecutor(), FakeExecutor()
        bad.is_stubborn = True
        names = [f'r{number}' for number in range(10)]
        bad.modes = dict.fromkeys(names, 'unreachable')
        async with rig(bad, good) as made:
            for name in names:
                assert is_ran(await made.route(name), name)
            assert good.started == names

    run(main)


@pytest.mark.parametrize('mode', ['unreachable', 'lost_before', 'fenced'])
def test_not_run_is_answered_when_no_retry_is_allowed(mode):
    """Guards against `Unknown` where it is proved that nothing ran."""

    async def main():
        executor = FakeExecutor()
        executor.modes['r'] = mode
        async with rig(executor, policy=NO_RETRIES) as made:
            outcome = await made.route('r')
            assert refused(outcome) is NotRunReason.NO_EXECUTOR
            assert not executor.started
            await settle()
            assert made.free == 2

    run(main)


def test_refusal_after_a_run_is_unknown():
    """Guards against `NotRun` for a request of which an attempt has run."""

    async def main():
        executor = FakeExecutor()
        executor.modes['r'] = 'lost_after'
        async with rig(executor, policy=NO_RETRIES) as made:
            assert await made.route('r', idempotent=True) == LOST

    run(main)


def test_restarted_executor_proves_nothing():
    """Guards against taking a forgotten request for one that never ran."""

    class Restarting(FakeExecutor):
        async def run(self, request, *, lease_id, timeout_ms):
            self.started.append(request.request_id)
            await self.reboot()
            raise ExecutorLost('restarted')

    async def main():
        executor = Restarting()
        async with rig(executor) as made:
            assert await made.route('r') == LOST
            assert executor.started == ['r']
            await settle()
            assert made.free == 2

    run(main)


def test_executor_that_restarts_after_the_question_proves_nothing():
    """Guards against a restart between opening the lease and the question."""

    class RestartingLater(FakeExecutor):
        async def state_of(self, request_id):
            await self.reboot()
            return await super().state_of(request_id)

    async def main():
        executor = RestartingLater()
        executor.modes['r'] = 'lost_after'
        async with rig(executor) as made:
            assert await made.route('r') == LOST
            assert executor.started == ['r']

    run(main)


def test_slot_stays_taken_until_the_inventory_shows_the_end():
    """Guards against overload by requests whose callers were told Unknown."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        executor.modes['first'] = 'lost_running'
        async with rig(executor) as made:
            made.headroom.limits['team'] = 1
            assert await made.route('first', timeout_ms=0) == TIMED_OUT
            second = await made.start('second')
            await executor.changed()
            await settle()
            assert executor.started == ['first']
            assert made.headroom.taken['team'] == 1
            with pytest.raises(DuplicateRequestError):
                await made.route('first')
            await executor.finish('first')
            await settle()
            assert executor.started == ['first', 'second']
            await executor.finish('second')
            assert is_ran(await second.join(), 'second')
            assert executor.peak == 1

    run(main)


def test_idempotent_request_is_never_in_two_places():
    """Guards against a retry while the first attempt is still running."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        executor.modes['r'] = 'lost_running'
        async with rig(executor) as made:
            task = await made.start('r', idempotent=True)
            other = FakeExecutor()
            await made.add('other', other)
            assert not other.started
            await executor.finish('r')
            assert is_ran(await task.join(), 'r')
            assert other.started == ['r']

    run(main)


def test_crossed_answers_reach_their_requests():
    """Guards against giving a caller the answer to another request."""

    async def main():
        executor = FakeExecutor(slots=3, is_instant=False)
        executor.answers_as.update({'a': 'b', 'b': 'a'})
        async with rig(executor) as made:
            first = await made.start('a')
            second = await made.start('b')
            await executor.finish('a')
            assert is_ran(await second.join(), 'b')
            await settle()
            assert not first.terminated
            await executor.finish('b')
            assert is_ran(await first.join(), 'a')
            await settle()
            assert made.free == 3
            assert executor.started == ['a', 'b']

    run(main)


def test_stray_answer_is_dropped():
    """Guards against a foreign answer without any request that waits for it."""

    async def main():
        executor = FakeExecutor()
        executor.answers_as['r'] = 'nobody'
        async with rig(executor) as made:
            assert await made.route('r') == LOST
            await settle()
            assert made.free == 2

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


async def _end_some(made, rng):
    """Let requests end, answers cross and executors restart, at random."""
    running = [
        request_id
        for executor in made.executors.values()
        for request_id in executor.running
    ]
    assert len(running) == len(set(running)), 'running in two places'
    for executor in made.executors.values():
        if rng.random() < 0.02:
            await executor.reboot()
        here = tuple(executor.running)
        if len(here) == 2 and rng.random() < 0.2:
            executor.answers_as.update(zip(here, reversed(here), strict=True))
        for request_id in here:
            if rng.random() < 0.5:
                await executor.finish(request_id)
        await executor.changed()
    await settle()


@pytest.mark.parametrize('seed', range(12))
def test_random_failures_break_no_guarantee(seed):
    """Guards against overload, double runs and wrong outcomes."""
    rng = random.Random(seed)

    async def main():
        executors = [FakeExecutor(2, is_instant=False) for _ in range(3)]
        async with rig(*executors, seed=seed) as made:
            made.headroom.limits['t0'] = 2
            tasks = {}
            for number in range(60):
                request_id = f'r{number}'
                for executor in executors:
                    executor.modes[request_id] = rng.choice(MODES)
                idempotent = rng.random() < 0.5
                tasks[request_id, idempotent] = await made.start(
                    request_id,
                    team=f't{rng.randrange(3)}',
                    idempotent=idempotent,
                )
                await _end_some(made, rng)
            for _ in range(40):
                await _end_some(made, rng)
            for (request_id, idempotent), task in tasks.items():
                outcome = await task.join()
                starts = sum(
                    executor.started.count(request_id) for executor in executors
                )
                assert starts or not isinstance(outcome, Ran)
                assert is_ran(outcome, request_id) or outcome.reason
                assert not (starts and isinstance(outcome, NotRun))
                assert starts <= 1 or idempotent
                assert outcome != TIMED_OUT
            assert made.used == 0
            assert not any(made.headroom.taken.values())
            assert max(executor.peak for executor in executors) == 2

    run(main)
