"""Value types for submitted jobs, the configuration and registered workers.

The leader, the entry instances and the placement rules share them. A platform
adapter translates the messages and records of its platform into them.
"""

import dataclasses
from typing import NamedTuple

from jayshore.clock import Millis
from jayshore.resources import NOTHING, Resources


class TaskId(NamedTuple):
    """Identifies a task of a job.

    Attributes:
        job_id: the job.
        occurrence: index of the due time, 0 for a job without due times.
        group: position of the task group in the job.
        position: of the task in its group.
    """

    job_id: str
    occurrence: int
    group: int
    position: int


class GroupId(NamedTuple):
    """Identifies one occurrence of a task group.

    Attributes:
        job_id: the job.
        occurrence: index of the due time.
        group: position of the task group in the job.
    """

    job_id: str
    occurrence: int
    group: int


class Incarnation(NamedTuple):
    """One lifetime of the process of a worker.

    A later one at the same address shows that this one is over.

    Attributes:
        address: `host:port`, empty when unknown.
        born_ms: its start, in ms since the Unix epoch, 0 when unknown.
    """

    address: str
    born_ms: int

    def precedes(self, other: 'Incarnation') -> bool:
        """Return whether another incarnation shows that this one is over.

        Args:
            other: another incarnation.

        Returns:
            True when the other one started later at the same address; False
            also when a start is not known.
        """
        return (
            self.address == other.address and 0 < self.born_ms < other.born_ms
        )


UNKNOWN_INCARNATION = Incarnation('', 0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskGroup:
    """Identical tasks of a job.

    Attributes:
        count: number of tasks.
        need: resources that each task needs at a worker.
        estimate_ms: estimated duration of one task, in ms.
        after: positions of the groups whose tasks must all be done first.
        gang: the tasks run all at the same time or not at all.
        same_rack: the tasks run slower when spread over several racks.
        required_label: label that a worker must have, empty for any.
        data_rack: rack near the data, empty for any.
        max_per_worker: tasks of the group on one worker, 0 for no limit.
        checkpoints: the tasks save their progress.
        speculative: copies of a task may run at the same time.
        long_running: the tasks run until the job is cancelled.
        uses_leftover: the tasks use only processor time that other tasks leave
            idle.
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
        """Resources that a task reserves; leftover processor time is free."""
        if not self.uses_leftover:
            return self.need
        return dataclasses.replace(self.need, cpu_millis=0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Schedule:
    """Due times of a recurring job.

    Attributes:
        start_at_ms: first due time, in ms since the Unix epoch.
        interval_ms: time between due times, in ms.
        repeats: number of due times, 0 for a job without due times.
    """

    start_at_ms: int = 0
    interval_ms: Millis = Millis(0)
    repeats: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdvicePolicy:
    """Response times and ticket validity of placement advice for a queue.

    Attributes:
        decision_ms: base time of a reply, in ms.
        per_worker_ms: further time for each worker in the request, in ms.
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
        host: host name of the calls that submit to it.
        prefix: path prefix of its jobs.
        service: service whose workers run the tasks.
        priority: 0 is the most urgent.
        max_attempts: failed runs after which a task counts as failed.
        stretch: factor on the longest chain of estimates of a job, for its
            latency objective.
        objective_ms: constant part of the latency objective, in ms.
        public: callers need no key.
        advice: policy of placement advice, None when any worker may run the
            tasks.
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
        queue: the queue at the time of acceptance, used when the configuration
            has no queue of that name.
        workspace: owner, empty in a public queue.
        payload: opaque text for the workers.
        groups: the task groups.
        accepted_at_ms: time of acceptance, in ms since the Unix epoch.
        schedule: due times.
        digest: digest of the body, to recognise a repeated submission.
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
        keys: API keys of its callers.
        weight: rate of submissions that it is entitled to, in jobs per second.
        maximum: limit on the resources of its running tasks; a component of 0
            has no limit.
    """

    name: str
    keys: frozenset[str]
    weight: float
    maximum: Resources = NOTHING


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetConfig:
    """One complete version of the configuration.

    Attributes:
        version: number that increases with each version.
        queues: all queues.
        workspaces: all workspaces.
        max_body_bytes: limit on the body of a call, in bytes.
        max_header_bytes: limit on the head of a call, in bytes.
        header_timeout_ms: time to send the head of a call, in ms.
        idle_timeout_ms: how long an idle connection is kept, in ms.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    header_timeout_ms: Millis = Millis(5000)
    idle_timeout_ms: Millis = Millis(60_000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerEntry:
    """Registration of a worker.

    Attributes:
        worker_id: identifies one incarnation of the worker, that is one
            lifetime of its process, in most cases.
        born_ms: start of this incarnation, in ms since the Unix epoch.
        service: service whose tasks it runs.
        address: `host:port`.
        domain: failure domain.
        rack: rack, empty when unknown.
        labels: all labels.
        capacity: total resources.
        draining: it is about to leave and takes no new tasks.
        cold_left_ms: how much longer it is slow, counted from the time at which
            the registration is read, in ms.
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
    cold_left_ms: Millis = Millis(0)

    @property
    def incarnation(self) -> Incarnation:
        """Where and since when it runs."""
        return Incarnation(self.address, self.born_ms)


def format_task_id(task: TaskId) -> str:
    """Format a task id as text.

    Args:
        task: the task id.

    Returns:
        `job.occurrence.group.position`.
    """
    return f'{task.job_id}.{task.occurrence}.{task.group}.{task.position}'


_MAX_INDEX_DIGITS = 9


def parse_task_id(text: str) -> TaskId | None:
    """Parse a task id.

    Args:
        text: output of `format_task_id`.

    Returns:
        The task id, or None when the text has another form.
    """
    job_id, *numbers = text.split('.')
    if len(numbers) != 3 or not all(map(_is_index, numbers)):
        return None
    return TaskId(job_id, *map(int, numbers))


def _is_index(text: str) -> bool:
    return (
        text.isascii() and text.isdecimal() and len(text) <= _MAX_INDEX_DIGITS
    )
