"""Measures the waiting work of each job for the overload policy.

Work is counted in core-milliseconds of the estimates. A task that needs a
larger share of the memory than of the cores counts by its memory.
"""

import dataclasses
from collections.abc import Iterable

from jayshore.fleet.jobtable import GroupEntry, JobEntry
from jayshore.fleet.model import Queue, TaskGroup, WorkerEntry
from jayshore.fleet.phases import JobState, Phase
from jayshore.fleet.queueload import QueueLoad
from jayshore.fleet.ranking import longest_chain_ms, objective_ms
from jayshore.fleet.usablework import LimitedTasks
from jayshore.placement.waiting_jobs import WaitingJob, job_value
from jayshore.resources import Resources, total

_MILLIS_PER_CORE = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """Capacity of the usable workers of a service.

    Attributes:
        resources: sum over the workers.
    """

    resources: Resources

    @property
    def cores(self) -> float:
        """The capacity in cores."""
        return self.resources.cpu_millis / _MILLIS_PER_CORE

    def in_cores(self, amount: Resources) -> float:
        """Convert resources to the cores that they are worth here.

        Args:
            amount: resources.

        Returns:
            Cores of the same share of the capacity as the scarcest resource.
        """
        whole = self.resources
        memory = amount.memory_mb * whole.cpu_millis / (whole.memory_mb or 1)
        if not whole.memory_mb:
            memory = 0
        return max(amount.cpu_millis, memory) / _MILLIS_PER_CORE

    def limit(self, maximum: Resources) -> float | None:
        """Convert the maximum of a workspace to cores.

        Args:
            maximum: limit of each resource, 0 for none.

        Returns:
            Cores up to which it can run tasks of the usual shape, None for no
            limit.
        """
        if not maximum.cpu_millis:
            return None
        return maximum.cpu_millis / _MILLIS_PER_CORE


def sum_capacity(workers: Iterable[WorkerEntry]) -> Capacity:
    """Add up the capacity of workers.

    Args:
        workers: the workers.

    Returns:
        Their capacity.
    """
    return Capacity(resources=total(worker.capacity for worker in workers))


@dataclasses.dataclass(kw_only=True, slots=True)
class JobWork:
    """Work of a job.

    Attributes:
        entry: the job.
        service: service whose workers run it.
        waiting: its waiting work, as the policy takes it.
        whole: its whole work, in core-milliseconds.
        wanted: cores of the tasks that may start now.
        limited: those of them that may not use all workers.
        done: work of the tasks that are done, in core-milliseconds.
        untouched: not measured since a task has started.
        logged: its deferral has been logged.
    """

    entry: JobEntry
    service: str
    waiting: WaitingJob
    whole: float
    wanted: float
    limited: tuple[LimitedTasks, ...] = ()
    done: float = 0
    untouched: bool = True
    logged: bool = False

    @property
    def started(self) -> bool:
        """Whether a task has started."""
        return self.entry.state is not JobState.QUEUED

    def refresh(self, queue: Queue, capacity: Capacity) -> None:
        """Measure a job again whose tasks have started.

        Args:
            queue: its queue.
            capacity: capacity of its service.
        """
        entry = self.entry
        self.untouched = False
        work: float = 0
        self.done = 0
        self.wanted = 0
        limited = []
        first = len(entry.job.groups)
        for group in entry.groups.values():
            cores = capacity.in_cores(group.spec.reserved)
            self.done += group.done * cores * group.spec.estimate_ms
            if group.finished:
                continue
            first = min(first, group.group_id.group)
            waiting = _count_waiting(group)
            work += waiting * cores * group.spec.estimate_ms
            if waiting and entry.is_ready(group):
                self.wanted += waiting * cores
                if _is_limited(group.spec):
                    limited.append(
                        _limit_tasks(group.spec, cores, waiting, group.done)
                    )
        self.limited = tuple(limited)
        if work != self.waiting.work:
            self.waiting = _make_waiting(
                entry, queue, work, self.waiting.value, first
            )


def measure_job(
    entry: JobEntry, queue: Queue, capacity: Capacity, load: QueueLoad
) -> JobWork:
    """Measure a job that is seen for the first time.

    Args:
        entry: the job.
        queue: its queue.
        capacity: capacity of its service.
        load: what arrives in its queue; the job is added to its means.

    Returns:
        Its work; all of it waits until it is refreshed.
    """
    works = [_group_work(spec, capacity) for spec in entry.job.groups]
    whole = sum(works)
    load.add(whole, longest_chain_ms(entry.job))
    return JobWork(
        entry=entry,
        service=queue.service,
        waiting=_make_waiting(
            entry, queue, whole, job_value(whole, load.work), 0
        ),
        whole=whole,
        wanted=sum(
            spec.count * capacity.in_cores(spec.reserved)
            for spec in entry.job.groups
            if not spec.after
        ),
        limited=tuple(
            _limit_tasks(spec, capacity.in_cores(spec.reserved), spec.count, 0)
            for spec in entry.job.groups
            if not spec.after and _is_limited(spec)
        ),
    )


def _is_limited(spec: TaskGroup) -> bool:
    return bool(spec.required_label or spec.max_per_worker or spec.gang)


def _limit_tasks(
    spec: TaskGroup, cores: float, waiting: int, done: int
) -> LimitedTasks:
    return LimitedTasks(
        label=spec.required_label,
        max_per_worker=spec.max_per_worker,
        gang=spec.gang,
        need=spec.reserved,
        cores=cores,
        waiting=waiting,
        running=spec.count - done - waiting,
    )


def _group_work(spec: TaskGroup, capacity: Capacity) -> float:
    return spec.count * spec.estimate_ms * capacity.in_cores(spec.reserved)


def _count_waiting(group: GroupEntry) -> int:
    return sum([task.phase is Phase.WAITING for task in group.tasks])


def _make_waiting(
    entry: JobEntry, queue: Queue, work: float, value: float, first: int
) -> WaitingJob:
    job = entry.job
    return WaitingJob(
        job_id=job.job_id,
        queue=queue.name,
        priority=queue.priority,
        workspace=job.workspace,
        work=work,
        path_ms=longest_chain_ms(job, first),
        objective_ms=objective_ms(job, queue),
        accepted_at=entry.accepted_at,
        value=value,
        over_rate=entry.over_rate,
    )
