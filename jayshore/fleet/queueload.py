"""Measures what arrives in the queues and what the workers get done.

Each measure is an exponential mean, so that it follows a burst within seconds
and costs the same for any number of jobs.
"""

import collections
import dataclasses
import math
from collections.abc import Collection
from typing import Final

from jayshore.fleet.model import FleetConfig

_INFLOW_MS: Final = 5000
"""Time over which arriving work is averaged, in ms; bursts last 4 to 7 s."""

_OFFERED_MS: Final = 2000
"""Time over which the submissions of a workspace are averaged, in ms."""

_ADJUST_MS: Final = 1000
"""Time in which a refused share follows what is accepted, in ms.

Instances follow a change within half a second; faster changes would overshoot.
"""

_THROUGHPUT_MS: Final = 8000
"""Time over which the work done is averaged, in ms.

A wide gang ends as a whole, so a shorter time would follow single gangs.
"""

_USUAL_YIELD: Final = 0.85
_MIN_YIELD: Final = 0.3
_MAX_YIELD: Final = 1.2
_MAX_SHARE: Final = 0.9
_MIN_SHARE: Final = 0.05
_MEAN_JOBS: Final = 200
_MILLIS_PER_SECOND: Final = 1000


@dataclasses.dataclass(kw_only=True, slots=True)
class QueueLoad:
    """What arrives in one queue.

    Attributes:
        jobs: number of jobs that the means are of, at most 200.
        work: mean work of a job, in core-milliseconds.
        path_ms: mean critical path of a job, in ms.
        inflow: arriving work within the rates of the workspaces, in cores.
        arrived: such work since the last step, in core-milliseconds.
    """

    jobs: int = 0
    work: float = 0
    path_ms: float = 0
    inflow: float = 0
    arrived: float = 0

    def add(self, work: float, path_ms: float) -> None:
        """Add a job to the means.

        Args:
            work: its work, in core-milliseconds.
            path_ms: its critical path, in ms.
        """
        self.jobs = min(_MEAN_JOBS, self.jobs + 1)
        self.work += (work - self.work) / self.jobs
        self.path_ms += (path_ms - self.path_ms) / self.jobs

    def step(self, elapsed_ms: int) -> None:
        """Take in what has arrived since the last step.

        Args:
            elapsed_ms: time since the last step, in ms.
        """
        rate = self.arrived / max(1, elapsed_ms)
        self.inflow += _weight(elapsed_ms, _INFLOW_MS) * (rate - self.inflow)
        self.arrived = 0


class OfferedRates:
    """Which share of the submissions of a workspace is beyond its rate.

    While nothing is refused, the share follows from the rate of accepted jobs.
    While a share is refused it is adjusted until what is accepted is the rate
    of the workspace: how many submissions there were cannot be told, since
    instances that are cut off refuse nothing, and others follow late.
    """

    def __init__(self) -> None:
        """Create rates of no submissions."""
        self._arrived: collections.Counter[str] = collections.Counter()
        self._rates: dict[str, float] = {}
        self._shares: dict[str, float] = {}

    def add(self, workspace: str) -> None:
        """Count an accepted job.

        Args:
            workspace: its owner.
        """
        self._arrived[workspace] += 1

    def step(
        self, elapsed_ms: int, config: FleetConfig, refused: Collection[str]
    ) -> dict[str, float]:
        """Compute which share of the submissions is beyond the rates.

        Args:
            elapsed_ms: time since the last step, in ms.
            config: the configuration in force.
            refused: workspaces of whose submissions a share is being refused.

        Returns:
            Share by workspace, without those within their rate; at most 0.9.
        """
        shares: dict[str, float] = {}
        for workspace in config.workspaces:
            name = workspace.name
            accepted = self._arrived[name] / max(1, elapsed_ms)
            accepted *= _MILLIS_PER_SECOND
            rate = self._rates.get(name, 0)
            rate += _weight(elapsed_ms, _OFFERED_MS) * (accepted - rate)
            self._rates[name] = rate
            if not workspace.weight:
                continue
            share = max(0, 1 - workspace.weight / max(rate, workspace.weight))
            if name in refused:
                share = _adjust(
                    self._shares.get(name, 0),
                    rate / workspace.weight,
                    _weight(elapsed_ms, _ADJUST_MS),
                )
            if share >= _MIN_SHARE:
                shares[name] = round(min(_MAX_SHARE, share), 2)
        self._arrived.clear()
        self._shares = shares
        return shares


def _adjust(share: float, excess: float, weight: float) -> float:
    """Adjust a refused share by what is accepted all the same.

    Args:
        share: the share.
        excess: accepted jobs as a multiple of the rate of the workspace.
        weight: part of the difference that is made up.

    Returns:
        A higher share while more than the rate is accepted, otherwise a lower
        one.
    """
    if excess > 1:
        return share + weight * (1 - share) * (1 - 1 / excess)
    return share - weight * share * (1 - excess)


class Throughput:
    """Estimated work that a full capacity gets done, for each of its cores.

    It takes in that estimates are off, that workers are slow, that wide jobs
    leave cores free, and that advice permits some of the workers only.
    """

    def __init__(self) -> None:
        """Create the throughput of a fleet that has not been measured."""
        self._yield = _USUAL_YIELD

    @property
    def per_core(self) -> float:
        """Core-milliseconds of estimated work that a core does in 1 ms."""
        return min(_MAX_YIELD, max(_MIN_YIELD, self._yield))

    def step(self, done: float, cores: float, elapsed_ms: int) -> None:
        """Take in the work that was done while capacity was full.

        Args:
            done: estimated work of what ended, in core-milliseconds.
            cores: the capacity, in cores.
            elapsed_ms: time since the last step, in ms.
        """
        if cores <= 0 or elapsed_ms <= 0:
            return
        measured = done / (cores * elapsed_ms)
        weight = _weight(elapsed_ms, _THROUGHPUT_MS)
        self._yield += weight * (measured - self._yield)


def _weight(elapsed_ms: int, constant_ms: int) -> float:
    """Return the weight of the newest value of an exponential mean."""
    return 1 - math.exp(-elapsed_ms / constant_ms)
