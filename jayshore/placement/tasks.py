"""What placement knows of workers and tasks.

Everything in this package is a function of these records, of the time that is
passed in and of a random source that is passed in; nothing here does I/O.
"""

import dataclasses
import enum

from jayshore.clock import Millis
from jayshore.resources import NOTHING, Resources


class WorkerState(enum.StrEnum):
    """Whether a worker may get new tasks."""

    USABLE = 'usable'
    LEAVING = 'leaving'
    QUARANTINED = 'quarantined'


class TaskKind(enum.StrEnum):
    """The workload, which selects the placement policy."""

    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'
    PREVIEW = 'preview'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class TaskId:
    """A task of a job.

    Attributes:
        job_id: the id under which the job is recorded.
        index: the number of the task within the job, from 0.
    """

    job_id: str
    index: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerView:
    """A worker as its lease last showed it.

    Attributes:
        worker_id: the id in the instance list.
        rack: the rack it stands in.
        failure_domain: the failure domain of the rack.
        capacity: all that it can run.
        boot_id: changes with every restart of the worker.
        state: whether it may get new tasks.
        free: capacity less what is reserved; the cell keeps it, and ignores
            the value given to `add_worker`.
    """

    worker_id: str
    rack: str
    failure_domain: str
    capacity: Resources
    boot_id: str = ''
    state: WorkerState = WorkerState.USABLE
    free: Resources = NOTHING


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingTask:
    """A task that waits for a worker.

    Attributes:
        task_id: the job and the number of the task within it; all tasks of a
            gang have the same job id.
        team: the team that it is accounted to.
        queue: the team's queue, the unit of size and run-time estimates.
        kind: the workload.
        urgent: whether it may use the reserved lane.
        demand: what is reserved for it on a worker.
        declared_run_ms: the run time its submitter gave, None when endless.
        estimated_run_ms: the corrected run time, None when endless.
        deadline: when it must have finished, on the caller's clock.
        enqueued_at: when the job was accepted, on the caller's clock.
        idempotent: whether a second start does no harm.
        preemptible: whether it may be stopped for another team's work.
        gang_size: how many tasks start together; 1 unless `kind` is a gang.
        allowed_workers: the only workers it may start on, or None for all.
        avoided_workers: workers it must not start on.
    """

    task_id: TaskId
    team: str
    queue: str = ''
    kind: TaskKind
    demand: Resources
    enqueued_at: Millis
    urgent: bool = False
    declared_run_ms: Millis | None = None
    estimated_run_ms: Millis | None = None
    deadline: Millis | None = None
    idempotent: bool = False
    preemptible: bool = False
    gang_size: int = 1
    allowed_workers: frozenset[str] | None = None
    avoided_workers: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacedTask:
    """A task for which room is taken on a worker.

    Attributes:
        task: the task as it was waiting.
        worker_id: where it runs.
        started_at: when its start was decided, on the caller's clock.
        usage: the highest of its reported usage that still counts.
        stopping: whether it is being preempted.
    """

    task: PendingTask
    worker_id: str
    started_at: Millis
    usage: Resources = NOTHING
    stopping: bool = False

    @property
    def ends_at(self) -> Millis | None:
        """When it is expected to end, None when endless."""
        if self.task.estimated_run_ms is None:
            return None
        return Millis(self.started_at + self.task.estimated_run_ms)

    @property
    def charge(self) -> Resources:
        """What it takes on its worker: the larger of grant and usage."""
        return component_max(self.task.demand, self.usage)


def component_max(left: Resources, right: Resources) -> Resources:
    """Take the larger of each component.

    Args:
        left: an amount.
        right: another amount.

    Returns:
        The componentwise maximum.
    """
    if right is NOTHING:
        return left
    return Resources(
        cpu_millis=max(left.cpu_millis, right.cpu_millis),
        memory_mb=max(left.memory_mb, right.memory_mb),
        accelerators=max(left.accelerators, right.accelerators),
        requests=max(left.requests, right.requests),
    )


def component_min(left: Resources, right: Resources) -> Resources:
    """Take the smaller of each component.

    Args:
        left: an amount.
        right: another amount.

    Returns:
        The componentwise minimum.
    """
    return Resources(
        cpu_millis=min(left.cpu_millis, right.cpu_millis),
        memory_mb=min(left.memory_mb, right.memory_mb),
        accelerators=min(left.accelerators, right.accelerators),
        requests=min(left.requests, right.requests),
    )
