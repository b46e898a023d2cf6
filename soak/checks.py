"""Checks the answers to callers against the runs on the executors."""

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Iterator
from typing import TypeAlias

import msgspec

from jayshore.clock import Millis
from soak.callers import Submission
from soak.processes import MAX_ATTEMPTS

MAX_START_AFTER_CANCEL_MS = Millis(3000)
"""Time for which tasks of a cancelled job may still start, in ms.

It counts from the cancellation or from the end of the faults, if later.
"""

MAX_UNKNOWN_MS = Millis(3000)
"""Time after its acceptance for which a job may be unknown, in ms."""

EXECUTOR_CPU_MILLIS = 4000
"""CPU capacity of an executor of the stand-in, in thousandths of a core."""


_CpuChange: TypeAlias = tuple[int, int]
"""A time in ms, and the change of the CPU in use at that time."""


class Run(msgspec.Struct, kw_only=True, frozen=True):
    """A run in the history of a simulated executor; times in ms."""

    worker: str
    task: str
    run: int
    kind: str | None
    payload: str
    noted: bool
    started_at: int
    ended_at: int | None

    @property
    def job_id(self) -> str:
        """Id of the task's job."""
        return self.task.partition('.')[0]

    @property
    def step(self) -> int:
        """Position of the task's step in its job."""
        return int(self.task.split('.')[2])


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Breach:
    """A guarantee that was violated.

    Attributes:
        promise: short name of the guarantee.
        detail: the job, task or worker concerned, or what was seen.
    """

    promise: str
    detail: str


class RunHistoryChecker:
    """Compares the runs of the executors with the callers' submissions."""

    def __init__(
        self,
        *,
        runs: Iterable[Run],
        submissions: Iterable[Submission],
        faults_ended_at: Millis,
    ) -> None:
        """Index runs and submissions.

        Args:
            runs: runs of all executors.
            submissions: submissions of all callers, after the jobs had time
                to end.
            faults_ended_at: when the last fault ended, in ms.
        """
        self._runs = tuple(runs)
        self._faults_ended_at = faults_ended_at
        self._jobs = {one.job_id: one for one in submissions}
        self._by_task: dict[str, list[Run]] = collections.defaultdict(list)
        for run in sorted(self._runs, key=_started_at):
            self._by_task[run.task].append(run)

    def find_breaches(self) -> list[Breach]:
        """Check all guarantees.

        Returns:
            The violations.
        """
        breaches = [
            *self._check_submissions(),
            *self._check_duplicate_runs(),
            *self._check_step_order(),
            *self._check_capacity(),
            *self._check_cancellations(),
        ]
        for submission in self._jobs.values():
            if submission.accepted_at is not None:
                breaches.extend(self._check_job_state(submission))
        return breaches

    def _check_submissions(self) -> Iterator[Breach]:
        for run in self._runs:
            submission = self._jobs.get(run.job_id)
            if submission is None or run.payload != run.job_id:
                yield Breach(promise='unasked', detail=run.task)
            elif submission.was_refused:
                yield Breach(promise='refused', detail=run.task)

    def _check_duplicate_runs(self) -> Iterator[Breach]:
        for task, runs in self._by_task.items():
            for run, later in itertools.combinations(runs, 2):
                if _runs_overlap(run, later):
                    yield Breach(promise='two at once', detail=task)
                elif run.kind == 'done' and run.noted:
                    yield Breach(promise='run after done', detail=task)

    def _check_step_order(self) -> Iterator[Breach]:
        """Find tasks that started before their preceding steps were done."""
        for task, runs in self._by_task.items():
            submission = self._jobs.get(runs[0].job_id)
            if submission is None:
                continue
            for preceding_step in submission.steps[runs[0].step].get(
                'After', ()
            ):
                done_at = self._step_done_at(submission, preceding_step)
                if done_at is None or runs[0].started_at < done_at:
                    yield Breach(promise='before its turn', detail=task)

    def _step_done_at(self, submission: Submission, step: int) -> int | None:
        """Return when a step was done, None if it was not.

        A gang is done as soon as one of its tasks is.
        """
        step_spec = submission.steps[step]
        end_times = []
        for index in range(step_spec['Count']):
            name = f'{submission.job_id}.0.{step}.{index}'
            end_times.extend(_first_success(self._by_task.get(name, [])))
        if step_spec.get('Gang'):
            return min(end_times, default=None)
        return max(end_times) if len(end_times) == step_spec['Count'] else None

    def _check_capacity(self) -> Iterator[Breach]:
        changes: dict[str, list[_CpuChange]] = collections.defaultdict(list)
        for run in self._runs:
            if run.job_id not in self._jobs:
                continue
            cpu_millis = self._jobs[run.job_id].steps[run.step]['Cpu']
            changes[run.worker].append((run.started_at, cpu_millis))
            if run.ended_at is not None:
                changes[run.worker].append((run.ended_at, -cpu_millis))
        for worker, cpu_changes in changes.items():
            if _peak_usage(cpu_changes) > EXECUTOR_CPU_MILLIS:
                yield Breach(promise='over capacity', detail=worker)

    def _check_cancellations(self) -> Iterator[Breach]:
        """Find starts of cancelled jobs long after the faults ended."""
        for run in self._runs:
            submission = self._jobs.get(run.job_id)
            if submission is None or submission.cancelled_at is None:
                continue
            limit = (
                max(submission.cancelled_at, self._faults_ended_at)
                + MAX_START_AFTER_CANCEL_MS
            )
            if submission.state != 'completed' and run.started_at > limit:
                yield Breach(
                    promise='started after its cancellation', detail=run.task
                )

    def _check_job_state(self, submission: Submission) -> Iterator[Breach]:
        job_id = submission.job_id
        runs = [run for run in self._runs if run.job_id == job_id]
        kinds = collections.Counter(run.kind for run in runs)
        if submission.unknown_for_ms > MAX_UNKNOWN_MS:
            yield Breach(promise='lost', detail=job_id)
        if not submission.is_final:
            yield Breach(promise='unfinished', detail=job_id)
        if submission.state == 'failed' and kinds['failed'] < MAX_ATTEMPTS:
            yield Breach(promise='failed for nothing', detail=job_id)
        if submission.state == 'canceled' and not submission.cancel_sent:
            yield Breach(promise='cancelled by nobody', detail=job_id)
        if submission.state == 'completed':
            steps = range(len(submission.steps))
            if any(
                self._step_done_at(submission, step) is None for step in steps
            ):
                yield Breach(promise='completed early', detail=job_id)


def _runs_overlap(run: Run, later: Run) -> bool:
    return run.ended_at is None or later.started_at < run.ended_at


def _first_success(runs: list[Run]) -> list[int]:
    """Return the time of the first successful end, empty without one."""
    end_times = [
        run.ended_at
        for run in runs
        if run.kind == 'done' and run.ended_at is not None
    ]
    return [min(end_times)] if end_times else []


def _peak_usage(cpu_changes: Iterable[_CpuChange]) -> int:
    used = 0
    highest = 0
    for _, delta in sorted(cpu_changes):
        used += delta
        highest = max(highest, used)
    return highest


def _started_at(run: Run) -> int:
    return run.started_at
