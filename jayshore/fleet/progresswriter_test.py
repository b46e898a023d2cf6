"""Tests of the records of large jobs, with a leader lost at any time."""

import dataclasses
from functools import partial

import curio
import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from jayshore.clock import Millis
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.model import (
    GroupId,
    Incarnation,
    Job,
    Queue,
    Schedule,
    TaskGroup,
)
from jayshore.fleet.phases import JobState, Phase
from jayshore.fleet.progresswriter import ProgressWriter
from jayshore.fleet.recordkeys import parse_progress_key, progress_key
from jayshore.fleet.records import (
    SEGMENT_TASKS,
    ProgressRecord,
    StoredProgress,
    TaskRecord,
    decode_progress,
    decode_segment,
)
from jayshore.resources import Resources
from jayshore.store import journal as journal_module
from jayshore.store.journal import Journal
from standins.memorystore import MemoryStore

GROUP = TaskGroup(count=20, need=Resources(), estimate_ms=Millis(9))
JOB = Job(
    job_id='j1',
    queue=Queue(name='q', host='h', prefix='/', service='s'),
    workspace='t',
    payload='text',
    groups=(GROUP, dataclasses.replace(GROUP, gang=True, after=(0,))),
    accepted_at_ms=12,
)
REPEATING = dataclasses.replace(
    JOB, schedule=Schedule(start_at_ms=1, interval_ms=Millis(1), repeats=3)
)


class RecordingStore(MemoryStore):
    """Store that keeps what it held after each transaction."""

    def __init__(self):
        super().__init__()
        self.snapshots = [{}]

    async def transact(self, transaction):
        written = await super().transact(transaction)
        self.snapshots.append(self.values('jobs/run/'))
        return written


def make_entry(job):
    """Make a job entry with all occurrences, without progress."""
    entry = JobEntry(job=job, accepted_at=Millis(0))
    JobTable().add(entry)
    return entry


def read_stored(values):
    """Decode what a store holds of one job."""
    stored = StoredProgress()
    for key, text in values.items():
        _, segment = parse_progress_key(key)
        if segment is None:
            stored.record = decode_progress(text)
        else:
            stored.segments[segment] = decode_segment(text)
    return stored


async def make_writer(store, epoch=1):
    """Make a writer whose journal has claimed the head."""
    journal = Journal(
        store=store, head_key='jobs/head', epoch=epoch, pause_ms=Millis(0)
    )
    await journal.claim()
    return ProgressWriter(journal=journal), journal


async def restore(values, job, epoch=1):
    """Restore a job as the next leader does."""
    store = RecordingStore()
    for key, text in values.items():
        store.write(key, text)
    writer, journal = await make_writer(store, epoch)
    entry = make_entry(job)
    writer.restore(entry, read_stored(values))
    await journal.flush()
    return entry, store


def place(task):
    """Place a task as a round does."""
    members = task.group.tasks if task.group.spec.gang else [task]
    for member in members:
        member.phase = Phase.STARTING
        member.run += 1
        member.worker = 'w'
        member.incarnation = Incarnation('a:1', 7)
    task.group.job.state = JobState.RUNNING
    return members


def fail(task):
    """Let a run fail."""
    members = task.group.tasks if task.group.spec.gang else [task]
    for member in members:
        member.phase = Phase.WAITING
        member.failures += 1
    return members


def finish(task):
    """Let a run end done."""
    members = task.group.tasks if task.group.spec.gang else [task]
    for member in members:
        member.phase = Phase.DONE
    task.group.done += len(members)
    entry = task.group.job
    if entry.all_done():
        entry.state = JobState.COMPLETED
    return members


def change(entry, choice):
    """Change one task; return the changed tasks."""
    group = list(entry.unfinished())[choice % len(list(entry.unfinished()))]
    waiting = [task for task in group.tasks if task.phase is Phase.WAITING]
    placed = [task for task in group.tasks if task.phase is Phase.STARTING]
    if waiting and (choice % 3 == 0 or not placed):
        return place(waiting[choice % len(waiting)])
    end = fail if choice % 5 == 0 else finish
    return end(placed[choice % len(placed)])


