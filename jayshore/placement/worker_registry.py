"""The workers of a cell with their allocations and running tasks."""

import collections
import dataclasses
from collections.abc import Iterator, Mapping

from sortedcontainers import SortedDict

from jayshore.placement.allocations import WorkerAllocation
from jayshore.placement.decisions import (
    DuplicateError,
    UnknownTaskError,
    UnknownWorkerError,
)
from jayshore.placement.free_capacity_index import FreeCapacityIndex
from jayshore.placement.spreading import topology_keys
from jayshore.placement.tasks import (
    PendingTask,
    PlacedTask,
    TaskId,
    TaskKind,
    WorkerState,
    WorkerView,
)
from jayshore.placement.urgent_reserve import UrgentReserve
from jayshore.resources import NOTHING, Resources


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerRecord:
    """One worker of the cell.

    Attributes:
        view: the worker; its `free` is not kept up to date here.
        allocation: its used and free resources.
        tasks: the tasks that run on it.
    """

    view: WorkerView
    allocation: WorkerAllocation
    tasks: dict[TaskId, PlacedTask]

    @property
    def is_usable(self) -> bool:
        """Whether it may get new tasks."""
        return self.view.state is WorkerState.USABLE


class WorkerRegistry:
    """The workers, their running tasks, and the indexes over them."""

    def __init__(self) -> None:
        """Create a registry without workers."""
        self.capacity = NOTHING
        self.records: dict[str, WorkerRecord] = {}
        self.failures: dict[str, int] = {}
        self._running: dict[TaskId, PlacedTask] = {}
        self._gained: set[str] = set()
        self._ending: SortedDict = SortedDict()
        self._replicas: dict[str, collections.Counter[str]] = {}
        self._urgent_index = FreeCapacityIndex()
        self._ordinary_index = FreeCapacityIndex()

    def add_worker(self, view: WorkerView) -> None:
        """Add a worker.

        Args:
            view: the worker.

        Raises:
            DuplicateError: the worker is already in the cell.
        """
        if view.worker_id in self.records:
            raise DuplicateError(
                f'worker {view.worker_id} is already in the cell'
            )
        urgent_reserve = UrgentReserve().evaluate(view.capacity)
        allocation = WorkerAllocation(
            capacity=view.capacity, urgent_reserve=urgent_reserve
        )
        self.records[view.worker_id] = WorkerRecord(
            view=view, allocation=allocation, tasks={}
        )
        self.capacity += view.capacity
        self._reindex(view.worker_id)

    def remove_worker(self, worker_id: str) -> tuple[PlacedTask, ...]:
        """Remove a worker and its running tasks.

        Args:
            worker_id: the worker.

        Returns:
            The tasks that ran on it.
        """
        record = self.find_worker(worker_id)
        lost = tuple(
            self.remove_task(task_id) for task_id in tuple(record.tasks)
        )
        self.records.pop(worker_id)
        self.failures.pop(worker_id, None)
        self.capacity -= record.view.capacity
        self._reindex(worker_id)
        return lost

    def set_state(self, worker_id: str, state: WorkerState) -> None:
        """Change whether a worker may get new tasks.

        Args:
            worker_id: the worker.
            state: its new state.
        """
        record = self.find_worker(worker_id)
        record.view = dataclasses.replace(record.view, state=state)
        self._reindex(worker_id)

    def update_failures(self, worker_id: str, failures: int) -> None:
        """Replace the failure rate of a worker.

        Args:
            worker_id: the worker; an unknown worker is ignored.
            failures: failure rate of its latest tasks, in 32nds.
        """
        if failures and worker_id in self.records:
            self.failures[worker_id] = failures
        else:
            self.failures.pop(worker_id, None)

    def find_worker(self, worker_id: str) -> WorkerRecord:
        """Find a worker.

        Args:
            worker_id: the worker.

        Returns:
            Its record.

        Raises:
            UnknownWorkerError: the worker is not in the cell.
        """
        found = self.records.get(worker_id)
        if found is None:
            raise UnknownWorkerError(f'worker {worker_id} is not in the cell')
        return found

    def find_task(self, task_id: TaskId) -> PlacedTask:
        """Find a running task.

        Args:
            task_id: the task.

        Returns:
            The running task.

        Raises:
            UnknownTaskError: the task is not running.
        """
        found = self._running.get(task_id)
        if found is None:
            raise UnknownTaskError(f'task {task_id} is not running')
        return found

    def add_task(self, running: PlacedTask) -> None:
        """Add a running task and charge it to its worker.

        Args:
            running: the task.

        Raises:
            DuplicateError: the task is already running.
        """
        task_id = running.task.task_id
        if task_id in self._running:
            raise DuplicateError(f'task {task_id} is already running')
        record = self.find_worker(running.worker_id)
        self._running[task_id] = running
        record.tasks[task_id] = running
        record.allocation = record.allocation.with_charge(
            running.task, running.charge
        )
        if running.ends_at is not None:
            self._ending[_end_key(running)] = running
        self._count_replica(running, 1)
        self._reindex(running.worker_id, gained=False)

    def remove_task(self, task_id: TaskId) -> PlacedTask:
        """Remove a running task and credit its worker.

        Args:
            task_id: the task.

        Returns:
            The removed task.
        """
        running = self.find_task(task_id)
        self._running.pop(task_id)
        record = self.records[running.worker_id]
        record.tasks.pop(task_id)
        record.allocation = record.allocation.without_charge(
            running.task, running.charge
        )
        self._ending.pop(_end_key(running), None)
        self._count_replica(running, -1)
        self._reindex(running.worker_id)
        return running

    def free_index(self, *, uses_reserve: bool) -> FreeCapacityIndex:
        """Select the index of usable workers for a class of work.

        Args:
            uses_reserve: whether the work may use the urgent reserve.

        Returns:
            The index by the capacity that is free for this class.
        """
        return self._urgent_index if uses_reserve else self._ordinary_index

    def replica_counts(self, job_id: str) -> Mapping[str, int]:
        """Count the running service tasks of a job per topology key.

        Args:
            job_id: the job.

        Returns:
            Counts by the keys of `topology_keys`; absent keys count as 0.
        """
        return self._replicas.get(job_id, collections.Counter())

    def ending(self) -> Iterator[PlacedTask]:
        """List the running tasks that have an expected end.

        Returns:
            The tasks in the order of their expected ends.
        """
        return iter(self._ending.values())

    def pop_gained(self) -> set[str]:
        """Return and clear the workers whose free capacity may have grown.

        Returns:
            Worker ids recorded since the last call.
        """
        gained = self._gained
        self._gained = set()
        return gained

    def _count_replica(self, running: PlacedTask, step: int) -> None:
        if running.task.kind is not TaskKind.SERVICE:
            return
        job_id = running.task.task_id.job_id
        replica_counts = self._replicas.setdefault(
            job_id, collections.Counter()
        )
        for key in topology_keys(self.records[running.worker_id].view):
            replica_counts[key] += step
        if not any(replica_counts.values()):
            self._replicas.pop(job_id)

    def _reindex(self, worker_id: str, *, gained: bool = True) -> None:
        record = self.records.get(worker_id)
        if record is None or not record.is_usable:
            self._urgent_index.discard(worker_id)
            self._ordinary_index.discard(worker_id)
            return
        self._urgent_index.put(worker_id, record.allocation.free)
        self._ordinary_index.put(worker_id, record.allocation.ordinary_free)
        if gained:
            self._gained.add(worker_id)


