"""Properties of bounded rounds: they decide as a round that sees everything."""

import collections
import random
import types

import hypothesis
from hypothesis import strategies as st

from bench.backlog import BenchSession
from jayshore.clock import Millis
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.model import (
    AdvicePolicy,
    FleetConfig,
    Job,
    Queue,
    TaskGroup,
    WorkerEntry,
    Workspace,
)
from jayshore.fleet.phases import JobState, Phase
from jayshore.fleet.placing import TICKET_MARGIN_MS
from jayshore.fleet.probation import Probation
from jayshore.fleet.rounds import RoundPlanner
from jayshore.fleet.spread import UnaccountedRuns
from jayshore.fleet.tickets import Ticket
from jayshore.placement.health import WorkerHealth
from jayshore.resources import Resources, total
from tests.plain_round_test import PlainPlanner

START = Millis(50_000)
POLICY = AdvicePolicy(
    decision_ms=9, per_worker_ms=0.1, validity_ms=Millis(2500)
)
QUEUES = (
    Queue(
        name='checks', host='h', prefix='/c', service='s', max_attempts=2,
        stretch=2, objective_ms=Millis(1000),
    ),
    Queue(
        name='audits', host='h', prefix='/a', service='s', priority=1,
        max_attempts=2, stretch=3, objective_ms=Millis(500), advice=POLICY,
    ),
    Queue(name='other', host='h', prefix='/o', service='t'),
)  # fmt: skip
WORKSPACES = (
    Workspace(name='a', keys=frozenset(), weight=10),
    Workspace(
        name='b', keys=frozenset(), weight=1,
        maximum=Resources(cpu_millis=9000),
    ),
)  # fmt: skip
RNGS = st.integers(0, 1 << 32).map(random.Random)
"""A world is drawn by its own generator; it shrinks little, and runs fast."""

MIN_SEEN = {
    'placed': 1500, 'gang': 200, 'probe': 50, 'suspect': 50, 'ticket': 200,
    'limited': 300, 'asked': 500, 'any_worker': 30, 'label': 200, 'apart': 500,
    'no_room': 1000, 'limit': 50, 'old_ticket': 100, 'no_worker': 500,
    'probation': 50, 'not_advised': 300, 'no_advice': 200, 'evacuated': 100,
}  # fmt: skip
"""How often the examples have to cover each kind of decision."""


