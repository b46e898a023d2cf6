"""The leader's memory of jobs, task groups and tasks.

Only the leader changes these objects, and only between two awaits. What must
outlive the leader is in `records`.
"""

import dataclasses
import enum
from collections.abc import Iterator

from jayshore.clock import Millis
from jayshore.fleet.model import GroupId, Job, TaskGroup, TaskId

_DONE = 'done'


class Phase(enum.Enum):
    """Where a task is.

    `UNKNOWN`: a former leader placed it, and its worker has not been asked.
    `STARTING`: its start is recorded, and may or may not be carried out.
    `STOPPING`: a stop was ordered; it still takes room until its end is seen.
    """

    WAITING = 'waiting'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    UNKNOWN = 'unknown'
    DONE = _DONE


PLACED_PHASES = frozenset(
    (Phase.STARTING, Phase.RUNNING, Phase.STOPPING, Phase.UNKNOWN)
)
"""Phases in which a task takes room at its worker."""


class JobState(enum.StrEnum):
    """What callers are told of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)
"""States that no longer change."""


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class TaskEntry:
    """A task.

    Attributes:
        task_id: its name.
        group: its task group.
        phase: where it is.
        run: highest number of a run that may have been used.
        worker: where that run is, empty when it is nowhere.
        failures: runs that ended as failed.
        checkpoint: where the next run resumes.
        settled_at: when a start or a stop of the run was confirmed, on our
            clock; None while the order is on its way.
        confirmed: the worker is known to have run it.
        moves: runs that were stopped since they were slow or stalled.
    """

    task_id: TaskId
    group: 'GroupEntry'
    phase: Phase = Phase.WAITING
    run: int = 0
    worker: str = ''
    failures: int = 0
    checkpoint: str = ''
    acknowledged_at: Millis | None = None
    confirmed: bool = False
    moves: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A worker's permission to run the tasks of a group.

    Attributes:
        text: the ticket.
        valid_until: on our clock, in ms.
    """

    text: str
    valid_until: Millis


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class GroupEntry:
    """One occurrence of a task group.

    Attributes:
        group_id: its name.
        job: its job.
        shape: what its tasks are.
        due_at_ms: earliest start, in ms since the Unix epoch.
        tasks: its tasks.
        done: number of tasks that are done.
        tickets: ticket by worker.
        judged: workers on which advice was given.
        asking: advice has been asked for.
        failed_runs: runs of a gang that are counted as failed.
        failed_on: workers on which a task failed.
        failed_at: when a task failed last, on our clock; None before.
    """

    group_id: GroupId
    job: 'JobEntry'
    spec: TaskGroup
    due_at_ms: int = 0
    tasks: list[TaskEntry] = dataclasses.field(default_factory=list)
    done: int = 0
    tickets: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    evaluated: set[str] = dataclasses.field(default_factory=set)
    advice_pending: bool = False
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    failed_on: set[str] = dataclasses.field(default_factory=set)
    failed_at: Millis | None = None

    @property
    def finished(self) -> bool:
        """Whether all tasks are done."""
        return self.done == len(self.tasks)

    def waiting(self) -> list[TaskEntry]:
        """List the tasks that may be placed.

        Returns:
            Waiting tasks; of a gang all or none.
        """
        found = [task for task in self.tasks if task.phase is Phase.WAITING]
        if self.spec.gang and len(found) != len(self.tasks):
            return []
        return found


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class JobEntry:
    """A job.

    Attributes:
        job: as it was submitted.
        accepted_at: on our clock, in ms; may lie before its origin.
        over_weight: submitted beyond the rate that its workspace is owed.
        state: decided state.
        shown: durable state, which callers may be told.
        cancelled: a cancellation is stored.
        groups: entries of all occurrences that are due.
        next_occurrence: the first occurrence without entries.
        ended_at: when the state became final, on our clock.
    """

    job: Job
    accepted_at: Millis
    over_rate: bool = False
    state: JobState = JobState.QUEUED
    durable_state: JobState = JobState.QUEUED
    cancelled: bool = False
    groups: dict[GroupId, GroupEntry] = dataclasses.field(default_factory=dict)
    next_occurrence: int = 0
    ended_at: Millis | None = None

    @property
    def occurrences(self) -> int:
        """Number of times that the groups run."""
        return max(1, self.job.schedule.repeats)

    @property
    def ended(self) -> bool:
        """Whether the state is final."""
        return self.state in FINAL_STATES

    def due_at_ms(self, occurrence: int) -> int:
        """Compute a due time.

        Args:
            occurrence: its number.

        Returns:
            In ms since the Unix epoch, 0 for a job without due times.
        """
        schedule = self.job.schedule
        if not schedule.repeats:
            return 0
        return schedule.start_at_ms + occurrence * schedule.interval_ms

    def is_due(self, wall_ms: int) -> bool:
        """Tell whether the next occurrence is due.

        Args:
            wall_ms: time of day, in ms since the Unix epoch.

        Returns:
            True when its groups may start.
        """
        return (
            self.next_occurrence < self.occurrences
            and self.due_at_ms(self.next_occurrence) <= wall_ms
        )

    def unfinished(self) -> Iterator['GroupEntry']:
        """Iterate over the groups with tasks that are not done.

        Yields:
            The groups, none for a job that has ended.
        """
        if not self.ended:
            for group in self.groups.values():
                if not group.finished:
                    yield group

    def add_occurrence(self) -> None:
        """Make the entries of the next occurrence."""
        occurrence = self.next_occurrence
        self.next_occurrence += 1
        for position, spec in enumerate(self.job.groups):
            group_id = GroupId(self.job.job_id, occurrence, position)
            entry = GroupEntry(
                group_id=group_id,
                job=self,
                spec=spec,
                due_at_ms=self.due_at_ms(occurrence),
            )
            entry.tasks = [
                TaskEntry(task_id=TaskId(*group_id, index), group=entry)
                for index in range(spec.count)
            ]
            self.groups[group_id] = entry

    def is_ready(self, group: GroupEntry) -> bool:
        """Tell whether all earlier groups of an occurrence are done.

        Args:
            group: of this job.

        Returns:
            True when its tasks may start.
        """
        return all(
            self.groups[group.group_id._replace(group=earlier)].finished
            for earlier in group.spec.after
        )

    def tasks(self) -> Iterator[TaskEntry]:
        """Iterate over the tasks.

        Yields:
            Every task that has an entry.
        """
        for group in self.groups.values():
            yield from group.tasks

    def all_done(self) -> bool:
        """Tell whether the job is complete.

        Returns:
            True when all tasks of all occurrences are done.
        """
        return self.next_occurrence >= self.occurrences and all(
            group.finished for group in self.groups.values()
        )


