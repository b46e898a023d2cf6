"""In-memory state of the jobs, task groups and tasks that the leader schedules.

Only the leader changes these objects, and each change is complete before the
next await. What must survive a change of leader is stored by `progresswriter`.
"""

import dataclasses
from collections.abc import Callable, Iterator

from jayshore.clock import Millis
from jayshore.fleet.blame import SETTLED_MS
from jayshore.fleet.model import (
    UNKNOWN_INCARNATION,
    GroupId,
    Incarnation,
    Job,
    TaskGroup,
    TaskId,
)
from jayshore.fleet.phases import FINAL_STATES, JobState, Phase
from jayshore.fleet.standing import Standing
from jayshore.fleet.tickets import Ticket


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class TaskEntry:
    """Scheduling state of a task.

    Attributes:
        task_id: identifies the task.
        group: its task group.
        current_phase: set it as `phase`, which notes the change.
        run: highest number of a run that may have been used.
        worker: worker of that run, empty when there is none.
        incarnation: incarnation of that worker.
        failures: number of runs that ended as failed.
        checkpoint: where the next run resumes.
        acknowledged_at: when the worker acknowledged a start or a stop of the
            run, on the local clock; None while the order is in flight.
        ordered_at: when the start of the run was first sent, on the local
            clock; None before that and for a run of a former leader.
        seen_at: when the worker first confirmed that the run is active, on the
            local clock, None for never.
        confirmed: a worker is known to have run the task.
        moves: number of runs that were stopped because they were slow or
            stalled.
        crashes: crashes of workers in which the task was in doubt, since it
            last ran without one.
        confirmed_crashes: those in which its worker had confirmed the run.
        exposures: crashes of workers that ran the task, in the same time.
        doubt_ms: age up to which a run is in doubt when its worker crashes.
    """

    task_id: TaskId
    group: 'GroupEntry'
    current_phase: Phase = Phase.WAITING
    run: int = 0
    worker: str = ''
    incarnation: Incarnation = UNKNOWN_INCARNATION
    failures: int = 0
    checkpoint: str = ''
    acknowledged_at: Millis | None = None
    ordered_at: Millis | None = None
    seen_at: Millis | None = None
    confirmed: bool = False
    moves: int = 0
    crashes: int = 0
    confirmed_crashes: int = 0
    exposures: int = 0
    doubt_ms: Millis = SETTLED_MS

    @property
    def phase(self) -> Phase:
        """Lifecycle phase."""
        return self.current_phase

    @phase.setter
    def phase(self, phase: Phase) -> None:
        self.current_phase = phase
        self.group.job.note_change()


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class GroupEntry:
    """Scheduling state of one occurrence of a task group.

    Attributes:
        group_id: identifies the occurrence.
        job: its job.
        spec: specification of its tasks.
        due_at_ms: earliest start, in ms since the Unix epoch.
        tasks: its tasks.
        done: number of tasks that are done.
        tickets: ticket by worker.
        evaluated: workers that placement advice has covered.
        advice_pending: a request for advice is queued or in flight.
        failed_runs: runs of a gang that already count as failed.
        failed_on: workers on which a task failed, or ran too slowly.
        failed_at: time of the last failure of a task on the local clock, None
            for none.
        settled: the stored record says that all tasks are done.
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
    settled: bool = False

    @property
    def finished(self) -> bool:
        """Whether all tasks are done."""
        return self.done == len(self.tasks)

    def waiting(self) -> list[TaskEntry]:
        """List the tasks that may be placed.

        Returns:
            Waiting tasks; for a gang either all of its tasks or none.
        """
        found = [task for task in self.tasks if task.phase is Phase.WAITING]
        if self.spec.gang and len(found) != len(self.tasks):
            return []
        return found


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class JobEntry:
    """Scheduling state of a job.

    Attributes:
        job: the job as submitted.
        accepted_at: time of acceptance on the local clock in ms, which may be
            before the origin of that clock.
        over_rate: submitted beyond the rate that its workspace is entitled to.
        standing: standing among the waiting jobs while capacity is full; set
            by `change_standing`.
        current_state: set it as `state`, which notes the change.
        durable_state: state that is recorded durably and may be reported to
            callers.
        cancelled: a cancellation is stored.
        groups: entries of the groups of all occurrences that were added. A
            job that repeats forgets those that are finished.
        next_occurrence: the first occurrence that was not added.
        ended_at: when the state became final, on the local clock.
        changed_jobs: collects the jobs whose waiting groups may have changed,
            by id; None before the job is in a table.
    """

    job: Job
    accepted_at: Millis
    over_rate: bool = False
    standing: Standing = Standing.USUAL
    current_state: JobState = JobState.QUEUED
    durable_state: JobState = JobState.QUEUED
    cancelled: bool = False
    groups: dict[GroupId, GroupEntry] = dataclasses.field(default_factory=dict)
    next_occurrence: int = 0
    ended_at: Millis | None = None
    changed_jobs: dict[str, 'JobEntry'] | None = None

    @property
    def state(self) -> JobState:
        """State as decided by the leader."""
        return self.current_state

    @state.setter
    def state(self, state: JobState) -> None:
        self.current_state = state
        self.note_change()

    @property
    def occurrences(self) -> int:
        """Number of times that the groups run."""
        return max(1, self.job.schedule.repeats)

    @property
    def ended(self) -> bool:
        """Whether the state is final."""
        return self.state in FINAL_STATES

    @property
    def has_finished_groups(self) -> bool:
        """Whether a group is finished, also one that was forgotten."""
        unfinished = [one for one in self.groups.values() if not one.finished]
        return len(unfinished) < self.next_occurrence * len(self.job.groups)

    def note_change(self) -> None:
        """Note that groups may have begun or ceased to wait."""
        if self.changed_jobs is not None:
            self.changed_jobs[self.job.job_id] = self

    def change_standing(self, standing: Standing) -> None:
        """Set the standing, and note a change, as ranks depend on it.

        Args:
            standing: the new standing.
        """
        if self.standing is not standing:
            self.standing = standing
            self.note_change()

    def due_at_ms(self, occurrence: int) -> int:
        """Compute the due time of an occurrence.

        Args:
            occurrence: its index.

        Returns:
            Time in ms since the Unix epoch, 0 for a job without due times.
        """
        schedule = self.job.schedule
        if not schedule.repeats:
            return 0
        return schedule.start_at_ms + occurrence * schedule.interval_ms

    def is_due(self, wall_ms: int) -> bool:
        """Return whether the next occurrence is due.

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
            Those groups; none for a job that has ended.
        """
        if not self.ended:
            for group in self.groups.values():
                if not group.finished:
                    yield group

    def add_occurrence(self) -> None:
        """Create the entries of the next occurrence."""
        occurrence = self.next_occurrence
        self.next_occurrence += 1
        for position, _ in enumerate(self.job.groups):
            self.add_group(occurrence, position)
        self.note_change()

    def add_group(self, occurrence: int, position: int) -> None:
        """Create the entries of one group of an occurrence.

        Args:
            occurrence: the occurrence.
            position: position of the group in the job.
        """
        group_id = GroupId(self.job.job_id, occurrence, position)
        entry = GroupEntry(
            group_id=group_id,
            job=self,
            spec=self.job.groups[position],
            due_at_ms=self.due_at_ms(occurrence),
        )
        entry.tasks = [
            TaskEntry(task_id=TaskId(*group_id, index), group=entry)
            for index in range(entry.spec.count)
        ]
        self.groups[group_id] = entry

    def forget_finished(self, holds: Callable[[TaskEntry], bool]) -> None:
        """Forget the finished groups of a job that repeats.

        Args:
            holds: returns whether a task still holds resources.
        """
        if not self.job.schedule.repeats:
            return
        for group in tuple(self.groups.values()):
            if group.settled and not any(map(holds, group.tasks)):
                self.groups.pop(group.group_id)

    def is_ready(self, group: GroupEntry) -> bool:
        """Return whether all groups that a group depends on are done.

        Args:
            group: a group of this job.

        Returns:
            True when its tasks may start.
        """
        needed = (
            self.groups.get(group.group_id._replace(group=earlier))
            for earlier in group.spec.after
        )
        return all(earlier is None or earlier.finished for earlier in needed)

    def tasks(self) -> Iterator[TaskEntry]:
        """Iterate over the tasks.

        Yields:
            Every task that has an entry.
        """
        for group in self.groups.values():
            yield from group.tasks

    def all_done(self) -> bool:
        """Return whether the job is complete.

        Returns:
            True when all tasks of all occurrences are done.
        """
        return self.next_occurrence >= self.occurrences and all(
            group.finished for group in self.groups.values()
        )


class JobTable:
    """All jobs that the leader knows, by id."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._jobs: dict[str, JobEntry] = {}
        self._active: dict[str, JobEntry] = {}
        self._changed: dict[str, JobEntry] = {}

    @property
    def changed(self) -> dict[str, JobEntry]:
        """Jobs whose waiting groups may have changed; a reader removes them.

        Every change of the phase of a task, of the state of a job and of the
        resources that a task holds is noted, so that rounds need not look at
        all jobs.
        """
        return self._changed

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
        entry.changed_jobs = self._changed
        if not entry.job.schedule.repeats:
            entry.add_occurrence()

    def find(self, task_id: TaskId | None) -> TaskEntry | None:
        """Find a task.

        Args:
            task_id: the task id, None for one that could not be parsed.

        Returns:
            The task, or None when the table has no such task.
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

        Ended jobs are retained for minutes and outnumber the active ones many
        times, so they are removed from the active set when first seen here.

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
