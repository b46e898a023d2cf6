"""Waiting jobs of a full capacity, and what they are worth to callers."""

import dataclasses
import enum
import math
from collections.abc import Mapping, Sequence
from typing import Final

from jayshore.clock import Millis
from jayshore.placement.fairness import ShareCase

USEFUL_FACTOR: Final = 3
"""Multiple of its objective after which a job is worth nothing."""

PATH_SHARE: Final = 0.7
"""Share of an estimated critical path that is assumed as its minimum.

Estimates are off by a third and more, so a job counts as late only when even a
shorter run would miss its objective.
"""

_BASE_VALUE: Final = 0.3
_WORK_VALUE: Final = 0.7
_MAX_VALUE: Final = 4.0

_PRIORITY_FACTOR: Final = 2.0
"""Ratio of the value of one job to that of a job of the next priority."""

_LOWEST: Final = 9
"""Priority from which queues are alike, as priorities are not limited."""


_IN_RATE_PREFERENCE: Final = 100_000.0
_URGENT_PREFERENCE: Final = 10_000.0

SHARE_PREFERENCE: Final = 100.0
"""What each step above the share of a workspace takes from the preference.

The preference of a job compares its rate, its urgency, the share of its
workspace and its density in this order; the logarithm of a density is within
100, and at most 20 steps are counted.
"""


class DeferReason(enum.StrEnum):
    """Reason for which a job is deferred.

    `LATE`: it cannot be in time any more. `OVER_RATE`: submitted beyond the
    rate of its workspace. `OVER_SHARE`: its workspace uses more than its share.
    `COSTLIER`: other jobs are worth more for the same work.
    """

    LATE = 'late'
    OVER_RATE = 'over_rate'
    OVER_SHARE = 'over_share'
    COSTLIER = 'costlier'


def job_value(work: float, mean_work: float) -> float:
    """Compute the value of a job in units of its queue.

    Args:
        work: whole work of the job, in core-milliseconds.
        mean_work: mean work of the jobs of its queue, in core-milliseconds.

    Returns:
        `0.3 + 0.7 * work / mean_work`, at most 4.
    """
    if mean_work <= 0:
        return 1.0
    return min(_MAX_VALUE, _BASE_VALUE + _WORK_VALUE * work / mean_work)


def useful_start_ms(objective_ms: float, path_ms: float) -> float:
    """Compute how long a new job may wait and still be of use.

    Args:
        objective_ms: its latency objective, in ms.
        path_ms: its critical path, in ms.

    Returns:
        Longest wait before its start in ms.
    """
    return USEFUL_FACTOR * objective_ms - PATH_SHARE * path_ms


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitingJob:
    """A job with work that waits.

    Attributes:
        job_id: identifies the job.
        queue: name of its queue.
        priority: priority of its queue, 0 for the most urgent.
        workspace: owner.
        work: waiting work, in core-milliseconds.
        path_ms: remaining critical path, in ms.
        objective_ms: latency objective, in ms from the acceptance.
        accepted_at: time of acceptance, in ms.
        value: value in units of its queue, see `job_value`.
        over_rate: submitted beyond the rate of its workspace.
        latest_start: time until which it can start and be in time, in ms.
        density: value for its work, see `value_density`.
        preference: order of the jobs to keep, the lowest is deferred first.
        useful_until: time until which a start is of use, in ms.
        kind: its queue, and whether it is beyond the rate of its workspace.
    """

    job_id: str
    queue: str
    priority: int
    workspace: str
    work: float
    path_ms: float
    objective_ms: float
    accepted_at: Millis
    value: float = 1.0
    over_rate: bool = False
    latest_start: float = dataclasses.field(init=False)
    density: float = dataclasses.field(init=False)
    preference: float = dataclasses.field(init=False)
    useful_until: float = dataclasses.field(init=False)
    kind: tuple[str, bool] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Compute once what every evaluation compares."""
        due_at = self.accepted_at + self.objective_ms
        useful_ms = useful_start_ms(self.objective_ms, self.path_ms)
        density = value_density(self.value, self.work, self.priority)
        preference = math.log(density)
        preference += 0 if self.over_rate else _IN_RATE_PREFERENCE
        preference += 0 if self.priority else _URGENT_PREFERENCE
        computed = {
            'latest_start': due_at - PATH_SHARE * self.path_ms,
            'density': density,
            'preference': preference,
            'useful_until': self.accepted_at + useful_ms,
            'kind': (self.queue, self.over_rate),
        }
        for name, number in computed.items():
            object.__setattr__(self, name, number)


def value_density(value: float, work: float, priority: int) -> float:
    """Compute the value of a job for its work.

    Args:
        value: value in units of its queue.
        work: its work, in core-milliseconds.
        priority: priority of its queue; each level halves the value.

    Returns:
        Value for a core-millisecond.
    """
    return value * _PRIORITY_FACTOR ** -min(priority, _LOWEST) / max(1, work)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prospect:
    """The usual new job of a queue, for which the wait is predicted.

    Attributes:
        queue: name of the queue.
        priority: priority of the queue.
        density: its value for its work.
        inflow: work that arrives in the queue, in cores.
    """

    queue: str
    priority: int
    density: float
    inflow: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OverloadCase:
    """Waiting jobs that share a full capacity.

    Attributes:
        jobs: the waiting jobs.
        cores: the capacity that serves them, in cores.
        now: the time, in ms.
        shares: use and weight of each workspace; those missing are within
            their share.
        prospects: new jobs for which the wait is predicted.
    """

    jobs: Sequence[WaitingJob]
    cores: float
    now: Millis
    shares: Mapping[str, ShareCase] = dataclasses.field(default_factory=dict)
    prospects: Sequence[Prospect] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PredictedWait:
    """Time until a new job of a queue starts.

    Attributes:
        in_rate_ms: for a job within the rate of its workspace, in ms.
        over_rate_ms: for a job beyond it, in ms.
    """

    in_rate_ms: float = 0
    over_rate_ms: float = 0
