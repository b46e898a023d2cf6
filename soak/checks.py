"""Checks what callers were told against what the workers really ran."""

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Iterator
from typing import TypeAlias

import msgspec

from jayshore.clock import Millis
from soak.callers import Submission
from soak.processes import MAX_ATTEMPTS

CANCEL_MS = Millis(3000)
"""How long tasks of a cancelled job may still start, in calm, in ms."""

VISIBLE_MS = Millis(3000)
"""How long an accepted job may be unknown, in ms."""

CAPACITY_MILLIS = 4000
"""Processor of an executor of the stand-in, in thousandths of a core."""


_Delta: TypeAlias = tuple[int, int]
"""An instant in ms, and how the processor in use changes then."""


class Run(msgspec.Struct, kw_only=True, frozen=True):
    """A run as an executor of the stand-in remembers it; times in ms."""

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
        """The job of the task."""
        return self.task.partition('.')[0]

    @property
    def step(self) -> int:
        """Position of the task's step in its job."""
        return int(self.task.split('.')[2])


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Breach:
    """A promise that was not kept.

    Attributes:
        promise: short name.
        detail: of the job, the task or the worker.
    """

    promise: str
    detail: str


class Evidence:
    """What callers know and what the executors ran."""

    def __init__(
        self,
        *,
        runs: Iterable[Run],
        submissions: Iterable[Submission],
        calm_at: Millis,
    ) -> None:
        """Sort the evidence.

        Args:
            runs: of all executors.
            submissions: of all callers, after they had time to end.
            calm_at: when the last fault ended, in ms.
        """
        self._runs = tuple(runs)
        self._calm_at = calm_at
        self._jobs = {one.job_id: one for one in submissions}
        self._by_task: dict[str, list[Run]] = collections.defaultdict(list)
        for run in sorted(self._runs, key=_started_at):
            self._by_task[run.task].append(run)

    def breaches(self) -> list[Breach]:
        """Check all promises.

        Returns:
            Those that were not kept.
        """
        found = [
            *self._unasked(),
            *self._twice(),
            *self._early(),
            *self._over_capacity(),
            *self._after_cancellation(),
        ]
        for submission in self._jobs.values():
            if submission.accepted_at is not None:
                found.extend(self._wrong_state(submission))
        return found

    def _unasked(self) -> Iterator[Breach]:
        for run in self._runs:
            submission = self._jobs.get(run.job_id)
            if submission is None or run.payload != run.job_id:
                yield Breach(promise='unasked', detail=run.task)
            elif submission.refused:
                yield Breach(promise='refused', detail=run.task)

    def _twice(self) -> Iterator[Breach]:
        for task, runs in self._by_task.items():
            for run, later in itertools.combinations(runs, 2):
                if _overlap(run, later):
                    yield Breach(promise='two at once', detail=task)
                elif run.kind == 'done' and run.noted:
                    yield Breach(promise='run after done', detail=task)

    def _early(self) -> Iterator[Breach]:
        """Find tasks that start before the steps before them are done."""
        for task, runs in self._by_task.items():
            submission = self._jobs.get(runs[0].job_id)
            if submission is None:
                continue
            for before in submission.steps[runs[0].step].get('After', ()):
                done_at = self._done_at(submission, before)
                if done_at is None or runs[0].started_at < done_at:
                    yield Breach(promise='before its turn', detail=task)

    def _done_at(self, submission: Submission, step: int) -> int | None:
        """Tell when a step was done; one end of a gang stands for all."""
        shape = submission.steps[step]
        ends = []
        for index in range(shape['Count']):
            name = f'{submission.job_id}.0.{step}.{index}'
            ends.extend(_first_done(self._by_task.get(name, [])))
        if shape.get('Gang'):
            return min(ends, default=None)
        return max(ends) if len(ends) == shape['Count'] else None

    def _over_capacity(self) -> Iterator[Breach]:
        changes: dict[str, list[_Delta]] = collections.defaultdict(list)
        for run in self._runs:
            if run.job_id not in self._jobs:
                continue
            need = self._jobs[run.job_id].steps[run.step]['Cpu']
            changes[run.worker].append((run.started_at, need))
            if run.ended_at is not None:
                changes[run.worker].append((run.ended_at, -need))
        for worker, deltas in changes.items():
            if _highest(deltas) > CAPACITY_MILLIS:
                yield Breach(promise='over capacity', detail=worker)

    def _after_cancellation(self) -> Iterator[Breach]:
        """Find starts of cancelled jobs in the calm."""
        for run in self._runs:
            submission = self._jobs.get(run.job_id)
            if submission is None or submission.cancelled_at is None:
                continue
            limit = max(submission.cancelled_at, self._calm_at) + CANCEL_MS
            if submission.state != 'completed' and run.started_at > limit:
                yield Breach(
                    promise='started after its cancellation', detail=run.task
                )

    def _wrong_state(self, submission: Submission) -> Iterator[Breach]:
        job_id = submission.job_id
        runs = [run for run in self._runs if run.job_id == job_id]
        kinds = collections.Counter(run.kind for run in runs)
        if submission.unknown_for_ms > VISIBLE_MS:
            yield Breach(promise='lost', detail=job_id)
        if not submission.final:
            yield Breach(promise='unfinished', detail=job_id)
        if submission.state == 'failed' and kinds['failed'] < MAX_ATTEMPTS:
            yield Breach(promise='failed for nothing', detail=job_id)
        if submission.state == 'canceled' and not submission.cancel_sent:
            yield Breach(promise='cancelled by nobody', detail=job_id)
        if submission.state == 'completed':
            steps = range(len(submission.steps))
            if any(self._done_at(submission, step) is None for step in steps):
                yield Breach(promise='completed early', detail=job_id)


def _overlap(run: Run, later: Run) -> bool:
    return run.ended_at is None or later.started_at < run.ended_at


def _first_done(runs: list[Run]) -> list[int]:
    """List the first end as done, at most one."""
    ends = [
        run.ended_at
        for run in runs
        if run.kind == 'done' and run.ended_at is not None
    ]
    return [min(ends)] if ends else []


def _highest(deltas: Iterable[_Delta]) -> int:
    used = 0
    highest = 0
    for _, delta in sorted(deltas):
        used += delta
        highest = max(highest, used)
    return highest


def _started_at(run: Run) -> int:
    return run.started_at
