"""Tests of the plan that the leader makes of waiting jobs."""

import dataclasses

import pytest

from jayshore.clock import Millis
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import (
    FleetConfig,
    Job,
    Queue,
    Schedule,
    TaskGroup,
    WorkerEntry,
    Workspace,
)
from jayshore.fleet.overload import SETTLED_MS, OverloadMonitor
from jayshore.fleet.phases import JobState, Phase
from jayshore.fleet.queueload import OfferedRates
from jayshore.fleet.standing import Standing
from jayshore.resources import NOTHING, Resources

URGENT = Queue(
    name='urgent', host='h', prefix='/u/', service='s', stretch=1.5,
    objective_ms=Millis(250),
)  # fmt: skip
WIDE = Queue(
    name='wide', host='h', prefix='/w/', service='s', priority=2, stretch=2,
    objective_ms=Millis(1000),
)  # fmt: skip
NONE = Queue(name='none', host='h', prefix='/n/', service='s', priority=2)
CORE = Resources(cpu_millis=1000, memory_mb=1000)
START = Millis(100_000)


def make_config(**fields):
    """Make a configuration with two workspaces of which one has a maximum."""
    workspaces = (
        Workspace(name='a', keys=frozenset(), weight=1),
        Workspace(name='b', keys=frozenset(), weight=1, **fields),
    )
    return FleetConfig(
        version=1, queues=(URGENT, WIDE, NONE), workspaces=workspaces
    )


class Leader:
    """A monitor with workers of ten cores each, which run nothing."""

    def __init__(self, workers=1, **fields):
        self.table = JobTable()
        self.ledger = Ledger()
        self.monitor = OverloadMonitor(
            ledger=self.ledger, metrics=FleetMetrics()
        )
        self.config = make_config(**fields)
        self.now = START
        self.workers = workers
        self.confirmed_at = None
        self.refusals = ()

    def add(
        self, queue, *, tasks=10, path=1000, age=0, workspace='a', **fields
    ):
        """Accept a job; its tasks have a core each."""
        shape = {'count': tasks, 'need': CORE, 'estimate_ms': Millis(path)}
        shape.update(fields.pop('shape', {}))
        entry = JobEntry(
            job=Job(
                job_id=str(len(self.table.jobs)),
                queue=queue,
                workspace=workspace,
                payload='',
                groups=(TaskGroup(**shape),),
                accepted_at_ms=0,
                schedule=fields.pop('schedule', Schedule()),
            ),
            accepted_at=Millis(self.now - age),
            **fields,
        )
        self.table.add(entry)
        return entry

    def add_shape(self, *, tasks, **shape):
        """Accept a job whose tasks may not use all workers."""
        return self.add(WIDE, tasks=tasks, shape=shape)

    def flood(self, jobs, **fields):
        """Accept jobs for seconds of work, the first of which waits already."""
        self.add(WIDE, age=4000, **fields)
        for _ in range(jobs):
            self.add(WIDE, age=1000, **fields)

    def run(self, duration=2250):
        """Sweep for some time."""
        for _ in range(0, duration, 250):
            self.refusals = self.monitor.update(
                self.table.active(),
                workers=[make_worker(n) for n in range(self.workers)],
                config=self.config,
                confirmed_at=self.confirmed_at or self.now,
                now=self.now,
            )
            self.now = Millis(self.now + 250)
        return self.refusals


def make_worker(number):
    """Make the registration of a worker of ten cores."""
    return WorkerEntry(
        worker_id=f'w{number}',
        born_ms=0,
        service='s',
        address='w:1',
        domain='',
        rack='',
        labels=frozenset(),
        capacity=CORE.scaled(10),
    )


def test_what_does_not_fit_is_deferred():
    """Guards against a burst that makes all waiting jobs late."""
    leader = Leader()
    leader.run()
    small = [leader.add(URGENT, tasks=2) for _ in range(3)]
    wide = leader.add(WIDE, tasks=100, path=9000)
    late = leader.add(WIDE, tasks=10, age=5000)
    leader.run(250)
    assert {entry.standing for entry in small} == {Standing.PLANNED}
    assert wide.standing is Standing.DEFERRED
    assert late.standing is Standing.DEFERRED


UNPLANNED = (
    ('workers are not full', {'workers': 20}, WIDE, {}),
    ('no objective', {}, NONE, {}),
    ('recurring', {}, WIDE, {'schedule': Schedule(repeats=3)}),
    ('workers just seen', {'workers': 0}, WIDE, {}),
)


@pytest.mark.parametrize(
    ('fleet', 'queue', 'fields'),
    [row[1:] for row in UNPLANNED],
    ids=[row[0] for row in UNPLANNED],
)
def test_deployment_without_need_is_served_as_before(fleet, queue, fields):
    """Guards against a policy that acts where nothing calls for it."""
    leader = Leader(**fleet)
    entries = [leader.add(queue, age=8000, **fields) for _ in range(12)]
    leader.run()
    leader.workers = leader.workers or 1
    assert leader.run(500) == ()
    assert {entry.standing for entry in entries} == {Standing.USUAL}


