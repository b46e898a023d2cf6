"""Publishes with each sweep of the leader what instances refuse."""

from collections.abc import Callable, Iterable

import eliot

from jayshore.clock import Millis
from jayshore.fleet.backlog import BacklogMeter
from jayshore.fleet.jobtable import JobTable
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import FleetConfig
from jayshore.fleet.overload import OverloadMonitor
from jayshore.fleet.refusals import FULL_KEY, encode_notice
from jayshore.fleet.sessions import WorkerSession
from jayshore.store.journal import Journal


class RefusalPublisher:
    """Plans the waiting jobs and publishes what is refused."""

    def __init__(
        self,
        *,
        job_table: JobTable,
        ledger: Ledger,
        journal: Journal,
        metrics: FleetMetrics,
        confirmed_at: Callable[[], Millis],
    ) -> None:
        """Create a publisher that publishes with its first sweep.

        Args:
            job_table: the jobs.
            ledger: resources in use.
            journal: makes the notice durable.
            metrics: metrics of this instance.
            confirmed_at: returns when the store last confirmed the leadership.
        """
        self._job_table = job_table
        self._journal = journal
        self._confirmed_at = confirmed_at
        self._backlog = BacklogMeter()
        self._overload = OverloadMonitor(ledger=ledger, metrics=metrics)

    def sweep(
        self,
        sessions: Iterable[WorkerSession],
        config: FleetConfig,
        now: Millis,
    ) -> None:
        """Set the standings of the waiting jobs, and publish what has changed.

        Args:
            sessions: sessions of all workers that are not evacuated.
            config: the configuration in force.
            now: time on the leader's clock, in ms.
        """
        active = self._job_table.active()
        refusals = self._overload.update(
            active,
            workers=[session.entry for session in sessions if session.usable],
            config=config,
            confirmed_at=self._confirmed_at(),
            now=now,
        )
        former = self._backlog.notice.workspaces
        if not self._backlog.update(active, refusals, now):
            return
        notice = self._backlog.notice
        if notice.workspaces != former:
            eliot.log_message(
                'backlog:full', workspaces=list(notice.workspaces)
            )
        self._journal.write(
            FULL_KEY, lambda: encode_notice(self._backlog.notice)
        )