def is_kept(entry, task_id, run, failures, phase):
    """Return whether an entry still tells what a callback has promised."""
    group = entry.groups.get(GroupId(*task_id[:3]))
    if group is None or group.finished:
        return True
    task = group.tasks[task_id.position]
    return (
        task.run >= run
        and task.failures >= failures
        and (phase is not Phase.DONE or task.phase is Phase.DONE)
    )


@hypothesis.settings(max_examples=40, deadline=None, derandomize=True)
@hypothesis.given(
    job=st.sampled_from((JOB, REPEATING)),
    choices=st.lists(st.integers(0, 10_000), min_size=1, max_size=90),
    flush_every=st.integers(1, 5),
)
def test_no_write_loses_what_was_durable(job, choices, flush_every):
    """Guards against a leader lost between two records of one change."""

    async def scenario():
        store = RecordingStore()
        writer, journal = await make_writer(store)
        entry = make_entry(job)
        while entry.next_occurrence < entry.occurrences:
            entry.add_occurrence()
        promised = []

        async def note(promises):
            promised.extend(
                (len(store.snapshots), promise) for promise in promises
            )

        for number, choice in enumerate(choices):
            if entry.ended:
                break
            changed = change(entry, choice)
            promises = [
                (task.task_id, task.run, task.failures, task.phase)
                for task in changed
            ]
            writer.record(entry, changed, partial(note, promises))
            if number % flush_every == 0:
                await journal.flush()
                entry.forget_finished(lambda task: False)
        await journal.flush()
        for position, values in enumerate(store.snapshots):
            restored, _ = await restore(values, job)
            for written_at, promise in promised:
                if written_at <= position:
                    assert is_kept(restored, *promise), (position, promise)
        assert restored.state is entry.state
        assert max(map(len, store.values('jobs/run/').values())) < 2000

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(journal_module, '_RECORDS_PER_TRANSACTION', 1)
        curio.run(scenario)


def row(task, phase, run, group=0):
    """Make a row as an earlier version wrote it."""
    worker = 'w' if phase == 'p' else ''
    return TaskRecord(0, group, task, phase, run, worker, 0, '')


@pytest.mark.parametrize('job', [JOB, REPEATING], ids=['wide', 'repeating'])
def test_record_of_an_earlier_version_is_converted(monkeypatch, job):
    """Guards against work that runs again after an upgrade."""
    monkeypatch.setattr(journal_module, '_RECORDS_PER_TRANSACTION', 1)
    former = ProgressRecord(
        state=JobState.RUNNING,
        tasks=(
            *(row(task, 'd', 1) for task in range(18)),
            row(18, 'p', 2),
            row(19, 'w', 4),
        ),
    )
    text = msgspec.json.encode(former).decode()

    async def scenario():
        _, store = await restore({progress_key('j1'): text}, job)
        assert len(store.snapshots) > 2
        for values in store.snapshots[1:]:
            entry, _ = await restore(values, job)
            tasks = entry.groups[GroupId('j1', 0, 0)].tasks
            assert [task.run for task in tasks] == [1] * 18 + [2, 4]
            assert all(task.phase is Phase.DONE for task in tasks[:18])
            assert tasks[18].phase is Phase.UNKNOWN
        record = decode_progress(values[progress_key('j1')])
        assert not record.tasks
        assert len(values) == 1 + -(-20 // SEGMENT_TASKS)

    curio.run(scenario)


def test_the_later_of_two_rows_of_a_task_counts():
    """Guards against a former row that hides a later run of its task."""
    later = row(0, 'p', 3)
    stored = StoredProgress(
        record=ProgressRecord(
            state=JobState.RUNNING, tasks=(row(0, 'd', 1), row(1, 'p', 5))
        ),
    )
    _, segment = parse_progress_key(f'{progress_key("j1")}/0.0.0')
    stored.segments[segment] = (later, row(1, 'w', 5))

    async def scenario():
        writer, _ = await make_writer(MemoryStore())
        entry = make_entry(JOB)
        writer.restore(entry, stored)
        first, second, *_ = entry.groups[GroupId('j1', 0, 0)].tasks
        assert (first.run, first.phase) == (3, Phase.UNKNOWN)
        assert (second.run, second.phase) == (5, Phase.WAITING)

    curio.run(scenario)
