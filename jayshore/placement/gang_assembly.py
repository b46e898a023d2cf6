"""Holds the tasks of gangs that are not complete yet."""

from jayshore.placement.decisions import DuplicateError, UnknownTaskError
from jayshore.placement.entries import QueueEntry, is_gang
from jayshore.placement.tasks import PendingTask, TaskId


class GangAssembly:
    """Collects the tasks of each gang until it is complete."""

    def __init__(self) -> None:
        """Create an assembly without tasks."""
        self._incomplete: dict[str, dict[TaskId, PendingTask]] = {}

    def add(self, task: PendingTask) -> QueueEntry | None:
        """Add a waiting task.

        Args:
            task: a task of any kind.

        Returns:
            The entry that the task completes, or None.

        Raises:
            DuplicateError: the task is already waiting.
        """
        if not is_gang(task):
            return QueueEntry(tasks=(task,))
        job_id = task.task_id.job_id
        tasks = self._incomplete.setdefault(job_id, {})
        if task.task_id in tasks:
            raise DuplicateError(f'task {task.task_id} is already waiting')
        tasks[task.task_id] = task
        if len(tasks) < task.gang_size:
            return None
        self._incomplete.pop(job_id)
        return QueueEntry(tasks=tuple(tasks[key] for key in sorted(tasks)))

    def split(self, entry: QueueEntry, task_id: TaskId) -> PendingTask:
        """Split an entry from which one task is withdrawn.

        Args:
            entry: a complete entry.
            task_id: the task that is withdrawn.

        Returns:
            The withdrawn task; the others are kept until the gang is complete
            again.
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
            The removed task.

        Raises:
            UnknownTaskError: the task is not waiting in an incomplete gang.
        """
        tasks = self._incomplete.get(task_id.job_id, {})
        task = tasks.pop(task_id, None)
        if task is None:
            raise UnknownTaskError(f'task {task_id} is not waiting')
        if not tasks:
            self._incomplete.pop(task_id.job_id)
        return task
