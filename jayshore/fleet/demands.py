"""Inputs and results of a placement round."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import NamedTuple

from jayshore.clock import Millis
from jayshore.fleet.model import (
    UNKNOWN_INCARNATION,
    AdvicePolicy,
    GroupId,
    Incarnation,
)
from jayshore.fleet.ranking import Rank
from jayshore.resources import Resources


class WaitReason(enum.StrEnum):
    """Reason for which waiting tasks were not placed.

    `NOT_REACHED`: the round ended before, because too many groups wait.
    """

    NO_WORKER = 'no_worker'
    EVACUATED = 'evacuated'
    NO_ADVICE = 'no_advice'
    NOT_ADVISED = 'not_advised'
    LIMIT = 'limit'
    NO_ROOM = 'no_room'
    OLD_TICKET = 'old_ticket'
    PROBATION = 'probation'
    NOT_REACHED = 'not_reached'


class Scope(NamedTuple):
    """What the room of a group depends on.

    Attributes:
        service: service whose workers run it.
        label: label that a worker must have, empty for any.
        workspace: its owner.
    """

    service: str
    label: str
    workspace: str


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerHeadroom:
    """Free resources of a worker; a round reduces them as it places tasks.

    Attributes:
        worker_id: the worker.
        incarnation: where and since when it runs.
        service: service whose tasks it runs.
        rack: rack, empty when unknown.
        labels: all labels.
        capacity: total resources.
        free: resources that are free.
        failure_score: share of failures among its last results in quarters,
            0 for few or none.
        quarantined: many of its tasks have failed.
        probe: quarantined, and due for one task that shows whether it has
            recovered.
        reserved_for: group for which it is reserved, a gang or the suspects of
            a crash; None for none.
        new_groups: groups with a run there that is not settled; empty when no
            suspect waits.
        group_runs: number of runs there of each group that limits them.
        speed: learned speed relative to the median of the workers, 1.0 when
            unknown.
        domain: failure domain, empty when unknown.
        evacuated: nothing may start in this domain.
        cold: its tasks run slower for a while, as after its start.
    """

    worker_id: str
    service: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    free: Resources
    incarnation: Incarnation = UNKNOWN_INCARNATION
    failure_score: int = 0
    quarantined: bool = False
    probe: bool = False
    reserved_for: GroupId | None = None
    new_groups: set[GroupId] = dataclasses.field(default_factory=set)
    group_runs: dict[GroupId, int] = dataclasses.field(default_factory=dict)
    speed: float = 1.0
    domain: str = ''
    evacuated: bool = False
    cold: bool = False

    @property
    def empty(self) -> bool:
        """Whether no task holds resources there."""
        return self.free == self.capacity


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupDemand:
    """Waiting tasks of a group.

    Attributes:
        group_id: the group.
        rank: its sort key.
        indexes: positions of the waiting tasks in the group.
        need: resources of one task.
        service: service whose workers run it.
        workspace: owner, empty for none.
        gang: all tasks are placed or none.
        long_running: the tasks run until the job is cancelled.
        same_rack: placed on one rack if possible.
        required_label: label that a worker must have, empty for any.
        data_rack: preferred rack, empty for none.
        max_per_worker: tasks of the group on one worker, 0 for no limit.
        advised: a worker needs a ticket to run it.
        tickets: end of validity of each ticket by worker, on the leader's
            clock.
        evaluated: workers that placement advice has covered.
        advice_pending: a request for advice is queued or in flight.
        failed_on: workers to use only when no other has headroom.
        last_attempt: the next failure of a task fails the job, so workers on
            which one failed are avoided.
        any_worker: it has waited in vain for other workers, and may use
            quarantined ones.
        suspect: the tasks may crash the worker that starts them.
        likely: they very likely do.
        patient: suspects may wait for an empty worker.
        path_ms: critical path of the job from this group on, by its estimates
            in ms, 0 when unknown.
        tight: on a slower worker the job would miss its objective, which it
            can still meet.
        policy: response times of the advice service, None when unknown.
    """

    group_id: GroupId
    rank: Rank
    indexes: tuple[int, ...]
    need: Resources
    service: str
    workspace: str = ''
    gang: bool = False
    long_running: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    advised: bool = False
    tickets: Mapping[str, Millis] = dataclasses.field(default_factory=dict)
    evaluated: frozenset[str] = frozenset()
    advice_pending: bool = False
    failed_on: frozenset[str] = frozenset()
    last_attempt: bool = False
    any_worker: bool = False
    suspect: bool = False
    likely: bool = False
    patient: bool = False
    path_ms: int = 0
    tight: bool = False
    policy: AdvicePolicy | None = None

    @property
    def scope(self) -> Scope:
        """What its room depends on."""
        return Scope(self.service, self.required_label, self.workspace)

    @property
    def may_probe(self) -> bool:
        """Whether a task may show that a quarantined worker has recovered.

        Its end has to tell, and its failure must not cost the job.
        """
        return not (
            self.gang or self.long_running or self.suspect or self.failed_on
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """Assignment of a task to a worker.

    Attributes:
        group_id: group of the task.
        index: position of the task in the group.
        worker_id: the worker.
        incarnation: where and since when the worker runs.
        probe: the task probes a quarantined worker.
        beside: number of tasks of the group that were counted at the worker,
            0 for a group without a limit.
    """

    group_id: GroupId
    index: int
    worker_id: str
    incarnation: Incarnation = UNKNOWN_INCARNATION
    probe: bool = False
    beside: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdviceRequest:
    """Request for the placement advice that a group needs to start.

    Attributes:
        group_id: the group.
        rank: sort key of the group.
        workers: ids of the workers to evaluate.
    """

    group_id: GroupId
    rank: Rank
    workers: tuple[str, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class Decisions:
    """Result of a placement round.

    Attributes:
        placements: tasks to start.
        advice_requests: advice to request, best ranked first.
        waiting: reason by group for tasks that were not placed.
        considered: number of groups that were considered.
        cut: the round ended at its budget, and another one should follow.
    """

    placements: list[Placement] = dataclasses.field(default_factory=list)
    advice_requests: list[AdviceRequest] = dataclasses.field(
        default_factory=list
    )
    waiting: dict[GroupId, WaitReason] = dataclasses.field(default_factory=dict)
    considered: int = 0
    cut: bool = False
