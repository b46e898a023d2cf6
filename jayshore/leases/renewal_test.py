"""Tests of the renewals of the session with one worker."""

import random

import curio
import pytest

from jayshore.clock import Millis
from jayshore.leases.session import WorkerObserver, WorkerSession
from jayshore.leases.worker import (
    EpochSuperseded,
    LeaseSuperseded,
    OpenedLease,
    Renewed,
    StartOrder,
    StartResult,
    UpstreamUnreachable,
)
from jayshore.resources import Resources

LONG_MS = Millis(3_600_000)
BOUND_S = 5
ORDER = StartOrder(
    task_id='job.0',
    attempt=1,
    job_id='job',
    team='team',
    resources=Resources(),
    payload='{}',
)


class SilentLink:
    """A worker that grants a lease and then stops answering.

    Attributes:
        is_silent: whether calls fail, except for a renewal that waits.
        renewal_failure: error of the first renewal, None to wait.
        opens: number of leases asked for.
    """

    renewed_at = Millis(0)

    def __init__(self, *, renewal_failure=None):
        self.is_silent = False
        self.renewal_failure = renewal_failure
        self.opens = 0
        self.renewing = curio.Event()

    async def open(self, epoch):
        self.opens += 1
        if self.is_silent:
            raise UpstreamUnreachable('silent')
        return OpenedLease(
            lease_id=self.opens,
            boot_id='boot',
            capacity=Resources(),
            leaving=False,
            tasks=(),
        )

    async def renew(self, lease_id, acknowledged, wait_ms):
        failure, self.renewal_failure = self.renewal_failure, None
        if failure is not None:
            raise failure
        await self.renewing.set()
        await curio.sleep(wait_ms / 1000)
        return Renewed(leaving=False, tasks=())

    async def start(self, lease_id, order):
        self.is_silent = True
        return StartResult.UNCERTAIN


class Recorder(WorkerObserver):
    """Notes what it is told."""

    def __init__(self):
        self.lost = curio.Event()
        self.superseded = curio.Event()
        self.opened = 0

    async def lease_opened(self, worker_id, opened):
        self.opened += 1

    async def tasks_reported(self, worker_id, renewed):
        raise AssertionError('no renewal ends in these tests')

    async def worker_lost(self, worker_id):
        await self.lost.set()

    async def epoch_superseded(self):
        await self.superseded.set()


def make_session(link, observer):
    """Make a session whose renewals wait for longer than any test."""
    return WorkerSession(
        worker_id='w',
        link=link,
        epoch=1,
        observer=observer,
        renew_wait_ms=LONG_MS,
        checkpoint_ms=lambda: LONG_MS,
        source=random.Random(1),
    )


def test_unanswered_start_shows_that_the_worker_is_lost():
    """Guards against a silent worker that is used until its renewal ends."""

    async def main():
        link = SilentLink()
        observer = Recorder()
        session = make_session(link, observer)
        running = await curio.spawn(session.run)
        await link.renewing.wait()
        assert await session.start(ORDER) is StartResult.UNCERTAIN
        await curio.timeout_after(BOUND_S, observer.lost.wait)
        assert not session.is_open
        link.is_silent = False
        while observer.opened == 1:
            await curio.sleep(0)
        assert session.is_open
        await running.cancel()

    curio.run(main)


@pytest.mark.parametrize(
    ('failure', 'is_lost'),
    [
        (LeaseSuperseded('lease 1'), False),
        (UpstreamUnreachable('closed'), True),
    ],
)
def test_failed_renewal_opens_the_lease_anew(failure, is_lost):
    """Guards against an error of the renewal that ends the session."""

    async def main():
        link = SilentLink(renewal_failure=failure)
        observer = Recorder()
        running = await curio.spawn(make_session(link, observer).run)
        await curio.timeout_after(BOUND_S, link.renewing.wait)
        assert observer.opened == 2
        assert observer.lost.is_set() == is_lost
        await running.cancel()

    curio.run(main)


def test_superseded_epoch_ends_the_session():
    """Guards against a former leader that goes on."""

    async def main():
        link = SilentLink(renewal_failure=EpochSuperseded('epoch 1'))
        observer = Recorder()
        await curio.timeout_after(BOUND_S, make_session(link, observer).run)
        assert observer.superseded.is_set()

    curio.run(main)
