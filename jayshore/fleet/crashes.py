"""Counts crashes of workers against the tasks that may have caused them."""

import collections
import dataclasses
from collections.abc import Iterable
from typing import Final

import eliot

from jayshore.clock import Millis
from jayshore.fleet.blame import SETTLED_MS, ExposedRun, Verdict, judge_crash
from jayshore.fleet.jobtable import TaskEntry
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import TaskId, format_task_id
from jayshore.fleet.outages import Outage, age_in_outage
from jayshore.fleet.probation import Probation

_SIMULTANEOUS_MS: Final = Millis(200)
_MAX_RECENT: Final = 64

_WIDE_FAILURE: Final = 3
"""Unexplained failures beside a crash from which no run is suspected.

Fewer may coincide with a crash that a task causes.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LostRuns:
    """Runs at a worker when it stopped replying.

    Attributes:
        worker_id: the worker.
        outage: when it stopped replying.
        draining: it was about to leave.
        ages: age of each run at that moment in ms, by task.
    """

    worker_id: str
    outage: Outage
    draining: bool
    ages: dict[TaskEntry, Millis]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Failure:
    """A worker that stopped replying.

    Attributes:
        outage: when it stopped replying.
        used: it had runs.
        explained: one of them accounts for it.
    """

    outage: Outage
    used: bool
    explained: bool


class CrashCounter:
    """Counts the crashes of one leader's workers, and suspects tasks."""

    def __init__(
        self,
        *,
        probation: Probation,
        metrics: FleetMetrics,
    ) -> None:
        """Create a counter.

        Args:
            probation: takes the suspects.
            metrics: metrics of this instance.
        """
        self._probation = probation
        self._metrics = metrics
        self._recent: collections.deque[_Failure] = collections.deque(
            maxlen=_MAX_RECENT
        )

    def count(
        self, lost: LostRuns, silent: Iterable[LostRuns]
    ) -> list[TaskEntry]:
        """Count the crash of a worker that has restarted.

        A crash is nobody's fault when the worker was leaving. When another
        worker failed at the same time without any run that explains it, as
        after a loss of power, only runs that are lost at the same age again
        and again are suspected; none when many workers failed.

        Args:
            lost: the runs at the worker.
            silent: the runs at all workers that do not reply now.

        Returns:
            The tasks that must not run again.
        """
        beside = self._find_unexplained(lost, silent)
        shared = lost.draining or any(failure.used for failure in beside)
        verdict = Verdict()
        if not lost.draining:
            verdict = judge_crash(
                _exposed_runs(lost), timed=lost.outage.is_timed, shared=shared
            )
        if len(beside) >= _WIDE_FAILURE:
            shared = True
            verdict = Verdict(recurrent=verdict.recurrent)
        self._recent.append(_describe(lost))
        self._log(lost, verdict, shared=shared)
        for task, age in lost.ages.items():
            task.exposures += int(not shared)
            if not lost.draining:
                self._note_loss(task, age, verdict)
        return [
            exposed
            for exposed in lost.ages
            if exposed.task_id in verdict.given_up
        ]

    def _note_loss(
        self, task: TaskEntry, age: Millis, verdict: Verdict
    ) -> None:
        """Count the loss of a run, and put its task apart if suspected."""
        suspected = task.task_id in verdict.suspects
        if task.task_id in verdict.recurrent:
            task.recurrent = True
            age = Millis(max(age, task.lost_age_ms or 0))
        task.lost_age_ms = age
        task.crashes += int(suspected)
        if suspected or task.recurrent:
            task.doubt_ms = Millis(max(task.doubt_ms, age + SETTLED_MS))
            self._probation.add(task, alone=suspected and verdict.alone)

    def _find_unexplained(
        self, lost: LostRuns, silent: Iterable[LostRuns]
    ) -> list[_Failure]:
        """Find failures at the same time that no run accounts for.

        An unused worker counts only if the moment of its failure is known.
        """
        others = [
            _describe(other)
            for other in silent
            if other.worker_id != lost.worker_id
        ]
        return [
            failure
            for failure in (*others, *self._recent)
            if failure.outage.overlaps(lost.outage, _SIMULTANEOUS_MS)
            and not failure.explained
            and (failure.used or failure.outage.is_timed)
        ]

    def _log(self, lost: LostRuns, verdict: Verdict, *, shared: bool) -> None:
        cause = 'suspected' if verdict.suspects else 'none'
        self._metrics.count_crash('shared' if shared else cause)
        eliot.log_message(
            'worker:crashed',
            worker=lost.worker_id,
            alive_at=lost.outage.alive_at,
            noticed_at=lost.outage.noticed_at,
            shared_cause=shared,
            runs=len(lost.ages),
            suspects=_format(verdict.suspects),
            given_up=_format(verdict.given_up),
            recurrent=_format(verdict.recurrent),
        )


def collect_lost_runs(
    worker_id: str,
    tasks: Iterable[TaskEntry],
    outage: Outage,
    *,
    draining: bool,
) -> LostRuns:
    """Collect the runs at a worker that stopped replying.

    Args:
        worker_id: the worker.
        tasks: tasks that hold resources there.
        outage: when it stopped replying.
        draining: it was about to leave.

    Returns:
        The runs that may have been active there.
    """
    ages = {task: age_in_outage(task, outage) for task in tasks}
    return LostRuns(
        worker_id=worker_id,
        outage=outage,
        draining=draining,
        ages={task: age for task, age in ages.items() if age is not None},
    )


def _exposed_runs(lost: LostRuns) -> list[ExposedRun]:
    return [
        ExposedRun(
            task=task.task_id,
            age_ms=age_ms,
            crashes=task.crashes,
            exposures=task.exposures,
            doubt_ms=task.doubt_ms,
            spread_ms=Millis(lost.outage.noticed_at - lost.outage.alive_at),
            lost_age_ms=task.lost_age_ms,
            recurrent=task.recurrent,
        )
        for task, age_ms in lost.ages.items()
    ]


def _describe(lost: LostRuns) -> _Failure:
    return _Failure(
        outage=lost.outage,
        used=bool(lost.ages),
        explained=any(run.explains_crash for run in _exposed_runs(lost)),
    )


def _format(tasks: frozenset[TaskId]) -> list[str]:
    return sorted(map(format_task_id, tasks))
