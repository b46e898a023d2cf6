"""Tests of the platform clients and the write resolver on a stand-in."""

import random

import curio
import msgspec
import pytest

from jayshore.clock import ManualClock, Millis, MonotonicClock
from jayshore.http.client import Address, HttpClient
from jayshore.http.messages import Request, encode_json
from jayshore.http.server import HttpServer, ServerLimits
from jayshore.retry import Backoff
from jayshore.store.httpcalls import PlatformCaller
from jayshore.store.httpstore import HttpInstanceList, HttpStore
from jayshore.store.instances import InstanceKind, InstanceState
from jayshore.store.store import (
    Conflict,
    Entry,
    LeaseGone,
    StoreRejected,
    StoreUnavailable,
    StoreUncertain,
    Written,
)
from jayshore.store.writeresolver import (
    MissingWriteId,
    Superseded,
    Write,
    WriteResolver,
    new_write_id,
    read_write_id,
)
from standins.store import StoreSettings, StoreStandIn

TIMEOUT_MS = Millis(200)
SEED = 7


class StoreEnvironment:
    """A store stand-in that serves HTTP, and clients of it."""

    def __init__(self, *, stand_in, client, clock):
        self.clock = clock
        self.client = client
        self.store = HttpStore(
            caller=PlatformCaller(
                client=client, sender='a', call_timeout_ms=TIMEOUT_MS
            )
        )
        self.instances = HttpInstanceList(
            caller=PlatformCaller(client=client, sender='a')
        )
        self.write_resolver = WriteResolver(
            store=self.store,
            clock=MonotonicClock(),
            backoff=Backoff(base_ms=Millis(1), max_ms=Millis(4)),
            rng=random.Random(SEED),
        )

    async def call_admin(self, method, path, **content):
        answer = await self.client.call(
            Request(method=method, path=path, body=encode_json(content)),
            timeout_ms=Millis(1000),
        )
        assert answer.status == 200
        return msgspec.json.decode(answer.body)

    async def set_faults(self, **faults):
        await self.call_admin('POST', '/admin/faults', **faults)


def run(main):
    """Run `main(env)` while a stand-in serves."""

    async def supervise():
        clock = ManualClock()
        stand_in = StoreStandIn(
            settings=StoreSettings(max_value_bytes=100), clock=clock
        )
        server = HttpServer(
            host='127.0.0.1', port=0, handler=stand_in, limits=ServerLimits()
        )
        server.listen()
        client = HttpClient(
            address=Address(host='127.0.0.1', port=server.bound_port),
            max_connections=8,
            connect_timeout_ms=Millis(1000),
        )
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(stand_in.background())
            await group.spawn(server.serve())
            async with curio.timeout_after(10):
                await main(
                    StoreEnvironment(
                        stand_in=stand_in, client=client, clock=clock
                    )
                )

    curio.run(supervise, taskcls=curio.task.ContextTask)


def test_compare_and_swap():
    """Guards against overwriting a value that the writer has not seen."""

    async def main(env):
        store = env.store
        assert await store.get('a/1') is None
        first = await store.put('a/1', 'x', expect_revision=0)
        assert first == Written(revision=1)
        assert await store.put('a/1', 'y', expect_revision=0) == Conflict(
            revision=1
        )
        assert (await store.get('a/1')).value == 'x'
        assert await store.put('a/1', 'y', expect_revision=1) == Written(
            revision=2
        )
        assert await store.delete('a/1', expect_revision=1) == Conflict(
            revision=2
        )
        assert await store.delete('a/1', expect_revision=2) == Written(
            revision=3
        )

    run(main)


