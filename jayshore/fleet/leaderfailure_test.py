"""Tests of leaders whose lease is revoked before it expires."""

import curio
import pytest

from jayshore.clock import MonotonicClock
from tests import memory_fleet_test
from tests.memory_fleet_test import Fleet, wait_for

LONG_TTL_MS = 20_000
TAKEOVER_MS = 2500


@pytest.fixture(autouse=True)
def long_leases(monkeypatch):
    """Make leases outlast the test, so that only a revocation ends them."""
    monkeypatch.setattr(memory_fleet_test, 'TTL_MS', LONG_TTL_MS)


async def time_takeover(fleet, clock):
    began = clock.now()
    await fleet.wait_leader()
    return clock.now() - began


def test_next_incarnation_of_a_leader_does_not_wait_for_its_lease():
    """Guards against seconds without starts after a leader was killed."""

    async def scenario():
        fleet = Fleet()
        first = await fleet.add_instance('i0')
        await fleet.wait_leader()
        await first.kill()
        await fleet.add_instance('i0')
        assert await time_takeover(fleet, MonotonicClock()) < TAKEOVER_MS
        await fleet.instances['i0'].kill()

    curio.run(scenario, taskcls=curio.task.ContextTask)


@pytest.mark.parametrize(
    ('dead', 'witnesses', 'taken_over'),
    [(True, 1, True), (False, 1, False), (True, 0, False)],
)
def test_lease_of_a_silent_leader_is_revoked_with_a_witness(
    dead, witnesses, taken_over
):
    """Guards against a takeover if one instance cannot reach a live leader."""

    async def scenario():
        fleet = Fleet()
        leader = await fleet.add_instance('i0')
        await fleet.wait_leader()
        for number in range(1 + witnesses):
            await fleet.add_instance(f'i{number + 1}')
        other = fleet.instances['i1']
        await wait_for(
            lambda: len(other.membership.members) == 2 + witnesses, 'all known'
        )
        if dead:
            await leader.kill()
            del fleet.instances['i0']
        await other.failure_detector.suspect('i0')
        await curio.sleep(1.2)
        found = fleet.leading()
        assert (found is not None and found is not leader) is taken_over
        for instance in (leader, *fleet.instances.values()):
            await instance.kill()

    curio.run(scenario, taskcls=curio.task.ContextTask)
