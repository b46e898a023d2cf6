"""Decides which tasks may have crashed a worker, and which are to blame.

Every run at a worker is lost when the worker crashes. A task that crashes its
workers does so at the same age each time, usually right after its start, so an
older run is not suspected. What is left in doubt is decided by a second run
apart from the other new ones: a task is given up when it was the only one in
doubt, and not for the first time.

A start without an answer may never have arrived. A task is given up when two
workers have crashed that had confirmed its run; one whose starts are never
answered, only after `MAX_UNCONFIRMED` crashes.
"""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.model import TaskId

SETTLED_MS: Final = Millis(250)
"""Age from which a run is not suspected of a crash, in ms."""

CRASHES_APART: Final = 2
"""Crashes after which a task is given up that alone was in doubt last."""

CRASHES_APART_UNTIMED: Final = 3
"""The same when the moment of the last crash is not known well.

The worker may have been down already when the start was sent.
"""

MAX_CRASHES: Final = 4
"""Crashes after which a task in doubt is given up in any case."""

MIN_CONFIRMED: Final = 2
"""Crashes during a confirmed run of a task from which the limits above hold."""

MAX_UNCONFIRMED: Final = 5
"""Crashes in doubt after which a task is given up that was not confirmed.

A task that crashes its workers at once prevents their answers.
"""

MAX_EXPOSURES: Final = 3
"""Crashes at any age after which a task is in doubt for longer.

Covers tasks that run for a while before they crash their workers.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExposedRun:
    """A run at a worker that crashed.

    Attributes:
        task: the task.
        age_ms: its age when the worker was last known to be alive, in ms.
        crashes: earlier crashes in which the task was in doubt.
        exposures: earlier crashes of workers that ran the task.
        doubt_ms: age up to which the task is in doubt, in ms.
        is_confirmed: the worker has confirmed the run.
        confirmed_crashes: those of the earlier crashes in doubt in which it
            had.
    """

    task: TaskId
    age_ms: Millis
    crashes: int = 0
    exposures: int = 0
    doubt_ms: Millis = SETTLED_MS
    is_confirmed: bool = True
    confirmed_crashes: int = 0

    @property
    def in_doubt(self) -> bool:
        """Whether the run may have crashed the worker."""
        return (
            self.age_ms < self.doubt_ms or self.exposures + 1 >= MAX_EXPOSURES
        )

    def exceeds(self, limit: int) -> bool:
        """Return whether the task is given up after this crash in doubt.

        Args:
            limit: crashes in doubt after which it is, if its runs were
                confirmed in `MIN_CONFIRMED` of them.

        Returns:
            True when it must not run again.
        """
        confirmed = self.confirmed_crashes + self.is_confirmed
        if confirmed < MIN_CONFIRMED:
            limit = MAX_UNCONFIRMED
        return self.crashes + 1 >= limit


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Consequences of a crash for the tasks that the worker ran.

    Attributes:
        suspects: tasks that may have crashed it.
        given_up: suspects that are to blame.
        alone: the suspects are tasks of one job.
    """

    suspects: frozenset[TaskId] = frozenset()
    given_up: frozenset[TaskId] = frozenset()
    alone: bool = False


def judge_crash(runs: Sequence[ExposedRun], *, timed: bool) -> Verdict:
    """Decide which tasks are suspected of a crash, and which are to blame.

    Tasks of one job are not told apart, because the job ends with any of them.

    Args:
        runs: the runs at the worker when it crashed.
        timed: the moment of the crash is known well.

    Returns:
        The suspects, and those of them that do not run again.
    """
    suspects = [run for run in runs if run.in_doubt]
    alone = _count_jobs(suspects) == 1
    limit = MAX_CRASHES
    if alone:
        limit = CRASHES_APART if timed else CRASHES_APART_UNTIMED
    return Verdict(
        suspects=frozenset(run.task for run in suspects),
        given_up=frozenset(run.task for run in suspects if run.exceeds(limit)),
        alone=alone,
    )


def _count_jobs(runs: Iterable[ExposedRun]) -> int:
    return len({run.task.job_id for run in runs})