def test_list_and_watch_report_changes_since_a_revision():
    """Guards against missed changes, deletions included."""

    async def main(env):
        store = env.store
        for key in ('a/1', 'b/1', 'a/2'):
            await store.put(key, key, expect_revision=0)
        whole = await store.list('a/')
        assert [entry.key for entry in whole.entries] == ['a/1', 'a/2']
        watch = store.watch('a/', since=whole.revision, wait_ms=Millis(5000))
        watch_task = await curio.spawn(watch)
        while not (await env.call_admin('GET', '/admin/calls'))['by_kind'].get(
            'watch'
        ):
            await curio.sleep(0)
        await store.put('b/1', 'z', expect_revision=2)
        await store.delete('a/1', expect_revision=1)
        changes = await watch_task.join()
        assert (changes.entries, changes.deleted) == ((), ('a/1',))
        assert await store.list('a/', since=whole.revision) == changes
        empty = await store.watch(
            'c/', since=changes.revision, wait_ms=Millis(5)
        )
        assert not empty.entries

    run(main)


def test_ended_lease_deletes_its_keys():
    """Guards against keys that outlive their lease, and unreported expiry."""

    async def main(env):
        store = env.store
        lease = await store.grant_lease(Millis(100))
        await store.put('a', 'x', expect_revision=0, lease_id=lease.lease_id)
        env.clock.advance(Millis(99))
        assert await store.renew_lease(lease.lease_id) == lease
        env.clock.advance(Millis(99))
        assert await store.get('a') is not None
        changes = store.watch('a', since=1, wait_ms=Millis(5000))
        watch_task = await curio.spawn(changes)
        env.clock.advance(Millis(1))
        assert (await watch_task.join()).deleted == ('a',)
        gone = LeaseGone(lease_id=lease.lease_id)
        assert await store.renew_lease(lease.lease_id) == gone
        put = store.put('a', 'x', expect_revision=0, lease_id=lease.lease_id)
        assert await put == gone
        await store.revoke_lease(lease.lease_id)

    run(main)


@pytest.mark.parametrize(
    ('faults', 'read_error', 'write_error'),
    [
        ({'mode': 'refusing'}, StoreUnavailable, StoreUnavailable),
        ({'mode': 'down'}, StoreUnavailable, StoreUncertain),
        ({'refuse_from': ['a']}, StoreUnavailable, StoreUncertain),
        (
            {'mode': 'slow', 'delay_ms': 1000},
            StoreUnavailable,
            StoreUncertain,
        ),
    ],
)
def test_failures_show_whether_a_call_may_have_had_effect(
    faults, read_error, write_error
):
    """Guards against reporting an uncertain write as not applied."""

    async def main(env):
        await env.set_faults(**faults)
        with pytest.raises(read_error):
            await env.store.get('a')
        with pytest.raises(write_error):
            await env.store.put('a', 'x', expect_revision=0)

    run(main)


def test_large_value_is_rejected():
    """Guards against retrying a write that can never succeed."""

    async def main(env):
        with pytest.raises(StoreRejected):
            await env.store.put('a', 'x' * 101, expect_revision=0)

    run(main)


def make_value(**content):
    return encode_json({'write_id': new_write_id(), **content}).decode()


@pytest.mark.parametrize('lost', [0, 1, 3])
def test_lost_answers_are_resolved(lost):
    """Guards against writing twice, or reporting failure, on a lost answer."""

    async def main(env):
        await env.set_faults(lose_next_write_answers=lost)
        write = Write(key='a', value=make_value(), expect_revision=0)
        resolved = await env.write_resolver.resolve_write(
            write, limit_ms=Millis(5000)
        )
        assert resolved == Written(revision=1)
        assert (await env.store.list('')).revision == 1

    run(main)


def test_write_that_was_not_applied_is_sent_again():
    """Guards against giving up, or writing twice, after an outage."""

    async def main(env):
        await env.set_faults(mode='down')
        write = Write(key='a', value=make_value(), expect_revision=0)
        call = env.write_resolver.resolve_write(write, limit_ms=Millis(5000))
        resolving = await curio.spawn(call)
        while (await env.call_admin('GET', '/admin/calls'))['by_kind'].get(
            'get', 0
        ) < 2:
            await curio.sleep(0)
        await env.set_faults(mode='up')
        assert await resolving.join() == Written(revision=1)

    run(main)


