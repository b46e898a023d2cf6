"""Counts the results of workers, and logs when their quarantine changes."""

import eliot

from jayshore.clock import Millis
from jayshore.fleet.metrics import FleetMetrics
from jayshore.placement.health import WorkerHealth


class WorkerResults:
    """Successes and failures of workers, as the leader learns of them."""

    def __init__(self, *, health: WorkerHealth, metrics: FleetMetrics) -> None:
        """Create a counter without results.

        Args:
            health: failure rates of the workers.
            metrics: counts the changes.
        """
        self._health = health
        self._metrics = metrics

    def note_success(self, worker_id: str) -> None:
        """Count a run that ended done.

        Args:
            worker_id: the worker.
        """
        was_quarantined = self._health.is_quarantined(worker_id)
        quarantined = self._health.record_success(worker_id)
        if was_quarantined and not quarantined:
            self._metrics.count_quarantine('ended')
            eliot.log_message('worker:quarantine_ended', worker=worker_id)

    def note_failure(self, worker_id: str, job_id: str, now: Millis) -> None:
        """Count a run that failed, or that was far too slow.

        Args:
            worker_id: the worker.
            job_id: job of the run.
            now: time on the local clock, in ms.
        """
        was_quarantined = self._health.is_quarantined(worker_id)
        quarantined = self._health.record_failure(worker_id, job_id, now)
        if quarantined and not was_quarantined:
            self._metrics.count_quarantine('begun')
            eliot.log_message(
                'worker:quarantined', worker=worker_id, job=job_id
            )