@pytest.mark.parametrize('away', [False, True])
def test_backlog_after_an_absence_is_not_refused(away):
    """Guards against refusals of a leader that has just seen its workers."""
    leader = Leader()
    leader.run()
    leader.flood(50)
    assert leader.run(250)
    if away:
        leader.confirmed_at = Millis(leader.now - 2000)
        assert leader.run(1000) == ()
        leader.confirmed_at = None
    else:
        leader.workers = 2
    assert leader.run(SETTLED_MS) == ()


def test_hopeless_queue_is_refused_and_urgent_work_is_not():
    """Guards against refusing what runs first for work that waits after it."""
    leader = Leader()
    leader.run()
    leader.flood(100)
    leader.add(URGENT, age=400, tasks=2)
    assert {refusal.queue for refusal in leader.run(250)} == {'wide'}
    for entry in leader.table.active():
        entry.state = JobState.COMPLETED
    assert leader.run(250) == ()


@pytest.mark.parametrize('jobs', [40, 140])
def test_only_a_workspace_at_its_maximum_waits(jobs):
    """Guards against refusing all for the maximum of one workspace."""
    leader = Leader(workers=99, maximum=Resources(cpu_millis=2000))
    leader.run()
    leader.flood(jobs, workspace='b')
    other = leader.add(WIDE)
    refusals = leader.run(250)
    assert [(one.queue, one.workspace) for one in refusals] == [('wide', 'b')]
    assert other.standing is Standing.USUAL


def test_refused_share_is_what_exceeds_the_rate():
    """Guards against a flood that is accepted and then never finished."""
    leader = Leader()
    leader.run()
    for _ in range(40):
        for _ in range(4):
            leader.add(WIDE, over_rate=True, workspace='b')
        leader.run(250)
    found = {one.workspace: one.share for one in leader.refusals}
    # 16 jobs a second are accepted, and one is within the rate.
    assert 0.8 <= found['b'] <= 0.9
    assert found.get('a', 1) == 1


@pytest.mark.parametrize('following', [1.0, 0.65])
def test_refused_share_settles_at_the_rate(following):
    """Guards against refusing what a workspace is entitled to.

    Some instances do not follow the refusals, as when they are cut off.
    """
    rates = OfferedRates()
    config = FleetConfig(
        version=1,
        workspaces=(Workspace(name='a', keys=frozenset(), weight=40),),
    )
    share = 0.0
    accepted = []
    for step in range(80):
        count = round(25 * (1 - following * share))
        accepted.append(4 * count)
        for _ in range(count):
            rates.add('a')
        refused = {'a'} if step > 8 else ()
        share = rates.step(250, config, refused).get('a', 0)
    assert 36 <= sum(accepted[-20:]) / 20 <= 44


def test_missed_jobs_are_finished_within_a_small_part():
    """Guards against an accepted job that is never finished."""
    leader = Leader()
    leader.run()
    old = [leader.add(WIDE, tasks=2, age=9000 + age) for age in range(9)]
    for _ in range(60):
        leader.add(WIDE)
    leader.run(2500)
    promoted = [one for one in old if one.standing is Standing.PROMOTED]
    # 3% of 10 cores in 2.5 s are 750 core-milliseconds, and a job has 2,000.
    assert promoted == [old[-1]]
    leader.run(14_000)
    assert old[-2].standing is Standing.PROMOTED


def test_started_job_that_waits_again_is_finished():
    """Guards against a job that was started, lost runs and waits for ever."""
    leader = Leader()
    leader.run()
    entry = leader.add(WIDE, tasks=2, age=9000)
    entry.state = JobState.RUNNING
    for _ in range(60):
        leader.add(WIDE)
    leader.run(2500)
    assert entry.standing is Standing.PROMOTED


def test_started_work_counts_no_more():
    """Guards against a plan that counts running tasks as waiting."""
    leader = Leader()
    leader.run()
    entry = leader.add(WIDE, tasks=12)
    leader.run(250)
    assert entry.standing is Standing.PLANNED
    entry.state = JobState.RUNNING
    for task in entry.tasks():
        task.phase = Phase.RUNNING
    leader.run(250)
    assert entry.standing is Standing.PLANNED
    again = leader.add(WIDE, tasks=10)
    leader.run(250)
    assert again.standing is Standing.USUAL


def test_evaluation_is_bounded():
    """Guards against an evaluation that grows with the whole backlog.

    Steps are counted, since times depend on the machine.
    """
    leader = Leader()
    leader.run()
    entries = [leader.add(WIDE, age=7000) for _ in range(600)]
    planned = []
    for _ in range(4):
        leader.run(250)
        planned.append(
            sum(entry.standing is Standing.DEFERRED for entry in entries)
        )
    assert planned == [250, 500, 600, 600]
    leader.run(2000)
    # Jobs of no use any more are set aside.
    assert not leader.monitor._tracker.live('s')
    assert len(leader.monitor._tracker.missed('s')) == 600


def test_memory_counts_as_its_share():
    """Guards against a plan for cores while memory is what is short."""
    leader = Leader()
    leader.run()
    entry = leader.add(WIDE, tasks=2)
    spec = entry.job.groups[0]
    need = dataclasses.replace(NOTHING, cpu_millis=10, memory_mb=6000)
    groups = (dataclasses.replace(spec, need=need),)
    entry.job = dataclasses.replace(entry.job, groups=groups)
    leader.run(250)
    assert entry.standing is Standing.PLANNED
