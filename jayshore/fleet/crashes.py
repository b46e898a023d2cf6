"""Counts crashes of workers against the tasks that may have caused them."""

import collections
import dataclasses
from collections.abc import Iterable
from typing import Final

import eliot

from jayshore.clock import Millis
from jayshore.fleet.blame import (
    MAX_EXPOSURES,
    SETTLED_MS,
    ExposedRun,
    Verdict,
    judge_crash,
)
from jayshore.fleet.jobtable import TaskEntry
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import TaskId, format_task_id
from jayshore.fleet.outages import Outage, age_in_outage
from jayshore.fleet.probation import Probation

_SIMULTANEOUS_MS: Final = Millis(200)
_MAX_RECENT: Final = 64


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
        is_explained: a run in doubt may have crashed it.
        jobs: ids of the jobs that ran there.
    """

    outage: Outage
    is_explained: bool
    jobs: frozenset[str]


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

        A crash is nobody's fault when the worker was leaving, or when another
        worker failed at the same time without any run in doubt, as after a
        loss of power. A job that ran on all workers that failed then may still
        be the common cause: its runs count as exposed, so that they are in
        doubt when it happens again and again.

        Args:
            lost: the runs at the worker.
            silent: the runs at all workers that do not reply now.

        Returns:
            The tasks that must not run again.
        """
        verdict = judge_crash(
            [_exposed_run(*item) for item in lost.ages.items()],
            timed=lost.outage.is_timed,
        )
        beside = self._find_simultaneous(lost, silent)
        shared = lost.draining or bool(beside)
        if lost.ages:
            self._recent.append(_describe(lost))
        exposed = set(lost.ages)
        if shared:
            exposed = _find_common(lost, beside)
            verdict = _judge_common(lost, exposed)
        self._log(lost, verdict, shared=shared)
        given_up = []
        for task, age in lost.ages.items():
            task.exposures += int(task in exposed)
            if task.task_id in verdict.suspects:
                task.crashes += 1
                task.confirmed_crashes += int(_is_confirmed(task))
                task.doubt_ms = Millis(max(task.doubt_ms, age + SETTLED_MS))
                self._probation.add(task, alone=verdict.alone)
            if task.task_id in verdict.given_up:
                given_up.append(task)
        return given_up

    def _find_simultaneous(
        self, lost: LostRuns, silent: Iterable[LostRuns]
    ) -> list['_Failure']:
        """Find the failures at the same time that no run explains."""
        others = [
            _describe(other)
            for other in silent
            if other.ages and other.worker_id != lost.worker_id
        ]
        return [
            other
            for other in (*others, *self._recent)
            if not other.is_explained
            and other.outage.overlaps(lost.outage, _SIMULTANEOUS_MS)
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


def _exposed_run(task: TaskEntry, age_ms: Millis) -> ExposedRun:
    return ExposedRun(
        task=task.task_id,
        age_ms=age_ms,
        crashes=task.crashes,
        exposures=task.exposures,
        doubt_ms=task.doubt_ms,
        is_confirmed=_is_confirmed(task),
        confirmed_crashes=task.confirmed_crashes,
    )


def _is_confirmed(task: TaskEntry) -> bool:
    """Return whether the worker has confirmed the latest run of a task."""
    return task.seen_at is not None


def _describe(lost: LostRuns) -> _Failure:
    return _Failure(
        outage=lost.outage,
        is_explained=any(
            _exposed_run(*item).in_doubt for item in lost.ages.items()
        ),
        jobs=frozenset(task.task_id.job_id for task in lost.ages),
    )


def _find_common(lost: LostRuns, beside: Iterable[_Failure]) -> set[TaskEntry]:
    """Find the runs of jobs that ran on all workers that failed together."""
    if lost.draining:
        return set()
    return {
        task
        for task in lost.ages
        if all(task.task_id.job_id in other.jobs for other in beside)
    }


def _judge_common(lost: LostRuns, common: set[TaskEntry]) -> Verdict:
    """Judge the runs that were lost like this before, whatever their age."""
    runs = [_exposed_run(task, lost.ages[task]) for task in common]
    return judge_crash(
        [run for run in runs if run.exposures + 1 >= MAX_EXPOSURES],
        timed=lost.outage.is_timed,
    )


def _format(tasks: frozenset[TaskId]) -> list[str]:
    return sorted(map(format_task_id, tasks))
