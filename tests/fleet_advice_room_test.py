"""Which groups may request advice beside better ranked ones that wait.

Rounds are played without a network: what they place runs on, and what they
request is answered before the next round.
"""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from bench.backlog import BenchSession
from jayshore.clock import Millis
from jayshore.fleet.adviceneeds import AdviceObstacle, CallBudget
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.model import (
    AdvicePolicy,
    FleetConfig,
    GroupId,
    Job,
    Queue,
    TaskGroup,
    WorkerEntry,
    Workspace,
)
from jayshore.fleet.phases import Phase
from jayshore.fleet.probation import Probation
from jayshore.fleet.rounds import RoundPlanner
from jayshore.fleet.speeds import WorkerSpeeds
from jayshore.fleet.tickets import Ticket
from jayshore.placement.health import WorkerHealth
from jayshore.resources import Resources

NOW = Millis(100_000)
CAPACITY = Resources(cpu_millis=32_000, memory_mb=131_072)
MAXIMUM = Resources(cpu_millis=433_000, memory_mb=1_062_000)
WORKERS = 24
PERMITTED_PERCENT = 45
ROUNDS = 12
QUEUE = Queue(
    name='mix', host='h', prefix='/mix/', service='s', priority=2,
    stretch=4, objective_ms=Millis(3000),
    advice=AdvicePolicy(
        decision_ms=83, per_worker_ms=1.2, validity_ms=Millis(2500)
    ),
)  # fmt: skip


class Service:
    """A leader's state: workers of three racks, and waiting jobs."""

    def __init__(self):
        self.job_table = JobTable()
        self.ledger = Ledger()
        self.sessions = [
            BenchSession(
                entry=WorkerEntry(
                    worker_id=f'w{number:02}',
                    born_ms=1,
                    service='s',
                    address=f'w{number}:1',
                    domain='d',
                    rack=f'r{number % 3}',
                    labels=frozenset(('x86', f'r{number % 3}')),
                    capacity=CAPACITY,
                )
            )
            for number in range(WORKERS)
        ]
        self.planner = RoundPlanner(
            job_table=self.job_table,
            ledger=self.ledger,
            health=WorkerHealth(rng=random.Random(1)),
            probation=Probation(),
            speeds=WorkerSpeeds(),
        )
        self.permitted_percent = {}
        self.budget = None

    def add(self, cores, count, *, workspace='free', permitted=None, **fields):
        """Add a job that ranks behind all earlier ones."""
        number = len(self.job_table.jobs)
        group = TaskGroup(
            **{
                'count': count,
                'need': Resources(
                    cpu_millis=round(1000 * cores), memory_mb=500
                ),
                'estimate_ms': Millis(8400),
                **fields,
            }
        )
        job_id = f'{number:016x}'
        entry = JobEntry(
            job=Job(
                job_id=job_id,
                queue=QUEUE,
                workspace=workspace,
                payload='',
                groups=(group,),
                accepted_at_ms=NOW + number,
            ),
            accepted_at=Millis(NOW + number),
        )
        self.job_table.add(entry)
        if permitted is not None:
            self.permitted_percent[job_id] = permitted
        return entry.groups[GroupId(job_id, 0, 0)]

    def use(self, cores):
        """Let a task run on each worker."""
        group = self.add(cores, WORKERS)
        for task, session in zip(group.tasks, self.sessions, strict=True):
            self.start(task, session.entry.worker_id)

    def start(self, task, worker_id):
        task.phase = Phase.RUNNING
        task.worker = worker_id
        task.run += 1
        self.ledger.hold(task)

    def play_round(self):
        """Run a round, start what it places, and answer its requests."""
        decisions = self.planner.decide(
            config=FleetConfig(
                version=1,
                queues=(QUEUE,),
                workspaces=(
                    Workspace(name='free', keys=frozenset(), weight=1),
                    Workspace(
                        name='limited', keys=frozenset(), weight=1,
                        maximum=MAXIMUM,
                    ),
                ),
            ),
            sessions=self.sessions,
            evacuated=frozenset(),
            now=NOW,
            wall_ms=NOW,
            call_budget=self.budget,
        )  # fmt: skip
        for placed in decisions.placements:
            entry = self.job_table.jobs[placed.group_id.job_id]
            group = entry.groups[placed.group_id]
            self.start(group.tasks[placed.index], placed.worker_id)
        for request in decisions.advice_requests:
            self.answer(request)
        return decisions

    def answer(self, request):
        job_id = request.group_id.job_id
        group = self.job_table.jobs[job_id].groups[request.group_id]
        percent = self.permitted_percent.get(job_id, PERMITTED_PERCENT)
        rng = random.Random(job_id)
        group.evaluated.update(request.workers)
        for name in sorted(request.workers):
            if rng.random() * 100 < percent:
                group.tickets[name] = Ticket(
                    text='t', valid_until=Millis(NOW + 60_000)
                )

    def share_in_use(self):
        used = sum(
            self.ledger.used_at(session.entry.worker_id).cpu_millis
            for session in self.sessions
        )
        return used / (WORKERS * CAPACITY.cpu_millis)


