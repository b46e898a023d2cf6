"""Tests of the time that a task has to checkpoint before it is stopped."""

import curio
import msgspec
import pytest

from jayshore.clock import ManualClock
from jayshore.http.clientconnection import CallTimedOut
from jayshore.http.messages import Response
from jayshore.leases.session import WorkerObserver, WorkerSession
from jayshore.leases.worker import (
    HttpWorkerClient,
    OpenedWorkerLease,
    TaskStartOrder,
)
from jayshore.resources import Resources

OPENED = OpenedWorkerLease(
    lease_id=1, boot_id='b', capacity=Resources(), leaving=False, tasks=()
)


class Quiet(WorkerObserver):
    """Takes no notice of the news."""

    async def lease_opened(self, worker_id, opened):
        """Ignore it."""

    async def tasks_reported(self, worker_id, renewed):
        """Ignore it."""

    async def worker_lost(self, worker_id):
        """Ignore it."""

    async def epoch_superseded(self):
        """Ignore it."""


class FakeClient:
    """A worker whose checkpoints take a given time."""

    def __init__(self, clock, calls, checkpoint_ms=0, during=None):
        self._clock = clock
        self._calls = calls
        self._checkpoint_ms = checkpoint_ms
        self.during = during

    async def call(self, request, *, timeout_ms):
        """Answer a call after the time that it takes."""
        action = request.path.rsplit('/', 1)[-1]
        self._calls.append((action, self._clock.now()))
        if action == 'open':
            return Response(status=200, body=msgspec.json.encode(OPENED))
        if action == 'renew':
            await curio.Event().wait()
        if action == 'tasks':
            return Response(status=201)
        if action == 'checkpoint':
            if self.during is not None:
                await self.during()
            self._clock.advance(min(self._checkpoint_ms, timeout_ms))
            if self._checkpoint_ms > timeout_ms:
                raise CallTimedOut('checkpoint')
        return Response(status=200)


class Worker:
    """A session with a worker, and the calls that the worker got."""

    def __init__(self, checkpoint_ms, limit_ms):
        self.clock = ManualClock()
        self.calls = []
        self.limit_ms = limit_ms
        self.client = FakeClient(self.clock, self.calls, checkpoint_ms)
        self.link = HttpWorkerClient(
            client=self.client,
            checkpoints=self.client,
            holder='h',
            clock=self.clock,
            call_timeout_ms=1000,
            task_lease_ms=3000,
        )
        self.session = WorkerSession(
            worker_id='w',
            link=self.link,
            epoch=1,
            observer=Quiet(),
            renew_wait_ms=0,
            checkpoint_ms=lambda: self.limit_ms,
            source=None,
        )

    async def start(self):
        """Start the task of the tests."""
        order = TaskStartOrder(
            task_id='job.0',
            attempt=2,
            job_id='job',
            team='t',
            resources=Resources(),
            payload='{}',
        )
        await self.session.start(order)

    async def stop(self):
        """Stop it after a checkpoint."""
        await self.session.stop('job.0', checkpoint=True)


@pytest.mark.parametrize(
    ('checkpoint_ms', 'limit_ms', 'stopped_at'),
    [
        (0, 10_000, 0),
        (4000, 10_000, 4000),
        (10_000, 10_000, 10_000),
        (10_001, 10_000, 10_000),
        (4000, 200, 200),
    ],
)
def test_a_task_has_the_time_that_is_set(checkpoint_ms, limit_ms, stopped_at):
    """Guards against a stop that comes early, or never without an answer."""
    worker = Worker(checkpoint_ms, limit_ms)
    curio.run(worker.stop)
    assert worker.calls == [('checkpoint', 0), ('stop', stopped_at)]


def test_a_changed_limit_holds_for_the_next_checkpoint():
    """Guards against a limit that stays in force until the next leader."""
    worker = Worker(4000, 10_000)
    curio.run(worker.stop)
    worker.limit_ms = 100
    curio.run(worker.stop)
    assert worker.calls[-1] == ('stop', 4100)


def test_a_checkpoint_does_not_renew_the_lease():
    """Guards against a dead worker whose tasks wait for a checkpoint."""
    worker = Worker(60_000, 50_000)
    curio.run(worker.link.checkpoint(1, 'job.0', limit_ms=50_000))
    assert worker.link.renewed_at == 0


@pytest.mark.parametrize('during', ['start', 'stop'])
def test_only_the_attempt_that_was_meant_is_stopped(during):
    """Guards against a stop that hits a later start of the same task."""
    worker = Worker(4000, 10_000)

    async def main():
        running = await curio.spawn(worker.session.run)
        while not worker.session.is_open:
            await curio.sleep(0)
        worker.client.during = getattr(worker, during)
        await worker.stop()
        await running.cancel()

    curio.run(main)
    actions = [action for action, _ in worker.calls]
    assert actions.count('checkpoint') == 1
    assert actions.count('stop') == (0 if during == 'start' else 1)
