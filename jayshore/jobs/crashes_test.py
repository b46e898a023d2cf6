"""Tests of tasks whose workers restart soon after they started them."""

import types

import curio
import pytest

from jayshore.background import BackgroundTasks
from jayshore.clock import ManualClock
from jayshore.jobs import transitions
from jayshore.jobs.attempts import AttemptTable, Phase
from jayshore.jobs.changes import Writer
from jayshore.jobs.inventory import InventoryReconciler
from jayshore.jobs.record import JobKind, JobState, TaskState, WorkerBoot
from jayshore.jobs.sample_record_test import sample_record
from jayshore.jobs.terminations import MAX_CRASHES, TerminationRecorder
from jayshore.leases.worker import OpenedWorkerLease
from jayshore.resources import Resources

WRITER = Writer(epoch=1, write_id='w')
WORKER = 'w0'


class OneRecord:
    """A repository of one record, without a store."""

    def __init__(self, record):
        self.record = record

    def find(self, job_id):
        return self.record if job_id == self.record.job_id else None

    async def change(self, job_id, apply):
        self.record = apply(self.record)
        return self.record


class CancelledBeforeRetry(OneRecord):
    """A repository whose job is cancelled before its next change."""

    cancelled = False

    async def change(self, job_id, apply):
        if not self.cancelled:
            self.cancelled = True
            self.record = transitions.cancel(self.record, WRITER)
        return await super().change(job_id, apply)


class OneWorkerPlacer:
    """Places each attempt at once on the only worker."""

    def __init__(self, clock, repository):
        self.boots = {WORKER: WorkerBoot(worker_id=WORKER, boot_id='b0')}
        self._clock = clock
        self._repository = repository

    def place(self, attempt):
        attempt.phase = Phase.RUNNING
        attempt.worker = self.boots[WORKER]
        attempt.placed_at = self._clock.now()
        self._repository.record = transitions.widen_intent(
            self._repository.record, WRITER, workers=[attempt.worker]
        )

    enqueue = place

    def release(self, record, attempt):
        return types.SimpleNamespace(started_at=attempt.placed_at)

    def add_worker(self, view):
        """Ignore the capacity of the worker."""

    def refresh_gang(self, record):
        """Ignore gangs."""

    async def stop_partial_gang(self, record):
        """Ignore gangs."""

    async def wake(self):
        """Do nothing, since attempts are placed at once."""


class Leader:
    """The part of a leader that handles restarts of one worker."""

    def __init__(self, record, repository=OneRecord):
        self.clock = ManualClock()
        attempts = AttemptTable()
        self.repository = repository(
            transitions.widen_intent(
                transitions.claim(record, WRITER),
                WRITER,
                workers=(),
                first_attempts=(0,),
            )
        )
        placer = OneWorkerPlacer(self.clock, self.repository)
        context = types.SimpleNamespace(
            clock=self.clock,
            epoch=WRITER.epoch,
            writer=WRITER,
            domain='north',
            events=types.SimpleNamespace(task_ended=lambda *_ended: None),
        )
        health = types.SimpleNamespace(
            lease_opened=lambda *_opened, **_fields: None
        )
        (self.attempt,) = attempts.adopt(self.repository.record, epoch=1)
        placer.place(self.attempt)
        self.tasks = BackgroundTasks()
        self.reconciler = InventoryReconciler(
            context=context,
            health_monitor=health,
            repository=self.repository,
            attempts=attempts,
            placer=placer,
            terminations=TerminationRecorder(
                context=context,
                repository=self.repository,
                attempts=attempts,
                placer=placer,
                health_monitor=health,
                tasks=self.tasks,
            ),
        )

    @property
    def task(self):
        return self.repository.record.tasks[0]

    async def restart_worker(self, number, age_ms):
        """Restart the worker when the current attempt has some age."""
        self.clock.advance(age_ms)
        before = self.task
        await self.reconciler.lease_opened(
            WORKER,
            OpenedWorkerLease(
                lease_id=number,
                boot_id=f'b{number}',
                capacity=Resources(cpu_millis=1000),
                tasks=(),
                leaving=False,
            ),
        )
        async with curio.timeout_after(5):
            while self.task == before or not self._is_settled():
                await curio.sleep(0.01)

    def _is_settled(self):
        return self.task.is_final or self.attempt.phase is Phase.RUNNING


CASES = (
    ('right after the start', JobKind.BATCH, 100, MAX_CRASHES),
    ('a service', JobKind.SERVICE, 100, MAX_CRASHES),
    ('after a minute', JobKind.BATCH, 60_000, None),
)


@pytest.mark.parametrize(
    ('kind', 'age_ms', 'expected'),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_task_whose_workers_restart_is_given_up(kind, age_ms, expected):
    """Guards against a task that crashes worker after worker without end."""

    async def scenario():
        leader = Leader(sample_record(kind=kind))
        for number in range(1, MAX_CRASHES + 2):
            await leader.restart_worker(number, age_ms)
            if leader.task.state is TaskState.FAILED:
                assert number == expected
                return
        assert expected is None

    curio.run(scenario)


@pytest.mark.parametrize(
    ('idempotent', 'expected'),
    ((True, JobState.CANCELLED), (False, JobState.UNKNOWN)),
)
def test_job_that_is_cancelled_before_its_retry_ends(idempotent, expected):
    """Guards against a cancelled task that possibly started and never ends."""

    async def scenario():
        leader = Leader(
            sample_record(idempotent=idempotent), CancelledBeforeRetry
        )
        await leader.restart_worker(1, 60_000)
        assert leader.repository.record.state is expected

    curio.run(scenario)
