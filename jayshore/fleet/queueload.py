"""Measures what arrives in the queues and what the workers get done.

Each measure is an exponential mean, so that it follows a burst within seconds
and costs the same for any number of jobs.
"""

import collections
import dataclasses
import math
from collections.abc import Mapping
from typing import Final

from jayshore.fleet.model import FleetConfig

_INFLOW_MS: Final = 5000
"""Time over which arriving work is averaged, in ms; bursts last 4 to 7 s."""

_OFFERED_MS: Final = 2000
"""Time over which the submissions of a workspace are averaged, in ms."""

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
    """Submissions of each workspace, including those that were refused.

    An instance sees only a part of the submissions, so the leader computes the
    share that is beyond the rate of a workspace.
    """

    def __init__(self) -> None:
        """Create rates of no submissions."""
        self._arrived: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._rates: dict[str, float] = {}

    def add(self, workspace: str, queue: str) -> None:
        """Count an accepted job.

        Args:
            workspace: its owner.
            queue: name of its queue.
        """
        self._arrived[workspace, queue] += 1

    def step(
        self,
        elapsed_ms: int,
        config: FleetConfig,
        refused: Mapping[tuple[str, str], float],
    ) -> dict[str, float]:
        """Compute which share of the submissions is beyond the rates.

        Args:
            elapsed_ms: time since the last step, in ms.
            config: the configuration in force.
            refused: share of the submissions that is being refused, by
                workspace and queue.

        Returns:
            Share by workspace, without those within their rate; at most 0.9.
        """
        weight = _weight(elapsed_ms, _OFFERED_MS)
        shares: dict[str, float] = {}
        arrived: dict[str, float] = {}
        for key, accepted in self._arrived.items():
            offered = accepted / (1 - refused.get(key, 0))
            arrived[key[0]] = arrived.get(key[0], 0) + offered
        for workspace in config.workspaces:
            name = workspace.name
            offered = arrived.get(name, 0) / max(1, elapsed_ms)
            offered *= _MILLIS_PER_SECOND
            rate = self._rates.get(name, 0)
            rate += weight * (offered - rate)
            self._rates[name] = rate
            if workspace.weight and rate > workspace.weight:
                share = min(_MAX_SHARE, 1 - workspace.weight / rate)
                if share >= _MIN_SHARE:
                    shares[name] = round(share, 2)
        self._arrived.clear()
        return shares


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
