"""Tests of what the leader learns from the reports of a worker."""

import types

import pytest

from jayshore.clock import Millis
from jayshore.fleet.interfaces import RunningTask
from jayshore.fleet.jobtable import JobEntry
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.pacemonitor import PaceMonitor
from jayshore.fleet.phases import Phase
from jayshore.fleet.progress import ProgressTracker
from jayshore.placement.durations import TYPICAL_PERCENT, WINDOW_TASKS
from tests.memory_fleet_test import make_group, make_job

ESTIMATE = Millis(1000)
QUEUE = ('riverbend', 'checks')


def make_session(worker_id='w0'):
    """Make what the monitor uses of a session."""
    return types.SimpleNamespace(
        entry=types.SimpleNamespace(worker_id=worker_id),
        born_ms=1,
        progress=ProgressTracker(),
    )


def make_task(**fields):
    """Make a task whose run started at 500 ms."""
    job = make_job(
        make_group(**{'count': 2, 'estimate_ms': ESTIMATE, **fields})
    )
    entry = JobEntry(job=job, accepted_at=Millis(0))
    entry.add_occurrence()
    task = next(entry.tasks())
    task.phase = Phase.RUNNING
    task.run = 1
    task.worker = 'w0'
    task.ordered_at = task.acknowledged_at = Millis(500)
    return task


def report(monitor, session, now, percents):
    """Report active runs by their percentage; return those to be stopped."""
    return monitor.find_slow(
        session,
        {
            task: RunningTask(
                task=task.task_id, name='', run=1, checkpoint='', percent=done
            )
            for task, done in percents.items()
        },
        Millis(now),
    )


def learned_ms(monitor):
    """Return what is expected of a task that is stated as a second."""
    return monitor.durations.expected_ms(
        *QUEUE, ESTIMATE, percent=TYPICAL_PERCENT
    )


ENDS = (
    ('never listed', {}, {}, None, 1700),
    ('listed', {}, {}, 0, 1200),
    ('listed after a part', {}, {}, 50, 2400),
    ('resumed, never listed', {}, {'checkpoint': 'c'}, None, 1000),
    ('start is not known', {}, {'ordered_at': None}, None, 1000),
    ('hardly anything left, start is known', {}, {}, 95, 1700),
    ('hardly anything left, resumed', {}, {'checkpoint': 'c'}, 95, 1000),
    ('runs until it is cancelled', {'long_running': True}, {}, 0, 1000),
)


@pytest.mark.parametrize(
    ('group', 'fields', 'percent', 'expected'),
    [row[1:] for row in ENDS],
    ids=[row[0] for row in ENDS],
)
def test_duration_is_learned(group, fields, percent, expected):
    """Guards against durations learned from a part of a task."""
    monitor = PaceMonitor(metrics=FleetMetrics())
    for _ in range(WINDOW_TASKS):
        session = make_session()
        task = make_task(**group)
        for name, setting in fields.items():
            setattr(task, name, setting)
        listed = {} if percent is None else {task: percent}
        report(monitor, session, 1000, listed)
        monitor.note_end(session, task, Millis(2200))
    assert learned_ms(monitor) == expected


def test_gang_counts_as_one_task():
    """Guards against one wide gang that decides on all estimates."""
    monitor = PaceMonitor(metrics=FleetMetrics())
    session = make_session()
    report(monitor, session, 1000, {})
    first = make_task(gang=True, count=WINDOW_TASKS)
    for task in first.group.tasks:
        task.ordered_at = task.acknowledged_at = Millis(500)
        monitor.note_end(session, task, Millis(2200))
    assert learned_ms(monitor) == ESTIMATE


def test_wrong_estimates_of_a_queue_do_not_make_a_worker_slow():
    """Guards against a worker found slow for the queue that it serves.

    All tasks take five times as long as stated, on any worker.
    """
    monitor = PaceMonitor(metrics=FleetMetrics())
    for number in range(WINDOW_TASKS):
        session = make_session(f'w{number % 4}')
        task = make_task()
        report(monitor, session, 1000, {task: 75})
        monitor.note_end(session, task, Millis(2250))
    assert learned_ms(monitor) == 5 * ESTIMATE
    session = make_session()
    tasks = [make_task() for _ in range(3)]
    for step in range(5):
        found = report(
            monitor,
            session,
            1000 + 500 * step,
            dict.fromkeys(tasks, 10 * step),
        )
        assert not found
    speed = monitor.speeds.speed('w0', 1)
    assert speed == pytest.approx(1.0)
