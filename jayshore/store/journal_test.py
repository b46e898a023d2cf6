"""Tests of the journal with lost answers and with a second leader."""

import curio
import pytest

from jayshore.clock import Millis
from jayshore.store import journal as journal_module
from jayshore.store.journal import Journal, JournalFenced
from jayshore.store.store import StoreRejected
from standins.memorystore import MemoryStore

HEAD = 'head'


def make_journal(store, epoch=1):
    """Make a journal that does not pause between transactions."""
    return Journal(
        store=store,
        head_key=HEAD,
        epoch=epoch,
        pause_ms=Millis(0),
    )


def run(scenario):
    """Run a scenario as the daemon runs."""
    curio.run(scenario, taskcls=curio.task.ContextTask)


@pytest.mark.parametrize('records', [1, 30, 31, 95])
def test_records_are_written_in_batches(records):
    """Guards against transactions above the size limit of the store."""

    async def scenario():
        store = MemoryStore()
        journal = make_journal(store)
        await journal.claim()
        durable = []
        for number in range(records):

            async def note(number=number):
                durable.append(number)

            journal.write(
                f'r/{number:03}', lambda number=number: str(number), note
            )
        calls = store.calls.get('transact', 0)
        await journal.flush()
        assert store.calls['transact'] - calls == -(-records // 30)
        assert list(store.values('r/').values()) == [
            str(number) for number in range(records)
        ]
        assert durable == list(range(records))

    run(scenario)


@pytest.mark.parametrize('late_ms', [0, 30, 150])
@pytest.mark.parametrize('lost', [1, 2, 3])
def test_lost_answers_are_retried(late_ms, lost):
    """Guards against records lost, or overwritten by a late duplicate."""

    async def scenario():
        store = MemoryStore()
        journal = make_journal(store)
        await journal.claim()
        store.faults.late_ms = Millis(late_ms)
        for number in range(4):
            store.faults.lose_answers = lost if number < 2 else 0
            journal.write('r/1', lambda number=number: str(number))
            await journal.flush()
        await curio.sleep(0.2)
        assert store.values('r/') == {'r/1': '3'}

    run(scenario)


def test_former_leader_writes_nothing():
    """Guards against a paused leader that overwrites its successor."""

    async def scenario():
        store = MemoryStore()
        former, successor = make_journal(store, 1), make_journal(store, 2)
        await former.claim()
        await successor.claim()
        former.write('r/1', lambda: 'former')
        with pytest.raises(JournalFenced):
            await former.flush()
        with pytest.raises(JournalFenced):
            await make_journal(store, 1).claim()
        successor.write('r/1', lambda: 'successor')
        await successor.flush()
        assert store.values('r/') == {'r/1': 'successor'}

    run(scenario)


def test_late_write_of_a_former_leader_has_no_effect():
    """Guards against a write applied after a successor claimed the head."""

    async def scenario():
        store = MemoryStore()
        former, successor = make_journal(store, 1), make_journal(store, 2)
        await former.claim()
        store.faults.lose_answers = 1
        store.faults.late_ms = Millis(100)
        former.write('r/1', lambda: 'former')
        flushing = await curio.spawn(former.flush, daemon=True)
        await curio.sleep(0.02)
        await successor.claim()
        await curio.sleep(0.3)
        assert not store.values('r/')
        with pytest.raises(curio.TaskError):
            await flushing.join()

    run(scenario)


def test_removed_record_is_gone():
    """Guards against records of old jobs that are never deleted."""

    async def scenario():
        store = MemoryStore()
        journal = make_journal(store)
        await journal.claim()
        journal.write('r/1', lambda: 'x')
        await journal.flush()
        journal.write('r/1', lambda: None)
        await journal.flush()
        assert not store.values('r/')

    run(scenario)


@pytest.mark.parametrize('large', [(0,), (29,), (3, 4), (0, 1, 2)])
def test_rejected_record_holds_up_no_other(large):
    """Guards against one value too large that ends every leader in turn."""

    async def scenario():
        store = MemoryStore()
        store.faults.max_value_bytes = 50
        journal = make_journal(store)
        await journal.claim()
        durable = []
        for number in range(40):

            async def note(number=number):
                durable.append(number)

            size = 51 if number in large else 1
            journal.write(f'r/{number:02}', lambda size=size: 'x' * size, note)
        await journal.flush()
        written = [number for number in range(40) if number not in large]
        assert sorted(durable) == written
        assert list(store.values('r/')) == [f'r/{one:02}' for one in written]
        journal.write(f'r/{large[0]:02}', lambda: 'small again')
        journal.write('r/99', lambda: 'x')
        await journal.flush()
        assert len(store.values('r/')) == 40 - len(large) + 2

    run(scenario)


def test_store_that_rejects_every_write_ends_the_journal():
    """Guards against a leader that goes on without being able to record."""

    async def scenario():
        store = MemoryStore()
        journal = make_journal(store)
        await journal.claim()
        store.faults.max_value_bytes = 1
        journal.write('r/1', lambda: 'xx')
        with pytest.raises(StoreRejected):
            await journal.flush()

    run(scenario)


def test_large_values_are_written_in_several_transactions(monkeypatch):
    """Guards against transactions that take longer than a call may take."""
    monkeypatch.setattr(journal_module, '_MAX_BYTES', 100)

    async def scenario():
        store = MemoryStore()
        journal = make_journal(store)
        await journal.claim()
        for number in range(10):
            journal.write(f'r/{number}', lambda: 'x' * 40)
        calls = store.calls['transact']
        await journal.flush()
        assert store.calls['transact'] - calls == 5
        assert len(store.values('r/')) == 10

    run(scenario)