class World:
    """A leader's state with random jobs, and both planners over it."""

    def __init__(self, rng):
        self.rng = rng
        self.now = START
        self.job_table = JobTable()
        self.ledger = Ledger()
        self.probation = Probation()
        self.health = WorkerHealth(rng=random.Random(7))
        self.config = FleetConfig(
            version=1, queues=QUEUES, workspaces=WORKSPACES
        )
        self.evacuated = frozenset()
        self.speeds = {
            f'w{number}': rng.choice((1.0, 1.0, 0.6, 2.0))
            for number in range(8)
        }
        self.sessions = [
            self.make_worker(number) for number in range(rng.randint(1, 7))
        ]
        self.planner = RoundPlanner(
            job_table=self.job_table,
            ledger=self.ledger,
            health=self.health,
            probation=self.probation,
            speeds=types.SimpleNamespace(
                speed=lambda worker_id, born_ms: self.speeds.get(worker_id, 1.0)
            ),
        )
        self.plain = PlainPlanner(
            job_table=self.job_table,
            ledger=self.ledger,
            probation=self.probation,
            headroom=self.planner._headroom,
        )
        self.jobs = []
        for _ in range(rng.randint(0, 4)):
            self.run_somewhere(self.add_job(gang=False))

    def make_worker(self, number):
        rng = self.rng
        name = f'w{number}'
        if rng.random() < 0.25:
            for job in 'xyz':
                self.health.record_failure(name, job, START)
            if rng.random() < 0.7:
                self.health.record_success(name)
        cores = rng.choice((4, 4, 4, 2))
        return BenchSession(
            entry=WorkerEntry(
                worker_id=name,
                born_ms=1,
                service=rng.choice('ssst'),
                address=f'{name}:1',
                domain=rng.choice('de'),
                rack=rng.choice(('r0', 'r1')),
                labels=frozenset(rng.choice(('', 'x'))),
                capacity=Resources(cpu_millis=1000 * cores, memory_mb=4000),
            ),
            unaccounted=UnaccountedRuns(
                resources=Resources(cpu_millis=500), workspaces={'b': NEED}
            )
            if rng.random() < 0.1
            else UnaccountedRuns(),
            cold=rng.random() < 0.2,
        )

    def add_job(self, **fields):
        rng = self.rng
        groups = tuple(
            TaskGroup(**{**self.draw_group(position), **fields})
            for position in range(rng.choice((1, 1, 2)))
        )
        accepted = Millis(self.now - rng.choice((0, 300, 2000, 9000)))
        entry = JobEntry(
            job=Job(
                job_id=f'{len(self.job_table.jobs):04}',
                queue=rng.choice((*QUEUES[:2], *QUEUES)),
                workspace=rng.choice(('a', 'a', 'b', 'c')),
                payload='',
                groups=groups,
                accepted_at_ms=accepted,
            ),
            accepted_at=accepted,
            over_rate=rng.random() < 0.1,
        )
        self.job_table.add(entry)
        for group in entry.groups.values():
            self.draw_history(group)
        return entry

    def draw_group(self, position):
        rng = self.rng
        return {
            'count': rng.randint(1, 5),
            'need': Resources(
                cpu_millis=rng.choice((500, 1000, 1500, 3000)),
                memory_mb=rng.choice((100, 100, 2500)),
            ),
            'estimate_ms': Millis(rng.choice((100, 1000))),
            'after': (0,) if position and rng.random() < 0.5 else (),
            'gang': rng.random() < 0.3,
            'same_rack': rng.random() < 0.2,
            'required_label': rng.choice(('', '', '', 'x')),
            'data_rack': rng.choice(('', '', 'r1')),
            'max_per_worker': rng.choice((0, 0, 1, 2)),
            'long_running': rng.random() < 0.05,
            'uses_leftover': rng.random() < 0.05,
        }

    def draw_history(self, group):
        rng = self.rng
        names = [session.entry.worker_id for session in self.sessions]
        if rng.random() < 0.7:
            covered = rng.sample(names, rng.randint(1, len(names)))
            group.evaluated.update(covered)
            for name in covered[: rng.randint(0, len(covered))]:
                left = rng.choice((0, TICKET_MARGIN_MS, 2000, 2000))
                group.tickets[name] = Ticket(
                    text='t', valid_until=Millis(self.now + left)
                )
        group.advice_pending = rng.random() < 0.2
        if rng.random() < 0.15:
            group.failed_on.add(rng.choice(names))
            group.failed_at = self.now
            group.tasks[0].failures = 1
        if rng.random() < 0.1:
            group.tasks[-1].crashes = 1
            self.probation.add(group.tasks[-1], alone=rng.random() < 0.5)

    def run_somewhere(self, entry):
        """Let tasks run, regardless of what they may use."""
        for group in entry.groups.values():
            for task in group.tasks[: self.rng.randint(1, 5)]:
                worker = self.rng.choice(self.sessions).entry
                self.start(task, worker.worker_id)

    def start(self, task, worker_id):
        task.phase = Phase.STARTING
        task.worker = worker_id
        task.run += 1
        self.ledger.hold(task)

    def apply(self, decisions):
        for placed in decisions.placements:
            entry = self.job_table.jobs[placed.group_id.job_id]
            self.start(
                entry.groups[placed.group_id].tasks[placed.index],
                placed.worker_id,
            )
        self.probation.note_starts(decisions.placements, self.now)

    def change(self):
        """Let time pass, runs end, jobs come and go, and advice arrive."""
        rng = self.rng
        self.now = Millis(self.now + rng.choice((0, 20, 700, 1100)))
        for _ in range(rng.randint(0, 3)):
            self.add_job()
        for entry in tuple(self.job_table.jobs.values()):
            if rng.random() < 0.1:
                entry.state = JobState.CANCELLED
            for group in entry.groups.values():
                self.end_runs(group)
                if rng.random() < 0.2:
                    self.draw_history(group)
        if rng.random() < 0.1:
            self.config = FleetConfig(
                version=2, queues=QUEUES[1:], workspaces=WORKSPACES
            )

    def end_runs(self, group):
        for task in group.tasks:
            if self.ledger.holds(task) and self.rng.random() < 0.4:
                self.ledger.release(task)
                again = group.spec.gang or self.rng.random() < 0.3
                task.phase = Phase.WAITING if again else Phase.DONE
        group.done = sum(task.phase is Phase.DONE for task in group.tasks)

    def decide(self, planner):
        return planner.decide(
            config=self.config,
            sessions=self.sessions,
            evacuated=self.evacuated,
            now=self.now,
            wall_ms=self.now,
        )


