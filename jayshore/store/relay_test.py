"""Calls that reach the store through another instance."""

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


class Cut:
    """A store that answers only through others while `cut` is set."""

    def __init__(self, store):
        self._store = store
        self.cut = False
        self.silent_s = 0
        self.tried = []

    def __getattr__(self, name):
        if self.cut:

            async def refuse(*_, **__):
                self.tried.append(name)
                await curio.sleep(self.silent_s)
                raise StoreUnavailable('cut off')

            return refuse
        return getattr(self._store, name)


class WireRelay(StoreRelay):
    """Another instance, with the encoding that lies between."""

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
    """Make a store, its cuttable front and the store of an instance."""
    memory = MemoryStore()
    direct = Cut(memory)
    relay = WireRelay(memory)
    relayed = RelayedStore(direct=direct, relay=relay, clock=MonotonicClock())
    return memory, direct, relay, relayed


def put(key, revision):
    """Make a transaction of one key."""
    return Transaction(
        expected=((key, revision),), puts=(Put(key=key, value='v'),)
    )


@pytest.mark.parametrize('cut', [False, True])
def test_every_call_gives_the_same_result(cut):
    """Guards against calls that mean something else through others."""

    async def scenario():
        memory, direct, _, store = make_stores()
        direct.cut = cut
        written = await store.transact(put('a', 0))
        assert isinstance(written, Written)
        assert isinstance(await store.transact(put('a', 0)), Mismatch)
        assert (await store.get('a')).value == 'v'
        assert await store.get('none') is None
        assert len((await store.list('a')).entries) == 1
        seen = await store.watch('a', since=1, wait_ms=Millis(10))
        assert [entry.key for entry in seen.entries] == ['a']
        lease = await store.grant_lease(Millis(1000))
        assert await store.renew_lease(lease.lease_id) == lease
        await store.revoke_lease(lease.lease_id)
        assert isinstance(await store.renew_lease(lease.lease_id), LeaseGone)
        memory.forget_history()
        with pytest.raises(HistoryLost):
            await store.watch('a', since=1, wait_ms=Millis(10))
        assert store.reachability.direct_unavailable is cut

    curio.run(scenario)


def test_unclear_write_is_not_sent_a_second_way():
    """Guards against a write that is applied twice, once each way."""

    async def scenario():
        memory, _, _, store = make_stores()
        memory.trouble.lose_answers = 1
        with pytest.raises(StoreUncertain):
            await store.transact(put('a', 0))
        assert memory.calls['transact'] == 1
        assert not store.reachability.direct_unavailable

    curio.run(scenario)


def test_outage_of_all_is_told_and_over_at_once():
    """Guards against an instance that waits on after the store is back."""

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
    """Guards against records that wait for the timeout of each new attempt."""

    async def scenario():
        _, direct, _, store = make_stores()
        direct.cut = True
        direct.silent_s = 0.4
        assert await store.get('a') is None
        direct.tried.clear()
        await curio.sleep(1.1)
        for key in ('a', 'b'):
            assert isinstance(await store.transact(put(key, 0)), Written)
        assert not direct.tried

    curio.run(scenario)


def test_lost_store_is_found_back_by_a_read_and_not_by_a_write():
    """Guards against writes with unknown outcomes all through an outage."""

    async def scenario():
        _, direct, relay, store = make_stores()
        direct.cut = relay.down = True
        with pytest.raises(StoreUnavailable):
            await store.get('a')
        direct.tried.clear()
        with pytest.raises(StoreUnavailable):
            await store.transact(put('a', 0))
        assert not direct.tried
        direct.cut = False
        assert await store.get('a') is None
        assert isinstance(await store.transact(put('a', 0)), Written)
        assert not store.reachability.direct_unavailable

    curio.run(scenario)
