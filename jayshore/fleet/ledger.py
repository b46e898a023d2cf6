"""Accounts for the resources of runs, by worker and by workspace.

A run counts from the decision to start it until its end is reported, also while
it is being stopped and while it is unknown whether it started.
"""

from collections.abc import Mapping

from jayshore.fleet.jobtable import TaskEntry
from jayshore.fleet.model import GroupId
from jayshore.resources import NOTHING, Resources


class Ledger:
    """Resources that the tasks of all jobs hold."""

    def __init__(self) -> None:
        """Create a ledger without tasks."""
        self._by_worker: dict[str, dict[TaskEntry, Resources]] = {}
        self._used: dict[str, Resources] = {}
        self._workspaces: dict[str, Resources] = {}
        self._group_runs: dict[str, dict[GroupId, int]] = {}

    def used_at(self, worker_id: str) -> Resources:
        """Return the resources that tasks hold at a worker.

        Args:
            worker_id: the worker.

        Returns:
            Sum over its tasks.
        """
        return self._used.get(worker_id, NOTHING)

    def used_by(self, workspace: str) -> Resources:
        """Return the resources that the tasks of a workspace hold.

        Args:
            workspace: name of the workspace.

        Returns:
            Sum over its tasks.
        """
        return self._workspaces.get(workspace, NOTHING)

    def group_runs_at(self, worker_id: str) -> Mapping[GroupId, int]:
        """Count the tasks at a worker of each group that limits them.

        Args:
            worker_id: the worker.

        Returns:
            Number of tasks by group, without groups that have none.
        """
        return self._group_runs.get(worker_id, {})

    def tasks_at(self, worker_id: str) -> tuple[TaskEntry, ...]:
        """List the tasks that hold resources at a worker.

        Args:
            worker_id: the worker.

        Returns:
            The tasks.
        """
        return tuple(self._by_worker.get(worker_id, ()))

    def workers(self) -> tuple[str, ...]:
        """List the workers at which tasks hold resources.

        Returns:
            Their ids.
        """
        return tuple(self._by_worker)

    def holds(self, task: TaskEntry) -> bool:
        """Return whether a task holds resources at its worker.

        Args:
            task: the task.

        Returns:
            True until the task is released.
        """
        return task in self._by_worker.get(task.worker, {})

    def hold(self, task: TaskEntry) -> None:
        """Add a task to its worker.

        Args:
            task: the task, with its worker set.
        """
        need = task.group.spec.reserved
        self._by_worker.setdefault(task.worker, {})[task] = need
        workspace = task.group.job.job.workspace
        self._used[task.worker] = self.used_at(task.worker) + need
        self._workspaces[workspace] = self.used_by(workspace) + need
        self._count(task, 1)

    def release(self, task: TaskEntry) -> bool:
        """Release the resources of a task.

        Args:
            task: the task; one that holds none is ignored.

        Returns:
            True when the task held resources.
        """
        held = self._by_worker.get(task.worker, {})
        need = held.pop(task, None)
        if need is None:
            return False
        if not held:
            self._by_worker.pop(task.worker, None)
        workspace = task.group.job.job.workspace
        self._used[task.worker] = self.used_at(task.worker) - need
        self._workspaces[workspace] = self.used_by(workspace) - need
        self._count(task, -1)
        # A gang waits until none of its tasks holds resources.
        task.group.job.note_change()
        return True

    def _count(self, task: TaskEntry, change: int) -> None:
        group = task.group
        if not group.spec.max_per_worker:
            return
        counts = self._group_runs.setdefault(task.worker, {})
        counts[group.group_id] = counts.get(group.group_id, 0) + change
        if not counts[group.group_id]:
            counts.pop(group.group_id)
        if not counts:
            self._group_runs.pop(task.worker)
