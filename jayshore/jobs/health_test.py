"""Tests of the states of workers after failures."""

import random

import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.jobs.health import WorkerHealthMonitor
from jayshore.placement.health import FIRST_PROBE_INTERVAL_MS, WorkerHealth
from jayshore.placement.tasks import WorkerState

WORKER = 'w'


class StateRecorder:
    """Cell that records the states of workers."""

    def __init__(self):
        self.states = {}

    def set_worker_state(self, worker_id, state):
        """Record a state."""
        self.states[worker_id] = state

    def set_worker_failures(self, worker_id, failure_rate):
        """Ignore the failure rate."""


class Monitored:
    """A monitor with one quarantined worker."""

    def __init__(self):
        self.clock = ManualClock()
        self.cell = StateRecorder()
        self.monitor = WorkerHealthMonitor(
            cell=self.cell,
            health=WorkerHealth(rng=random.Random(7)),
            clock=self.clock,
        )
        self.monitor.lease_opened(WORKER, is_new_boot=True, is_leaving=False)
        self.fail(2)
        assert self.state is WorkerState.QUARANTINED

    @property
    def state(self):
        """State of the worker in the cell."""
        return self.cell.states[WORKER]

    def fail(self, count):
        """Let a task of each of some jobs fail."""
        for number in range(count):
            self.monitor.record_failure(WORKER, f'j{number}')

    def wait_for_release(self):
        """Wait until the worker is released; return the time in ms."""
        started = self.clock.now()
        while self.state is WorkerState.QUARANTINED:
            self.clock.advance(Millis(100))
            self.monitor.release_unprobed(WORKER)
        return self.clock.now() - started


def test_worker_that_no_task_can_probe_is_used_again():
    """Guards against gangs that wait for ever for quarantined workers."""
    monitored = Monitored()
    first = monitored.wait_for_release()
    assert first >= FIRST_PROBE_INTERVAL_MS
    assert monitored.state is WorkerState.USABLE
    monitored.fail(1)
    assert monitored.state is WorkerState.QUARANTINED
    assert monitored.wait_for_release() > first


@pytest.mark.parametrize('opened_again', (False, True))
def test_worker_that_leaves_is_not_used_again(opened_again):
    """Guards against new tasks on a leaving worker after its quarantine."""
    monitored = Monitored()
    monitored.monitor.mark_leaving(WORKER)
    if opened_again:
        monitored.monitor.lease_opened(
            WORKER, is_new_boot=False, is_leaving=True
        )
    for _ in range(12):
        monitored.monitor.record_success(WORKER)
    monitored.clock.advance(Millis(10 * FIRST_PROBE_INTERVAL_MS))
    monitored.monitor.release_unprobed(WORKER)
    assert monitored.state is WorkerState.LEAVING
