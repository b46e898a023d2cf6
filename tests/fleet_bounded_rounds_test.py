"""Properties of rounds that end at their budget."""

import random

import hypothesis
import pytest

from bench.backlog import BenchSession
from jayshore.clock import Millis
from jayshore.fleet import backlogwalk
from jayshore.fleet.jobtable import JobEntry
from jayshore.fleet.model import Job, Queue, TaskGroup, WorkerEntry
from jayshore.fleet.phases import JobState
from jayshore.resources import Resources
from tests.fleet_rounds_test import RNGS, START, World


@pytest.mark.parametrize('budget', [1, 300, 700])
def test_bounded_rounds_starve_nothing(monkeypatch, budget):
    """Guards against groups that no round reaches, or a check that is cut off.

    Rounds follow each other until none is cut and nothing starts; then a round
    that considers everything starts nothing either.
    """
    monkeypatch.setattr(backlogwalk, 'BUDGET', budget)
    cut = 0

    @hypothesis.given(rng=RNGS)
    @hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
    def check(rng):
        nonlocal cut
        world = World(rng)
        for _ in range(rng.randint(0, 20)):
            world.add_job()
        quiet = 0
        for _ in range(300):
            decisions = world.decide(world.planner)
            cut += decisions.cut
            world.apply(decisions)
            quiet = 0 if decisions.placements else quiet + 1
            if quiet > 60:
                break
        assert quiet > 60
        assert not world.decide(world.plain).placements

    check()
    assert cut


def make_full_world(monkeypatch, budget=300):
    """Make a world of four half full workers and 150 groups without room."""
    monkeypatch.setattr(backlogwalk, 'BUDGET', budget)
    world = World(random.Random(1))
    for entry in world.job_table.jobs.values():
        entry.state = JobState.CANCELLED
    world.sessions = [make_sound_worker(number) for number in range(4)]
    for _ in range(150):
        add_plain(world, priority=1, cpu_millis=3000)
    for session in world.sessions:
        entry = add_plain(world, priority=1, cpu_millis=2000)
        world.start(next(entry.tasks()), session.entry.worker_id)
    assert world.decide(world.planner).cut
    return world


def make_sound_worker(number):
    """Make a worker of 4 cores that has failed nothing."""
    return BenchSession(
        entry=WorkerEntry(
            worker_id=f'v{number}',
            born_ms=1,
            service='s',
            address=f'v{number}:1',
            domain='d',
            rack='r0',
            labels=frozenset(),
            capacity=Resources(cpu_millis=4000, memory_mb=4000),
        )
    )


def add_plain(world, *, priority, cpu_millis, **fields):
    """Add a job of one group without a history."""
    group = TaskGroup(
        **{
            'count': 1,
            'need': Resources(cpu_millis=cpu_millis),
            'estimate_ms': Millis(1000),
            **fields,
        }
    )
    name = f'p{len(world.job_table.jobs):04}'
    queue = Queue(
        name=name, host='h', prefix='/p', service='s', priority=priority,
        stretch=9, objective_ms=Millis(9000),
    )  # fmt: skip
    entry = JobEntry(
        job=Job(
            job_id=name,
            queue=queue,
            workspace='a',
            payload='',
            groups=(group,),
            accepted_at_ms=START,
        ),
        accepted_at=START,
    )
    world.job_table.add(entry)
    return entry


def test_best_rank_is_considered_in_every_round(monkeypatch):
    """Guards against an urgent job that waits until a walk comes around."""
    world = make_full_world(monkeypatch)
    urgent = add_plain(world, priority=0, cpu_millis=1000)
    placed = world.decide(world.planner).placements
    assert [one.group_id.job_id for one in placed] == [urgent.job.job_id]


def test_best_ranked_gang_reserves_in_a_bounded_round(monkeypatch):
    """Guards against small work that starves a gang while a backlog waits."""
    world = make_full_world(monkeypatch)
    gang = add_plain(world, priority=0, cpu_millis=4000, gang=True)
    small = [add_plain(world, priority=2, cpu_millis=1000) for _ in range(8)]
    placed = []
    for _ in range(40):
        decisions = world.decide(world.planner)
        world.apply(decisions)
        placed += decisions.placements
    free = [
        world.ledger.used_at(session.entry.worker_id).cpu_millis
        for session in world.sessions
    ]
    assert len(placed) == 6
    assert sorted(free) == [2000, 4000, 4000, 4000]
    assert not world.ledger.holds(next(gang.tasks()))
    assert sum(world.ledger.holds(next(one.tasks())) for one in small) == 6
