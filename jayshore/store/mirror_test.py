"""Tests of the mirror of a prefix: outages, and a lost history."""

import curio
import pytest

from jayshore.clock import Millis, MonotonicClock
from jayshore.store.mirror import Mirror, MirrorObserver
from standins.memorystore import MemoryStore


class ValueRecorder(MirrorObserver):
    """Keeps the values that the mirror reports."""

    def __init__(self):
        self.values = {}

    async def changed(self, key, entry):
        if entry is None:
            del self.values[key]
        else:
            self.values[key] = entry.value


async def no_fault(store):
    """Run without a fault."""


async def lose_history(store):
    """Drop the history of a removal before the mirror has seen it."""
    store.faults.down = True
    await curio.sleep(0.02)
    store.write('p/b', None)
    store.forget_history()
    store.faults.down = False


async def go_down_briefly(store):
    """Be down for a moment, with a removal meanwhile."""
    store.faults.down = True
    await curio.sleep(0.05)
    store.write('p/b', None)
    store.faults.down = False


@pytest.mark.parametrize('trouble', [no_fault, lose_history, go_down_briefly])
def test_values_follow_the_store(trouble):
    """Guards against keys that stay after their removal, or missed changes."""

    async def scenario():
        store = MemoryStore()
        recorder = ValueRecorder()
        for key in ('p/a', 'p/b', 'q/c'):
            store.write(key, '1')
        mirror = Mirror(
            store=store,
            clock=MonotonicClock(),
            prefix='p/',
            observer=recorder,
            wait_ms=Millis(50),
        )
        assert mirror.age_ms is None
        await curio.spawn(mirror.run, daemon=True)
        await mirror.wait_loaded()
        assert recorder.values == {'p/a': '1', 'p/b': '1'}
        await trouble(store)
        store.write('p/a', '2')
        store.write('p/d', '3')
        async with curio.timeout_after(3):
            while recorder.values != store.values('p/'):
                await curio.sleep(0.01)
        assert mirror.age_ms < 3000

    curio.run(scenario)


def test_removal_and_creation_between_two_answers():
    """Guards against dropping a key that was removed and created again."""

    async def scenario():
        store = MemoryStore()
        recorder = ValueRecorder()
        store.write('p/a', '1')
        mirror = Mirror(
            store=store,
            clock=MonotonicClock(),
            prefix='p/',
            observer=recorder,
            wait_ms=Millis(500),
            pause_ms=Millis(50),
        )
        await curio.spawn(mirror.run, daemon=True)
        await mirror.wait_loaded()
        store.write('p/b', '1')
        await curio.sleep(0.01)
        store.write('p/a', None)
        store.write('p/a', '2')
        await curio.sleep(0.2)
        assert recorder.values == {'p/a': '2', 'p/b': '1'}

    curio.run(scenario)


def test_mirror_is_fresh_as_soon_as_the_store_is_back():
    """Guards against callers refused for the length of a watch after an outage.

    The bound is the longest delay between attempts, with some slack.
    """

    async def scenario():
        store = MemoryStore()
        store.write('p/a', '1')
        mirror = Mirror(
            store=store,
            clock=MonotonicClock(),
            prefix='p/',
            observer=ValueRecorder(),
            wait_ms=Millis(5000),
        )
        task = await curio.spawn(mirror.run, daemon=True)
        await mirror.wait_loaded()
        await task.cancel()
        task = await curio.spawn(mirror.run, daemon=True)
        store.faults.down = True
        await curio.sleep(0.5)
        store.faults.down = False
        await curio.sleep(0.6)
        assert mirror.age_ms < 600
        await task.cancel()

    curio.run(scenario)


class FailingRecorder(ValueRecorder):
    """Fails on one key, as on a value that nobody expected."""

    async def changed(self, key, entry):
        if key == 'p/bad':
            raise RecursionError('nested too deeply')
        await super().changed(key, entry)


@pytest.mark.parametrize('listed', [True, False])
def test_entry_that_fails_does_not_end_the_mirror(listed):
    """Guards against one odd entry that ends every process that reads it."""

    async def scenario():
        store = MemoryStore()
        recorder = FailingRecorder()
        if listed:
            store.write('p/bad', '0')
        store.write('p/a', '1')
        mirror = Mirror(
            store=store,
            clock=MonotonicClock(),
            prefix='p/',
            observer=recorder,
            wait_ms=Millis(1000),
        )
        task = await curio.spawn(mirror.run, daemon=True)
        await mirror.wait_loaded()
        store.write('p/bad', '2')
        store.write('p/c', '3')
        await curio.sleep(0.1)
        assert recorder.values == {'p/a': '1', 'p/c': '3'}
        await task.cancel()

    curio.run(scenario)
