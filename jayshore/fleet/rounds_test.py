"""Tests of the inputs of placement rounds."""

import dataclasses
import random
import types

import pytest

from jayshore.clock import Millis
from jayshore.fleet.demandmaker import (
    AVOID_FAILED_MS,
    should_avoid_failed_workers,
)
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.model import GroupId, TaskId, WorkerEntry
from jayshore.fleet.probation import Probation
from jayshore.fleet.rounds import RoundPlanner
from jayshore.fleet.speeds import MIN_RUNS, Advance, WorkerSpeeds
from jayshore.fleet.spread import UnaccountedRuns
from jayshore.placement.health import WorkerHealth
from jayshore.resources import Resources
from tests.memory_fleet_test import QUEUE, make_group, make_job


@pytest.mark.parametrize(
    ('failures', 'age_ms', 'gang', 'expected'),
    [
        (0, None, False, False),
        (1, 0, False, False),
        (2, 0, False, True),
        (2, AVOID_FAILED_MS - 1, False, True),
        # Work that can start does not wait longer.
        (2, AVOID_FAILED_MS, False, False),
        # A gang needs many workers; without some it may never start.
        (2, 0, True, False),
    ],
)
def test_last_attempt_waits_for_another_worker(
    failures, age_ms, gang, expected
):
    """Guards against jobs that fail by a bad worker, and idle capacity.

    A gang that avoided workers in this way waited for 3 s; found with
    cedarline-prod, quiet-1 --seed 494447743542.
    """
    job = make_job(make_group(2, gang=gang))
    entry = JobEntry(job=job, accepted_at=Millis(0))
    entry.add_occurrence()
    group = entry.groups[GroupId(job.job_id, 0, 0)]
    group.tasks[0].failures = failures
    now = Millis(10_000)
    if age_ms is not None:
        group.failed_at = Millis(now - age_ms)
    queue = dataclasses.replace(QUEUE, max_attempts=3)
    found = should_avoid_failed_workers(group, group.waiting(), queue, now)
    assert found is expected


@pytest.mark.parametrize(('born_ms', 'speed'), [(1, 2.0), (2, 1.0)])
def test_learned_speed_reaches_the_round(born_ms, speed):
    """Guards against speeds that are not used, or used for another life."""
    speeds = WorkerSpeeds()
    for name, pace in (('w0', 1), ('w1', 1), ('w2', 2)):
        speeds.begin(name, 1)
        for number in range(MIN_RUNS):
            done = Advance(TaskId('j', 0, 0, number), 1, pace, Millis(1), False)
            speeds.note_end(name, done)
    speeds.judge('w2', Millis(0))
    planner = RoundPlanner(
        job_table=JobTable(),
        ledger=Ledger(),
        health=WorkerHealth(rng=random.Random(1)),
        probation=Probation(),
        speeds=speeds,
    )
    entry = WorkerEntry(
        worker_id='w2',
        born_ms=born_ms,
        service='s',
        address='w2:1',
        domain='d',
        rack='',
        labels=frozenset(),
        capacity=Resources(cpu_millis=1),
    )
    session = types.SimpleNamespace(
        entry=entry,
        born_ms=born_ms,
        unaccounted=UnaccountedRuns(),
        cold=False,
    )
    assert planner._headroom(session, Millis(0), frozenset()).speed == speed
