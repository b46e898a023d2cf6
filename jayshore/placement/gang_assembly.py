"""Gangs whose tasks have not all arrived."""

from jayshore.placement.decisions import DuplicateError, UnknownTaskError
from jayshore.placement.entries import QueueEntry, is_gang
from jayshore.placement.tasks import PendingTask, TaskId


class GangAssembly:
    """Collects the tasks of each gang until it is complete."""

    def __init__(self) -> None:
        """Start empty."""
        self._incomplete: dict[str, dict[TaskId, PendingTask]] = {}

    def add(self, task: PendingTask) -> QueueEntry | None:
        """Add a task.

        Args:
            task: a waiting task of any kind.

        Returns:
            The entry that is complete with it, or None.

        Raises:
            DuplicateError: the task is there already.
        """
        if not is_gang(task):
            return QueueEntry(tasks=(task,))
        job_id = task.task_id.job_id
        tasks = self._incomplete.setdefault(job_id, {})
        if task.task_id in tasks:
            raise DuplicateError(f'task {task.task_id} waits already')
        tasks[task.task_id] = task
        if len(tasks) < task.gang_size:
            return None
        self._incomplete.pop(job_id)
        return QueueEntry(tasks=tuple(tasks[key] for key in sorted(tasks)))

    def split(self, entry: QueueEntry, task_id: TaskId) -> PendingTask:
        """Break an entry up again because one of its tasks is leaving.

        Args:
            entry: a complete entry.
            task_id: the task that leaves.

        Returns:
            The task that leaves; the others wait here for it or a successor.
        """
        remaining = {task.task_id: task for task in entry.tasks}
        leaving = remaining.pop(task_id)
        if remaining:
            self._incomplete[task_id.job_id] = remaining
        return leaving

    def remove(self, task_id: TaskId) -> PendingTask:
        """Remove a task of an incomplete gang.

        Args:
            task_id: the task.

        Returns:
            The task.

        Raises:
            UnknownTaskError: it does not wait here.
        """
        tasks = self._incomplete.get(task_id.job_id, {})
        task = tasks.pop(task_id, None)
        if task is None:
            raise UnknownTaskError(f'task {task_id} does not wait')
        if not tasks:
            self._incomplete.pop(task_id.job_id)
        return task
