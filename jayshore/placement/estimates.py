"""Corrected sizes and run times, per team and queue.

Source: per-queue correction of user estimates as in Tsafrir, Etsion and
Feitelson, "Backfilling Using System-Generated Predictions", IEEE TPDS 18(6),
2007. Sizes are raised at the first evidence and lowered only after a whole
window of it, since a size that is too low overcommits a worker and one that is
too high only wastes room.
"""

import collections
import dataclasses

from jayshore.clock import Millis
from jayshore.placement.tasks import component_max, component_min
from jayshore.resources import Resources

WINDOW = 20
"""Ended tasks without which a declared size is not lowered."""
_RUN_RANK = WINDOW * 4 // 5
_UNITS = 16
"""Sizes are corrected in sixteenths, which keeps the number of shapes low."""
_MARGIN_UNITS = 2
"""An eighth on top of the peak, as reports lag and miss short peaks."""
_MILLI = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CompletedTask:
    """What is known of a task once it has ended by itself.

    Attributes:
        team: its team.
        queue: its queue.
        declared: the demand its submitter gave.
        peak: the highest reported usage of each resource.
        declared_run_ms: the run time its submitter gave, None if none.
        run_ms: how long it ran.
    """

    team: str
    queue: str
    declared: Resources
    peak: Resources
    declared_run_ms: Millis | None
    run_ms: Millis


class Estimates:
    """The last `WINDOW` ended tasks of each team and queue."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._ended: dict[tuple[str, str], collections.deque[CompletedTask]] = (
            collections.defaultdict(_empty_window)
        )

    def observe(self, ended: CompletedTask) -> None:
        """Take in an ended task.

        Args:
            ended: the task; tasks that were stopped or failed are left out by
                the caller, as they may not have reached their peak.
        """
        self._ended[ended.team, ended.queue].append(ended)

    def demand(self, team: str, queue: str, declared: Resources) -> Resources:
        """Correct the size of a task that is to be enqueued.

        Args:
            team: its team.
            queue: its queue.
            declared: the demand its submitter gave.

        Returns:
            The largest share of their declared sizes that the ended tasks
            used, with a margin, applied to this one; before a whole window is
            seen, at least the declared demand. Accelerators and requests are
            never changed, as they are handed out whole.
        """
        seen = self._ended.get((team, queue), ())
        if not seen:
            return declared
        cpu = max(
            _units(e.peak.cpu_millis, e.declared.cpu_millis) for e in seen
        )
        memory = max(
            _units(e.peak.memory_mb, e.declared.memory_mb) for e in seen
        )
        corrected = dataclasses.replace(
            declared,
            cpu_millis=-(-declared.cpu_millis * cpu // _UNITS),
            memory_mb=-(-declared.memory_mb * memory // _UNITS),
        )
        if len(seen) < WINDOW:
            return component_max(declared, corrected)
        return corrected

    def run_ms(
        self, team: str, queue: str, declared_run_ms: Millis | None
    ) -> Millis | None:
        """Correct the run time of a task that is to be enqueued.

        Args:
            team: its team.
            queue: its queue.
            declared_run_ms: the run time its submitter gave, None if none.

        Returns:
            The declared time by the 80th percentile of the ratios of the
            window, or that percentile of the run times when none is declared;
            the declared one before a whole window is seen.
        """
        seen = self._ended.get((team, queue), ())
        if len(seen) < WINDOW:
            return declared_run_ms
        if declared_run_ms is None:
            return sorted(one.run_ms for one in seen)[_RUN_RANK]
        ratios = sorted(
            one.run_ms * _MILLI // max(1, one.declared_run_ms or one.run_ms)
            for one in seen
        )
        return Millis(max(1, declared_run_ms * ratios[_RUN_RANK] // _MILLI))


def admitted(
    granted: Resources, corrected: Resources, reported: Resources
) -> Resources:
    """Bound what a running task is charged on its worker.

    Args:
        granted: the demand it was started with.
        corrected: the present estimate for its team and queue.
        reported: its last reported usage.

    Returns:
        The larger of the reservation and the usage; the reservation is the
        grant, or the estimate where a window showed that less is enough.
    """
    return component_max(component_min(granted, corrected), reported)


def _empty_window() -> collections.deque[CompletedTask]:
    return collections.deque(maxlen=WINDOW)


def _units(peak: int, declared: int) -> int:
    if not declared:
        return _UNITS
    return -(-peak * _UNITS // declared) + _MARGIN_UNITS
