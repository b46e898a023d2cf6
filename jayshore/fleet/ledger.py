"""Counts what is running, by worker and by workspace.

A run counts from the decision to start it until its end is seen, also while it
is being stopped and while it is not known whether it started.
"""

from jayshore.fleet.jobtable import TaskEntry
from jayshore.resources import NOTHING, Resources


class Ledger:
    """What runs of the leader's jobs take."""

    def __init__(self) -> None:
        """Start with nothing running."""
        self._by_worker: dict[str, dict[TaskEntry, Resources]] = {}
        self._used: dict[str, Resources] = {}
        self._workspaces: dict[str, Resources] = {}

    def used_at(self, worker_id: str) -> Resources:
        """Sum what runs at a worker.

        Args:
            worker_id: the worker.

        Returns:
            The sum.
        """
        return self._used.get(worker_id, NOTHING)

    def used_by(self, workspace: str) -> Resources:
        """Sum what a workspace has running.

        Args:
            workspace: its name.

        Returns:
            The sum.
        """
        return self._workspaces.get(workspace, NOTHING)

    def tasks_at(self, worker_id: str) -> tuple[TaskEntry, ...]:
        """List the tasks that take room at a worker.

        Args:
            worker_id: the worker.

        Returns:
            The tasks.
        """
        return tuple(self._by_worker.get(worker_id, ()))

    def workers(self) -> tuple[str, ...]:
        """List the workers at which tasks take room.

        Returns:
            Their ids.
        """
        return tuple(self._by_worker)

    def holds(self, task: TaskEntry) -> bool:
        """Tell whether a task takes room at its worker.

        Args:
            task: the task.

        Returns:
            True until the task is released.
        """
        return task in self._by_worker.get(task.worker, {})

    def hold(self, task: TaskEntry) -> None:
        """Count a task at its worker.

        Args:
            task: with its worker set.
        """
        need = task.group.spec.reserved
        self._by_worker.setdefault(task.worker, {})[task] = need
        workspace = task.group.job.job.workspace
        self._used[task.worker] = self.used_at(task.worker) + need
        self._workspaces[workspace] = self.used_by(workspace) + need

    def release(self, task: TaskEntry) -> bool:
        """Count a task no longer.

        Args:
            task: the task; one that is not counted is ignored.

        Returns:
            True when the task was counted.
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
        return True
