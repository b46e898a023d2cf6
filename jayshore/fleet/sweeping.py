"""Periodic work of the leader on all of its jobs."""

from collections.abc import Container
from typing import Final

import curio

from jayshore.clock import Clock, Millis
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.losses import LossTracker
from jayshore.fleet.records import cancel_key, job_key, progress_key
from jayshore.store.journal import Journal

_JOB_RETENTION_MS: Final = Millis(180_000)
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
        journal: Journal,
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
            journal: takes what is published and removed.
            clock: local clock.
            wall_clock: time of day, for due times.
            inherited_until: when all leases of former leaders have expired, on
                the local clock.
        """
        self._job_table = job_table
        self._ledger = ledger
        self._loss_tracker = loss_tracker
        self._sessions = sessions
        self._journal = journal
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
        if entry.ended_at is not None:
            if now - entry.ended_at > _JOB_RETENTION_MS:
                self._forget(entry)
        elif entry.is_due(wall_ms):
            entry.add_occurrence()

    def _forget(self, entry: JobEntry) -> None:
        job_id = entry.job.job_id
        self._job_table.jobs.pop(job_id)
        for key in (job_key(job_id), progress_key(job_id), cancel_key(job_id)):
            self._journal.write(key, _encode_removal)


def _encode_removal() -> str | None:
    """Encode the removal of a key; the journal deletes a key without value."""
