"""The bound on waiting jobs of a workspace."""

import types

import curio
import pytest

from jayshore.fleet import backlog
from jayshore.fleet.backlog import (
    BacklogMeter,
    decode_workspaces,
    encode_workspaces,
)
from jayshore.fleet.jobservice import Refused, RefusedReason
from jayshore.fleet.jobtable import JobState
from tests.memory_fleet_test import (
    COMPLETED,
    CONFIG,
    Fleet,
    make_group,
    make_job,
    wait_for,
)


def waiting(count, workspace='riverbend', state=JobState.QUEUED):
    job = types.SimpleNamespace(workspace=workspace)
    return [types.SimpleNamespace(job=job, state=state)] * count


@pytest.mark.parametrize(
    ('counts', 'full'),
    [
        ((0,), set()),
        ((9,), set()),
        ((10,), {'riverbend'}),
        # Accepted again only well below the bound.
        ((10, 8), {'riverbend'}),
        ((10, 7), set()),
    ],
)
def test_bound_has_a_gap(counts, full, monkeypatch):
    """Guards against a workspace that is refused and accepted in turn."""
    monkeypatch.setattr(backlog, 'MAX_WAITING', 10)
    monkeypatch.setattr(backlog, 'RESUME_WAITING', 8)
    meter = BacklogMeter()
    for count in counts:
        meter.update(waiting(count) + waiting(50, state=JobState.RUNNING))
    assert meter.full_workspaces == full
    assert not meter.update(waiting(counts[-1]))


def test_new_leader_takes_back_what_a_former_one_told():
    """Guards against a workspace that is refused for ever after a takeover."""
    meter = BacklogMeter()
    assert meter.update([])
    assert not meter.update([])


@pytest.mark.parametrize('text', ['', '{', '7', '[1]', '{"a": 1}'])
def test_unreadable_value_refuses_nobody(text):
    """Guards against an instance that a foreign value stops."""
    assert decode_workspaces(text) == frozenset()
    assert decode_workspaces(encode_workspaces({'a', 'b'})) == {'a', 'b'}


def test_workspace_with_too_many_jobs_is_refused_and_others_are_not(
    monkeypatch,
):
    """Guards against one workspace that fills the leader for all others."""
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
            # With workers the backlog empties, and jobs are accepted again.
            fleet.add_worker('w0')
            await fleet.wait_state([job.job_id for job in jobs], COMPLETED)
            await wait_for(
                lambda: not fleet.instances['i0'].membership.full_workspaces,
                'accepted',
            )
            await fleet.submit(make_job())
        finally:
            for instance in fleet.instances.values():
                await instance.kill()

    curio.run(scenario, taskcls=curio.task.ContextTask)
