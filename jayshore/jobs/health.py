"""Takes workers that fail what they start out of use, and tries them again."""

from collections.abc import Collection

from jayshore.clock import Clock
from jayshore.placement.cell import Cell
from jayshore.placement.health import WorkerHealth, choose_probe_task
from jayshore.placement.tasks import PendingTask, WorkerState, WorkerView


class WorkerHealthMonitor:
    """Keeps the state of workers in the cell in line with the evidence."""

    def __init__(
        self, *, cell: Cell, health: WorkerHealth, clock: Clock
    ) -> None:
        """Start without evidence.

        Args:
            cell: in which quarantined workers get no ordinary work.
            health: the evidence.
            clock: time of probes.
        """
        self._cell = cell
        self._health = health
        self._clock = clock
        self._usable: set[str] = set()

    def opened(
        self, worker_id: str, *, is_new_boot: bool, is_leaving: bool
    ) -> None:
        """Note that a worker's lease was opened.

        Args:
            worker_id: the worker.
            is_new_boot: whether it has restarted, which voids the evidence.
            is_leaving: whether it is to get no new work.
        """
        if is_new_boot:
            self._health.forget(worker_id)
        self._rate(worker_id)
        if is_leaving:
            self._set(worker_id, WorkerState.LEAVING)
        elif self._health.is_quarantined(worker_id):
            self._set(worker_id, WorkerState.QUARANTINED)
        else:
            self._set(worker_id, WorkerState.USABLE)

    def lost(self, worker_id: str) -> None:
        """Give a worker no work until its lease is opened again.

        Args:
            worker_id: the worker.
        """
        self._set(worker_id, WorkerState.QUARANTINED)

    def leaving(self, worker_id: str) -> None:
        """Give a worker no new work.

        Args:
            worker_id: the worker.
        """
        self._set(worker_id, WorkerState.LEAVING)

    def succeeded(self, worker_id: str) -> None:
        """Take in a task that a worker ran to its end.

        Args:
            worker_id: the worker.
        """
        was_quarantined = self._health.is_quarantined(worker_id)
        if was_quarantined and not self._health.record_success(worker_id):
            self._set(worker_id, WorkerState.USABLE)
        elif not was_quarantined:
            self._health.record_success(worker_id)
        self._rate(worker_id)

    def failed(self, worker_id: str, job_id: str) -> bool:
        """Take in a task that failed.

        Args:
            worker_id: where it ran.
            job_id: its job.

        Returns:
            Whether the failure uses up a retry of the job.
        """
        quarantined = self._health.record_failure(
            worker_id, job_id, self._clock.now()
        )
        if quarantined and worker_id in self._usable:
            self._set(worker_id, WorkerState.QUARANTINED)
        self._rate(worker_id)
        return self._health.counts_against_job(worker_id)

    def choose_probe(
        self, view: WorkerView, waiting: Collection[PendingTask]
    ) -> PendingTask | None:
        """Choose a task with which to try a quarantined worker.

        Args:
            view: the worker, whose lease is open.
            waiting: waiting tasks that may run on it.

        Returns:
            A task when a probe is due and a harmless one waits.
        """
        if not self._health.is_quarantined(view.worker_id):
            return None
        probe = choose_probe_task(waiting)
        if probe is None or not self._health.claim_probe(
            view.worker_id, self._clock.now()
        ):
            return None
        return probe

    def is_quarantined(self, worker_id: str) -> bool:
        """Tell whether the evidence speaks against a worker.

        Args:
            worker_id: the worker.

        Returns:
            True while it gets probes only.
        """
        return self._health.is_quarantined(worker_id)

    def _rate(self, worker_id: str) -> None:
        failed = self._health.scaled_failure_rate(worker_id)
        self._cell.set_worker_failures(worker_id, failed)

    def _set(self, worker_id: str, state: WorkerState) -> None:
        if state is WorkerState.USABLE:
            self._usable.add(worker_id)
        else:
            self._usable.discard(worker_id)
        self._cell.set_worker_state(worker_id, state)
