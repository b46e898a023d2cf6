"""Tests of leases that are reopened after an uncertain start or renewal."""

import random

import curio
import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.http.client import CallTimedOut, ConnectFailed, ConnectionLost
from jayshore.leases.session import WorkerObserver, WorkerSession
from jayshore.leases.worker import (
    EpochSuperseded,
    HttpWorkerClient,
    LeaseRenewal,
    LeaseSuperseded,
    OpenedWorkerLease,
    TaskStartOrder,
    TaskStartResult,
    UpstreamUnreachable,
)
from jayshore.resources import Resources

TIMEOUT_S = 5
ORDER = TaskStartOrder(
    task_id='job.0',
    attempt=1,
    job_id='job',
    team='team',
    resources=Resources(),
    payload='{}',
)


class FakeWorkerClient:
    """A worker client whose renewals wait until the test queues an answer."""

    def __init__(self):
        self.leases = 0
        self.failing_opens = 0
        self.starts = []
        self.results = []
        self.renewal_failures = []
        self.queued_answers = curio.Queue()
        self.renewals = 0

    async def open(self, epoch):
        if self.failing_opens:
            self.failing_opens -= 1
            raise UpstreamUnreachable('lost')
        self.leases += 1
        return OpenedWorkerLease(
            lease_id=self.leases,
            boot_id='boot',
            capacity=Resources(),
            leaving=False,
            tasks=(),
        )

    async def renew(self, lease_id, acknowledged, wait_ms):
        self.renewals += 1
        if self.renewal_failures:
            raise self.renewal_failures.pop(0)
        return await self.queued_answers.get()

    async def start(self, lease_id, order):
        self.starts.append(lease_id)
        result = self.results.pop(0)
        if isinstance(result, TaskStartResult):
            return result
        return await result()


class RecordingObserver(WorkerObserver):
    """Records events; handling a report waits until the test allows it."""

    def __init__(self):
        self.events = []
        self.may_finish_report = curio.Event()

    async def lease_opened(self, worker_id, opened):
        self.events.append(f'opened {opened.lease_id}')

    async def tasks_reported(self, worker_id, renewed):
        self.events.append('report begins')
        await self.may_finish_report.wait()
        self.events.append('report ends')

    async def worker_lost(self, worker_id):
        self.events.append('lost')

    async def epoch_superseded(self):
        self.events.append('superseded')


async def wait_for(condition):
    async with curio.timeout_after(TIMEOUT_S):
        while not condition():
            await curio.sleep(0.001)


def run_session(scenario, *, renewal_failures=()):
    """Run a scenario against a session whose first lease is open."""

    async def run():
        client, observer = FakeWorkerClient(), RecordingObserver()
        client.renewal_failures.extend(renewal_failures)
        session = WorkerSession(
            worker_id='w0',
            client=client,
            epoch=1,
            observer=observer,
            renew_wait_ms=Millis(20_000),
            checkpoint_ms=lambda: Millis(10_000),
            rng=random.Random(3),
        )
        running = await curio.spawn(session.run)
        await wait_for(lambda: client.renewals)
        await scenario(session, client, observer)
        await running.cancel()
        return client, observer

    return curio.run(run)


@pytest.mark.parametrize(
    'result', [TaskStartResult.UNCERTAIN, TaskStartResult.NOT_STARTED]
)
def test_start_without_success_opens_a_new_lease(result):
    """Guards against an uncertain start that waits for a 20 s renewal."""

    async def scenario(session, client, _observer):
        client.failing_opens = 2
        client.results = [result]
        assert await session.start(ORDER) is result
        assert not session.is_open
        assert await session.start(ORDER) is TaskStartResult.NOT_STARTED
        await wait_for(lambda: session.is_open)

    client, observer = run_session(scenario)
    assert client.starts == [1]
    assert observer.events[:2] == ['opened 1', 'lost']
    assert observer.events[-1] == 'opened 2'


@pytest.mark.parametrize(
    ('failure', 'seen'),
    [
        (LeaseSuperseded('lease 1'), ['opened 1', 'opened 2']),
        (UpstreamUnreachable('closed'), ['opened 1', 'lost', 'opened 2']),
    ],
)
def test_failed_renewal_opens_a_new_lease(failure, seen):
    """Guards against a session that ends with an error of a renewal."""

    async def scenario(session, client, _observer):
        await wait_for(lambda: client.renewals == 2)
        assert session.is_open

    _, observer = run_session(scenario, renewal_failures=[failure])
    assert observer.events == seen


def test_superseded_epoch_ends_the_session():
    """Guards against a superseded leader that keeps renewing its leases."""

    async def scenario(_session, _client, observer):
        await wait_for(lambda: 'superseded' in observer.events)

    client, observer = run_session(
        scenario, renewal_failures=[EpochSuperseded('epoch 1')]
    )
    assert observer.events == ['opened 1', 'superseded']
    assert client.renewals == 1


def test_success_keeps_the_lease():
    """Guards against opening a new lease after a confirmed start."""

    async def scenario(session, client, _observer):
        client.results = [TaskStartResult.STARTED]
        assert await session.start(ORDER) is TaskStartResult.STARTED
        await curio.sleep(0.01)

    client, observer = run_session(scenario)
    assert observer.events == ['opened 1']
    assert client.leases == 1


def test_late_doubt_does_not_close_a_newer_lease():
    """Guards against one new lease per uncertain start sent under the same."""

    async def scenario(session, client, _observer):
        may_end = curio.Event()

        async def late():
            await may_end.wait()
            return TaskStartResult.UNCERTAIN

        client.results = [late, TaskStartResult.UNCERTAIN]
        slow = await curio.spawn(session.start, ORDER)
        await wait_for(lambda: client.starts)
        await session.start(ORDER)
        await wait_for(lambda: session.is_open)
        await may_end.set()
        assert await slow.join() is TaskStartResult.UNCERTAIN
        assert session.is_open

    client, observer = run_session(scenario)
    assert observer.events == ['opened 1', 'lost', 'opened 2']


def test_doubt_does_not_interrupt_a_report():
    """Guards against losing a report that is handled while its lease ends."""

    async def scenario(session, client, observer):
        await client.queued_answers.put(LeaseRenewal(leaving=False, tasks=()))
        await wait_for(lambda: 'report begins' in observer.events)
        client.results = [TaskStartResult.UNCERTAIN]
        await session.start(ORDER)
        await observer.may_finish_report.set()
        await wait_for(lambda: session.is_open)

    _, observer = run_session(scenario)
    assert observer.events == [
        'opened 1',
        'report begins',
        'lost',
        'report ends',
        'opened 2',
    ]


class FailingClient:
    """An HTTP client whose calls fail."""

    def __init__(self, error):
        self.error = error

    async def call(self, request, *, timeout_ms):
        raise self.error


@pytest.mark.parametrize(
    ('error', 'counts'),
    [
        (ConnectFailed('refused'), False),
        (ConnectionLost('cut'), True),
        (CallTimedOut('silent'), True),
    ],
)
def test_only_a_call_that_was_sent_may_renew(error, counts):
    """Guards against a lease that never expires while connections fail."""

    async def scenario():
        clock = ManualClock()
        client = HttpWorkerClient(
            client=FailingClient(error),
            checkpoints=FailingClient(error),
            holder='north-0',
            clock=clock,
            call_timeout_ms=Millis(2000),
            task_lease_ms=Millis(300_000),
        )
        before = client.renewed_at
        clock.advance(Millis(1000))
        with pytest.raises(UpstreamUnreachable):
            await client.open(1)
        return client.renewed_at - before

    assert curio.run(scenario) == (3000 if counts else 0)
