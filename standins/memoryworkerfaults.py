"""Faults that tests inject into an in-memory worker."""

import dataclasses
from collections.abc import Callable

from jayshore.clock import Millis
from jayshore.fleet.model import TaskId

_MAX_LISTED_ENDS = 500


def _never(_task: TaskId) -> bool:
    return False


@dataclasses.dataclass(kw_only=True, slots=True)
class MemoryWorkerFaults:
    """Injected faults; tests change them while the worker is in use.

    Attributes:
        silent: calls have no effect and get no answer.
        refused: connections are refused.
        lose_starts: number of start orders that get no answer.
        late_ms: delay until a start without an answer is carried out, in ms;
            None for never.
        lose_stops: number of stops that are carried out without an answer.
        stop_ms: how long a run that is stopped goes on, in ms.
        fail_all: every run that ends on its own ends as failed.
        hang: runs do not complete on their own.
        crashing: returns whether a task crashes the worker that starts it.
        crash_after_ms: age of the run at such a crash in ms; None when the
            worker crashes before it answers the start.
        down_ms: how long the worker is down after a crash, in ms.
        new_id: the worker has another id after a crash.
        listed_ends: number of ends in one reply.
    """

    silent: bool = False
    refused: bool = False
    lose_starts: int = 0
    late_ms: Millis | None = Millis(0)
    lose_stops: int = 0
    stop_ms: Millis = Millis(0)
    fail_all: bool = False
    hang: bool = False
    crashing: Callable[[TaskId], bool] = _never
    crash_after_ms: Millis | None = Millis(10)
    down_ms: Millis = Millis(250)
    new_id: bool = True
    listed_ends: int = _MAX_LISTED_ENDS
