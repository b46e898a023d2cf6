"""Tests of the renewals that a leader sends to one worker."""

import curio

from jayshore.clock import Millis, MonotonicClock
from jayshore.fleet.interfaces import (
    RenewalReply,
    WorkerClient,
    WorkerConnector,
    WorkerUnreachable,
)
from jayshore.fleet.model import WorkerEntry
from jayshore.fleet.sessions import WAIT_MS, SessionObserver, WorkerSession
from jayshore.resources import Resources

LEASE_MS = Millis(6000)


class LossyWorker(WorkerClient, WorkerConnector):
    """Records renewals, and loses the replies with the given numbers."""

    def __init__(self, lost):
        self.renewals = []
        self.last_seen = []
        self.born_ms = 1
        self._lost = lost
        self._clock = MonotonicClock()

    def connect(self, entry):
        return self

    async def start(self, order):
        raise NotImplementedError

    async def stop(self, task, run, fence):
        raise NotImplementedError

    async def renew(self, request):
        self.renewals.append((self._clock.now(), request.wait_ms))
        self.last_seen.append(request.last_seen)
        await curio.sleep(0.02)
        if len(self.renewals) in self._lost:
            raise WorkerUnreachable('no answer in time', sent=True)
        return RenewalReply(clock_ms=5000, born_ms=self.born_ms)

    async def close(self):
        """Do nothing."""


class OvertakingWorker(LossyWorker):
    """Restarts during the first renewal, whose reply comes last."""

    async def renew(self, request):
        born_ms = self.born_ms
        self.born_ms += 1
        await curio.sleep(0.1 / born_ms)
        return RenewalReply(clock_ms=5000, born_ms=born_ms)


class Leader(SessionObserver):
    def __init__(self, clock):
        self._clock = clock

    async def handle_renewal(self, session, reply, sent_at):
        """Ignore the reply."""

    async def worker_restarted(self, session, outage):
        raise AssertionError('the worker has not restarted')

    async def lease_expired(self, session):
        raise AssertionError('the lease has not expired')

    def lease_deadline(self):
        return Millis(self._clock.now() + LEASE_MS)


def make_session(worker, leader, clock):
    """Make the session of a leader with a worker."""
    entry = WorkerEntry(
        worker_id='w1',
        born_ms=1,
        service='plans',
        address='w1:1',
        domain='north',
        rack='r1',
        labels=frozenset(),
        capacity=Resources(cpu_millis=4000, memory_mb=8000),
    )
    return WorkerSession(
        entry=entry,
        connector=worker,
        clock=clock,
        observer=leader,
        fence=1,
        inherited_until=Millis(0),
        max_lease_ms=LEASE_MS,
    )


async def renew_five_times(worker):
    clock = MonotonicClock()
    session = make_session(worker, Leader(clock), clock)
    task = await curio.spawn(session.run)
    while len(worker.renewals) < 5:
        await curio.sleep(0.005)
    await task.cancel()


def test_lost_reply_is_asked_for_again_at_once():
    """Guards against ends that stay unknown after one lost reply.

    The next renewal neither waits for an end at the worker nor is it delayed.
    """
    worker = LossyWorker(lost={2})
    curio.run(renew_five_times, worker)
    waits = [wait_ms for _, wait_ms in worker.renewals]
    assert waits == [0, WAIT_MS, 0, WAIT_MS, WAIT_MS]
    assert worker.renewals[2][0] - worker.renewals[1][0] < 100


def test_silent_worker_is_not_called_without_pause():
    """Guards against a flood of calls to a worker that does not reply."""
    worker = LossyWorker(lost={2, 3, 4})
    curio.run(renew_five_times, worker)
    times = [sent_at for sent_at, _ in worker.renewals]
    assert times[3] - times[2] >= 200
    assert times[4] - times[3] >= 200


class RestartedLeader(Leader):
    """Counts restarts."""

    restarts = 0

    async def worker_restarted(self, session, outage):
        self.restarts += 1


async def renew_across_a_restart(worker):
    """Record an end of a former life while the same number is in use."""
    clock = MonotonicClock()
    session = make_session(worker, RestartedLeader(clock), clock)
    await session.poll_now()
    session.note_end(1)
    worker.born_ms = 2
    await session.poll_now()
    session.note_end(1)
    session.mark_recorded(1, born_ms=1)
    await session.poll_now()


def test_end_of_a_later_life_is_not_forgotten_before_it_is_recorded():
    """Guards against ends that a worker forgets and no record holds.

    The end of the former life was recorded late, under the same number.
    """
    worker = LossyWorker(lost=())
    curio.run(renew_across_a_restart, worker)
    assert worker.last_seen[-1] == 0


def test_reply_of_a_former_life_that_comes_late_is_no_restart():
    """Guards against runs that are given up by a reply that was overtaken."""

    async def scenario():
        clock = MonotonicClock()
        leader = RestartedLeader(clock)
        session = make_session(OvertakingWorker(lost=()), leader, clock)
        async with curio.TaskGroup() as renewals:
            for _ in range(2):
                await renewals.spawn(session.poll_now)
        assert session.born_ms == 2
        assert not leader.restarts

    curio.run(scenario)
