"""The order in which waiting task groups are considered.

Answers overload: when not everything can be in time, work that can still be in
time goes before work that cannot, urgent queues go before others, and what a
workspace submits beyond its rate goes last.
"""

import enum
from typing import Final, NamedTuple

from jayshore.clock import Millis
from jayshore.fleet.jobtable import GroupEntry, JobEntry
from jayshore.fleet.model import Job, Queue

LATE_FACTOR: Final = 3
"""Multiple of its objective after which a job is worth nothing."""

_ESTIMATE_SHARE: Final = 0.7
"""Share of the estimated rest that a group certainly needs.

Estimates are off by a third and more; a job is taken for late only when even a
shorter run would be.
"""


class DeadlineStatus(enum.IntEnum):
    """What a job can still achieve."""

    IN_TIME = 0
    LATE = 1
    MISSED = 2


class Rank(NamedTuple):
    """Sort key of a task group; the smallest comes first.

    Attributes:
        over_weight: submitted beyond the rate of its workspace.
        standing: what the job can still achieve.
        priority: of the queue.
        due_at: when the objective ends, on the leader's clock.
    """

    over_rate: bool
    deadline_status: DeadlineStatus
    priority: int
    due_at: Millis


def longest_chain_ms(job: Job, first: int = 0) -> int:
    """Compute the longest chain of estimated work.

    Args:
        job: the job.
        first: position of the group that the chain starts with; 0 also for
            the longest chain of the whole job.

    Returns:
        Milliseconds.
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
        Milliseconds from its submission.
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
        now: on the leader's clock.

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
