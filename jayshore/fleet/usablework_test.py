"""Tests of what the workers of a service cannot run of the waiting work."""

import pytest

from jayshore.fleet.model import WorkerEntry
from jayshore.fleet.overload_test import Leader
from jayshore.fleet.usablework import LimitedTasks, WorkerRoom
from jayshore.resources import NOTHING, Resources

CORE = Resources(cpu_millis=1000, memory_mb=1000)


def limited(waiting, **fields):
    """Make waiting tasks of a core each."""
    return LimitedTasks(
        **{
            'label': '',
            'max_per_worker': 0,
            'gang': False,
            'need': CORE,
            'cores': 1,
            'waiting': waiting,
            'running': 0,
            **fields,
        }
    )


def make_room(used=()):
    """Make the room of three workers of ten cores, one with a label."""
    workers = [
        WorkerEntry(
            worker_id=f'w{number}',
            born_ms=0,
            service='s',
            address='w:1',
            domain='',
            rack='',
            labels=frozenset(('x',) if number == 0 else ()),
            capacity=CORE.scaled(10),
        )
        for number in range(3)
    ]
    return WorkerRoom(
        workers=workers,
        in_cores=lambda amount: amount.cpu_millis / 1000,
        used_at=lambda worker_id: dict(used).get(worker_id, NOTHING),
    )


UNUSABLE = (
    # tasks, cores that find no room
    ('a label', [limited(25, label='x')], 15),
    ('a label, twice', [limited(8, label='x'), limited(8, label='x')], 6),
    ('a limit per worker', [limited(5, max_per_worker=1)], 2),
    ('a limit per worker, some run',
     [limited(5, max_per_worker=1, running=2)], 4),
    ('a limit and a label', [limited(5, max_per_worker=1, label='x')], 4),
    ('a gang that fits', [limited(30, gang=True)], 0),
    ('a gang that does not', [limited(31, gang=True)], 31),
    ('large tasks', [limited(4, need=CORE.scaled(6), cores=6, gang=True)], 24),
)  # fmt: skip


@pytest.mark.parametrize(
    ('tasks', 'cores'),
    [row[1:] for row in UNUSABLE],
    ids=[row[0] for row in UNUSABLE],
)
def test_cores_that_find_no_room(tasks, cores):
    """Guards against work that counts on workers that it may not use."""
    assert make_room().unusable_cores(tasks) == cores


def test_workers_in_use_leave_less_to_a_label():
    """Guards against room with a label that other tasks hold."""
    room = make_room(used={'w0': CORE.scaled(4)}.items())
    assert room.unusable_cores([limited(8, label='x')]) == 2


class SteadyFlood(Leader):
    """A leader of three idle workers to which jobs of one shape come."""

    def flood_with(self, *, rounds=40, **fields):
        """Accept a wide job every 500 ms, and return all refusals."""
        found = []
        for number in range(rounds):
            if not number % 2:
                self.add_shape(**fields)
            found.extend(self.run(250))
        return found


FLOODS = (
    ('a label that no worker has', {'required_label': 'x'}),
    ('a limit per worker', {'max_per_worker': 1}),
    ('gangs that are never whole', {'gang': True, 'max_per_worker': 1}),
)


@pytest.mark.parametrize(
    'fields', [row[1] for row in FLOODS], ids=[row[0] for row in FLOODS]
)
def test_idle_workers_are_not_taken_for_full(fields):
    """Guards against callers that are refused while workers stand idle.

    The work that waits cannot use them, but other jobs of its queue could.
    """
    leader = SteadyFlood(workers=30)
    assert not leader.flood_with(tasks=60, **fields)


def test_workers_that_all_can_use_are_full():
    """Guards against a flood of plain work that is not noticed any more."""
    assert SteadyFlood(workers=30).flood_with(tasks=900)
