"""The unit that waits: one task, or all tasks of a gang."""

import dataclasses
import enum
import zlib
from typing import NamedTuple, TypeAlias

from jayshore.clock import Millis
from jayshore.placement.deadlines import Urgency
from jayshore.placement.tasks import PendingTask, TaskId, TaskKind
from jayshore.placement.urgent_reserve import uses_urgent_reserve
from jayshore.resources import Resources

LARGEST_FIRST_MS = 60_000
"""Bounds by how much a later, larger task can go before an earlier one."""
ENDLESS_MS = 1 << 62


class Tier(enum.IntEnum):
    """Classes of waiting work; a lower one always goes first.

    In the aged tiers shares do not count, the longest waiting goes first.
    """

    AGED_LANE = 0
    LANE = 1
    RAISED = 2
    AGED = 3
    ORDINARY = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """Tasks that start together.

    Attributes:
        tasks: one task, or all tasks of a gang in the order of their numbers.
    """

    tasks: tuple[PendingTask, ...]

    @property
    def first(self) -> PendingTask:
        """The task that stands for all, as the tasks of a gang are alike."""
        return self.tasks[0]

    @property
    def entry_id(self) -> TaskId:
        """The id of the first task."""
        return self.tasks[0].task_id

    @property
    def demand(self) -> Resources:
        """What all tasks take together."""
        first = self.tasks[0]
        if len(self.tasks) == 1:
            return first.demand
        return first.demand.scaled(len(self.tasks))


def is_gang(task: PendingTask) -> bool:
    """Tell whether a task starts only together with others.

    Args:
        task: the task.

    Returns:
        True for a gang of more than one task.
    """
    return task.kind is TaskKind.GANG and task.gang_size > 1


def tier_of(
    task: PendingTask, urgency: Urgency | None, now: Millis, full_ms: Millis
) -> Tier:
    """Classify a waiting task.

    Args:
        task: the task.
        urgency: when its deadline begins to matter.
        now: the time.
        full_ms: waiting time from which a task is aged.

    Returns:
        Its tier at this time.
    """
    is_aged = now >= task.enqueued_at + full_ms
    if uses_urgent_reserve(task):
        return Tier.AGED_LANE if is_aged else Tier.LANE
    if urgency is not None and urgency.raise_at <= now:
        return Tier.RAISED
    return Tier.AGED if is_aged else Tier.ORDINARY


def tier_ends_at(
    task: PendingTask, urgency: Urgency | None, now: Millis, full_ms: Millis
) -> Millis | None:
    """Tell when a waiting task gets another tier.

    Args:
        task: the task.
        urgency: when its deadline begins to matter.
        now: the time.
        full_ms: waiting time from which a task is aged.

    Returns:
        The instant, which is later than `now`; None when there is none.
    """
    aged_at = Millis(task.enqueued_at + full_ms)
    raise_at = None
    if urgency is not None and not uses_urgent_reserve(task):
        raise_at = urgency.raise_at
        if raise_at <= now:
            return None
    if aged_at <= now:
        return raise_at
    return aged_at if raise_at is None else min(aged_at, raise_at)


Order: TypeAlias = tuple[int, int, str, int]
"""Two keys, and the job id and number of the first task."""


def order_of(entry: Entry, urgency: Urgency | None, tier: Tier) -> Order:
    """Place an entry among those of its team and tier.

    Ordinary entries of one minute go by run time times processors, the largest
    first, which keeps the last of many runs from ending late (after Graham,
    "Bounds on Multiprocessing Timing Anomalies", SIAM J. Appl. Math. 17(2),
    1969). Raised entries go by least slack, those of the lane and aged ones by
    arrival.

    Args:
        entry: the entry.
        urgency: when its deadline begins to matter.
        tier: its tier.

    Returns:
        A sort key; its first element is what the team is ranked by.
    """
    first = entry.first
    task_id = first.task_id
    key: int = first.enqueued_at
    second = 0
    if tier is Tier.RAISED and urgency is not None:
        key = urgency.latest_start
    elif tier is Tier.ORDINARY:
        key = key // LARGEST_FIRST_MS * LARGEST_FIRST_MS
        run_ms = first.estimated_run_ms or ENDLESS_MS
        second = -run_ms * max(1, first.demand.cpu_millis)
    return (key, second, task_id.job_id, task_id.index)


def run_bound(task: PendingTask) -> Millis | None:
    """Round the run time up to a power of two.

    Tasks of similar run time then share one test against a reservation.

    Args:
        task: the task.

    Returns:
        At least its estimated run time in ms, None when endless.
    """
    if task.estimated_run_ms is None:
        return None
    return Millis(1 << max(0, task.estimated_run_ms - 1).bit_length())


class Shape(NamedTuple):
    """All that decides where an entry can start.

    Entries of one shape can start on the same workers, so one test holds for
    all of them.
    """

    tier: Tier
    kind: TaskKind
    in_lane: bool
    size: int
    demand: Resources
    run_ms: Millis | None
    allowed: frozenset[str] | None
    avoided: frozenset[str]


def shape_of(entry: Entry, tier: Tier) -> Shape:
    """Derive the shape of an entry.

    Args:
        entry: the entry.
        tier: its present tier.

    Returns:
        Its shape.
    """
    first = entry.first
    return Shape(
        tier=tier,
        kind=first.kind,
        in_lane=uses_urgent_reserve(first),
        size=len(entry.tasks),
        demand=first.demand,
        run_ms=run_bound(first),
        allowed=first.allowed_workers,
        avoided=first.avoided_workers,
    )


def fit_key(room: Resources, worker_id: str) -> tuple[int, int, int, int, str]:
    """Order workers for best fit: the least room first.

    Accelerators come first, so that work without need of them leaves workers
    that have some free alone. Ties are broken by a checksum of the id, as ids
    often follow the racks and equal workers must not be filled rack by rack.

    Args:
        room: what the worker has free for the class of work.
        worker_id: the worker.

    Returns:
        A sort key.
    """
    return (
        room.accelerators,
        room.cpu_millis,
        room.memory_mb,
        zlib.crc32(worker_id.encode()),
        worker_id,
    )
