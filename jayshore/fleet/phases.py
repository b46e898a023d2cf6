"""Lifecycle phases of tasks, and the states of jobs."""

import enum

_DONE_VALUE = 'done'


class Phase(enum.Enum):
    """Lifecycle phase of a task.

    `UNKNOWN`: a former leader placed it, and its worker has not reported yet.
    `STARTING`: its start is recorded, and the worker has not confirmed it.
    `STOPPING`: a stop was ordered; the task holds its resources until its end
    is reported.
    """

    WAITING = 'waiting'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    UNKNOWN = 'unknown'
    DONE = _DONE_VALUE


PLACED_PHASES = frozenset(
    (Phase.STARTING, Phase.RUNNING, Phase.STOPPING, Phase.UNKNOWN)
)
"""Phases in which a task holds resources at its worker."""


class JobState(enum.StrEnum):
    """State of a job, as reported to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)
"""States that do not change any more."""
