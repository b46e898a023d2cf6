"""Tests of a lease that is in doubt after a start or a renewal."""

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

BOUND_S = 5
ORDER = TaskStartOrder(
    task_id='job.0',
    attempt=1,
    job_id='job',
    team='team',
    resources=Resources(),
    payload='{}',
)


class FakeLink:
    """A worker whose renewals wait until news are put in."""

    def __init__(self):
        self.leases = 0
        self.lost_opens = 0
        self.starts = []
        self.results = []
        self.renewal_failures = []
        self.news = curio.Queue()
        self.renewals = 0

    async def open(self, epoch):
        if self.lost_opens:
            self.lost_opens -= 1
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
        return await self.news.get()

    async def start(self, lease_id, order):
        self.starts.append(lease_id)
        result = self.results.pop(0)
        if isinstance(result, TaskStartResult):
            return result
        return await result()


class RecordingObserver(WorkerObserver):
    """Notes what it is told; a report takes a while."""

    def __init__(self):
        self.seen = []
        self.may_go_on = curio.Event()

    async def lease_opened(self, worker_id, opened):
        self.seen.append(f'opened {opened.lease_id}')

    async def tasks_reported(self, worker_id, renewed):
        self.seen.append('report begins')
        await self.may_go_on.wait()
        self.seen.append('report ends')

    async def worker_lost(self, worker_id):
        self.seen.append('lost')

    async def epoch_superseded(self):
        self.seen.append('superseded')


async def wait_for(condition):
    async with curio.timeout_after(BOUND_S):
        while not condition():
            await curio.sleep(0.001)


def run_session(scenario, *, renewal_failures=()):
    """Run a scenario beside a session whose first lease is open."""

    async def run():
        link, observer = FakeLink(), RecordingObserver()
        link.renewal_failures.extend(renewal_failures)
        session = WorkerSession(
            worker_id='w0',
            link=link,
            epoch=1,
            observer=observer,
            renew_wait_ms=Millis(20_000),
            checkpoint_ms=lambda: Millis(10_000),
            source=random.Random(3),
        )
        running = await curio.spawn(session.run)
        await wait_for(lambda: link.renewals)
        await scenario(session, link, observer)
        await running.cancel()
        return link, observer

    return curio.run(run)


@pytest.mark.parametrize(
    'result', [TaskStartResult.UNCERTAIN, TaskStartResult.NOT_STARTED]
)
def test_start_without_success_opens_a_new_lease(result):
    """An uncertain start must not wait for a renewal of 20 s to end."""

    async def scenario(session, link, _observer):
        link.lost_opens = 2
        link.results = [result]
        assert await session.start(ORDER) is result
        assert not session.is_open
        assert await session.start(ORDER) is TaskStartResult.NOT_STARTED
        await wait_for(lambda: session.is_open)

    link, observer = run_session(scenario)
    assert link.starts == [1]
    assert observer.seen[:2] == ['opened 1', 'lost']
    assert observer.seen[-1] == 'opened 2'


@pytest.mark.parametrize(
    ('failure', 'seen'),
    [
        (LeaseSuperseded('lease 1'), ['opened 1', 'opened 2']),
        (UpstreamUnreachable('closed'), ['opened 1', 'lost', 'opened 2']),
    ],
)
def test_failed_renewal_opens_a_new_lease(failure, seen):
    """An error of the renewal must not end the session."""

    async def scenario(session, link, _observer):
        await wait_for(lambda: link.renewals == 2)
        assert session.is_open

    _, observer = run_session(scenario, renewal_failures=[failure])
    assert observer.seen == seen


def test_superseded_epoch_ends_the_session():
    """A former leader must not go on."""

    async def scenario(_session, _link, observer):
        await wait_for(lambda: 'superseded' in observer.seen)

    link, observer = run_session(
        scenario, renewal_failures=[EpochSuperseded('epoch 1')]
    )
    assert observer.seen == ['opened 1', 'superseded']
    assert link.renewals == 1


def test_success_keeps_the_lease():
    """A start that worked must not cost a new lease."""

    async def scenario(session, link, _observer):
        link.results = [TaskStartResult.STARTED]
        assert await session.start(ORDER) is TaskStartResult.STARTED
        await curio.sleep(0.01)

    link, observer = run_session(scenario)
    assert observer.seen == ['opened 1']
    assert link.leases == 1


def test_late_doubt_does_not_close_a_newer_lease():
    """Many uncertain starts at once must not open one lease after another."""

    async def scenario(session, link, _observer):
        may_end = curio.Event()

        async def late():
            await may_end.wait()
            return TaskStartResult.UNCERTAIN

        link.results = [late, TaskStartResult.UNCERTAIN]
        slow = await curio.spawn(session.start, ORDER)
        await wait_for(lambda: link.starts)
        await session.start(ORDER)
        await wait_for(lambda: session.is_open)
        await may_end.set()
        assert await slow.join() is TaskStartResult.UNCERTAIN
        assert session.is_open

    link, observer = run_session(scenario)
    assert observer.seen == ['opened 1', 'lost', 'opened 2']


def test_doubt_does_not_interrupt_a_report():
    """An ending that is being noted must not be lost with the old lease."""

    async def scenario(session, link, observer):
        await link.news.put(LeaseRenewal(leaving=False, tasks=()))
        await wait_for(lambda: 'report begins' in observer.seen)
        link.results = [TaskStartResult.UNCERTAIN]
        await session.start(ORDER)
        await observer.may_go_on.set()
        await wait_for(lambda: session.is_open)

    _, observer = run_session(scenario)
    assert observer.seen == [
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
    """Trying to reach a worker must not keep its lease from being over."""

    async def scenario():
        clock = ManualClock()
        link = HttpWorkerClient(
            client=FailingClient(error),
            checkpoints=FailingClient(error),
            holder='north-0',
            clock=clock,
            call_timeout_ms=Millis(2000),
            task_lease_ms=Millis(300_000),
        )
        before = link.renewed_at
        clock.advance(Millis(1000))
        with pytest.raises(UpstreamUnreachable):
            await link.open(1)
        return link.renewed_at - before

    assert curio.run(scenario) == (3000 if counts else 0)
