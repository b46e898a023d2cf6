"""Tests of stops that are lost, or sent too early or too late."""

import random
import types

import curio
import pytest

from jayshore.background import BackgroundTasks
from jayshore.clock import ManualClock
from jayshore.jobs import transitions
from jayshore.jobs.attempts import Attempt, AttemptTable, Phase
from jayshore.jobs.changes import Writer
from jayshore.jobs.placing import Placer
from jayshore.jobs.record import JobKind, WorkerBoot
from jayshore.jobs.sample_record_test import TASKS, sample_record

WORKER = WorkerBoot(worker_id='w0', boot_id='b0')
WRITER = Writer(epoch=1, write_id='w')
TIMEOUT_S = 5
# Longer than the pause after an answered stop.
OBSERVATION_S = 1.2


class FakeSession:
    """A worker that loses or ignores some stops before it ends the task."""

    def __init__(self, *, attempt, fates):
        self.is_open = True
        self.attempt = attempt
        self.fates = list(fates)
        self.calls = []

    async def stop(self, task_id, *, checkpoint):
        """Apply the next fate; end the task when no fate is left."""
        self.calls.append((task_id, self.attempt.number, checkpoint))
        if self.fates:
            return self.fates.pop(0) == 'ignored'
        self.attempt.phase = Phase.ENDED
        return True


class FakeRepository:
    """A repository of one record."""

    def __init__(self, record):
        self.record = record

    def find(self, job_id):
        return self.record if job_id == self.record.job_id else None


def make_attempt(phase=Phase.RUNNING, index=0):
    attempt = Attempt(
        job_id=sample_record().job_id, index=index, number=1, phase=phase
    )
    attempt.worker = WORKER
    return attempt


def make_placer(session, *, record=None, attempts=None):
    """Create a placer whose only worker is the one of the session."""
    context = types.SimpleNamespace(rng=random.Random(7), clock=ManualClock())
    placer = Placer(
        context=context,
        cell=None,
        repository=FakeRepository(record or sample_record()),
        attempts=attempts or AttemptTable(),
        tasks=BackgroundTasks(),
    )
    placer.attach(types.SimpleNamespace(sessions={WORKER.worker_id: session}))
    return placer


async def wait_ended(attempt):
    async with curio.ignore_after(TIMEOUT_S):
        while attempt.phase is not Phase.ENDED:
            await curio.sleep(0.01)


@pytest.mark.parametrize('checkpoint', [False, True])
@pytest.mark.parametrize(
    'fates',
    [(), ('lost',), ('lost', 'lost', 'lost'), ('ignored',)],
)
def test_stop_is_repeated_until_the_task_has_ended(fates, checkpoint):
    """Guards against a task that runs on because its stop was lost."""

    async def scenario():
        attempt = make_attempt()
        session = FakeSession(attempt=attempt, fates=fates)
        placer = make_placer(session)
        await placer.stop(attempt, checkpoint=checkpoint)
        await wait_ended(attempt)
        ended_after = len(session.calls)
        await curio.sleep(OBSERVATION_S)
        return attempt, session, ended_after

    attempt, session, ended_after = curio.run(scenario)
    assert attempt.phase is Phase.ENDED
    assert ended_after == len(session.calls) == len(fates) + 1
    assert {call[0] for call in session.calls} == {attempt.name}


def test_two_requests_are_one_stop():
    """Guards against duplicate stops, as every grant round requests them."""

    async def scenario():
        attempt = make_attempt()
        session = FakeSession(attempt=attempt, fates=('ignored',))
        placer = make_placer(session)
        for _ in range(3):
            await placer.stop(attempt, checkpoint=True)
        await wait_ended(attempt)
        return session.calls

    assert len(curio.run(scenario)) == 2


class SlowCheckpoint(FakeSession):
    """A worker whose checkpoint takes longer than any test."""

    async def stop(self, task_id, *, checkpoint):
        """Wait for the checkpoint, if one is requested."""
        if checkpoint:
            self.calls.append((task_id, self.attempt.number, checkpoint))
            await curio.sleep(3600)
        return await super().stop(task_id, checkpoint=checkpoint)


