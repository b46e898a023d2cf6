"""Ranks waiting task groups.

Under overload not all work can meet its objective. Work that can still be in
time ranks before work that cannot, urgent queues rank before others, and jobs
beyond the submission rate of their workspace rank last.
"""

import enum
from typing import Final, NamedTuple

from jayshore.clock import Millis
from jayshore.fleet.jobtable import GroupEntry, JobEntry
from jayshore.fleet.model import Job, Queue

LATE_FACTOR: Final = 3
"""Multiple of its objective after which a job has no value any more."""

_ESTIMATE_SHARE: Final = 0.7
"""Share of the estimated remaining work that is assumed as its minimum.

Estimates are off by a third and more, so a job counts as late only when even a
shorter run would miss its objective.
"""


class DeadlineStatus(enum.IntEnum):
    """Whether a job can still meet its latency objective.

    `LATE`: beyond the objective. `MISSED`: beyond `LATE_FACTOR` times it.
    """

    IN_TIME = 0
    LATE = 1
    MISSED = 2


class Rank(NamedTuple):
    """Sort key of a task group; the smallest comes first.

    Attributes:
        over_rate: submitted beyond the rate of its workspace.
        deadline_status: whether the job can still meet its objective.
        priority: priority of the queue, 0 for the most urgent.
        due_at: deadline of the objective on the leader's clock, in ms.
    """

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
    earliest = now + _ESTIMATE_SHARE * rest
    due_at = Millis(entry.accepted_at + objective)
    if earliest <= due_at:
        deadline_status = DeadlineStatus.IN_TIME
    elif earliest <= entry.accepted_at + LATE_FACTOR * objective:
        deadline_status = DeadlineStatus.LATE
    else:
        deadline_status = DeadlineStatus.MISSED
    return Rank(entry.over_rate, deadline_status, queue.priority, due_at)
