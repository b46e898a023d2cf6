"""Decides which tasks may have crashed a worker, and which are to blame.

Every run at a worker is lost when the worker crashes. A task that crashes its
workers does so at the same age each time, usually right after its start, so an
older run is not suspected unless it was lost at the same age before. What is
left in doubt is decided by a second run apart from the other new ones: a task
is given up when it was the only one in doubt, and not for the first time.
"""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.model import TaskId

SETTLED_MS: Final = Millis(250)
"""Age from which a run is not suspected of a crash, in ms."""

SAME_AGE_MS: Final = Millis(250)
"""Difference of two ages that still count as the same, in ms."""

CRASHES_APART: Final = 2
"""Crashes after which a task is given up that alone was in doubt last."""

CRASHES_APART_UNTIMED: Final = 3
"""The same when the moment of the last crash is not known well.

The worker may have been down already when the start was sent.
"""

MAX_CRASHES: Final = 4
"""Crashes after which a task in doubt is given up in any case."""

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
        spread_ms: by how much it may have been older, in ms.
        lost_age_ms: age of its run at the crash before in ms, None for none.
        recurrent: two earlier crashes in succession were at the same age.
    """

    task: TaskId
    age_ms: Millis
    crashes: int = 0
    exposures: int = 0
    doubt_ms: Millis = SETTLED_MS
    spread_ms: Millis = Millis(0)
    lost_age_ms: Millis | None = None
    recurrent: bool = False

    @property
    def in_doubt(self) -> bool:
        """Whether the run may have crashed the worker."""
        return (
            self.age_ms < self.doubt_ms or self.exposures + 1 >= MAX_EXPOSURES
        )

    @property
    def recurs(self) -> bool:
        """Whether the run was as old as at the crash before."""
        return (
            self.lost_age_ms is not None
            and self.age_ms <= self.lost_age_ms + SAME_AGE_MS
            and self.age_ms + self.spread_ms >= self.lost_age_ms - SAME_AGE_MS
        )

    @property
    def explains_crash(self) -> bool:
        """Whether the run accounts for a crash beside that of other workers.

        A common cause hits a suspect at any age.
        """
        return (
            self.age_ms < SETTLED_MS
            or self.recurs
            or self.exposures + 1 >= MAX_EXPOSURES
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Consequences of a crash for the tasks that the worker ran.

    Attributes:
        suspects: tasks that may have crashed it.
        given_up: suspects that are to blame.
        alone: the suspects are tasks of one job.
        recurrent: tasks whose runs were as old as at the crash before; their
            next runs take place apart.
    """

    suspects: frozenset[TaskId] = frozenset()
    given_up: frozenset[TaskId] = frozenset()
    alone: bool = False
    recurrent: frozenset[TaskId] = frozenset()


def judge_crash(
    runs: Sequence[ExposedRun], *, timed: bool, shared: bool = False
) -> Verdict:
    """Decide which tasks are suspected of a crash, and which are to blame.

    Tasks of one job are not told apart, because the job ends with any of them.
    Beside crashes of other workers, which a common cause may explain, only a
    task is suspected whose third run or later is lost at the same age.

    Args:
        runs: the runs at the worker when it crashed.
        timed: the moment of the crash is known well.
        shared: other workers crashed at the same time, for no known reason.

    Returns:
        The suspects, and those of them that do not run again.
    """
    recurring = [run for run in runs if run.recurs]
    if shared:
        suspects = [run for run in recurring if run.recurrent]
    else:
        suspects = [run for run in runs if run.in_doubt]
    alone = _count_jobs(suspects) == 1
    limit = MAX_CRASHES
    if alone:
        limit = CRASHES_APART if timed else CRASHES_APART_UNTIMED
    return Verdict(
        suspects=frozenset(run.task for run in suspects),
        given_up=frozenset(
            run.task for run in suspects if run.crashes + 1 >= limit
        ),
        alone=alone,
        recurrent=frozenset(run.task for run in recurring),
    )


def _count_jobs(runs: Iterable[ExposedRun]) -> int:
    return len({run.task.job_id for run in runs})