class ScriptedStore(HttpStore):
    """Loses the answer to the first put; reads return scripted entries."""

    def __init__(self, *reads):
        self.puts = 0
        self._reads = list(reads)

    async def get(self, key):
        return self._reads.pop(0)

    async def put(self, key, value, *, expect_revision, lease_id=None):
        self.puts += 1
        if self.puts == 1:
            raise StoreUncertain('scripted')
        return Conflict(revision=9)


OURS = '{"write_id":"ours"}'
THEIRS = '{"write_id":"theirs"}'


@pytest.mark.parametrize(
    ('expected', 'reads', 'settled', 'puts'),
    [
        (0, [(OURS, 4)], Written(revision=4), 1),
        (0, [(THEIRS, 4)], Superseded(revision=4), 1),
        (3, [None], Superseded(revision=0), 1),
        (3, [(THEIRS, 3), (OURS, 9)], Written(revision=9), 2),
        (0, [None, (OURS, 9)], Written(revision=9), 2),
        (0, [None, (THEIRS, 9)], Superseded(revision=9), 2),
    ],
)
def test_reading_back_resolves_a_write(expected, reads, settled, puts):
    """Guards against reporting success or failure without evidence.

    A repeated write may conflict with its own first copy, applied late.
    """
    entries = [
        read and Entry(key='a', value=read[0], revision=read[1])
        for read in reads
    ]
    store = ScriptedStore(*entries)
    write_resolver = WriteResolver(
        store=store,
        clock=ManualClock(),
        backoff=Backoff(base_ms=Millis(0), max_ms=Millis(0)),
        rng=random.Random(SEED),
    )
    write = Write(key='a', value=OURS, expect_revision=expected)

    async def main():
        return await write_resolver.resolve_write(write, limit_ms=Millis(1000))

    result = curio.run(main, taskcls=curio.task.ContextTask)
    assert (result, store.puts) == (settled, puts)


def test_resolving_is_bounded_and_needs_a_write_id():
    """Guards against endless retries, and values that cannot be recognized."""

    async def main(env):
        await env.set_faults(mode='down')
        write = Write(key='a', value=make_value(), expect_revision=0)
        with pytest.raises(StoreUncertain):
            await env.write_resolver.resolve_write(write, limit_ms=Millis(10))
        bare = Write(key='a', value='{}', expect_revision=0)
        with pytest.raises(MissingWriteId):
            await env.write_resolver.resolve_write(bare, limit_ms=Millis(10))

    run(main)


def test_instance_list_lags():
    """Guards against showing changes before the list has caught up."""
    first = {
        'id': 'i1',
        'kind': 'worker',
        'address': '127.0.0.1:1',
        'domain': 'd1',
        'rack': 'r1',
        'state': 'live',
        'service': None,
    }

    async def main(env):
        assert await env.instances.read() == ()
        await env.call_admin('PUT', '/admin/instances', instances=[first])
        (instance,) = await env.instances.read()
        assert instance.kind is InstanceKind.WORKER
        await env.set_faults(lag_ms=50)
        leaving = {**first, 'state': 'leaving'}
        env.clock.advance(Millis(100))
        await env.call_admin('PUT', '/admin/instances', instances=[leaving])
        env.clock.advance(Millis(49))
        assert (await env.instances.read())[0].state is InstanceState.LIVE
        env.clock.advance(Millis(1))
        assert (await env.instances.read())[0].state is InstanceState.LEAVING

    run(main)


@pytest.mark.parametrize(
    ('value', 'write_id'),
    [('{"write_id":"a","b":1}', 'a'), ('{}', None), ('[', None), ('1', None)],
)
def test_write_id_is_read(value, write_id):
    """Guards against failures on values without a write id."""
    assert read_write_id(value) == write_id