def test_cancellation_does_not_wait_for_a_checkpoint():
    """Guards against a cancelled task that runs on while it checkpoints."""

    async def scenario():
        attempt = make_attempt()
        session = SlowCheckpoint(attempt=attempt, fates=())
        placer = make_placer(session)
        await placer.stop(attempt, checkpoint=True)
        while not session.calls:
            await curio.sleep(0.01)
        await placer.stop(attempt, checkpoint=False)
        await wait_ended(attempt)
        return attempt.phase

    assert curio.run(scenario) is Phase.ENDED


def test_stop_waits_for_a_closed_lease():
    """Guards against a stop that is dropped while the worker is unreachable."""

    async def scenario():
        attempt = make_attempt()
        session = FakeSession(attempt=attempt, fates=())
        session.is_open = False
        placer = make_placer(session)
        await placer.stop(attempt, checkpoint=False)
        await curio.sleep(0.1)
        early = len(session.calls)
        session.is_open = True
        await wait_ended(attempt)
        return early, len(session.calls)

    assert curio.run(scenario) == (0, 1)


def test_stop_of_a_starting_task_waits_until_it_runs():
    """Guards against a stop that overtakes its start and has no effect."""

    async def scenario():
        attempt = make_attempt(Phase.STARTING)
        session = FakeSession(attempt=attempt, fates=())
        placer = make_placer(session)
        await placer.stop(attempt, checkpoint=False)
        await curio.sleep(0.1)
        early = len(session.calls)
        attempt.phase = Phase.RUNNING
        await wait_ended(attempt)
        return early, len(session.calls)

    assert curio.run(scenario) == (0, 1)


def _next_attempt(attempt):
    attempt.advance_to(attempt.number + 1)
    attempt.phase = Phase.RUNNING


def _next_launch(attempt):
    attempt.launches += 1


def _lost(attempt):
    attempt.phase = Phase.ENDED


@pytest.mark.parametrize('change', [_next_attempt, _next_launch, _lost])
def test_stop_does_not_outlive_its_attempt(change):
    """Guards against a resent stop that ends the next attempt."""

    async def scenario():
        attempt = make_attempt()
        session = FakeSession(attempt=attempt, fates=('ignored',) * 100)
        placer = make_placer(session)
        await placer.stop(attempt, checkpoint=False)
        while not session.calls:
            await curio.sleep(0.01)
        change(attempt)
        before = len(session.calls)
        await curio.sleep(OBSERVATION_S)
        return before, len(session.calls)

    before, after = curio.run(scenario)
    assert before == after


@pytest.mark.parametrize(
    ('other', 'is_stopped'),
    [
        (Phase.QUEUED, True),
        (Phase.RUNNING, False),
        (Phase.STARTING, False),
        (Phase.INHERITED, False),
    ],
)
@pytest.mark.parametrize('kind', [JobKind.GANG, JobKind.BATCH])
def test_gang_does_not_run_in_part(kind, other, is_stopped):
    """Guards against a gang member that runs on after the others stopped."""

    async def scenario():
        record = sample_record(kind=kind)
        record = transitions.widen_intent(
            transitions.claim(record, WRITER),
            WRITER,
            workers=(WORKER,),
            first_attempts=TASKS,
        )
        attempts = AttemptTable()
        adopted = attempts.adopt(record, epoch=WRITER.epoch)
        for attempt, phase in zip(adopted, (Phase.RUNNING, other), strict=True):
            attempt.phase = phase
            attempt.worker = WORKER
        session = FakeSession(attempt=adopted[0], fates=('lost',))
        placer = make_placer(session, record=record, attempts=attempts)
        await placer.stop_partial_gang(record)
        async with curio.ignore_after(0.3):
            await wait_ended(adopted[0])
        return len(session.calls)

    expected = 2 if is_stopped and kind is JobKind.GANG else 0
    assert curio.run(scenario) == expected
