"""The unit that is queued and placed: one task, or all tasks of a gang."""

import dataclasses
import enum
import zlib
from typing import NamedTuple, TypeAlias

from jayshore.clock import Millis
from jayshore.placement.deadlines import DeadlineTimes
from jayshore.placement.tasks import PendingTask, TaskId, TaskKind
from jayshore.placement.urgent_reserve import uses_urgent_reserve
from jayshore.resources import Resources

LARGEST_FIRST_WINDOW_MS = 60_000
"""Entries that arrive within this window go by size, the largest first."""
UNBOUNDED_RUN_MS = 1 << 62


class Tier(enum.IntEnum):
    """Priority classes of waiting work; a lower one always goes first.

    In the aged tiers shares do not count; entries go in order of arrival.
    """

    AGED_URGENT = 0
    URGENT = 1
    DEADLINE = 2
    AGED = 3
    ORDINARY = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueueEntry:
    """Tasks that start together.

    Attributes:
        tasks: one task, or all tasks of a gang in the order of their indexes.
    """

    tasks: tuple[PendingTask, ...]

    @property
    def first(self) -> PendingTask:
        """The first task; it represents all, as tasks of a gang are alike."""
        return self.tasks[0]

    @property
    def entry_id(self) -> TaskId:
        """The id of the first task."""
        return self.tasks[0].task_id

    @property
    def demand(self) -> Resources:
        """The sum of the demands of all tasks."""
        first = self.tasks[0]
        if len(self.tasks) == 1:
            return first.demand
        return first.demand.scaled(len(self.tasks))


def is_gang(task: PendingTask) -> bool:
    """Return whether a task belongs to a gang of more than one task.

    Args:
        task: the task.

    Returns:
        True when it starts only together with others.
    """
    return task.kind is TaskKind.GANG and task.gang_size > 1


def tier_of(
    task: PendingTask,
    deadline_times: DeadlineTimes | None,
    now: Millis,
    full_ms: Millis,
) -> Tier:
    """Return the tier of a waiting task.

    Args:
        task: the task.
        deadline_times: the times that follow from its deadline, None
            without one.
        now: the time.
        full_ms: waiting time in ms from which a task is aged.

    Returns:
        Its tier at this time.
    """
    is_aged = now >= task.enqueued_at + full_ms
    if uses_urgent_reserve(task):
        return Tier.AGED_URGENT if is_aged else Tier.URGENT
    if deadline_times is not None and deadline_times.promote_at <= now:
        return Tier.DEADLINE
    return Tier.AGED if is_aged else Tier.ORDINARY


def tier_changes_at(
    task: PendingTask,
    deadline_times: DeadlineTimes | None,
    now: Millis,
    full_ms: Millis,
) -> Millis | None:
    """Return when the tier of a waiting task changes next.

    Args:
        task: the task.
        deadline_times: the times that follow from its deadline, None
            without one.
        now: the time.
        full_ms: waiting time in ms from which a task is aged.

    Returns:
        The time, which is later than `now`; None when it never changes.
    """
    aged_at = Millis(task.enqueued_at + full_ms)
    promote_at = None
    if deadline_times is not None and not uses_urgent_reserve(task):
        promote_at = deadline_times.promote_at
        if promote_at <= now:
            return None
    if aged_at <= now:
        return promote_at
    return aged_at if promote_at is None else min(aged_at, promote_at)


SortKey: TypeAlias = tuple[int, int, str, int]
"""Two numeric keys, and the job id and index of the first task."""


def sort_key_of(
    entry: QueueEntry, deadline_times: DeadlineTimes | None, tier: Tier
) -> SortKey:
    """Compute the position of an entry among those of its team and tier.

    Ordinary entries that arrive in the same minute go by run time times CPU,
    the largest first, which keeps the last of many runs from ending late (after
    Graham, "Bounds on Multiprocessing Timing Anomalies", SIAM J. Appl. Math.
    17(2), 1969). Entries of the deadline tier go by latest start, urgent and
    aged ones by arrival.

    Args:
        entry: the entry.
        deadline_times: the times that follow from its deadline, None
            without one.
        tier: its tier.

    Returns:
        A sort key, the lowest first; teams may be ranked by its first element.
    """
    first = entry.first
    task_id = first.task_id
    key: int = first.enqueued_at
    tie_breaker = 0
    if tier is Tier.DEADLINE and deadline_times is not None:
        key = deadline_times.latest_start
    elif tier is Tier.ORDINARY:
        key = key // LARGEST_FIRST_WINDOW_MS * LARGEST_FIRST_WINDOW_MS
        run_ms = first.estimated_run_ms or UNBOUNDED_RUN_MS
        tie_breaker = -run_ms * max(1, first.demand.cpu_millis)
    return (key, tie_breaker, task_id.job_id, task_id.index)


def run_time_bucket(task: PendingTask) -> Millis | None:
    """Round the estimated run time up to a power of two.

    Tasks of similar run time then have one shape, and are checked against a
    reservation together.

    Args:
        task: the task.

    Returns:
        The rounded run time in ms, None when the run time is unbounded.
    """
    if task.estimated_run_ms is None:
        return None
    return Millis(1 << max(0, task.estimated_run_ms - 1).bit_length())


class Shape(NamedTuple):
    """The equivalence class of entries that can start on the same workers.

    Whether one entry fits somewhere holds for all entries of its shape, except
    for the one that holds the reservation.
    """

    tier: Tier
    kind: TaskKind
    uses_reserve: bool
    size: int
    demand: Resources
    run_ms: Millis | None
    allowed: frozenset[str] | None
    avoided: frozenset[str]


def shape_of(entry: QueueEntry, tier: Tier) -> Shape:
    """Return the shape of an entry.

    Args:
        entry: the entry.
        tier: its current tier.

    Returns:
        Its shape.
    """
    first = entry.first
    return Shape(
        tier=tier,
        kind=first.kind,
        uses_reserve=uses_urgent_reserve(first),
        size=len(entry.tasks),
        demand=first.demand,
        run_ms=run_time_bucket(first),
        allowed=first.allowed_workers,
        avoided=first.avoided_workers,
    )


def fit_key(free: Resources, worker_id: str) -> tuple[int, int, int, int, str]:
    """Return the key that sorts workers for best fit: the least free first.

    Accelerators come first, so that work that does not need them avoids workers
    that have some free. Ties are broken by a checksum of the id, as ids often
    follow the racks and equal workers must not be filled rack by rack.

    Args:
        free: what is free on the worker for the class of work.
        worker_id: the worker.

    Returns:
        A sort key.
    """
    return (
        free.accelerators,
        free.cpu_millis,
        free.memory_mb,
        zlib.crc32(worker_id.encode()),
        worker_id,
    )
