"""The workers of a cell with their accounts and running tasks."""

import collections
import dataclasses
from collections.abc import Iterator, Mapping

from sortedcontainers import SortedDict

from jayshore.placement.allocations import Load
from jayshore.placement.decisions import (
    DuplicateError,
    UnknownTaskError,
    UnknownWorkerError,
)
from jayshore.placement.free_capacity_index import RoomIndex
from jayshore.placement.spreading import places_of
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
class Member:
    """One worker of the cell.

    Attributes:
        view: the worker; its `free` is not kept here.
        load: its accounts.
        tasks: what runs on it.
    """

    view: WorkerView
    load: Load
    tasks: dict[TaskId, PlacedTask]

    @property
    def is_usable(self) -> bool:
        """Whether it may get new tasks."""
        return self.view.state is WorkerState.USABLE


class Roster:
    """Workers, their accounts, and the indexes over them."""

    def __init__(self) -> None:
        """Start empty."""
        self.capacity = NOTHING
        self.members: dict[str, Member] = {}
        self.failures: dict[str, int] = {}
        self._running: dict[TaskId, PlacedTask] = {}
        self._gained: set[str] = set()
        self._ending: SortedDict = SortedDict()
        self._peers: dict[str, collections.Counter[str]] = {}
        self._lane_rooms = RoomIndex()
        self._ordinary_rooms = RoomIndex()

    def add_worker(self, view: WorkerView) -> None:
        """Add a worker.

        Args:
            view: the worker.

        Raises:
            DuplicateError: the cell has it already.
        """
        if view.worker_id in self.members:
            raise DuplicateError(f'worker {view.worker_id} is in the cell')
        lane = UrgentReserve().evaluate(view.capacity)
        load = Load(capacity=view.capacity, lane=lane)
        self.members[view.worker_id] = Member(view=view, load=load, tasks={})
        self.capacity += view.capacity
        self._reindex(view.worker_id)

    def remove_worker(self, worker_id: str) -> tuple[PlacedTask, ...]:
        """Remove a worker.

        Args:
            worker_id: the worker.

        Returns:
            The tasks that ran on it.
        """
        member = self.member(worker_id)
        lost = tuple(self.release(task_id) for task_id in tuple(member.tasks))
        self.members.pop(worker_id)
        self.failures.pop(worker_id, None)
        self.capacity -= member.view.capacity
        self._reindex(worker_id)
        return lost

    def set_state(self, worker_id: str, state: WorkerState) -> None:
        """Change whether a worker may get new tasks.

        Args:
            worker_id: the worker.
            state: its new state.
        """
        member = self.member(worker_id)
        member.view = dataclasses.replace(member.view, state=state)
        self._reindex(worker_id)

    def note_failures(self, worker_id: str, failures: int) -> None:
        """Replace the evidence of failures on a worker.

        Args:
            worker_id: the worker; one that is not there is passed over.
            failures: failed part of its last tasks, in 32nds.
        """
        if failures and worker_id in self.members:
            self.failures[worker_id] = failures
        else:
            self.failures.pop(worker_id, None)

    def member(self, worker_id: str) -> Member:
        """Find a worker.

        Args:
            worker_id: the worker.

        Returns:
            Its record.

        Raises:
            UnknownWorkerError: the cell does not have it.
        """
        found = self.members.get(worker_id)
        if found is None:
            raise UnknownWorkerError(f'worker {worker_id} is not in the cell')
        return found

    def running(self, task_id: TaskId) -> PlacedTask:
        """Find a running task.

        Args:
            task_id: the task.

        Returns:
            The task.

        Raises:
            UnknownTaskError: it does not run.
        """
        found = self._running.get(task_id)
        if found is None:
            raise UnknownTaskError(f'task {task_id} does not run')
        return found

    def take(self, running: PlacedTask) -> None:
        """Charge a task to its worker.

        Args:
            running: the task.

        Raises:
            DuplicateError: the task runs already.
        """
        task_id = running.task.task_id
        if task_id in self._running:
            raise DuplicateError(f'task {task_id} runs already')
        member = self.member(running.worker_id)
        self._running[task_id] = running
        member.tasks[task_id] = running
        member.load = member.load.with_charge(running.task, running.charge)
        if running.ends_at is not None:
            self._ending[_end_key(running)] = running
        self._count_peers(running, 1)
        self._reindex(running.worker_id, gained=False)

    def release(self, task_id: TaskId) -> PlacedTask:
        """Remove a task from its worker.

        Args:
            task_id: the task.

        Returns:
            The task.
        """
        running = self.running(task_id)
        self._running.pop(task_id)
        member = self.members[running.worker_id]
        member.tasks.pop(task_id)
        member.load = member.load.without_charge(running.task, running.charge)
        self._ending.pop(_end_key(running), None)
        self._count_peers(running, -1)
        self._reindex(running.worker_id)
        return running

    def rooms(self, *, in_lane: bool) -> RoomIndex:
        """Select an index.

        Args:
            in_lane: whether the work may use the reserved lane.

        Returns:
            The index of the usable workers.
        """
        return self._lane_rooms if in_lane else self._ordinary_rooms

    def peers(self, job_id: str) -> Mapping[str, int]:
        """Count the running service tasks of a job per place.

        Args:
            job_id: the job.

        Returns:
            Counts by the names of `places_of`; absent means 0.
        """
        return self._peers.get(job_id, collections.Counter())

    def ending(self) -> Iterator[PlacedTask]:
        """List the running tasks that have an expected end.

        Returns:
            The tasks in the order of their ends.
        """
        return iter(self._ending.values())

    def drain_gained(self) -> set[str]:
        """Collect the workers whose room may have grown.

        Returns:
            Worker ids since the last call.
        """
        gained = self._gained
        self._gained = set()
        return gained

    def _count_peers(self, running: PlacedTask, step: int) -> None:
        if running.task.kind is not TaskKind.SERVICE:
            return
        job_id = running.task.task_id.job_id
        peers = self._peers.setdefault(job_id, collections.Counter())
        for place in places_of(self.members[running.worker_id].view):
            peers[place] += step
        if not any(peers.values()):
            self._peers.pop(job_id)

    def _reindex(self, worker_id: str, *, gained: bool = True) -> None:
        member = self.members.get(worker_id)
        if member is None or not member.is_usable:
            self._lane_rooms.discard(worker_id)
            self._ordinary_rooms.discard(worker_id)
            return
        self._lane_rooms.put(worker_id, member.load.free)
        self._ordinary_rooms.put(worker_id, member.load.ordinary_room)
        if gained:
            self._gained.add(worker_id)


