"""Estimates of task sizes and run times per team and queue.

Run times are corrected as in `durations`, with the same source. A size is
raised as soon as one task needs more, margin included, and lowered only after
a full window of tasks, since a size that is too low overcommits a worker and
one that is too high only wastes capacity.
"""

import collections
import dataclasses

from jayshore.clock import Millis
from jayshore.placement.durations import WINDOW_TASKS, DurationRatios
from jayshore.placement.tasks import component_max, component_min
from jayshore.resources import Resources

_SIZE_STEPS = 16
"""Sizes are corrected in sixteenths, which keeps the number of shapes low."""
_MARGIN_STEPS = 2
"""Margin of an eighth above the peak, as reports lag and miss short peaks."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CompletedTask:
    """The measured size and run time of a task that ended by itself.

    Attributes:
        team: its team.
        queue: its queue.
        declared: the demand that the submitter declared.
        peak: the highest reported usage of each resource.
        declared_run_ms: the run time that the submitter declared, or None.
        run_ms: how long it ran.
    """

    team: str
    queue: str
    declared: Resources
    peak: Resources
    declared_run_ms: Millis | None
    run_ms: Millis


class Estimates:
    """Estimates from the last `WINDOW_TASKS` tasks of each team and queue."""

    def __init__(self) -> None:
        """Create estimates without completed tasks."""
        self._windows: dict[
            tuple[str, str], collections.deque[CompletedTask]
        ] = collections.defaultdict(_empty_window)
        self._durations = DurationRatios()

    def observe(self, ended: CompletedTask) -> None:
        """Add a completed task.

        Args:
            ended: the task; the caller leaves out tasks that were stopped or
                failed, as they may not have reached their peak.
        """
        self._windows[ended.team, ended.queue].append(ended)
        self._durations.observe(
            ended.team,
            ended.queue,
            stated_ms=ended.declared_run_ms,
            real_ms=ended.run_ms,
        )

    def demand(self, team: str, queue: str, declared: Resources) -> Resources:
        """Estimate the size of a task that is to be enqueued.

        Args:
            team: its team.
            queue: its queue.
            declared: the demand that the submitter declared.

        Returns:
            The declared demand times the largest ratio of peak to declared
            size in the window, with a margin; at least the declared demand
            until the window is full. Accelerators and requests are never
            changed, as they are allocated whole.
        """
        window = self._windows.get((team, queue), ())
        if not window:
            return declared
        cpu = max(
            _size_steps(e.peak.cpu_millis, e.declared.cpu_millis)
            for e in window
        )
        memory = max(
            _size_steps(e.peak.memory_mb, e.declared.memory_mb) for e in window
        )
        corrected = dataclasses.replace(
            declared,
            cpu_millis=-(-declared.cpu_millis * cpu // _SIZE_STEPS),
            memory_mb=-(-declared.memory_mb * memory // _SIZE_STEPS),
        )
        if len(window) < WINDOW_TASKS:
            return component_max(declared, corrected)
        return corrected

    def run_ms(
        self, team: str, queue: str, declared_run_ms: Millis | None
    ) -> Millis | None:
        """Estimate the run time of a task that is to be enqueued.

        Args:
            team: its team.
            queue: its queue.
            declared_run_ms: the run time that the submitter declared, or None.

        Returns:
            The declared time times the 80th percentile of the ratios of actual
            to declared time in the window, or that percentile of the run times
            when no time is declared; the declared time until the window is
            full.
        """
        if declared_run_ms is None:
            return self._durations.usual_ms(team, queue)
        return self._durations.expected_ms(team, queue, declared_run_ms)


def running_charge(
    granted: Resources, corrected: Resources, reported: Resources
) -> Resources:
    """Compute what a running task is charged on its worker.

    Args:
        granted: the demand with which it was started.
        corrected: the current estimate for its team and queue.
        reported: its last reported usage.

    Returns:
        The larger of the allocation and the usage; the allocation is the
        granted demand, or the estimate where that is smaller.
    """
    return component_max(component_min(granted, corrected), reported)


def _empty_window() -> collections.deque[CompletedTask]:
    return collections.deque(maxlen=WINDOW_TASKS)


def _size_steps(peak: int, declared: int) -> int:
    if not declared:
        return _SIZE_STEPS
    return -(-peak * _SIZE_STEPS // declared) + _MARGIN_STEPS