def runs_any(group):
    return any(task.phase is Phase.RUNNING for task in group.tasks)


APART = {'max_per_worker': 1}
GANG = {'gang': True}
LARGE = (
    # what ranks before, its cores and tasks, its other fields, its workspace
    ('a limit per worker', 5.3, 60, APART, 'free'),
    ('a label', 5.3, 60, {'required_label': 'r0'}, 'free'),
    ('few permitted workers', 5.3, 60, {'permitted': 20}, 'free'),
    ('a gang with a limit per worker', 5.3, 60, APART | GANG, 'free'),
    ('a gang on one rack', 5.3, 60, {'required_label': 'r0'} | GANG, 'free'),
    ('a gang on permitted workers', 5.3, 60, {'permitted': 20} | GANG, 'free'),
    ('a gang beyond the maximum', 5.3, 90, GANG, 'limited'),
    ('a limit per worker, same maximum', 5.3, 60, APART, 'limited'),
)  # fmt: skip


@pytest.mark.parametrize(
    ('cores', 'count', 'fields', 'workspace'),
    [row[1:] for row in LARGE],
    ids=[row[0] for row in LARGE],
)
def test_work_that_fits_is_not_kept_from_advice(
    cores, count, fields, workspace
):
    """Guards against idle workers behind groups that cannot use them.

    Groups that can use few workers, or none, counted as if they could use all.
    """
    service = Service()
    for _ in range(6):
        service.add(cores, count, workspace=workspace, **fields)
    narrow = [service.add(2, 2, workspace=workspace) for _ in range(6)]
    for _ in range(ROUNDS):
        service.play_round()
    assert all(map(runs_any, narrow))


def test_lasting_tasks_below_large_ones_keep_nobody_from_advice():
    """Guards against idle workers on which better ranked tasks never fit."""
    service = Service()
    service.use(3)
    for _ in range(6):
        service.add(30, 60)
    narrow = service.add(2, 2)
    for _ in range(ROUNDS):
        service.play_round()
    assert runs_any(narrow)


def test_one_idle_worker_is_not_kept_by_those_that_may_not_use_it():
    """Guards against an idle worker in a service that is half in use."""
    service = Service()
    del service.sessions[2:]
    lasting = service.add(32, 1)
    service.start(lasting.tasks[0], service.sessions[0].entry.worker_id)
    for _ in range(4):
        group = service.add(30, 60)
        group.evaluated = {'w00', 'w01'}
        group.tickets['w00'] = Ticket(
            text='t', valid_until=Millis(NOW + 60_000)
        )
    narrow = service.add(2, 2, permitted=100)
    for _ in range(ROUNDS):
        service.play_round()
    assert runs_any(narrow)


def test_label_in_use_is_not_contended_in_an_idle_service():
    """Guards against work that fits and waits while most workers are idle."""
    service = Service()
    for session in service.sessions:
        if 'r0' in session.entry.labels:
            lasting = service.add(17, 1)
            service.start(lasting.tasks[0], session.entry.worker_id)
    for _ in range(6):
        service.add(16, 60, required_label='r0')
    narrow = service.add(2, 2, required_label='r0')
    for _ in range(ROUNDS):
        service.play_round()
    assert runs_any(narrow)