def is_open(member: Member, task: PendingTask) -> bool:
    """Tell whether a task may start on a worker if there is room.

    Args:
        member: the worker.
        task: the waiting task.

    Returns:
        True when the worker is usable, allowed and not avoided.
    """
    worker_id = member.view.worker_id
    allowed = task.allowed_workers
    return (
        member.is_usable
        and worker_id not in task.avoided_workers
        and (allowed is None or worker_id in allowed)
    )


def is_usable(members: Mapping[str, Member], worker_id: str) -> bool:
    """Tell whether a worker may get new tasks.

    Args:
        members: the workers of the cell.
        worker_id: the worker.

    Returns:
        True when it is in the cell and usable.
    """
    member = members.get(worker_id)
    return member is not None and member.is_usable


def open_loads(
    members: Mapping[str, Member], task: PendingTask
) -> dict[str, Load]:
    """Collect the accounts of the workers on which a task may start.

    Args:
        members: the workers of the cell.
        task: the waiting task.

    Returns:
        The accounts by worker id, whether or not there is room.
    """
    return {
        worker_id: member.load
        for worker_id, member in members.items()
        if is_open(member, task)
    }


def projected_room(member: Member, *, in_lane: bool, at: int) -> Resources:
    """Predict the room of a worker once tasks have ended.

    Args:
        member: the worker.
        in_lane: whether the work may use the reserved lane.
        at: the instant in ms.

    Returns:
        The room when all tasks that are being stopped or are expected to end
        by then are gone.
    """
    load = member.load
    for running in member.tasks.values():
        ends_at = running.ends_at
        if running.stopping or (ends_at is not None and ends_at <= at):
            load = load.without_charge(running.task, running.charge)
    return load.room_of(in_lane=in_lane)


def _end_key(running: PlacedTask) -> tuple[int, str, int]:
    task_id = running.task.task_id
    return (running.ends_at or 0, task_id.job_id, task_id.index)
