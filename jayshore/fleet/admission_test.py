"""Tests of what an instance refuses under overload."""

import dataclasses

import curio
import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.fleet.admission import Admission, RefusedReason, ReturnSchedule
from jayshore.fleet.jobservice import Accepted, Refused
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import Schedule
from jayshore.fleet.refusals import (
    FULL_KEY,
    Refusal,
    RefusalNotice,
    encode_notice,
)
from jayshore.fleet.refusaltable import QueueWait, RefusalTable
from jayshore.placement.waiting_jobs import PredictedWait
from tests.memory_fleet_test import (
    QUEUE,
    Fleet,
    make_group,
    make_job,
    wait_for,
)

# The objective of a job of 1 s is 3 s, and a start within 8.3 s is of use.
LONG = Refusal(queue='checks', wait_ms=9000)


def make_admission(*refusals):
    """Make the admission of an instance that has read some refusals."""
    notice = RefusalNotice(refusals=refusals)
    return Admission(
        refused=notice.select, clock=ManualClock(), metrics=FleetMetrics()
    )


def job_of(path=1000, **fields):
    """Make a job of a second; fields override its own."""
    job = make_job(make_group(estimate_ms=Millis(path)))
    return dataclasses.replace(job, **fields)


CASES = (
    ('too long a wait', LONG, {}, RefusedReason.OVERLOADED),
    ('of use though late', LONG, {'path': 3000}, None),
    ('another queue', dataclasses.replace(LONG, queue='x'), {}, None),
    ('another workspace', dataclasses.replace(LONG, workspace='x'), {}, None),
    (
        'its workspace',
        dataclasses.replace(LONG, workspace='riverbend'),
        {},
        RefusedReason.OVERLOADED,
    ),
    ('recurring', LONG, {'schedule': Schedule(repeats=2)}, None),
)


@pytest.mark.parametrize(
    ('refusal', 'fields', 'reason'),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_refused_is_what_cannot_start_while_of_use(refusal, fields, reason):
    """Guards against refusing a job that would still be of use."""
    verdict = make_admission(refusal).check(job_of(**fields))
    assert (verdict and verdict.reason) == reason


def test_share_beyond_the_rate_is_refused():
    """Guards against refusing what a workspace is entitled to."""
    refusal = dataclasses.replace(LONG, workspace='riverbend', share=0.75)
    admission = make_admission(refusal)
    jobs = [
        dataclasses.replace(job_of(), job_id=f'{number:016x}')
        for number in range(1000)
    ]
    verdicts = [admission.check(job) for job in jobs]
    reasons = [verdict.reason for verdict in verdicts if verdict]
    assert 700 <= len(reasons) <= 800
    assert set(reasons) == {RefusedReason.OVER_RATE}
    # Another attempt, also at another instance, gets the same answer.
    again = [make_admission(refusal).check(job) for job in jobs]
    assert list(map(bool, again)) == list(map(bool, verdicts))


def test_earlier_refused_callers_return_earlier_and_apart():
    """Guards against callers that return together and are refused again."""
    schedule = ReturnSchedule()
    delays = [schedule.reserve('q', 3000, Millis(7)) for _ in range(8)]
    assert delays == [3000 + 250 * number for number in range(8)]
    assert schedule.reserve('other', 500, Millis(7)) == 1000
    assert schedule.reserve('longer', 99_000, Millis(7)) == 8000
    many = [schedule.reserve('q', 3000, Millis(7)) for _ in range(200)]
    assert max(many) <= 16_000


def make_waits(in_rate, over_rate=0):
    """Make the predicted wait of a queue whose jobs are of use for 1 s."""
    predicted = PredictedWait(in_rate_ms=in_rate, over_rate_ms=over_rate)
    return [QueueWait(queue='q', useful_ms=1000, predicted=predicted)]


def test_refusals_have_hysteresis():
    """Guards against instances that alternate between both states."""
    table = RefusalTable()
    found = []
    for wait in (900, 1100, 900, 800, 600, 900):
        table.update(make_waits(wait), {})
        found.append([refusal.wait_ms for refusal in table.refusals])
    # Small changes of the wait are not worth a write.
    assert found == [[], [1100], [1100], [800], [], []]


def test_jobs_beyond_the_rate_are_refused_first():
    """Guards against refusing entitled jobs before those of a flood."""
    table = RefusalTable()
    table.update(make_waits(500, 1500), {'a': 0.8})
    assert table.refusals == (
        Refusal(queue='q', workspace='a', wait_ms=1500, share=0.8),
    )
    assert table.workspaces_beyond_rate() == {'a'}


def test_refused_job_is_not_stored_and_an_accepted_one_stays_accepted():
    """Guards against a refusal of a job that has been accepted before."""

    async def scenario():
        fleet = Fleet()
        await fleet.add_instance('i0')
        try:
            await fleet.wait_leader()
            await curio.sleep(0.5)
            accepted = make_job()
            await fleet.submit(accepted)
            service = fleet.instances['i0'].job_service
            membership = fleet.instances['i0'].membership
            notice = RefusalNotice(
                refusals=(Refusal(queue=QUEUE.name, wait_ms=99_000),)
            )
            fleet.store.write(FULL_KEY, encode_notice(notice))
            await wait_for(
                lambda: membership.refused(QUEUE.name, 'riverbend').refusals,
                'the notice is read',
            )
            again = await service.submit(accepted)
            assert again == Accepted(repeated=True)
            new = make_job()
            refused = await service.submit(new)
            assert isinstance(refused, Refused)
            assert refused.reason is RefusedReason.OVERLOADED
            assert await fleet.state(new.job_id) is None
            # Nobody confirms this notice.
            await wait_for(
                lambda: (
                    not membership.refused(QUEUE.name, 'riverbend').refusals
                ),
                'the notice has aged',
            )
            assert isinstance(await service.submit(new), Accepted)
        finally:
            for instance in fleet.instances.values():
                await instance.kill()

    curio.run(scenario, taskcls=curio.task.ContextTask)
