"""Quarantines workers whose tasks fail, and probes them."""

from collections.abc import Collection

from jayshore.clock import Clock
from jayshore.placement.cell import Cell
from jayshore.placement.health import WorkerHealth, choose_probe_task
from jayshore.placement.tasks import PendingTask, WorkerState, WorkerView


class WorkerHealthMonitor:
    """Sets the state of workers in the cell from their health and leases."""

    def __init__(
        self, *, cell: Cell, health: WorkerHealth, clock: Clock
    ) -> None:
        """Create a monitor without workers.

        Args:
            cell: places tasks; quarantined workers get only probes.
            health: successes and failures of each worker.
            clock: monotonic time.
        """
        self._cell = cell
        self._health = health
        self._clock = clock
        self._usable: set[str] = set()
        self._leaving: set[str] = set()

    def lease_opened(
        self, worker_id: str, *, is_new_boot: bool, is_leaving: bool
    ) -> None:
        """Update a worker whose lease was opened.

        Args:
            worker_id: the worker.
            is_new_boot: whether it is new or was restarted, which resets its
                health.
            is_leaving: whether it is leaving and must get no new tasks.
        """
        if is_new_boot:
            self._health.forget(worker_id)
        self._update_failure_rate(worker_id)
        self._leaving.discard(worker_id)
        if is_leaving:
            self.mark_leaving(worker_id)
        elif self._health.is_quarantined(worker_id):
            self._set_state(worker_id, WorkerState.QUARANTINED)
        else:
            self._set_state(worker_id, WorkerState.USABLE)

    def mark_lost(self, worker_id: str) -> None:
        """Quarantine a worker until its lease is opened again.

        Args:
            worker_id: the worker.
        """
        self._set_state(worker_id, WorkerState.QUARANTINED)

    def mark_leaving(self, worker_id: str) -> None:
        """Place no new tasks on a worker that is leaving.

        Args:
            worker_id: the worker.
        """
        self._leaving.add(worker_id)
        self._set_state(worker_id, WorkerState.LEAVING)

    def record_success(self, worker_id: str) -> None:
        """Record that a task succeeded on a worker.

        Args:
            worker_id: the worker.
        """
        was_quarantined = self._health.is_quarantined(worker_id)
        if was_quarantined and not self._health.record_success(worker_id):
            self._end_quarantine(worker_id)
        elif not was_quarantined:
            self._health.record_success(worker_id)
        self._update_failure_rate(worker_id)

    def record_failure(self, worker_id: str, job_id: str) -> bool:
        """Record that a task failed on a worker.

        Args:
            worker_id: the worker.
            job_id: the job of the task.

        Returns:
            Whether the failure counts against the retry budget of the job.
        """
        quarantined = self._health.record_failure(
            worker_id, job_id, self._clock.now()
        )
        if quarantined and worker_id in self._usable:
            self._set_state(worker_id, WorkerState.QUARANTINED)
        self._update_failure_rate(worker_id)
        return self._health.counts_against_job(worker_id)

    def choose_probe(
        self, view: WorkerView, waiting: Collection[PendingTask]
    ) -> PendingTask | None:
        """Choose a waiting task to probe a quarantined worker with.

        Args:
            view: a worker with an open lease.
            waiting: waiting tasks that may run on it.

        Returns:
            A task if a probe is due and one of the tasks is suitable, else
            None.
        """
        if not self._health.is_quarantined(view.worker_id):
            return None
        probe = choose_probe_task(waiting)
        if probe is None or not self._health.claim_probe(
            view.worker_id, self._clock.now()
        ):
            return None
        return probe

    def release_unprobed(self, worker_id: str) -> None:
        """Use a quarantined worker again when no waiting task can probe it.

        Work that may not run as a probe, such as a gang, would otherwise wait
        for the worker without end.

        Args:
            worker_id: a worker with an open lease.
        """
        if self._health.release_unprobed(worker_id, self._clock.now()):
            self._end_quarantine(worker_id)

    def is_quarantined(self, worker_id: str) -> bool:
        """Check whether a worker is quarantined because of failures.

        Args:
            worker_id: the worker.

        Returns:
            True while it gets only probes.
        """
        return self._health.is_quarantined(worker_id)

    def _end_quarantine(self, worker_id: str) -> None:
        if worker_id not in self._leaving:
            self._set_state(worker_id, WorkerState.USABLE)

    def _update_failure_rate(self, worker_id: str) -> None:
        failure_rate = self._health.scaled_failure_rate(worker_id)
        self._cell.set_worker_failures(worker_id, failure_rate)

    def _set_state(self, worker_id: str, state: WorkerState) -> None:
        if state is WorkerState.USABLE:
            self._usable.add(worker_id)
        else:
            self._usable.discard(worker_id)
        self._cell.set_worker_state(worker_id, state)
