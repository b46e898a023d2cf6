"""Gangs whose tasks have not all arrived."""

from jayshore.placement.decisions import DuplicateError, UnknownTaskError
from jayshore.placement.entries import Entry, is_gang
from jayshore.placement.tasks import PendingTask, TaskId


class GangAssembly:
    """Collects the tasks of each gang until it is complete."""

    def __init__(self) -> None:
        """Start empty."""
        self._parts: dict[str, dict[TaskId, PendingTask]] = {}

    def add(self, task: PendingTask) -> Entry | None:
        """Add a task.

        Args:
            task: a waiting task of any kind.

        Returns:
            The entry that is complete with it, or None.

        Raises:
            DuplicateError: the task is there already.
        """
        if not is_gang(task):
            return Entry(tasks=(task,))
        job_id = task.task_id.job_id
        parts = self._parts.setdefault(job_id, {})
        if task.task_id in parts:
            raise DuplicateError(f'task {task.task_id} waits already')
        parts[task.task_id] = task
        if len(parts) < task.gang_size:
            return None
        self._parts.pop(job_id)
        return Entry(tasks=tuple(parts[key] for key in sorted(parts)))

    def give_back(self, entry: Entry, task_id: TaskId) -> PendingTask:
        """Break an entry up again because one of its tasks is leaving.

        Args:
            entry: a complete entry.
            task_id: the task that leaves.

        Returns:
            The task that leaves; the others wait here for it or a successor.
        """
        left = {task.task_id: task for task in entry.tasks}
        leaving = left.pop(task_id)
        if left:
            self._parts[task_id.job_id] = left
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
        parts = self._parts.get(task_id.job_id, {})
        task = parts.pop(task_id, None)
        if task is None:
            raise UnknownTaskError(f'task {task_id} does not wait')
        if not parts:
            self._parts.pop(task_id.job_id)
        return task
