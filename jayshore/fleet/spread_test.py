"""Tests of the log lines on limits of groups per worker, and on quarantine."""

import json
import random

import eliot
import pytest

from jayshore.clock import Millis
from jayshore.fleet.demands import Placement
from jayshore.fleet.jobtable import JobEntry
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import Job, Queue, TaskGroup
from jayshore.fleet.placementlog import PlacedTask, log_placements
from jayshore.fleet.spread import ListedRun, SpreadMonitor
from jayshore.fleet.workerresults import WorkerResults
from jayshore.logs import MAX_LINE_BYTES
from jayshore.placement.health import WorkerHealth
from jayshore.resources import NOTHING

QUEUE = Queue(name='q', host='h', prefix='/q/', service='s')


@pytest.fixture(name='lines')
def _lines():
    """Collect the log lines of a test."""
    found = []
    collect = found.append
    eliot.add_destinations(collect)
    # The first destination also gets the lines of earlier tests.
    found.clear()
    yield found
    eliot.remove_destination(collect)


def _job(limit, count=4):
    job = Job(
        job_id='5c0e7a21d94b36f8',
        queue=QUEUE,
        workspace='w',
        payload='',
        groups=(
            TaskGroup(
                count=count,
                need=NOTHING,
                estimate_ms=Millis(100),
                max_per_worker=limit,
            ),
        ),
        accepted_at_ms=0,
    )
    entry = JobEntry(job=job, accepted_at=Millis(0))
    entry.add_occurrence()
    return entry


def _kinds(lines):
    return [line['message_type'] for line in lines]


CASES = (
    # limit, runs listed in each of two replies, number of log lines
    ('no limit', 0, (4, 4), 0),
    ('within it', 2, (2, 2), 0),
    ('beyond it', 1, (2, 1), 1),
    ('still beyond it', 1, (2, 3), 1),
    ('again beyond it', 1, (2, 0, 2), 2),
)


@pytest.mark.parametrize(
    ('limit', 'replies', 'expected'),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_group_beyond_its_limit_is_logged_once(lines, limit, replies, expected):
    """Guards against a broken limit that no log line shows."""
    tasks = list(_job(limit).tasks())
    monitor = SpreadMonitor(metrics=FleetMetrics())
    for count in replies:
        monitor.check(
            'w0', [ListedRun(task, 1, expected=True) for task in tasks[:count]]
        )
    assert _kinds(lines) == ['worker:over_limit'] * expected


def test_placement_names_what_was_counted(lines):
    """Guards against placements whose log does not tell why they were made."""
    entry = _job(2)
    first, second = list(entry.tasks())[:2]
    for task in (first, second):
        task.worker = 'w0'
        task.run = 1
    group_id = first.group.group_id
    log_placements(
        entry,
        [
            PlacedTask(
                first, Placement(group_id=group_id, index=0, worker_id='w0')
            ),
            PlacedTask(
                second,
                Placement(
                    group_id=group_id,
                    index=1,
                    worker_id='w0',
                    beside=1,
                    probe=True,
                ),
            ),
        ],
        age_ms=Millis(5),
    )
    (line,) = lines
    assert line['limits'] == [(0, 0, 0, 0, 2, 'w0'), (0, 0, 1, 1, 2, 'w0')]
    assert line['probes'] == [(0, 0, 1, 'w0')]


def test_unlimited_placement_has_no_further_rows(lines):
    """Guards against log lines that grow by rows without meaning."""
    entry = _job(0)
    task = next(entry.tasks())
    log_placements(
        entry,
        [
            PlacedTask(
                task,
                Placement(
                    group_id=task.group.group_id, index=0, worker_id='w0'
                ),
            )
        ],
        age_ms=Millis(5),
    )
    assert not {'limits', 'probes'} & lines[0].keys()


def test_begin_and_end_of_a_quarantine_are_logged(lines):
    """Guards against a quarantine that the logs do not show."""
    results = WorkerResults(
        health=WorkerHealth(rng=random.Random(7)), metrics=FleetMetrics()
    )
    for job in ('a', 'b', 'c'):
        results.note_failure('w0', job, Millis(0))
    for _ in range(6):
        results.note_success('w0')
    assert _kinds(lines) == ['worker:quarantined', 'worker:quarantine_ended']


def test_placements_of_a_large_job_fit_in_log_lines(lines):
    """Guards against lines that are dropped for their length."""
    entry = _job(3, count=250)
    placed = []
    for task in entry.tasks():
        task.worker = f'i-{task.task_id.position:010x}'
        placement = Placement(
            group_id=task.group.group_id,
            index=task.task_id.position,
            worker_id=task.worker,
            beside=2,
        )
        placed.append(PlacedTask(task, placement))
    log_placements(entry, placed, age_ms=Millis(5))
    assert sum(len(line['tasks']) for line in lines) == 250
    assert max(len(json.dumps(line)) for line in lines) < MAX_LINE_BYTES
