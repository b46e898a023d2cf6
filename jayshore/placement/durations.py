"""Ratio of real to stated duration of tasks, by owner and queue.

Source: per-queue correction of user estimates as in Tsafrir, Etsion and
Feitelson, "Backfilling Using System-Generated Predictions", IEEE TPDS 18(6),
2007. Both schedulers use it; each keeps its own windows.
"""

import collections
import dataclasses
from typing import Final

from jayshore.clock import Millis

WINDOW_TASKS: Final = 20
"""Number of completed tasks required to correct a statement."""

TYPICAL_PERCENT: Final = 50
"""Percentile of the ratios for the duration of a typical task."""

CAUTIOUS_PERCENT: Final = 80
"""Percentile of the ratios for a duration that most tasks keep within."""

_MILLI = 1000
_HUNDRED = 100


@dataclasses.dataclass(kw_only=True, slots=True)
class _Window:
    """The last tasks of an owner and queue, and their sorted ratios."""

    real_ms: collections.deque[Millis]
    ratios: collections.deque[int]
    sorted_ratios: list[int] | None = None

    @property
    def full(self) -> bool:
        return len(self.ratios) == WINDOW_TASKS


class DurationRatios:
    """Ratios of the last `WINDOW_TASKS` tasks of each owner and queue."""

    def __init__(self) -> None:
        """Create ratios without completed tasks."""
        self._windows: dict[tuple[str, str], _Window] = {}

    def observe(
        self,
        owner: str,
        queue: str,
        *,
        stated_ms: Millis | None,
        real_ms: Millis,
    ) -> None:
        """Add a completed task.

        Args:
            owner: its team or workspace.
            queue: its queue.
            stated_ms: the duration that the submitter stated in ms, or None.
            real_ms: how long it ran, in ms; the caller leaves out tasks that
                were stopped or failed.
        """
        window = self._windows.get((owner, queue))
        if window is None:
            window = _Window(
                real_ms=collections.deque(maxlen=WINDOW_TASKS),
                ratios=collections.deque(maxlen=WINDOW_TASKS),
            )
            self._windows[owner, queue] = window
        window.real_ms.append(real_ms)
        window.ratios.append(
            real_ms * _MILLI // max(1, stated_ms or real_ms),
        )
        window.sorted_ratios = None

    def expected_ms(
        self,
        owner: str,
        queue: str,
        stated_ms: Millis,
        *,
        percent: int = CAUTIOUS_PERCENT,
    ) -> Millis:
        """Correct a stated duration.

        Args:
            owner: team or workspace of the task.
            queue: its queue.
            stated_ms: the duration that the submitter stated, in ms.
            percent: percentile of the ratios, 0 to 99.

        Returns:
            The stated duration times that percentile of the ratios in the
            window, at least 1 ms; the stated one until the window is full.
        """
        window = self._windows.get((owner, queue))
        if window is None or not window.full:
            return stated_ms
        if window.sorted_ratios is None:
            window.sorted_ratios = sorted(window.ratios)
        ratio = window.sorted_ratios[WINDOW_TASKS * percent // _HUNDRED]
        return Millis(max(1, stated_ms * ratio // _MILLI))

    def usual_ms(self, owner: str, queue: str) -> Millis | None:
        """Estimate the duration of a task for which none is stated.

        Args:
            owner: its team or workspace.
            queue: its queue.

        Returns:
            The 80th percentile of the durations in the window in ms, None
            until the window is full.
        """
        window = self._windows.get((owner, queue))
        if window is None or not window.full:
            return None
        index = WINDOW_TASKS * CAUTIOUS_PERCENT // _HUNDRED
        return sorted(window.real_ms)[index]
