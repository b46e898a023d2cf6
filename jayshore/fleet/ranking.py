"""Ranks waiting task groups.

Under overload not all work can meet its objective. Work that can still be in
time ranks before work that cannot, urgent queues rank before others, and jobs
beyond the submission rate of their workspace rank last. While capacity is full,
the standing of a job decides first (`overload`).
"""

import enum
from typing import Final, NamedTuple

from jayshore.clock import Millis
from jayshore.fleet.jobtable import GroupEntry, JobEntry
from jayshore.fleet.model import Job, Queue
from jayshore.fleet.standing import Standing
from jayshore.placement.waiting_jobs import PATH_SHARE, USEFUL_FACTOR

_PLANNED_PRIORITY: Final = 1
"""Priority of all but urgent work while capacity is full.

What can be in time is then ordered by its latest start, so that a burst of one
queue does not make all jobs of a less urgent one late.
"""


class DeadlineStatus(enum.IntEnum):
    """Whether a job can still meet its latency objective.

    `LATE`: beyond the objective. `MISSED`: beyond `USEFUL_FACTOR` times it.
    """

    IN_TIME = 0
    LATE = 1
    MISSED = 2


class Rank(NamedTuple):
    """Sort key of a task group; the smallest comes first.

    Attributes:
        deferred: waits for all that can be in time, as capacity is full.
        over_rate: submitted beyond the rate of its workspace.
        deadline_status: whether the job can still meet its objective.
        priority: priority of the queue, 0 for the most urgent.
        due_at: deadline of the objective on the leader's clock, in ms; the
            latest start in time for work that was planned.
    """

    deferred: bool
    over_rate: bool
    deadline_status: DeadlineStatus
    priority: int
    due_at: Millis


def longest_chain_ms(job: Job, first: int = 0) -> int:
    """Compute the critical path of a job from the estimates of its groups.

    Args:
        job: the job.
        first: position of the first group that is counted, 0 for all.

    Returns:
        Length of the critical path, in ms.
    """
    ends: list[int] = []
    for position, group in enumerate(job.groups):
        before = [ends[earlier] for earlier in group.after]
        start = max(before, default=0)
        counted = 0 if position < first else group.estimate_ms
        ends.append(start + counted)
    return max(ends, default=0)


def objective_ms(job: Job, queue: Queue) -> Millis:
    """Compute the latency objective of a job.

    Args:
        job: the job.
        queue: its queue.

    Returns:
        Time from its submission, in ms.
    """
    chain = longest_chain_ms(job)
    return Millis(round(queue.stretch * chain) + queue.objective_ms)


def has_objective(queue: Queue) -> bool:
    """Return whether a queue has a latency objective.

    Args:
        queue: the queue.

    Returns:
        False for the defaults, by which a job would have to start at once.
    """
    return queue.objective_ms > 0 or queue.stretch > 1


def rank_group(
    group: GroupEntry, entry: JobEntry, queue: Queue, now: Millis
) -> Rank:
    """Rank a waiting task group.

    Args:
        group: the group.
        entry: its job.
        queue: its queue.
        now: time on the leader's clock, in ms.

    Returns:
        Its sort key.
    """
    objective = objective_ms(entry.job, queue)
    rest = longest_chain_ms(entry.job, group.group_id.group)
    earliest = now + PATH_SHARE * rest
    due_at = Millis(entry.accepted_at + objective)
    if earliest <= due_at:
        deadline_status = DeadlineStatus.IN_TIME
    elif earliest <= entry.accepted_at + USEFUL_FACTOR * objective:
        deadline_status = DeadlineStatus.LATE
    else:
        deadline_status = DeadlineStatus.MISSED
    standing = entry.standing
    if standing is Standing.USUAL:
        return Rank(
            False, entry.over_rate, deadline_status, queue.priority, due_at
        )
    if standing is Standing.PROMOTED:
        # Behind urgent work that can be in time, and before all other work.
        return Rank(
            False, False, DeadlineStatus.IN_TIME, _PLANNED_PRIORITY, due_at
        )
    return Rank(
        standing is Standing.DEFERRED,
        entry.over_rate,
        deadline_status,
        min(_PLANNED_PRIORITY, queue.priority),
        Millis(due_at - round(PATH_SHARE * rest)),
    )
