"""Budgets that clients of one process share, on a manual clock."""

import curio
import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.http.accounts import ConnectionAccount
from jayshore.http.budgets import (
    CONNECTION_BYTES,
    Budget,
    ClientBudgets,
    descriptor_budget,
    memory_budget,
)
from jayshore.http.evictions import Activity, ConnectionState, Evictable


class FakeConnection(Evictable):
    """Ends as soon as it is evicted."""

    def __init__(self, address):
        self.activity = Activity(clock=address.budgets.clock)
        self.account = ConnectionAccount(address=address, owner=self)

    async def evict(self):
        self.activity.enter(ConnectionState.EVICTED)
        self.account.close()
        return True


async def opened(address, state=ConnectionState.IDLE):
    """Open a connection in a state; None when it is refused."""
    connection = FakeConnection(address)
    if not await connection.account.open():
        return None
    connection.activity.enter(state)
    return connection


def make_budgets(**options):
    counted = []
    clock = ManualClock()
    budgets = ClientBudgets(clock=clock, count=counted.append, **options)
    return budgets, clock, counted


@pytest.mark.parametrize(
    ('memory_mb', 'max_fds'), [(160, 1638), (552, 10_250), (160, 10_250)]
)
def test_budgets_leave_room_for_the_process(memory_mb, max_fds):
    """Guards against budgets that take what calls and the program need.

    A leader was measured at 115 MB and 4.9 connections to each of 176 workers.
    """
    memory = memory_budget(memory_mb)
    descriptors = descriptor_budget(max_fds)
    assert not memory.take(int((memory_mb - 115) * 1e6), trusted=True)
    assert not descriptors.take(max_fds - 200 - 863, trusted=True)
    # The largest body of the configuration, handled, and many connections.
    assert memory.take(7 * 262_144 + 300 * CONNECTION_BYTES, trusted=False)
    assert descriptors.take(300, trusted=False)


@pytest.mark.parametrize('amount', [None, 0, -1])
def test_unnamed_limits_are_none(amount):
    """Guards against a budget where the settings name none."""
    assert memory_budget(amount).take(1 << 40, trusted=False)
    assert descriptor_budget(amount).take(1 << 40, trusted=False)


def test_callers_leave_the_kept_part():
    """Guards against callers that take the part of other instances."""
    budget = Budget(total=10, kept=4)
    assert not budget.take(7, trusted=False)
    assert budget.take(6, trusted=False)
    assert budget.take(4, trusted=True)
    assert not budget.take(1, trusted=True)


@pytest.mark.parametrize(
    ('state', 'after_ms', 'closed'),
    [
        (ConnectionState.CLOSING, 0, True),
        (ConnectionState.IDLE, 249, False),
        (ConnectionState.IDLE, 250, True),
        (ConnectionState.RECEIVING, 999, False),
        (ConnectionState.RECEIVING, 1000, True),
        (ConnectionState.SENDING, 1000, True),
        (ConnectionState.WAITING, 1000, True),
        (ConnectionState.HANDLING, 1 << 30, False),
    ],
)
def test_only_slow_and_idle_connections_are_closed(state, after_ms, closed):
    """Guards against interrupting a request that runs or just arrived."""
    budgets, clock, counted = make_budgets(descriptors=Budget(total=1))

    async def main():
        address = budgets.address(trusted=False)
        former = await opened(address, state)
        clock.advance(Millis(after_ms))
        assert (await opened(address) is not None) is closed
        assert former.activity.evicted is closed
        cause = f'closed_{state.value}' if closed else 'refused_connection'
        assert counted == [cause]

    curio.run(main)


def test_slowest_connection_is_closed_first():
    """Guards against closing a request while an idle connection is open."""
    budgets, clock, _ = make_budgets(descriptors=Budget(total=3))

    async def main():
        address = budgets.address(trusted=False)
        receiving = await opened(address, ConnectionState.RECEIVING)
        idle = await opened(address)
        clock.advance(Millis(1000))
        later = await opened(address)
        clock.advance(Millis(300))
        assert await opened(address) is not None
        assert idle.activity.evicted
        assert not receiving.activity.evicted
        assert not later.activity.evicted

    curio.run(main)


def test_borrowed_part_is_returned():
    """Guards against callers that wait while other addresses use their part."""
    budgets, clock, _ = make_budgets(descriptors=Budget(total=3, kept=1))

    async def main():
        peers = budgets.address(trusted=True)
        callers = budgets.address(trusted=False)
        held = [await opened(peers) for _ in range(3)]
        assert None not in held
        clock.advance(Millis(300))
        assert await opened(callers) is not None
        assert await opened(callers) is not None
        assert await opened(callers) is None
        assert [each.activity.evicted for each in held].count(True) == 2

    curio.run(main)


def test_bodies_share_the_memory_and_return_it():
    """Guards against a sum of bodies without limit, and against leaks."""
    budgets, _, counted = make_budgets(memory=Budget(total=200_000))

    async def main():
        address = budgets.address(trusted=False)
        first, second = await opened(address), await opened(address)
        assert await first.account.cover(100_000)
        assert not await second.account.cover(100_000)
        assert counted == ['refused_memory']
        first.account.release()
        assert await second.account.cover(100_000)
        first.account.close()
        second.account.close()
        assert budgets.memory.used == 0
        assert budgets.descriptors.used == 0
        assert budgets.request_bytes == 0

    curio.run(main)


def test_single_request_is_always_covered():
    """Guards against a request within the limits that never finds memory."""
    budgets, _, _ = make_budgets(memory=Budget(total=50_000))

    async def main():
        alone = await opened(budgets.address(trusted=False))
        assert await alone.account.cover(10_000_000)

    curio.run(main)
