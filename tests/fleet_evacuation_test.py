"""Deployments in memory: a failure domain that is evacuated.

While its key exists, no task may start on a worker of the domain, whatever
state the decision, the record or the order of the start is in.
"""

import contextlib

import curio
import pytest

from jayshore.clock import Millis
from jayshore.fleet.recordkeys import PROGRESS_PREFIX
from jayshore.fleet.sessions import WorkerSession
from tests import memory_fleet_test
from tests.fleet_checks_test import check_runs
from tests.memory_fleet_test import (
    COMPLETED,
    EVACUATIONS,
    make_group,
    make_job,
    running_fleet,
    wait_for,
)

BOUND_MS = Millis(1000)
"""Bound of an evacuation; knowledge of the keys may have half this age."""

NOTICE_S = 0.1
"""Time in which a leader has noticed a key while the store answers, in s."""

QUIET_S = 0.6
"""Time in which a task that may start has started, in s."""

NORTH = 'n0'
SOUTH = 's0'
LOST_STARTS = 99
GROUPS = (
    ('single tasks', {}),
    ('a gang', {'gang': True}),
    ('a limit per worker', {'max_per_worker': 2}),
)
EVERY_GROUP = pytest.mark.parametrize(
    'shape', [row[1] for row in GROUPS], ids=[row[0] for row in GROUPS]
)


@pytest.fixture(autouse=True)
def _long_leadership(monkeypatch):
    """Let a leader outlast the outages of these tests."""
    monkeypatch.setattr(memory_fleet_test, 'TTL_MS', Millis(5000))


@contextlib.asynccontextmanager
async def running_domains(*, instances=1, south=True, **fields):
    """Run a deployment with a worker in the north, and one in the south."""
    fields = {'evacuate_ms': BOUND_MS, **fields}
    async with running_fleet(instances, workers=0, **fields) as fleet:
        fleet.add_worker(NORTH, domain='north')
        if south:
            fleet.add_worker(SOUTH, domain='south')
        await wait_usable(fleet, 1 + south)
        yield fleet


async def wait_usable(fleet, count):
    """Wait until a leader may use a number of workers."""

    def usable():
        leader = fleet.leading()
        if leader is None:
            return False
        sessions = leader.leader_role.scheduler._sessions.values()
        return sum(session.usable for session in sessions) == count

    await wait_for(usable, f'{count} usable workers')


async def evacuate(fleet, domain='north'):
    """Evacuate a domain, and wait until the leader has noticed it."""
    fleet.evacuate(domain)
    await curio.sleep(NOTICE_S)


def run_scenario(scenario):
    """Run a scenario in a new curio kernel."""
    curio.run(scenario, taskcls=curio.task.ContextTask)


def workers_of(fleet, *jobs):
    """Name the workers that ran tasks of jobs."""
    ids = {job.job_id for job in jobs}
    return {name for run, name in named_runs(fleet) if run.task.job_id in ids}


def named_runs(fleet):
    """List all runs with the names of their workers."""
    return [
        (run, name)
        for name, worker in fleet.workers.items()
        for run in worker.history
    ]


class RecordGate:
    """Holds the transactions that record starts while it is closed."""

    def __init__(self, store):
        self.closed = False
        self.held = 0
        self._transact = store.transact
        store.transact = self.transact

    async def transact(self, transaction):
        records = any(
            put.key.startswith(PROGRESS_PREFIX) for put in transaction.puts
        )
        if records and self.closed:
            self.held += 1
            while self.closed:
                await curio.sleep(0.005)
        return await self._transact(transaction)


def hold_reads(store, held):
    """Leave reads of evacuations unanswered while `held` is not empty."""
    for name in ('list', 'watch'):
        setattr(store, name, _hold(getattr(store, name), held))


def _hold(call, held):
    async def held_call(prefix, **fields):
        answer = None
        while answer is None or (held and prefix == EVACUATIONS):
            if held and prefix == EVACUATIONS:
                await curio.sleep(0.005)
                continue
            answer = await call(prefix, **fields)
        return answer

    return held_call


@EVERY_GROUP
def test_start_that_is_being_recorded_is_given_up(shape):
    """Guards against an order that follows a record begun before."""

    async def scenario():
        async with running_domains(south=False) as fleet:
            gate = RecordGate(fleet.store)
            gate.closed = True
            job = make_job(make_group(2, **shape))
            await fleet.submit(job)
            await wait_for(lambda: gate.held, 'the record of the start')
            await evacuate(fleet)
            fleet.add_worker(SOUTH, domain='south')
            gate.closed = False
            await fleet.wait_state([job.job_id], COMPLETED)
            assert workers_of(fleet, job) == {SOUTH}
            check_runs(fleet, [job])

    run_scenario(scenario)


@pytest.mark.parametrize('forgets', [False, True])
def test_start_recorded_after_an_outage_waits_for_the_keys(forgets):
    """Guards against starts that outrun a key written during an outage.

    The record of a start may be stored before the keys are read again.
    """

    async def scenario():
        async with running_domains(south=False) as fleet:
            gate = RecordGate(fleet.store)
            gate.closed = True
            job = make_job(make_group(2))
            await fleet.submit(job)
            await wait_for(lambda: gate.held, 'the record of the start')
            fleet.store.faults.down = True
            fleet.evacuate('north')
            gate.closed = False
            await curio.sleep(0.7)
            if forgets:
                fleet.store.forget_history()
            fleet.store.faults.down = False
            fleet.add_worker(SOUTH, domain='south')
            await fleet.wait_state([job.job_id], COMPLETED)
            assert workers_of(fleet, job) == {SOUTH}
            check_runs(fleet, [job])

    run_scenario(scenario)


