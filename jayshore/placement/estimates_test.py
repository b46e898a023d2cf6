"""Tests of estimates and worker health."""

import random

import pytest

from jayshore.placement.durations import WINDOW_TASKS
from jayshore.placement.estimates import (
    CompletedTask,
    Estimates,
    running_charge,
)
from jayshore.placement.health import (
    FIRST_PROBE_INTERVAL_MS,
    MAX_PROBE_INTERVAL_MS,
    WorkerHealth,
    choose_probe_task,
)
from jayshore.placement.tasks import PendingTask, TaskId, TaskKind
from jayshore.resources import Resources

DECLARED = Resources(cpu_millis=1600, memory_mb=1600, accelerators=1)


def estimates_after(peak, count):
    """Build estimates from `count` tasks with the same CPU and memory peak."""
    estimates = Estimates()
    for _ in range(count):
        estimates.observe(
            CompletedTask(
                team='a',
                queue='q',
                declared=DECLARED,
                peak=Resources(cpu_millis=peak, memory_mb=peak),
                declared_run_ms=1000,
                run_ms=3000,
            )
        )
    return estimates


@pytest.mark.parametrize(
    ('peak', 'count', 'corrected', 'run_ms'),
    [
        (400, WINDOW_TASKS - 1, 1600, 1000),
        (400, WINDOW_TASKS, 600, 3000),
        (3200, 1, 3400, 1000),
    ],
)
def test_sizes_rise_at_once_and_fall_after_a_full_window(
    peak, count, corrected, run_ms
):
    """Guards against overcommitting a worker after a few small runs."""
    estimates = estimates_after(peak, count)
    assert estimates.demand('a', 'q', DECLARED) == Resources(
        cpu_millis=corrected, memory_mb=corrected, accelerators=1
    )
    assert estimates.run_ms('a', 'q', 1000) == run_ms
    assert estimates.demand('b', 'q', DECLARED) == DECLARED


def test_a_charge_covers_the_reported_usage():
    """Guards against placing work on capacity that is in use."""
    half = Resources(cpu_millis=800, memory_mb=800, accelerators=1)
    usage = Resources(cpu_millis=1000, memory_mb=100)
    assert running_charge(DECLARED, half, usage) == Resources(
        cpu_millis=1000, memory_mb=800, accelerators=1
    )


def test_quarantine_has_hysteresis():
    """Guards against a worker whose state changes with every result."""
    health = WorkerHealth(rng=random.Random(1))
    states = [
        health.record_failure('w', f'j{number}', 0) for number in range(6)
    ]
    assert states == sorted(states)
    assert states[0] is False
    assert states[-1] is True
    assert not health.counts_against_job('w')
    assert health.record_success('w')
    releases = [health.record_success('w') for _ in range(12)]
    assert releases[-1] is False


def test_one_job_does_not_quarantine_a_worker():
    """Guards against one broken job that gets workers quarantined."""
    health = WorkerHealth(rng=random.Random(1))
    assert not any(health.record_failure('w', 'j', 0) for _ in range(20))
    assert health.counts_against_job('w')


def test_probes_become_rarer():
    """Guards against probing a worker that keeps failing at a fixed rate."""
    health = WorkerHealth(rng=random.Random(1))
    now = 0
    while not health.is_quarantined('w'):
        health.record_failure('w', f'j{random.Random(now).random()}', now)
        now += 1
    intervals = []
    for number in range(12):
        since = now
        while not health.claim_probe('w', now):
            now += 1000
        intervals.append(now - since)
        health.record_failure('w', f'p{number}', now)
    assert intervals[:5] == sorted(set(intervals[:5]))
    assert intervals[0] >= FIRST_PROBE_INTERVAL_MS
    assert (
        MAX_PROBE_INTERVAL_MS
        <= intervals[-1]
        <= 1.2 * MAX_PROBE_INTERVAL_MS + 1000
    )


def test_probe_is_small_and_idempotent():
    """Guards against probing with work that must not run twice."""
    tasks = [
        PendingTask(
            task_id=TaskId(job_id=f'j{cores}', index=0),
            team='a',
            kind=TaskKind.BATCH,
            demand=Resources(cpu_millis=cores),
            enqueued_at=0,
            idempotent=cores > 1,
        )
        for cores in (3, 1, 2)
    ]
    assert choose_probe_task(tasks).demand.cpu_millis == 2
    assert choose_probe_task([tasks[1]]) is None
