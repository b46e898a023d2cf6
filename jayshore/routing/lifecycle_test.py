"""Tests of failover, leaving, drain and callers that go away."""

import curio
import pytest

from jayshore.outcomes import NotRunReason
from jayshore.routing.fake_executor_test import (
    FakeExecutor,
    rig,
    run,
    settle,
)
from jayshore.routing.queues import Waiter
from jayshore.routing.router_test import TIMED_OUT, is_ran, refused


def test_requests_of_a_former_leader_are_counted():
    """Guards against overload and excess over the limit after a failover."""

    async def main():
        executor = FakeExecutor(slots=2)
        executor.running['old'] = 'team'
        async with rig(executor) as made:
            made.headroom.limits['team'] = 1
            assert made.free == 1
            task = await made.start('r')
            assert not executor.started
            await executor.end('old')
            assert is_ran(await task.join(), 'r')
            assert made.headroom.taken['team'] == 0

    run(main)


def test_deposed_router_starts_nothing():
    """Guards against work by a leader that was replaced."""

    async def main():
        executor = FakeExecutor()
        async with rig(executor) as made:
            executor.epoch = 4
            executor.lease_id += 1
            outcome = await made.route('r', timeout_ms=20)
            assert refused(outcome) is NotRunReason.WOULD_MISS_DEADLINE
            assert not executor.started
            assert made.router.is_superseded

    run(main)


@pytest.mark.parametrize(
    ('idempotent', 'expected'),
    [(True, 'ran'), (False, TIMED_OUT)],
)
def test_silent_executor_that_is_gone(idempotent, expected):
    """Guards against waiting for a host that the platform's list lacks."""

    async def main():
        silent = FakeExecutor(is_instant=False)
        async with rig(silent) as made:
            task = await made.start('r', idempotent=idempotent, timeout_ms=50)
            other = FakeExecutor()
            await made.add('other', other)
            await made.router.remove_executor('e0')
            outcome = await task.join()
            if expected == 'ran':
                assert is_ran(outcome, 'r')
            else:
                assert outcome == expected
            assert made.headroom.taken['team'] == 0

    run(main)


def test_leaving_executor_gets_nothing_new():
    """Guards against new work for an upstream that leaves."""

    async def main():
        by_list = FakeExecutor(is_instant=False)
        by_lease = FakeExecutor(slots=0)
        async with rig(by_list, by_lease) as made:
            task = await made.start('running')
            made.router.mark_leaving('e0')
            by_lease.leaving = True
            by_lease.slots = 2
            await by_lease.reboot()
            await settle()
            outcome = await made.route('new')
            assert refused(outcome) is NotRunReason.NO_EXECUTOR
            await by_list.finish('running')
            assert is_ran(await task.join(), 'running')
            assert not by_lease.started

    run(main)


def test_drain_refuses_new_requests_and_waits_for_the_others():
    """Guards against a planned stop that interrupts a request."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        async with rig(executor) as made:
            running = await made.start('running')
            queued = await made.start('queued')
            drained = await curio.spawn(made.router.drain)
            await settle()
            outcome = await made.route('new')
            assert refused(outcome) is NotRunReason.SHUTTING_DOWN
            await executor.finish('running')
            await settle()
            assert not drained.terminated
            await executor.finish('queued')
            await drained.join()
            assert is_ran(await running.join(), 'running')
            assert is_ran(await queued.join(), 'queued')

    run(main)


def test_cancelled_callers_leave_neither_queue_entries_nor_free_slots():
    """Guards against a slot that is lost, or freed while it is in use."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        async with rig(executor) as made:
            running = await made.start('running')
            queued = await made.start('queued')
            await queued.cancel()
            await running.cancel()
            await settle()
            assert made.router.load()[0].waiting == 0
            assert made.free == 0
            await executor.finish('running')
            await settle()
            assert made.free == 1
            assert executor.started == ['running']

    run(main)


def test_slot_given_to_a_caller_that_has_gone_is_freed():
    """Guards against a slot that is lost between grant and start."""

    async def main():
        executor = FakeExecutor(slots=1, is_instant=False)
        async with rig(executor) as made:
            waiter = Waiter(request=made.request('r'))
            dispatcher = made.router._dispatcher
            await dispatcher.submit(waiter)
            assert made.free == 0
            await dispatcher.withdraw(waiter)
            assert made.free == 1
            assert made.headroom.taken['team'] == 0

    run(main)


def test_fenced_executor_gets_nothing_until_its_lease_is_open():
    """Guards against requests that are sent only to be refused."""

    class SlowToOpen(FakeExecutor):
        async def open(self, epoch):
            await self.gate('open').wait()
            return await super().open(epoch)

    async def main():
        executor = SlowToOpen()
        async with rig(executor) as made:
            await executor.finish('open')
            await settle()
            executor.gate('open').clear()
            executor.lease_id += 1
            task = await made.start('r')
            other = await made.start('other')
            assert executor.calls == 1
            await executor.finish('open')
            assert is_ran(await task.join(), 'r')
            assert is_ran(await other.join(), 'other')
            assert executor.calls == 3

    run(main)
