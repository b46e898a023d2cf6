"""Periodic work of the leader on all of its jobs."""

from collections.abc import Container
from typing import Final

import curio

from jayshore.clock import Clock, Millis
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.losses import LossTracker
from jayshore.fleet.phases import Phase
from jayshore.fleet.progresswriter import ProgressWriter

_JOB_RETENTION_MS: Final = Millis(180_000)
_MAX_WAITING_TASKS: Final = 10_000
"""Waiting tasks of one job from which no further occurrence is added.

A job whose occurrences fall due faster than they run would take up the memory
of the leader.
"""

_JOBS_PER_TURN: Final = 1000
"""Jobs that a sweep looks at before others run, about 2 ms.

Ended jobs are retained, so that there are ten thousand and more.
"""


class Sweeper:
    """Adds due occurrences, drops old jobs and runs of missing workers."""

    def __init__(
        self,
        *,
        job_table: JobTable,
        ledger: Ledger,
        loss_tracker: LossTracker,
        sessions: Container[str],
        progress_writer: ProgressWriter,
        clock: Clock,
        wall_clock: Clock,
        inherited_until: Millis,
    ) -> None:
        """Create a sweeper.

        Args:
            job_table: the jobs.
            ledger: resources in use.
            loss_tracker: handles the runs of workers that are not listed.
            sessions: ids of the workers that have a session.
            progress_writer: removes the records of old jobs.
            clock: local clock.
            wall_clock: time of day, for due times.
            inherited_until: when all leases of former leaders have expired, on
                the local clock.
        """
        self._job_table = job_table
        self._ledger = ledger
        self._loss_tracker = loss_tracker
        self._sessions = sessions
        self._progress_writer = progress_writer
        self._clock = clock
        self._wall_clock = wall_clock
        self._inherited_until = inherited_until

    async def sweep(self) -> None:
        """Look at all jobs once, and let others run in between."""
        now = self._clock.now()
        wall_ms = self._wall_clock.now()
        for number, entry in enumerate(tuple(self._job_table.jobs.values())):
            if number % _JOBS_PER_TURN == 0:
                await curio.sleep(0)
            self._sweep_job(entry, now, wall_ms)
        if now >= self._inherited_until:
            for worker_id in self._ledger.workers():
                if worker_id not in self._sessions:
                    await self._loss_tracker.handle_unlisted(worker_id)

    def _sweep_job(self, entry: JobEntry, now: Millis, wall_ms: int) -> None:
        entry.forget_finished(self._ledger.holds)
        if entry.ended_at is not None:
            if now - entry.ended_at > _JOB_RETENTION_MS:
                self._job_table.jobs.pop(entry.job.job_id)
                self._progress_writer.forget(entry)
        elif entry.is_due(wall_ms) and not _is_behind(entry):
            entry.add_occurrence()


def _is_behind(entry: JobEntry) -> bool:
    """Return whether a job has so much to start that more can wait."""
    waiting = sum(
        task.phase is Phase.WAITING
        for group in entry.unfinished()
        for task in group.tasks
    )
    return waiting >= _MAX_WAITING_TASKS
