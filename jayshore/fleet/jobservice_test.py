"""Tests of the acceptance of jobs by one instance, without a leader."""

import dataclasses

import curio
import pytest

from jayshore.clock import MonotonicClock
from jayshore.fleet.admission import Admission, RefusedReason
from jayshore.fleet.jobservice import Accepted, JobService, Refused
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.refusals import NOTHING_REFUSED
from jayshore.fleet.tombstones import TombstoneWriter
from jayshore.store.relay import RelayedStore
from standins.memorystore import MemoryStore
from tests.memory_fleet_test import UnreachableStoreRelay, make_job


def make_service(store, **fields):
    """Make the job service of one instance."""
    clock = MonotonicClock()
    relayed = RelayedStore(
        direct=store, relay=UnreachableStoreRelay(), clock=clock
    )
    return JobService(
        store=relayed,
        leader=None,
        scheduler=lambda: None,
        clock=clock,
        admission=Admission(
            refused=lambda queue, workspace: NOTHING_REFUSED,
            clock=clock,
            metrics=FleetMetrics(),
        ),
        tombstones=TombstoneWriter(
            store=relayed, clock=clock, count_instances=lambda: 1
        ),
        **fields,
    )


def run(scenario):
    """Run a scenario as the daemon runs."""
    curio.run(scenario, taskcls=curio.task.ContextTask)


@pytest.mark.parametrize(
    'known', [True, False], ids=['known limit', 'unknown limit']
)
def test_job_that_cannot_be_stored_is_refused_for_good(known):
    """Guards against a caller who is told to return with what never fits."""

    async def scenario():
        store = MemoryStore()
        store.faults.max_value_bytes = 1000
        fields = {'max_value_bytes': 1000} if known else {}
        service = make_service(store, **fields)
        job = make_job()
        large = dataclasses.replace(make_job(), payload='x' * 1000)
        assert await service.submit(large) == Refused(
            reason=RefusedReason.TOO_LARGE
        )
        assert store.calls.get('transact', 0) == (0 if known else 1)
        assert await service.submit(job) == Accepted()

    run(scenario)