def test_contended_workers_are_left_to_better_ranked_groups():
    """Guards against calls for groups that could not start soon.

    The better ranked groups can use all workers, which are in use.
    """
    service = Service()
    service.use(27)
    for _ in range(6):
        service.add(5.3, 60)
    narrow = service.add(2, 2)
    for _ in range(ROUNDS):
        service.play_round()
    assert not narrow.evaluated


def test_pending_advice_counts_in_idle_workers():
    """Guards against calls for all of a burst, of which a part can start."""
    service = Service()
    groups = [service.add(4, 8) for _ in range(100)]
    asked = len(service.play_round().advice_requests)
    room = 1.5 * WORKERS * CAPACITY.cpu_millis / 32_000
    assert asked == room < len(groups)


def test_pending_advice_counts_beside_groups_that_never_fit():
    """Guards against calls for all of a burst, of which a part can start."""
    service = Service()
    service.use(3)
    for _ in range(6):
        service.add(30, 60)
    for _ in range(ROUNDS):
        service.play_round()
    groups = [service.add(2, 12) for _ in range(30)]
    asked = len(service.play_round().advice_requests)
    idle = WORKERS * (CAPACITY.cpu_millis / 2 - 3000)
    assert asked == idle / 24_000 < len(groups)


@hypothesis.given(rng=st.integers(0, 1 << 32).map(random.Random))
@hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
def test_idle_service_refuses_no_request(rng):
    """Guards against any mix of groups that closes an idle service."""
    service = Service()
    for _ in range(rng.randint(1, 12)):
        service.add(
            rng.choice((0.1, 2, 5.3, 20, 30)),
            rng.choice((2, 20, 60)),
            workspace=rng.choice(('free', 'limited')),
            permitted=rng.choice((0, 5, 45, 100)),
            max_per_worker=rng.choice((0, 1, 2)),
            gang=rng.random() < 0.4,
            required_label=rng.choice(('', '', 'r0', 'r1')),
        )
    narrow = service.add(0.5, 2, required_label=rng.choice(('', 'r0')))
    for _ in range(ROUNDS):
        service.play_round()
    assert narrow.evaluated or service.share_in_use() >= 0.5


OBSTACLES = (
    # cores and tasks of six groups before, calling time, of the group itself
    ('pending room', 5.3, 60, {}, 1000, {}, AdviceObstacle.CONTENDED),
    ('calls', 1, 1, {}, 0, {}, AdviceObstacle.CALLING_TIME),
    ('maximum', 5.3, 60, {'workspace': 'limited'}, 1000,
     {'workspace': 'limited'}, AdviceObstacle.WORKSPACE),
    ('a wide gang', 1, 1, {}, 1000, {'count': 60, **APART, **GANG},
     AdviceObstacle.TOO_WIDE),
    ('a gang beyond the maximum', 1, 1, {}, 1000,
     {'count': 300, 'workspace': 'limited', **GANG}, AdviceObstacle.WORKSPACE),
)  # fmt: skip


@pytest.mark.parametrize(
    ('cores', 'count', 'fields', 'calling_ms', 'own', 'obstacle'),
    [row[1:] for row in OBSTACLES],
    ids=[row[0] for row in OBSTACLES],
)
def test_log_tells_why_advice_is_not_requested(
    cores, count, fields, calling_ms, own, obstacle
):
    """Guards against waits for advice that an operator cannot explain."""
    service = Service()
    service.budget = CallBudget(long_ms=calling_ms, all_ms=calling_ms)
    for _ in range(6):
        service.add(cores, count, **fields)
    group = service.add(**{'cores': 2, 'count': 2, **own})
    service.play_round()
    described = service.planner.describe_obstacle(group.group_id)
    assert described['advice'] == obstacle
    assert described.keys() == {
        'advice', 'soon_cores', 'idle_cores', 'calling_ms'
    }  # fmt: skip


def test_log_tells_that_advice_permits_too_few():
    """Guards against a gang that waits for room without a visible reason."""
    service = Service()
    group = service.add(5.3, 20, permitted=5, **GANG)
    service.play_round()
    service.play_round()
    described = service.planner.describe_obstacle(group.group_id)
    assert described['advice'] == AdviceObstacle.FEW_PERMITTED
