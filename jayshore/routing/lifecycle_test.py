"""Tests of failover, leaving executors, drain and cancelled callers."""

import curio
import pytest

from jayshore.outcomes import NotRunReason
from jayshore.routing.fake_executor_test import (
    FakeExecutor,
    let_tasks_run,
    run,
    run_router,
)
from jayshore.routing.queues import Waiter
from jayshore.routing.router_test import TIMED_OUT, has_run, refusal_reason


def test_requests_of_a_former_leader_are_counted():
    """Guards against overload and a limit exceeded after a failover."""

    async def main():
        executor = FakeExecutor(slots=2)
        executor.running['old'] = 'team'
        async with run_router(executor) as harness:
            harness.headroom.limits['team'] = 1
            assert harness.free == 1
            task = await harness.start('r')
            assert not executor.started
            await executor.end('old')
            assert has_run(await task.join(), 'r')
            assert harness.headroom.in_use['team'] == 0

    run(main)


def test_superseded_router_starts_nothing():
    """Guards against work by a leader that was replaced."""

    async def main():
        executor = FakeExecutor()
        async with run_router(executor) as harness:
            executor.epoch = 4
            executor.lease_id += 1
            outcome = await harness.route('r', timeout_ms=20)
            assert refusal_reason(outcome) is NotRunReason.WOULD_MISS_DEADLINE
            assert not executor.started
            assert harness.router.is_superseded

    run(main)


@pytest.mark.parametrize(
    ('idempotent', 'expected'),
    [(True, 'ran'), (False, TIMED_OUT)],
)
def test_silent_executor_that_is_gone(idempotent, expected):
    """Guards against waiting for a host that the list shows as gone."""

    async def main():
        silent = FakeExecutor(is_instant=False)
        async with run_router(silent) as harness:
            task = await harness.start(
                'r', idempotent=idempotent, timeout_ms=50
            )
            other = FakeExecutor()
            await harness.add('other', other)
            await harness.router.remove_executor('e0')
            outcome = await task.join()
            if expected == 'ran':
                assert has_run(outcome, 'r')
            else:
                assert outcome == expected
            assert harness.headroom.in_use['team'] == 0

    run(main)


def test_leaving_executor_gets_nothing_new():
    """Guards against new requests for an upstream that is leaving."""

    async def main():
        by_list = FakeExecutor(is_instant=False)
        by_lease = FakeExecutor(slots=0)
        async with run_router(by_list, by_lease) as harness:
            task = await harness.start('running')
            harness.router.mark_leaving('e0')
            by_lease.leaving = True
            by_lease.slots = 2
            await by_lease.reboot()
            await let_tasks_run()
            outcome = await harness.route('new')
            assert refusal_reason(outcome) is NotRunReason.NO_EXECUTOR
            await by_list.finish('running')
            assert has_run(await task.join(), 'running')
            assert not by_lease.started

    run(main)


def test_drain_refuses_new_requests_and_waits_for_the_others():
    """Guards against a planned stop that interrupts a request."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        async with run_router(executor) as harness:
            running = await harness.start('running')
            queued = await harness.start('queued')
            drained = await curio.spawn(harness.router.drain)
            await let_tasks_run()
            outcome = await harness.route('new')
            assert refusal_reason(outcome) is NotRunReason.SHUTTING_DOWN
            await executor.finish('running')
            await let_tasks_run()
            assert not drained.terminated
            await executor.finish('queued')
            await drained.join()
            assert has_run(await running.join(), 'running')
            assert has_run(await queued.join(), 'queued')

    run(main)


def test_cancelled_callers_leave_neither_queue_entries_nor_free_slots():
    """Guards against a slot that leaks, or is released while in use."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        async with run_router(executor) as harness:
            running = await harness.start('running')
            queued = await harness.start('queued')
            await queued.cancel()
            await running.cancel()
            await let_tasks_run()
            assert harness.router.load()[0].waiting == 0
            assert harness.free == 0
            await executor.finish('running')
            await let_tasks_run()
            assert harness.free == 1
            assert executor.started == ['running']

    run(main)


def test_slot_reserved_for_a_caller_that_has_gone_is_released():
    """Guards against a slot that leaks between reservation and start."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        async with run_router(executor) as harness:
            waiter = Waiter(request=harness.request('r'))
            dispatcher = harness.router._dispatcher
            await dispatcher.submit(waiter)
            assert harness.free == 0
            await dispatcher.withdraw(waiter)
            assert harness.free == 1
            assert harness.headroom.in_use['team'] == 0

    run(main)


def test_fenced_executor_gets_nothing_until_its_lease_is_open():
    """Guards against requests that are sent only to be refused."""

    class SlowToOpen(FakeExecutor):
        async def open(self, epoch):
            await self.gate('open').wait()
            return await super().open(epoch)

    async def main():
        executor = SlowToOpen()
        async with run_router(executor) as harness:
            await executor.finish('open')
            await let_tasks_run()
            executor.gate('open').clear()
            executor.lease_id += 1
            task = await harness.start('r')
            other = await harness.start('other')
            assert executor.calls == 1
            await executor.finish('open')
            assert has_run(await task.join(), 'r')
            assert has_run(await other.join(), 'other')
            assert executor.calls == 3

    run(main)
