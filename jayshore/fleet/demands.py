"""The inputs and the results of a placement round."""

import dataclasses
import enum
from collections.abc import Mapping

from jayshore.clock import Millis
from jayshore.fleet.model import GroupId
from jayshore.fleet.ranking import Rank
from jayshore.resources import Resources


class WaitReason(enum.StrEnum):
    """Why tasks do not start."""

    NO_WORKER = 'no_worker'
    NO_ADVICE = 'no_advice'
    NOT_ADVISED = 'not_advised'
    LIMIT = 'limit'
    NO_ROOM = 'no_room'
    OLD_TICKET = 'old_ticket'


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerHeadroom:
    """What is free at a worker; a round uses it up.

    Attributes:
        worker_id: the worker.
        service: whose tasks it runs.
        rack: rack, empty when unknown.
        labels: all labels.
        capacity: what it holds when nothing runs.
        free: what is free.
        doubt: how much of its last results were failures, 0 for none.
        probe: at most one task, and none of a gang, since it is quarantined.
        kept_by: rank of the gang for which it is kept free.
    """

    worker_id: str
    service: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    free: Resources
    failure_score: int = 0
    probe: bool = False
    reserved_for: GroupId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupDemand:
    """Waiting tasks of a group.

    Attributes:
        group_id: the group.
        rank: its place in the order.
        indexes: positions of the waiting tasks.
        need: what one task takes.
        service: whose workers run it.
        workspace: its owner, empty for none.
        gang: all or none.
        same_rack: on one rack if possible.
        required_label: label that a worker must have, empty for any.
        data_rack: preferred rack, empty for none.
        max_per_worker: tasks of the group on one worker, 0 for any number.
        placed: tasks of the group by worker.
        advised: the workers need a ticket.
        tickets: end of validity by worker, on the leader's clock.
        judged: workers on which advice was given.
        asking: advice is on its way.
        failed_on: workers to use only when no other has room.
        last_attempt: the job fails with the next failure of a task.
    """

    group_id: GroupId
    rank: Rank
    indexes: tuple[int, ...]
    need: Resources
    service: str
    workspace: str = ''
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    placed: Mapping[str, int] = dataclasses.field(default_factory=dict)
    advised: bool = False
    tickets: Mapping[str, Millis] = dataclasses.field(default_factory=dict)
    evaluated: frozenset[str] = frozenset()
    advice_pending: bool = False
    failed_on: frozenset[str] = frozenset()
    last_attempt: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """A task that starts.

    Attributes:
        group_id: its group.
        index: its position in the group.
        worker_id: where.
    """

    group_id: GroupId
    index: int
    worker_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdviceRequest:
    """Advice that is needed before tasks can start.

    Attributes:
        group_id: the group.
        rank: its place in the order.
        workers: workers to judge.
    """

    group_id: GroupId
    rank: Rank
    workers: tuple[str, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class Decisions:
    """The result of a round.

    Attributes:
        placements: tasks that start.
        wishes: advice to ask for, best ranked first.
        waiting: why tasks of a group do not start.
    """

    placements: list[Placement] = dataclasses.field(default_factory=list)
    advice_requests: list[AdviceRequest] = dataclasses.field(
        default_factory=list
    )
    waiting: dict[GroupId, WaitReason] = dataclasses.field(default_factory=dict)