NEED = Resources(cpu_millis=500)


def find_kinds(world, decisions):
    """Tell which kinds of decisions a round has made."""
    for placed in decisions.placements:
        entry = world.job_table.jobs[placed.group_id.job_id]
        group = entry.groups[placed.group_id]
        yield 'placed'
        yield from (
            kind
            for kind, holds in (
                ('gang', group.spec.gang),
                ('probe', placed.probe),
                ('suspect', group.tasks[placed.index].crashes),
                ('ticket', group.tickets and entry.job.queue.advice),
                ('limited', entry.job.workspace == 'b'),
                ('label', group.spec.required_label),
                ('apart', group.spec.max_per_worker),
                ('any_worker', world.health.is_quarantined(placed.worker_id)
                 and not placed.probe),
            )
            if holds
        )  # fmt: skip
    yield from map(str, decisions.waiting.values())
    yield from ('asked' for _ in decisions.advice_requests)


def test_rounds_decide_as_a_plain_round():
    """Guards against an index or a shortcut that changes a decision.

    Advice may be requested for fewer groups: it is left out for those that
    could not start soon.
    """
    kinds = collections.Counter()

    @hypothesis.given(rng=RNGS)
    @hypothesis.settings(max_examples=600, derandomize=True, deadline=None)
    def check(rng):
        world = World(rng)
        for _ in range(rng.randint(1, 5)):
            world.change()
            world.evacuated = frozenset(rng.choice(('', '', '', 'd', 'e')))
            expected = world.decide(world.plain)
            decisions = world.decide(world.planner)
            assert decisions.placements == expected.placements
            assert decisions.waiting == expected.waiting
            assert not decisions.cut
            asked = [
                one
                for one in expected.advice_requests
                if one in decisions.advice_requests
            ]
            assert decisions.advice_requests == asked
            if not is_overloaded(world):
                assert asked == expected.advice_requests
            kinds.update(find_kinds(world, decisions))
            world.apply(decisions)

    check()
    for kind, least in MIN_SEEN.items():
        assert kinds[kind] >= least, f'{kind}: {kinds}'


def is_overloaded(world):
    """Return whether not all waiting work could start soon."""
    waiting = total(
        group.spec.reserved.scaled(len(group.waiting()))
        for group in world.job_table.open_groups()
    )
    room = collections.Counter()
    for session in world.sessions:
        entry = session.entry
        if entry.domain in world.evacuated:
            continue
        used = world.ledger.used_at(entry.worker_id).cpu_millis
        room[entry.service] += max(
            0, 1.5 * entry.capacity.cpu_millis - used - 500
        )
    room = min(room.get('s', 0), room.get('t', 0), 4500)
    return waiting.cpu_millis >= room