def is_eligible(record: WorkerRecord, task: PendingTask) -> bool:
    """Return whether a task may start on a worker that has enough capacity.

    Args:
        record: the worker.
        task: the waiting task.

    Returns:
        True when the worker is usable, and the task allows and does not
        avoid it.
    """
    worker_id = record.view.worker_id
    allowed = task.allowed_workers
    return (
        record.is_usable
        and worker_id not in task.avoided_workers
        and (allowed is None or worker_id in allowed)
    )


def is_usable(records: Mapping[str, WorkerRecord], worker_id: str) -> bool:
    """Return whether a worker may get new tasks.

    Args:
        records: the workers of the cell by id.
        worker_id: the worker.

    Returns:
        True when it is in the cell and usable.
    """
    record = records.get(worker_id)
    return record is not None and record.is_usable


def eligible_allocations(
    records: Mapping[str, WorkerRecord], task: PendingTask
) -> dict[str, WorkerAllocation]:
    """Collect the allocations of the workers on which a task may start.

    Args:
        records: the workers of the cell by id.
        task: the waiting task.

    Returns:
        Allocations by worker id, whether or not the task fits now.
    """
    return {
        worker_id: record.allocation
        for worker_id, record in records.items()
        if is_eligible(record, task)
    }


def projected_capacity(
    record: WorkerRecord, *, uses_reserve: bool, at: int
) -> Resources:
    """Predict the free capacity of a worker at a later time.

    Args:
        record: the worker.
        uses_reserve: whether the work may use the urgent reserve.
        at: the time in ms.

    Returns:
        What is free for the class of work once all tasks have ended that are
        being stopped or are expected to end by then.
    """
    allocation = record.allocation
    for running in record.tasks.values():
        ends_at = running.ends_at
        if running.stopping or (ends_at is not None and ends_at <= at):
            allocation = allocation.without_charge(running.task, running.charge)
    return allocation.available_for(uses_reserve=uses_reserve)


def _end_key(running: PlacedTask) -> tuple[int, str, int]:
    task_id = running.task.task_id
    return (running.ends_at or 0, task_id.job_id, task_id.index)
