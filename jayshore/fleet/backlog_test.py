"""Tests of the limit on waiting jobs of a workspace."""

import types

import curio
import pytest

from jayshore.clock import Millis
from jayshore.fleet import backlog
from jayshore.fleet.admission import RefusedReason
from jayshore.fleet.backlog import BacklogMeter
from jayshore.fleet.jobservice import Refused
from jayshore.fleet.members import Membership
from jayshore.fleet.phases import JobState
from jayshore.fleet.refusals import (
    FULL_KEY,
    NOTHING_REFUSED,
    Refusal,
    RefusalNotice,
    decode_notice,
    encode_notice,
)
from jayshore.http.client import Address
from tests.memory_fleet_test import (
    COMPLETED,
    CONFIG,
    Fleet,
    make_group,
    make_job,
    wait_for,
)


def waiting(count, workspace='riverbend', state=JobState.QUEUED, tasks=0):
    groups = (make_group(tasks),) if tasks else ()
    job = types.SimpleNamespace(workspace=workspace, groups=groups)
    entry = types.SimpleNamespace(job=job, state=state, unfinished=tuple)
    return [entry] * count


TASKS = (
    # jobs of ten tasks by workspace, in turn; the workspaces that are full
    ('below the limit', ({'elm': 9},), set()),
    ('at the limit', ({'elm': 10, 'oak': 1},), {'elm'}),
    ('little below it', ({'elm': 10}, {'elm': 9}), {'elm'}),
    ('well below it', ({'elm': 10}, {'elm': 7}), set()),
    ('all below it', ({'elm': 9, 'oak': 9, 'ash': 1},), set()),
    ('all together', ({'elm': 9, 'oak': 9, 'ash': 2},), {'elm', 'oak'}),
)


@pytest.mark.parametrize(
    ('rounds', 'full'),
    [row[1:] for row in TASKS],
    ids=[row[0] for row in TASKS],
)
def test_unfinished_tasks_are_limited(rounds, full, monkeypatch):
    """Guards against wide jobs that take up the memory of every leader."""
    monkeypatch.setattr(backlog, 'MAX_TASKS', 100)
    monkeypatch.setattr(backlog, 'MAX_ALL_TASKS', 200)
    meter = BacklogMeter()
    for counts in rounds:
        meter.update(
            [
                entry
                for name, count in counts.items()
                for entry in waiting(count, name, tasks=10)
            ]
        )
    assert set(meter.notice.workspaces) == full


@pytest.mark.parametrize(
    ('counts', 'full'),
    [
        ((0,), set()),
        ((9,), set()),
        ((10,), {'riverbend'}),
        # Accepted again only well below the limit.
        ((10, 8), {'riverbend'}),
        ((10, 7), set()),
    ],
)
def test_limit_has_hysteresis(counts, full, monkeypatch):
    """Guards against a workspace that alternates between the two states."""
    monkeypatch.setattr(backlog, 'MAX_WAITING', 10)
    monkeypatch.setattr(backlog, 'RESUME_WAITING', 8)
    meter = BacklogMeter()
    for count in counts:
        meter.update(waiting(count) + waiting(50, state=JobState.RUNNING))
    assert set(meter.notice.workspaces) == full
    assert not meter.update(waiting(counts[-1]))


def test_new_leader_publishes_an_empty_list_once():
    """Guards against a workspace that stays refused after a takeover."""
    meter = BacklogMeter()
    assert meter.update([])
    assert not meter.update([])


def test_refusals_are_confirmed():
    """Guards against a notice that ages while its leader leads."""
    meter = BacklogMeter()
    refusals = (Refusal(queue='q', wait_ms=9000),)
    published = [
        meter.update([], refusals, Millis(now)) for now in range(0, 3000, 250)
    ]
    assert published == [True, False, False, False] * 3
    assert meter.update([], (), Millis(3000))
    assert not meter.update([], (), Millis(9000))


@pytest.mark.parametrize(
    'text', ['', '{', '7', '[1]', '{"workspaces": 1}', '{"refusals": [{}]}']
)
def test_unreadable_value_refuses_nobody(text):
    """Guards against an instance that fails on an unreadable value."""
    assert decode_notice(text) == NOTHING_REFUSED


def test_notice_is_read_as_it_was_written():
    """Guards against a notice that instances or earlier leaders misread."""
    notice = RefusalNotice(
        workspaces=('a', 'b'),
        refusals=(Refusal(queue='q', workspace='a', wait_ms=7, share=0.5),),
        confirmed=3,
    )
    assert decode_notice(encode_notice(notice)) == notice
    assert decode_notice('["a", "b"]').workspaces == ('a', 'b')


def test_workspace_with_too_many_jobs_is_refused_and_others_are_not(
    monkeypatch,
):
    """Guards against one workspace that exhausts the leader for the others."""
    monkeypatch.setattr(backlog, 'MAX_WAITING', 5)
    monkeypatch.setattr(backlog, 'RESUME_WAITING', 4)

    async def scenario():
        fleet = Fleet(config=CONFIG)
        await fleet.add_instance('i0')
        try:
            job_service = fleet.instances['i0'].job_service
            await fleet.wait_leader()
            jobs = [make_job(make_group(1)) for _ in range(5)]
            await fleet.submit(*jobs)

            async def refused():
                result = await job_service.submit(make_job())
                return (
                    isinstance(result, Refused)
                    and result.reason is RefusedReason.BACKLOG_FULL
                    and result.retry_after_ms
                )

            await wait_for(refused, 'the workspace is refused')
            await fleet.submit(make_job(workspace='millrace'))
            # Workers drain the backlog, after which jobs are accepted again.
            fleet.add_worker('w0')
            await fleet.wait_state([job.job_id for job in jobs], COMPLETED)
            membership = fleet.instances['i0'].membership
            await wait_for(
                lambda: (
                    membership.refused('checks', 'riverbend') == NOTHING_REFUSED
                ),
                'accepted',
            )
            await fleet.submit(make_job())
        finally:
            for instance in fleet.instances.values():
                await instance.kill()

    curio.run(scenario, taskcls=curio.task.ContextTask)


def test_notice_of_unknown_age_refuses_nothing():
    """Guards against refusals by a leader that was lost before a restart."""

    async def scenario():
        fleet = Fleet(config=CONFIG)
        await fleet.store.put(
            FULL_KEY,
            encode_notice(RefusalNotice(workspaces=('riverbend',))),
            expect_revision=0,
        )
        membership = Membership(
            store=fleet.store,
            clock=fleet.clock,
            name='i9',
            address=Address(host='127.0.0.1', port=1),
        )
        following = await curio.spawn(membership.follow, daemon=True)
        await membership.wait_loaded()
        assert membership.refused('checks', 'riverbend') == NOTHING_REFUSED
        await following.cancel()

    curio.run(scenario, taskcls=curio.task.ContextTask)
