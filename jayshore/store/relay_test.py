"""Tests of store calls that are relayed by another instance."""

import curio
import pytest

from jayshore.clock import Millis, MonotonicClock
from jayshore.http.messages import decode_json, encode_json
from jayshore.store.relay import RelayedStore, StoreRelay
from jayshore.store.store import (
    LeaseGone,
    StoreUnavailable,
    StoreUncertain,
    Written,
)
from jayshore.store.storecalls import (
    StoreCall,
    StoreReply,
    execute_relayed_call,
)
from jayshore.store.transactions import (
    HistoryLost,
    Mismatch,
    Put,
    Transaction,
)
from standins.memorystore import MemoryStore


class CuttableStore:
    """A store that refuses all direct calls while `cut` is set."""

    def __init__(self, store):
        self._store = store
        self.cut = False
        self.failure_delay_s = 0
        self.attempted = []

    def __getattr__(self, name):
        if self.cut:

            async def refuse(*_, **__):
                self.attempted.append(name)
                await curio.sleep(self.failure_delay_s)
                raise StoreUnavailable('cut off')

            return refuse
        return getattr(self._store, name)


class EncodingRelay(StoreRelay):
    """Another instance, reached with encoded calls and replies."""

    def __init__(self, store):
        self._store = store
        self.down = False

    async def forward(self, call):
        if self.down:
            raise StoreUnavailable('no other instance')
        received = decode_json(encode_json(call), StoreCall)
        reply = await execute_relayed_call(self._store, received)
        return decode_json(encode_json(reply), StoreReply)


def make_stores():
    """Make a store, a client that can be cut off, a relay and both together."""
    memory = MemoryStore()
    direct = CuttableStore(memory)
    relay = EncodingRelay(memory)
    relayed = RelayedStore(direct=direct, relay=relay, clock=MonotonicClock())
    return memory, direct, relay, relayed


def make_put(key, revision):
    """Make a transaction that writes one key."""
    return Transaction(
        expected=((key, revision),), puts=(Put(key=key, value='v'),)
    )


@pytest.mark.parametrize('cut', [False, True])
def test_every_call_gives_the_same_result(cut):
    """Guards against calls whose result differs when they are relayed."""

    async def scenario():
        memory, direct, _, store = make_stores()
        direct.cut = cut
        written = await store.transact(make_put('a', 0))
        assert isinstance(written, Written)
        assert isinstance(await store.transact(make_put('a', 0)), Mismatch)
        assert (await store.get('a')).value == 'v'
        assert await store.get('none') is None
        assert len((await store.list('a')).entries) == 1
        changes = await store.watch('a', since=1, wait_ms=Millis(10))
        assert [entry.key for entry in changes.entries] == ['a']
        lease = await store.grant_lease(Millis(1000))
        assert await store.renew_lease(lease.lease_id) == lease
        await store.revoke_lease(lease.lease_id)
        assert isinstance(await store.renew_lease(lease.lease_id), LeaseGone)
        memory.forget_history()
        with pytest.raises(HistoryLost):
            await store.watch('a', since=1, wait_ms=Millis(10))
        assert store.reachability.direct_unavailable is cut

    curio.run(scenario)


def test_uncertain_write_is_not_relayed():
    """Guards against a write applied twice, once directly and once by relay."""

    async def scenario():
        memory, _, _, store = make_stores()
        memory.faults.lose_answers = 1
        with pytest.raises(StoreUncertain):
            await store.transact(make_put('a', 0))
        assert memory.calls['transact'] == 1
        assert not store.reachability.direct_unavailable

    curio.run(scenario)


def test_full_outage_is_reported_and_ends_at_once():
    """Guards against an instance that still waits after the store is back."""

    async def scenario():
        _, direct, relay, store = make_stores()
        direct.cut = relay.down = True
        for _ in range(3):
            with pytest.raises(StoreUnavailable):
                await store.get('a')
        assert store.reachability.unavailable_for_ms >= 0
        direct.cut = False
        assert await store.get('a') is None
        assert not store.reachability.direct_unavailable

    curio.run(scenario)


def test_write_is_not_held_up_by_a_silent_store():
    """Guards against writes that wait for the timeout of each attempt."""

    async def scenario():
        _, direct, _, store = make_stores()
        direct.cut = True
        direct.failure_delay_s = 0.4
        assert await store.get('a') is None
        direct.attempted.clear()
        await curio.sleep(1.1)
        for key in ('a', 'b'):
            assert isinstance(await store.transact(make_put(key, 0)), Written)
        assert not direct.attempted

    curio.run(scenario)


def test_unavailable_store_is_probed_by_reads_and_not_by_writes():
    """Guards against writes with unknown outcomes throughout an outage."""

    async def scenario():
        _, direct, relay, store = make_stores()
        direct.cut = relay.down = True
        with pytest.raises(StoreUnavailable):
            await store.get('a')
        direct.attempted.clear()
        with pytest.raises(StoreUnavailable):
            await store.transact(make_put('a', 0))
        assert not direct.attempted
        direct.cut = False
        assert await store.get('a') is None
        assert isinstance(await store.transact(make_put('a', 0)), Written)
        assert not store.reachability.direct_unavailable

    curio.run(scenario)
