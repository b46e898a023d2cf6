"""Logs the placements of a round, with what decided on them."""

from typing import Any, Final, NamedTuple

import eliot

from jayshore.clock import Millis
from jayshore.fleet.demands import Placement
from jayshore.fleet.jobtable import JobEntry, TaskEntry


_MAX_TASKS: Final = 100
"""Maximum number of tasks in a log line, since lines over 8 KB are dropped."""


class PlacedTask(NamedTuple):
    """A task and its latest placement."""

    task: TaskEntry
    placement: Placement


def log_placements(
    entry: JobEntry, placed: list[PlacedTask], age_ms: Millis
) -> None:
    """Log the tasks of a job that a round has placed.

    Each task is a row of occurrence, group, position, run and worker. The rows
    of `limits` tell how many tasks of a group with a limit per worker were
    counted at the worker, and those of `probes` which tasks probe a
    quarantined worker. Queue, workspace and standing tell what went before
    the jobs that waited meanwhile.

    Args:
        entry: the job.
        placed: its tasks with their placements.
        age_ms: time since the acceptance of the job, in ms.
    """
    for first in range(0, len(placed), _MAX_TASKS):
        _log_line(entry, placed[first : first + _MAX_TASKS], age_ms)


def _log_line(
    entry: JobEntry, placed: list[PlacedTask], age_ms: Millis
) -> None:
    details: dict[str, Any] = {}
    limits = [
        (
            *task.task_id[1:],
            placement.beside,
            task.group.spec.max_per_worker,
            task.worker,
        )
        for task, placement in placed
        if task.group.spec.max_per_worker
    ]
    probes = [
        (*task.task_id[1:], task.worker)
        for task, placement in placed
        if placement.probe
    ]
    if limits:
        details['limits'] = limits
    if probes:
        details['probes'] = probes
    eliot.log_message(
        'job:placed',
        job=entry.job.job_id,
        queue=entry.job.queue.name,
        workspace=entry.job.workspace,
        standing=entry.standing.value,
        age_ms=age_ms,
        tasks=[
            (*task.task_id[1:], task.run, task.worker) for task, _ in placed
        ],
        **details,
    )
