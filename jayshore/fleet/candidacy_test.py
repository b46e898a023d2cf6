"""Who competes for a vacancy, and who gives the leadership up."""

import curio
import pytest

from jayshore.clock import Millis
from jayshore.fleet.candidacy import (
    CUT_OFF_MS,
    DEFER_MS,
    KNOWN_MS,
    TENURE_MS,
    Candidate,
    LeadershipStatus,
    choose_delay,
    should_hand_over,
)
from tests.memory_fleet_test import (
    COMPLETED,
    Fleet,
    make_job,
    wait_for,
)


def candidate(cores, known_ms=KNOWN_MS):
    return Candidate(cores=cores, known_ms=Millis(known_ms))


@pytest.mark.parametrize(
    ('cores', 'candidates', 'cut_off', 'delay'),
    [
        (0.5, [], False, 0),
        (0.5, [candidate(0.5)], False, 0),
        (0.5, [candidate(0.6)], False, 0),
        (0.5, [candidate(0.5), candidate(2.1)], False, DEFER_MS),
        (2.1, [candidate(0.5), candidate(2.1)], False, 0),
        (2.1, [candidate(0.5)], True, DEFER_MS),
        (0.5, [candidate(2.1)], True, 2 * DEFER_MS),
        (0.5, [], True, 0),
    ],
)
def test_weaker_instances_leave_a_vacancy_to_stronger_ones(
    cores, candidates, cut_off, delay
):
    """Guards against a small leader that starts tasks seconds late."""
    assert choose_delay(cores, candidates, cut_off=cut_off) == delay


def status(**fields):
    known = {
        'cores': 0.5,
        'led_ms': TENURE_MS,
        'confirmed_ms': 100,
        **fields,
    }
    return LeadershipStatus(**known)


@pytest.mark.parametrize(
    ('held', 'candidates', 'expected'),
    [
        (status(), [candidate(2.1)], True),
        (status(), [candidate(0.6)], False),
        (status(), [], False),
        (status(), [candidate(2.1, known_ms=KNOWN_MS - 1)], False),
        (status(led_ms=TENURE_MS - 1), [candidate(2.1)], False),
        (status(handed_over=1), [candidate(2.1)], False),
        (status(handed_over=1, led_ms=2 * TENURE_MS), [candidate(2.1)], True),
        # The store answers nobody, or not through others either.
        (status(confirmed_ms=TENURE_MS), [candidate(2.1)], False),
        # The store turns this leader away and serves an equal instance.
        (status(cut_off_ms=CUT_OFF_MS), [candidate(0.5)], True),
        (status(cut_off_ms=CUT_OFF_MS - 1), [candidate(0.5)], False),
        (status(cores=2.1, cut_off_ms=CUT_OFF_MS), [candidate(0.5)], False),
    ],
)
def test_leader_gives_way_to_a_better_instance(held, candidates, expected):
    """Guards against a weak leader for as long as it lives, and flapping."""
    assert should_hand_over(held, candidates) is expected


def test_stronger_instance_leads_soon_after_it_has_come():
    """Guards against a leadership that stays with the weakest instance."""

    async def scenario():
        fleet = Fleet()
        fleet.add_worker('w0')
        small = await fleet.add_instance('small', cores=0.5)
        try:
            await fleet.wait_leader()
            jobs = [make_job() for _ in range(3)]
            await fleet.submit(*jobs)
            large = await fleet.add_instance('large', cores=2.0)
            await wait_for(
                lambda: large.leader_role.scheduler is not None,
                'the large one leads',
            )
            assert small.leader_role.scheduler is None
            more = [make_job() for _ in range(3)]
            await fleet.submit(*more)
            ids = [job.job_id for job in (*jobs, *more)]
            await fleet.wait_state(ids, COMPLETED)
            names = [run.task for run, _ in fleet.runs()]
            assert len(names) == len(set(names))
        finally:
            for instance in fleet.instances.values():
                await instance.kill()

    curio.run(scenario, taskcls=curio.task.ContextTask)
