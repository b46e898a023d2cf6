"""Tests of the journal with lost answers and with a second leader."""

import curio
import pytest

from jayshore.clock import Millis
from jayshore.store.journal import Journal, JournalFenced
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