@pytest.mark.parametrize('answer_ms', [30, 100])
def test_keys_are_known_while_the_store_is_slow(answer_ms):
    """Guards against a slow store that stops all starts."""

    async def scenario():
        async with running_domains() as fleet:
            fleet.store.faults.answer_ms = Millis(answer_ms)
            await curio.sleep(1)
            await evacuate(fleet)
            await curio.sleep(2 * answer_ms / 1000)
            jobs = [make_job(make_group(2)) for _ in range(3)]
            ids = await fleet.submit(*jobs)
            await fleet.wait_state(ids, COMPLETED)
            assert workers_of(fleet, *jobs) == {SOUTH}

    run_scenario(scenario)


def test_leader_with_old_knowledge_of_the_keys_starts_nothing():
    """Guards against starts in a domain whose key could not be read.

    All other calls to the store are answered.
    """

    async def scenario():
        async with running_domains() as fleet:
            held = []
            hold_reads(fleet.store, held)
            await curio.sleep(QUIET_S)
            held.append(1)
            fleet.evacuate('north')
            await curio.sleep(1)
            job = make_job(make_group(6))
            await fleet.submit(job)
            await curio.sleep(QUIET_S)
            assert not fleet.runs()
            held.clear()
            await fleet.wait_state([job.job_id], COMPLETED)
            assert workers_of(fleet, job) == {SOUTH}

    run_scenario(scenario)


def test_gang_half_inside_returns_to_waiting_together():
    """Guards against a gang of which a part starts, or is never placed."""

    async def scenario():
        async with running_domains() as fleet:
            gate = RecordGate(fleet.store)
            gate.closed = True
            job = make_job(make_group(6, gang=True))
            await fleet.submit(job)
            await wait_for(lambda: gate.held, 'the record of the start')
            await evacuate(fleet)
            gate.closed = False
            await curio.sleep(QUIET_S)
            assert not fleet.runs()
            fleet.add_worker('s1', domain='south')
            await fleet.wait_state([job.job_id], COMPLETED)
            assert workers_of(fleet, job) == {SOUTH, 's1'}
            assert len({run.run for run, _ in fleet.runs()}) == 1
            check_runs(fleet, [job])

    run_scenario(scenario)


def test_gang_with_an_unanswered_member_inside_returns_together():
    """Guards against a gang whose other members run on without one.

    The members outside have confirmed their starts.
    """

    async def scenario():
        async with running_domains(run_ms=Millis(700)) as fleet:
            north = fleet.workers[NORTH].faults
            north.lose_starts = LOST_STARTS
            north.late_ms = None
            job = make_job(make_group(6, gang=True, estimate_ms=Millis(700)))
            await fleet.submit(job)
            await wait_for(lambda: fleet.workers[SOUTH].running, 'a part')
            sent = north.lose_starts
            await evacuate(fleet)
            fleet.add_worker('s1', domain='south')
            await fleet.wait_state([job.job_id], COMPLETED)
            assert north.lose_starts >= sent - 4
            assert not fleet.workers[NORTH].history
            check_runs(fleet, [job])

    run_scenario(scenario)


@pytest.mark.parametrize('late_ms', [None, 300])
def test_unanswered_start_is_stopped_and_not_sent_again(late_ms):
    """Guards against a repeated start, and against one carried out late."""

    async def scenario():
        async with running_domains(south=False) as fleet:
            faults = fleet.workers[NORTH].faults
            faults.lose_starts = LOST_STARTS
            faults.late_ms = late_ms
            job = make_job(make_group(1))
            await fleet.submit(job)
            await wait_for(lambda: faults.lose_starts < LOST_STARTS, 'a start')
            await evacuate(fleet)
            fleet.add_worker(SOUTH, domain='south')
            await fleet.wait_state([job.job_id], COMPLETED)
            await curio.sleep(0.3)
            assert faults.lose_starts == LOST_STARTS - 1
            assert workers_of(fleet, job) == {SOUTH}

    run_scenario(scenario)


def test_start_that_waits_for_a_lease_is_given_up(monkeypatch):
    """Guards against a start that is sent once its worker has a lease."""
    grant = WorkerSession.grant
    withheld = [NORTH]

    def withhold(session):
        withholds = session.entry.worker_id in withheld
        return None if withholds else grant(session)

    async def scenario():
        async with running_domains(south=False) as fleet:
            monkeypatch.setattr(WorkerSession, 'grant', withhold)
            job = make_job(make_group(2))
            await fleet.submit(job)
            await curio.sleep(0.3)
            await evacuate(fleet)
            fleet.add_worker(SOUTH, domain='south')
            await curio.sleep(0.3)
            withheld.clear()
            await fleet.wait_state([job.job_id], COMPLETED)
            assert workers_of(fleet, job) == {SOUTH}
            check_runs(fleet, [job])

    run_scenario(scenario)


def test_domain_that_is_taken_back_again_and_again_loses_nothing():
    """Guards against tasks that are lost or run twice as starts are given up.

    Starts are unanswered at the same time.
    """

    async def scenario():
        async with running_domains() as fleet:
            jobs = [make_job(make_group(3, gang=n % 2 > 0)) for n in range(12)]
            ids = await fleet.submit(*jobs)
            for _ in range(10):
                fleet.workers[NORTH].faults.lose_starts = 2
                await evacuate(fleet)
                await curio.sleep(NOTICE_S)
                started = len(fleet.workers[NORTH].history)
                await curio.sleep(NOTICE_S / 2)
                assert len(fleet.workers[NORTH].history) == started
                fleet.take_back('north')
                await curio.sleep(0.04)
            fleet.workers[NORTH].faults.lose_starts = 0
            await fleet.wait_state(ids, COMPLETED, 15)
            check_runs(fleet, jobs)

    run_scenario(scenario)
