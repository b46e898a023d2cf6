"""Learns the speeds of workers from reports, and finds runs to be stopped."""

from collections.abc import Mapping

import eliot

from jayshore.clock import Millis
from jayshore.fleet.interfaces import RunningTask
from jayshore.fleet.jobtable import TaskEntry
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import format_task_id
from jayshore.fleet.phases import Phase
from jayshore.fleet.progress import EndedRun, Pace, ProgressSample
from jayshore.fleet.sessions import WorkerSession
from jayshore.fleet.speeds import Advance, Verdict, WorkerSpeeds
from jayshore.placement.durations import (
    CAUTIOUS_PERCENT,
    TYPICAL_PERCENT,
    DurationRatios,
)

_DIGITS = 2


class PaceMonitor:
    """Judges the runs of the workers of one leader."""

    def __init__(self, *, metrics: FleetMetrics) -> None:
        """Create a monitor that knows no speeds.

        Args:
            metrics: counts the verdicts, and shows the speeds.
        """
        self._speeds = WorkerSpeeds()
        self._durations = DurationRatios()
        self._metrics = metrics

    @property
    def speeds(self) -> WorkerSpeeds:
        """Speeds of the workers."""
        return self._speeds

    @property
    def durations(self) -> DurationRatios:
        """Ratios of real to estimated durations, by workspace and queue."""
        return self._durations

    def publish(self) -> None:
        """Show the speeds of the workers in the metrics."""
        self._metrics.note_speeds(self._speeds.range())

    def close(self) -> None:
        """Remove the speeds from the metrics, as another leader learns them."""
        self._metrics.note_speeds(None)

    def forget(self, worker_id: str) -> None:
        """Forget the speed of a worker that is gone.

        Args:
            worker_id: the worker.
        """
        self._speeds.forget(worker_id)

    def note_end(
        self, session: WorkerSession, task: TaskEntry, now: Millis
    ) -> None:
        """Learn from a run that ended done.

        Args:
            session: session of its worker.
            task: the task, as it was before the end.
            now: arrival of the report on the local clock, in ms.
        """
        if task.group.spec.long_running:
            return
        ended = self._measure_end(session, task, now)
        if ended is None:
            return
        self._note_duration(task, ended.duration_ms)
        worker_id = session.entry.worker_id
        self._speeds.begin(worker_id, session.born_ms)
        self._speeds.note_progress(worker_id, ended.last, now)
        self._speeds.note_end(worker_id, ended.whole)

    def find_slow(
        self,
        session: WorkerSession,
        reported: Mapping[TaskEntry, RunningTask],
        now: Millis,
    ) -> list[TaskEntry]:
        """Find runs that are stalled, or slow for their worker.

        Args:
            session: session of the worker.
            reported: the active runs that it lists.
            now: arrival of the report on the local clock, in ms.

        Returns:
            Tasks whose runs should be stopped, to run elsewhere.
        """
        samples = {
            task: self._sample(task, running.percent)
            for task, running in reported.items()
            if task.phase is Phase.RUNNING and not task.group.spec.long_running
        }
        advances = session.progress.update(samples.values(), now)
        worker = self._judge_worker(session, advances, now)
        by_id = {task.task_id: task for task in samples}
        found = []
        for name, pace in session.progress.judge(now, worker):
            task = by_id[name]
            self._note_verdict(task, pace, samples[task].percent)
            if pace is not Pace.LONG:
                found.append(task)
        return found

    def _judge_worker(
        self, session: WorkerSession, advances: list[Advance], now: Millis
    ) -> Verdict:
        worker_id = session.entry.worker_id
        self._speeds.begin(worker_id, session.born_ms)
        for advance in advances:
            self._speeds.note_progress(worker_id, advance, now)
        verdict = self._speeds.judge(worker_id, now)
        if verdict.changed:
            eliot.log_message(
                'worker:speed',
                worker=worker_id,
                slow=verdict.slow,
                speed=round(verdict.speed, _DIGITS),
                runs=verdict.runs,
            )
        return verdict

    def _note_verdict(self, task: TaskEntry, pace: Pace, percent: int) -> None:
        if pace is not Pace.STALLED:
            self._metrics.count_slow_run(
                'kept' if pace is Pace.LONG else 'moved'
            )
        eliot.log_message(
            'task:long' if pace is Pace.LONG else 'task:slow',
            task=format_task_id(task.task_id),
            run=task.run,
            worker=task.worker,
            pace=pace.value,
            percent=percent,
        )

    def _expected_ms(self, task: TaskEntry, percent: int) -> Millis:
        job = task.group.job.job
        return self._durations.expected_ms(
            job.workspace,
            job.queue.name,
            task.group.spec.estimate_ms,
            percent=percent,
        )

    def _note_duration(self, task: TaskEntry, duration_ms: Millis) -> None:
        """Note a duration; the members of a gang count as one task."""
        if task.group.spec.gang and task.task_id.position:
            return
        job = task.group.job.job
        self._durations.observe(
            job.workspace,
            job.queue.name,
            stated_ms=task.group.spec.estimate_ms,
            real_ms=duration_ms,
        )

    def _sample(self, task: TaskEntry, percent: int) -> ProgressSample:
        return ProgressSample(
            task=task.task_id,
            run=task.run,
            percent=percent,
            estimate_ms=self._expected_ms(task, TYPICAL_PERCENT),
            gang=task.group.spec.gang,
            moves=task.moves,
            cautious_ms=self._expected_ms(task, CAUTIOUS_PERCENT),
        )

    def _measure_end(
        self, session: WorkerSession, task: TaskEntry, now: Millis
    ) -> EndedRun | None:
        """Measure a run, also one that was never listed as active."""
        progress = session.progress
        ended = progress.end(task.task_id, task.run, now)
        if ended is not None:
            return ended
        started_at = task.acknowledged_at
        if (
            started_at is None
            or task.ordered_at is None
            or task.checkpoint
            or progress.was_silent(now)
        ):
            # Its begin or end is not known, or it resumed an earlier run.
            return None
        whole = Advance(
            task=task.task_id,
            run=task.run,
            work_ms=self._expected_ms(task, TYPICAL_PERCENT),
            took_ms=Millis(max(1, now - started_at)),
            gang=task.group.spec.gang,
        )
        return EndedRun(last=whole, whole=whole, duration_ms=whole.took_ms)
