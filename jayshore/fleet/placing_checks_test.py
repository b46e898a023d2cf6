"""Tests that every check of a placement holds, however it comes about."""

import collections

import hypothesis
from hypothesis import strategies as st

from jayshore.clock import Millis
from jayshore.fleet.allowances import limit_allowance
from jayshore.fleet.model import GroupId
from jayshore.fleet.placing import (
    TICKET_MARGIN_MS,
    PlacementRound,
)
from jayshore.fleet.placing_test import NEED, NOW, demand, worker
from jayshore.resources import NOTHING, Resources, total

GROUPS = tuple(GroupId(f'j{number}', 0, 0) for number in range(3))
NAMES = ('w0', 'w1', 'w2', 'w3')
RARELY = st.sampled_from((False, False, False, False, False, True))
EXPIRY = st.sampled_from((0, TICKET_MARGIN_MS - 1, TICKET_MARGIN_MS, 1000))
HEALTH = st.sampled_from(
    (
        {'quarantined': False, 'probe': False},
        {'quarantined': True, 'probe': False},
        {'quarantined': True, 'probe': True},
        {'quarantined': True, 'probe': True},
    )
)
MIN_PLACED = {'probe': 100, 'any_worker': 40, 'sound': 100, 'gang': 10}
"""Placements that the examples have to cover, by kind."""

WORKERS = st.lists(
    st.fixed_dictionaries(
        {
            'health': HEALTH,
            'free_cpu': st.sampled_from((4000, 4000, 2500, 999)),
            'service': st.sampled_from(('s', 's', 's', 's', 't')),
            'labels': st.sampled_from((frozenset('a'), frozenset('b'))),
            'group_runs': st.dictionaries(
                st.sampled_from(GROUPS), st.integers(1, 2)
            ),
            'evacuated': RARELY,
            'cold': st.booleans(),
        }
    ),
    min_size=1,
    max_size=len(NAMES),
)
PARTS = st.fixed_dictionaries(
    {
        'suspect': RARELY,
        'patient': st.booleans(),
        'failed_on': st.sampled_from(
            (frozenset(), frozenset(), frozenset(('w0',)))
        ),
    }
)
DEMANDS = st.lists(
    st.fixed_dictionaries(
        {
            'gang': RARELY,
            'same_rack': RARELY,
            'long_running': RARELY,
            'any_worker': RARELY,
            'required_label': st.sampled_from(('', '', '', 'a')),
            'max_per_worker': st.sampled_from((1, 1, 2, 0)),
            'advised': RARELY,
            'tickets': st.dictionaries(
                st.sampled_from(NAMES),
                EXPIRY.map(lambda left: Millis(NOW + left)),
            ),
            'parts': st.lists(PARTS, min_size=1, max_size=2),
        }
    ),
    min_size=1,
    max_size=len(GROUPS),
)


def _demands(groups):
    """Make the demands of groups; a part has two tasks of its group."""
    found = []
    for number, fields in enumerate(groups):
        parts = fields.pop('parts')
        for part, own in enumerate(parts[:1] if fields['gang'] else parts):
            found.append(
                demand(
                    group_id=GROUPS[number],
                    indexes=(2 * part, 2 * part + 1),
                    due=2 * number + part,
                    workspace='t',
                    evaluated=frozenset(fields['tickets']) or frozenset('w'),
                    **fields,
                    **own,
                )
            )
    return found


def _make_workers(shapes):
    """Make the headroom of workers by name."""
    made = {}
    for number, shape in enumerate(shapes):
        health = shape.pop('health')
        made[f'w{number}'] = worker(number, **shape, **health)
    return made


class Checker:
    """Checks the placements of a round against all that it was given."""

    def __init__(self, workers, demands):
        self._workers = workers
        self._free = {name: place.free for name, place in workers.items()}
        self._probes = {name for name, one in workers.items() if one.probe}
        self._runs = collections.Counter(
            {
                (name, group): count
                for name, place in workers.items()
                for group, count in place.group_runs.items()
            }
        )
        self._by_task = {
            (entry.group_id, index): entry
            for entry in demands
            for index in entry.indexes
        }

    def check(self, placements, limit):
        """Check all placements; return the kind of each one."""
        used = collections.Counter(one.worker_id for one in placements)
        for name, count in used.items():
            assert total([NEED] * count).fits_in(self._free[name])
        spent = total([NEED] * len(placements)).cpu_millis
        assert not limit or spent <= limit
        tasks = {(one.group_id, one.index) for one in placements}
        assert len(tasks) == len(placements)
        return [self._check_one(placed) for placed in placements]

    def _check_one(self, placed):
        entry = self._by_task[placed.group_id, placed.index]
        place = self._workers[placed.worker_id]
        key = placed.worker_id, placed.group_id
        assert not place.evacuated
        assert place.service == entry.service
        assert entry.required_label in {'', *place.labels}
        if entry.advised:
            until = entry.tickets[placed.worker_id]
            assert until >= NOW + TICKET_MARGIN_MS
        if entry.max_per_worker:
            assert placed.beside == self._runs[key]
            assert placed.beside < entry.max_per_worker
        self._runs[key] += 1
        if not place.quarantined:
            return 'gang' if entry.gang else 'sound'
        if entry.any_worker:
            return 'any_worker'
        assert placed.probe
        self._probes.remove(placed.worker_id)
        return 'probe'


def test_no_way_to_a_placement_skips_a_check():
    """Guards against probes, suspects or gangs that pass a check by."""
    kinds = collections.Counter()

    @hypothesis.given(
        shapes=WORKERS, groups=DEMANDS, limit=st.sampled_from((0, 0, 0, 2500))
    )
    @hypothesis.settings(max_examples=1000, derandomize=True, deadline=None)
    def check_round(shapes, groups, limit):
        workers = _make_workers(shapes)
        demands = _demands(groups)
        checker = Checker(workers, demands)
        allowance = limit_allowance(Resources(cpu_millis=limit), NOTHING)
        decisions = PlacementRound(
            workers=workers.values(),
            allowances={'t': allowance},
            now=NOW,
            probation_slots=2,
        ).decide(demands)
        kinds.update(checker.check(decisions.placements, limit))

    check_round()
    for kind, least in MIN_PLACED.items():
        assert kinds[kind] >= least, f'{kinds} placements are too few'
