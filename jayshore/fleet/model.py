"""What callers submit, what operators configure, and what workers offer.

These are plain values. The leader, the entry instances and the placement rules
share them; an adapter makes them from whatever a platform speaks.
"""

import dataclasses
from typing import NamedTuple

from jayshore.clock import Millis
from jayshore.resources import NOTHING, Resources


class TaskId(NamedTuple):
    """Names a task of a job.

    Attributes:
        job_id: the job.
        occurrence: number of the due time, 0 for a job without due times.
        group: position of the task group in the job.
        position: of the task in its group.
    """

    job_id: str
    occurrence: int
    group: int
    position: int


class GroupId(NamedTuple):
    """Names one occurrence of a task group.

    Attributes:
        job_id: the job.
        occurrence: number of the due time.
        group: position of the task group in the job.
    """

    job_id: str
    occurrence: int
    group: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskGroup:
    """Equal tasks of a job.

    Attributes:
        count: how many tasks.
        need: what each task takes from a worker.
        estimate_ms: rough duration of one task, in ms.
        after: positions of the groups whose tasks must all be done first.
        gang: the tasks run only all together.
        same_rack: the tasks slow each other down on more than one rack.
        required_label: label that a worker must have, empty for any.
        data_rack: rack near the data, empty for any.
        max_per_worker: tasks of the group on one worker, 0 for any number.
        checkpoints: the tasks save their progress.
        speculative: copies of a task may run at the same time.
        long_running: the tasks run until the job is cancelled.
        uses_leftover: the tasks run on processors that others leave idle.
    """

    count: int
    need: Resources
    estimate_ms: Millis
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    checkpoints: bool = False
    speculative: bool = False
    long_running: bool = False
    uses_leftover: bool = False

    @property
    def reserved(self) -> Resources:
        """What a task takes from the room that others may use."""
        if not self.uses_leftover:
            return self.need
        return dataclasses.replace(self.need, cpu_millis=0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Schedule:
    """Due times of a job that runs several times.

    Attributes:
        start_at_ms: first due time, in ms since the Unix epoch.
        interval_ms: time between due times, in ms.
        repeats: number of due times.
    """

    start_at_ms: int = 0
    interval_ms: Millis = Millis(0)
    repeats: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdvicePolicy:
    """How placement advice is given for a queue.

    Attributes:
        decision_ms: time of an answer, in ms.
        per_worker_ms: further time for each worker named, in ms.
        validity_ms: how long a ticket is valid, in ms.
    """

    decision_ms: float
    per_worker_ms: float
    validity_ms: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """A queue of jobs.

    Attributes:
        name: unique name.
        host: host that callers name.
        prefix: start of the paths of its jobs.
        service: whose workers run the tasks.
        priority: 0 comes first.
        max_attempts: failed runs after which a task has failed.
        stretch: objective of a job as a multiple of its longest chain.
        objective_ms: added to that objective, in ms.
        public: callers need no key.
        advice: None when any worker may run the tasks.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: Millis = Millis(0)
    public: bool = False
    advice: AdvicePolicy | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A job as it is stored.

    Attributes:
        job_id: chosen by the caller.
        queue: the queue as it was; it counts while no newer one has its name.
        workspace: owner, empty in a queue that is open to all.
        payload: opaque text for the workers.
        groups: the task groups.
        accepted_at_ms: in ms since the Unix epoch.
        schedule: due times.
        digest: of the body, to recognise a repeated submission.
    """

    job_id: str
    queue: Queue
    workspace: str
    payload: str
    groups: tuple[TaskGroup, ...]
    accepted_at_ms: int
    schedule: Schedule = Schedule()
    digest: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A tenant of the fleet.

    Attributes:
        name: unique name.
        keys: keys that its callers present.
        weight: share when the fleet is full, and jobs a second that are owed.
        maximum: what it may have running; a component of 0 has no limit.
    """

    name: str
    keys: frozenset[str]
    weight: float
    maximum: Resources = NOTHING


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetConfig:
    """A version of the configuration, whole.

    Attributes:
        version: rises with each version.
        queues: all queues.
        workspaces: all workspaces.
        max_body_bytes: bound on the body of a call.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    max_body_bytes: int = 262_144


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerEntry:
    """A worker as it registered itself.

    Attributes:
        worker_id: names one life of the worker, in most cases.
        born_ms: start of this life, in ms since the Unix epoch.
        service: whose tasks it runs.
        address: `host:port`.
        domain: failure domain.
        rack: rack, empty when unknown.
        labels: all labels.
        capacity: what it holds.
        draining: it is about to leave.
    """

    worker_id: str
    born_ms: int
    service: str
    address: str
    domain: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    draining: bool = False


def format_task_id(task: TaskId) -> str:
    """Format the name of a task.

    Args:
        task: its parts.

    Returns:
        `job.occurrence.group.index`.
    """
    return f'{task.job_id}.{task.occurrence}.{task.group}.{task.position}'


def parse_task_id(text: str) -> TaskId | None:
    """Parse the name of a task.

    Args:
        text: as `format_task_id` makes it.

    Returns:
        The parts, or None when the text has another form.
    """
    job_id, *numbers = text.split('.')
    if len(numbers) != 3 or not all(part.isdecimal() for part in numbers):
        return None
    return TaskId(job_id, *map(int, numbers))
