"""Tests of the repository of job records."""

import dataclasses

import curio
import pytest

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis
from jayshore.jobs.changes import NotOwnerError
from jayshore.jobs.record import (
    JobState,
    encode_record,
    job_key,
)
from jayshore.jobs.repository import JobRepository
from jayshore.jobs.sample_record_test import sample_record
from jayshore.store.store import Conflict, Entry, Listing, Written


class FakeStore:
    """A store with one record and the calls that the repository uses."""

    def __init__(self, record):
        self.entry = Entry(
            key=job_key(record.job_id),
            value=encode_record(record),
            revision=1,
        )
        self.writes = 0

    async def list(self, prefix, *, since=0):
        return Listing(revision=self.entry.revision, entries=(self.entry,))

    async def watch(self, prefix, *, since, wait_ms):
        self.watched_since = since
        return await self.list(prefix, since=since)

    async def get(self, key):
        return self.entry

    async def delete(self, key, *, expect_revision):
        assert expect_revision == self.entry.revision
        self.deleted = key
        return Written(revision=expect_revision + 1)


class FakeResolver:
    """Writes to the fake store, or never answers."""

    def __init__(self, store, *, answers=True):
        self.store = store
        self.answers = answers

    async def resolve_write(self, write, *, limit_ms):
        if not self.answers:
            await curio.sleep(3600)
        if write.expect_revision != self.store.entry.revision:
            return Conflict(revision=self.store.entry.revision)
        self.store.writes += 1
        self.store.entry = Entry(
            key=write.key,
            value=write.value,
            revision=write.expect_revision + 1,
        )
        return Written(revision=self.store.entry.revision)


def make_repository(store, write_resolver, tasks):
    """Create the repository of one domain."""
    return JobRepository(
        store=store,
        write_resolver=write_resolver,
        domain='north',
        epoch=5,
        write_limit_ms=Millis(100),
        flush_ms=Millis(1),
        tasks=tasks,
    )


def with_payload(text):
    """Create a transition that appends a text to the payload."""

    def transition(current):
        return dataclasses.replace(current, payload=current.payload + text)

    return transition


def test_changes_of_one_job_are_written_together():
    """Guards against a separate store write for each change of a job."""

    async def main():
        store = FakeStore(sample_record())
        tasks = BackgroundTasks()
        repository = make_repository(store, FakeResolver(store), tasks)
        await repository.read_changes()
        async with curio.TaskGroup(wait=all) as group:
            for text in 'abc':
                await group.spawn(repository.change('job', with_payload(text)))
        assert store.writes == 1
        assert sorted(repository.find('job').payload) == sorted('{}abc')

    curio.run(main)


def test_waiting_search_goes_on_from_the_last_revision():
    """Guards against a read that misses a record or reads all of them again."""

    async def main():
        store = FakeStore(sample_record())
        repository = make_repository(
            store, FakeResolver(store), BackgroundTasks()
        )
        known = await repository.read_changes()
        later = dataclasses.replace(sample_record(), job_id='later')
        store.entry = Entry(
            key=job_key('later'), value=encode_record(later), revision=2
        )
        found = await repository.read_changes(wait_ms=Millis(5000))
        assert [record.job_id for record in known] == ['job']
        assert [record.job_id for record in found] == ['later']
        assert store.watched_since == 1

    curio.run(main)


@pytest.mark.parametrize(
    ('state', 'age_ms', 'is_deleted'),
    [
        (JobState.FINISHED, 100, True),
        (JobState.FINISHED, 99, False),
        (JobState.ACTIVE, 100, False),
    ],
)
def test_only_old_records_of_ended_jobs_are_deleted(state, age_ms, is_deleted):
    """Guards against records that are never deleted, and lost active jobs."""

    async def main():
        store = FakeStore(dataclasses.replace(sample_record(), state=state))
        repository = make_repository(
            store, FakeResolver(store), BackgroundTasks()
        )
        await repository.read_changes()
        for now in (0, age_ms):
            await repository.delete_ended(
                now=Millis(now), retention_ms=Millis(100)
            )
        assert (repository.find('job') is None) == is_deleted
        assert hasattr(store, 'deleted') == is_deleted

    curio.run(main)


def test_end_of_the_leadership_ends_every_wait():
    """Guards against callers that wait forever after the leadership ended."""

    async def main():
        store = FakeStore(sample_record())
        tasks = BackgroundTasks()
        repository = make_repository(
            store, FakeResolver(store, answers=False), tasks
        )
        await repository.read_changes()
        waiting = await curio.spawn(repository.change, 'job', with_payload('a'))
        await curio.sleep(0.02)
        await tasks.close()
        with pytest.raises(curio.TaskError) as failure:
            await curio.timeout_after(1, waiting.join)
        assert isinstance(failure.value.__cause__, NotOwnerError)

    curio.run(main)
