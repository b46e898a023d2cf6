"""Plans the waiting jobs of one service.

Two limits may be full: the workers of the service, and the maximum of a
workspace. Where only a workspace is at its maximum, only its jobs wait, so each
full limit is planned and predicted by itself.
"""

import dataclasses
import itertools
import operator
from collections.abc import Iterable, Mapping, Sequence

from jayshore.clock import Millis
from jayshore.fleet.refusaltable import QueueWait
from jayshore.fleet.usablework import WorkerRoom
from jayshore.fleet.waitingwork import JobWork
from jayshore.placement.fairness import ShareCase
from jayshore.placement.overload import OverloadPlan, OverloadPolicy
from jayshore.placement.waiting_jobs import (
    DeferReason,
    OverloadCase,
    Prospect,
)

_POLICY = OverloadPolicy()
_WANTED = operator.attrgetter('wanted')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limit:
    """A capacity that may be full.

    Attributes:
        cores: the capacity, in cores.
        used: cores that tasks hold.
        planned: cores that serve the waiting work, as estimates are off and
            wide jobs leave cores free.
        workspace: workspace whose maximum it is, empty for the workers.
    """

    cores: float
    used: float
    planned: float
    workspace: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsualJob:
    """The usual new job of a queue.

    Attributes:
        prospect: as the policy takes it.
        useful_ms: longest wait that is of use, in ms.
    """

    prospect: Prospect
    useful_ms: float


@dataclasses.dataclass(kw_only=True, slots=True)
class ServicePlan:
    """Plan of the waiting jobs of a service.

    Attributes:
        full: more is waiting than the workers have room for.
        limited: workspaces that are at their maximum.
        deferred: reason by deferred job.
        waits: predicted wait of each queue at each full limit.
    """

    full: bool = False
    limited: set[str] = dataclasses.field(default_factory=set)
    deferred: dict[str, DeferReason] = dataclasses.field(default_factory=dict)
    waits: list[QueueWait] = dataclasses.field(default_factory=list)


def plan_service(
    works: Sequence[JobWork],
    *,
    missed: Sequence[JobWork],
    limits: Iterable[Limit],
    room: WorkerRoom,
    shares: Mapping[str, ShareCase],
    usual: Sequence[UsualJob],
    now: Millis,
) -> ServicePlan:
    """Plan the waiting jobs of a service.

    Args:
        works: its waiting jobs that may still be of use.
        missed: its other waiting jobs, which only count as wanting room.
        limits: the maximums of workspaces, and then the workers.
        room: what the workers could run of tasks that may not use all of them.
        shares: use and weight of each workspace.
        usual: the usual new job of each queue.
        now: time on the leader's clock, in ms.

    Returns:
        The plan; no job is planned while no limit is full.
    """
    plan = ServicePlan()
    by_workspace = _group(works)
    missed_by_workspace = _group(missed)
    held_back: float = 0
    for limit in limits:
        name = limit.workspace
        own = by_workspace.get(name, []) if name else works
        left_out = missed_by_workspace.get(name, []) if name else missed
        wanted = sum(map(_WANTED, own)) + sum(map(_WANTED, left_out))
        if name:
            # What a workspace may not start takes no worker from others.
            held_back += max(0, wanted - max(0, limit.cores - limit.used))
        else:
            wanted -= held_back
            if limit.used + wanted > limit.cores:
                wanted -= room.unusable_cores(
                    tasks
                    for work in itertools.chain(works, missed)
                    if work.waiting.workspace not in plan.limited
                    for tasks in work.limited
                )
        if limit.used + wanted <= limit.cores:
            continue
        if limit.workspace:
            plan.limited.add(limit.workspace)
        else:
            plan.full = True
        _plan_limit(plan, limit, own, shares, usual, now)
    return plan


def _group(works: Sequence[JobWork]) -> dict[str, list[JobWork]]:
    """Group jobs by workspace."""
    found: dict[str, list[JobWork]] = {}
    for work in works:
        found.setdefault(work.waiting.workspace, []).append(work)
    return found


def _plan_limit(
    plan: ServicePlan,
    limit: Limit,
    works: Sequence[JobWork],
    shares: Mapping[str, ShareCase],
    usual: Sequence[UsualJob],
    now: Millis,
) -> None:
    """Plan what a full limit shares and no former limit has deferred."""
    known = plan.deferred
    if known:
        works = [work for work in works if work.waiting.job_id not in known]
    jobs = [work.waiting for work in works]
    # What a workspace at its maximum will submit is not known by queue, so its
    # arrivals count only for the workers.
    prospects = [
        dataclasses.replace(one.prospect, inflow=0)
        if limit.workspace
        else one.prospect
        for one in usual
    ]
    result = _POLICY.evaluate(
        OverloadCase(
            jobs=jobs,
            cores=limit.planned,
            now=now,
            shares={} if limit.workspace else shares,
            prospects=prospects,
        )
    )
    known.update(result.deferred)
    plan.waits.extend(_queue_waits(limit, result, usual))


def _queue_waits(
    limit: Limit, result: OverloadPlan, usual: Iterable[UsualJob]
) -> list[QueueWait]:
    return [
        QueueWait(
            queue=one.prospect.queue,
            useful_ms=one.useful_ms,
            predicted=result.waits[one.prospect.queue],
            workspace=limit.workspace,
        )
        for one in usual
    ]
