"""Tests of cancellations of jobs that the store does not hold yet."""

import dataclasses

import curio
import pytest

from jayshore.clock import Millis, MonotonicClock
from jayshore.fleet import tombstones
from jayshore.fleet.admission import RefusedReason
from jayshore.fleet.jobservice import (
    Accepted,
    JobServiceUnavailable,
    Refused,
    Uncertain,
)
from jayshore.fleet.jobservice_test import make_service, run
from jayshore.fleet.recordkeys import JOB_PREFIX
from jayshore.fleet.tombstones import TombstonesExhausted, TombstoneWriter
from standins.memorystore import MemoryStore
from tests.memory_fleet_test import make_job

PREFIX = 'jobs/tombstones/'
ANSWER_MS = Millis(520)
"""Delay of an answer after which a write is not sent again."""


async def submit_late(store, service, job, late_ms):
    """Submit a job whose writes get no answer and are carried out late."""
    store.faults.answer_ms = ANSWER_MS
    store.faults.lose_answers = 1
    store.faults.late_ms = Millis(late_ms)
    assert await service.submit(job) == Uncertain()
    store.faults.answer_ms = Millis(0)
    store.faults.late_ms = Millis(0)


@pytest.mark.parametrize('elsewhere', [True, False])
@pytest.mark.parametrize('lost', [0, 1])
def test_job_is_not_accepted_after_its_cancellation(lost, elsewhere):
    """Guards against a cancelled job that runs when a late write lands."""

    async def scenario():
        store = MemoryStore()
        service = make_service(store)
        job = make_job()
        await submit_late(store, service, job, 700)
        store.faults.lose_answers = lost
        other = make_service(store) if elsewhere else service
        assert not await other.cancel(job.job_id, job.workspace)
        assert not store.values(JOB_PREFIX)
        await curio.sleep(0.9)
        assert not store.values(JOB_PREFIX)
        for repeated in (service, other, make_service(store)):
            assert await repeated.submit(job) == Refused(
                reason=RefusedReason.CANCELLED
            )

    run(scenario)


def test_job_that_lands_before_its_tombstone_is_cancelled():
    """Guards against an answer from a read before the tombstone."""

    async def scenario():
        store = MemoryStore()
        service = make_service(store)
        job = make_job()
        await submit_late(store, service, job, 150)
        store.faults.answer_ms = Millis(100)
        assert await service.cancel(job.job_id, job.workspace)
        assert len(store.values(JOB_PREFIX)) == 2

    run(scenario)


def test_cancellation_without_a_tombstone_is_not_acknowledged(monkeypatch):
    """Guards against an answer though a late write may still be carried out."""
    monkeypatch.setattr(tombstones, '_WRITE_LIMIT_MS', Millis(200))

    async def scenario():
        store = MemoryStore()
        service = make_service(store)
        job = make_job()
        store.faults.lose_answers = 1000
        store.faults.late_ms = Millis(400)
        with pytest.raises(JobServiceUnavailable):
            await service.cancel(job.job_id, job.workspace)
        store.faults.lose_answers = 0
        assert not await service.cancel(job.job_id, job.workspace)
        await curio.sleep(0.5)
        assert await service.submit(job) == Refused(
            reason=RefusedReason.CANCELLED
        )

    run(scenario)


def test_workspaces_do_not_cancel_ids_of_each_other():
    """Guards against a workspace that hinders the submissions of another."""

    async def scenario():
        store = MemoryStore()
        service = make_service(store)
        jobs = [make_job() for _ in range(12)]
        for job in jobs:
            for stranger in ('elm', None):
                assert not await service.cancel(job.job_id, stranger)
        for accepted in jobs:
            assert await service.submit(accepted) == Accepted()

    run(scenario)


def test_unknown_ids_leave_a_bounded_number_of_keys(monkeypatch):
    """Guards against a store that a caller fills with cancellations."""
    monkeypatch.setattr(tombstones, 'LEASE_MS', Millis(1600))
    monkeypatch.setattr(tombstones, 'KEEP_MS', Millis(800))
    monkeypatch.setattr(tombstones, 'MAX_TOMBSTONES', 64)
    results = {'answered': 0, 'refused': 0}

    async def scenario():
        store = MemoryStore()
        service = make_service(store)

        async def cancel(number):
            try:
                assert not await service.cancel(f'{number:016x}', 'elm')
            except JobServiceUnavailable:
                results['refused'] += 1
            else:
                results['answered'] += 1

        async with curio.TaskGroup() as group:
            for number in range(2000):
                await group.spawn(cancel, number)
        assert results == {'answered': 16, 'refused': 1984}
        assert len(store.values(PREFIX)) == 16
        assert store.calls['transact'] <= 2
        assert not await service.cancel('0' * 16, 'oak')
        assert len(store.values(PREFIX)) == 17
        await curio.sleep(1.8)
        assert not store.values(PREFIX)
        assert not await service.cancel('f' * 16, 'elm')

    run(scenario)


@pytest.mark.parametrize(('instances', 'room'), [(1, 64), (4, 16), (64, 16)])
def test_instances_share_the_room(monkeypatch, instances, room):
    """Guards against a bound that grows with the deployment."""
    monkeypatch.setattr(tombstones, 'MAX_TOMBSTONES', 64)

    async def scenario():
        writer = TombstoneWriter(
            store=MemoryStore(),
            clock=MonotonicClock(),
            count_instances=lambda: instances,
        )
        for number in range(room):
            await writer.write(f't{number % 8}', f'{number:x}')
        await writer.write('t0', '0')
        with pytest.raises(TombstonesExhausted):
            await writer.write('t9', 'one more')

    run(scenario)


def test_tombstones_of_an_ended_lease_are_written_again():
    """Guards against a cancellation that is lost with a lease of the store."""

    async def scenario():
        store = MemoryStore()
        service = make_service(store)
        first, second = make_job(), make_job()
        assert not await service.cancel(first.job_id, first.workspace)
        store.end_lease(1)
        assert not await service.cancel(second.job_id, second.workspace)
        assert len(store.values(PREFIX)) == 1
        renamed = dataclasses.replace(second, payload='other')
        assert await service.submit(renamed) == Refused(
            reason=RefusedReason.CANCELLED
        )

    run(scenario)