def expire_ticket(group: GroupEntry, worker: str) -> None:
    """Let a ticket be asked for again before the next start.

    The worker stays known as one that may run the group.

    Args:
        group: the group.
        worker: whose ticket was refused or is too old.
    """
    ticket = group.tickets.get(worker)
    if ticket is not None:
        group.tickets[worker] = dataclasses.replace(
            ticket, valid_until=Millis(0)
        )


class JobTable:
    """All jobs that the leader knows."""

    def __init__(self) -> None:
        """Start without jobs."""
        self._jobs: dict[str, JobEntry] = {}
        self._active: dict[str, JobEntry] = {}

    @property
    def jobs(self) -> dict[str, JobEntry]:
        """Jobs by id."""
        return self._jobs

    def add(self, entry: JobEntry) -> None:
        """Add a job with the entries of its first occurrence.

        Args:
            entry: the job.
        """
        self._jobs[entry.job.job_id] = entry
        self._active[entry.job.job_id] = entry
        if not entry.job.schedule.repeats:
            entry.add_occurrence()

    def find(self, task_id: TaskId | None) -> TaskEntry | None:
        """Find a task.

        Args:
            task_id: its name, None for one that cannot be read.

        Returns:
            The task, or None when the book has no such task.
        """
        if task_id is None or task_id.job_id not in self._jobs:
            return None
        job = self._jobs[task_id.job_id]
        group = job.groups.get(GroupId(*task_id[:3]))
        if group is None or task_id.position >= len(group.tasks):
            return None
        return group.tasks[task_id.position]

    def active(self) -> list[JobEntry]:
        """List the jobs that have not ended.

        Ended jobs are kept for minutes and are many times as many; they are
        looked at here only once.

        Returns:
            The jobs.
        """
        ended = [name for name, job in self._active.items() if job.ended]
        for name in ended:
            self._active.pop(name)
        return list(self._active.values())

    def open_groups(self) -> Iterator[GroupEntry]:
        """Iterate over the groups of jobs that have not ended.

        Yields:
            Groups with tasks that are not done.
        """
        for job in self.active():
            yield from job.unfinished()
