"""Tests that every check of a placement holds, however it comes about."""

import collections

import hypothesis
from hypothesis import strategies as st

from jayshore.clock import Millis
from jayshore.fleet.model import GroupId
from jayshore.fleet.placing import PlacementRound, limit_allowance
from jayshore.resources import NOTHING, Resources, total
from jayshore.fleet.placing_test import NEED, NOW, demand, worker

GROUPS = tuple(GroupId(f'j{number}', 0, 0) for number in range(3))
RARELY = st.sampled_from((False, False, False, True))
EXPIRY = st.integers(-100, 1000).map(lambda left: Millis(NOW + left))

WORKERS = st.lists(
    st.fixed_dictionaries(
        {
            'free_cpu': st.integers(0, 4) | st.integers(1000, 4000),
            'quarantined': st.booleans(),
            'probe': st.booleans(),
            'service': st.sampled_from(('s', 's', 's', 't')),
            'labels': st.sampled_from((frozenset('a'), frozenset('b'))),
            'group_runs': st.dictionaries(
                st.sampled_from(GROUPS), st.integers(1, 2)
            ),
        }
    ),
    max_size=4,
)
PARTS = st.fixed_dictionaries(
    {
        'suspect': RARELY,
        'patient': st.booleans(),
        'failed_on': st.sampled_from((frozenset(), frozenset(('w0',)))),
    }
)
DEMANDS = st.lists(
    st.fixed_dictionaries(
        {
            'gang': RARELY,
            'same_rack': RARELY,
            'long_running': RARELY,
            'any_worker': RARELY,
            'required_label': st.sampled_from(('', '', 'a')),
            'max_per_worker': st.sampled_from((1, 1, 2, 0)),
            'advised': RARELY,
            'tickets': st.dictionaries(
                st.sampled_from(('w0', 'w1', 'w2', 'w3')), EXPIRY
            ),
            'parts': st.lists(PARTS, min_size=1, max_size=2),
        }
    ),
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


@hypothesis.given(
    shapes=WORKERS, groups=DEMANDS, limit=st.just(0) | st.integers(0, 8000)
)
@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
def test_no_way_to_a_placement_skips_a_check(shapes, groups, limit):
    """Guards against probes, suspects or gangs that pass a check by."""
    workers = {
        f'w{number}': worker(number, **shape)
        for number, shape in enumerate(shapes)
    }
    before = {name: place.free for name, place in workers.items()}
    runs = collections.Counter(
        {
            (name, group): count
            for name, place in workers.items()
            for group, count in place.group_runs.items()
        }
    )
    probes = {name for name, place in workers.items() if place.probe}
    demands = _demands(groups)
    by_task = {
        (entry.group_id, index): entry
        for entry in demands
        for index in entry.indexes
    }
    placements = (
        PlacementRound(
            workers=workers.values(),
            allowances={
                't': limit_allowance(Resources(cpu_millis=limit), NOTHING)
            },
            now=NOW,
            probation_slots=2,
        )
        .decide(demands)
        .placements
    )
    used = collections.Counter()
    for placed in placements:
        entry = by_task[placed.group_id, placed.index]
        place = workers[placed.worker_id]
        used[placed.worker_id] += 1
        runs[placed.worker_id, placed.group_id] += 1
        assert place.service == entry.service
        assert entry.required_label in {'', *place.labels}
        assert not entry.advised or entry.tickets[placed.worker_id] >= NOW
        assert (
            not entry.max_per_worker
            or runs[placed.worker_id, placed.group_id] <= entry.max_per_worker
        )
        if place.quarantined and not entry.any_worker:
            assert placed.worker_id in probes, 'no probe was due'
            probes.remove(placed.worker_id)
    for name, count in used.items():
        assert total([NEED] * count).fits_in(before[name])
    assert not limit or total([NEED] * len(placements)).cpu_millis <= limit
    assert len({(one.group_id, one.index) for one in placements}) == len(
        placements
    )
