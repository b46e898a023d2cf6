"""Records the progress of jobs, so that a write costs what has changed.

The segments of a change are queued before the progress record. A leader that
is lost in between leaves rows that are newer than the state of the job, and
never a state that says more than the rows.
"""

from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import TypeAlias

from jayshore.fleet.jobtable import GroupEntry, JobEntry, TaskEntry
from jayshore.fleet.phases import FINAL_STATES, JobState
from jayshore.fleet.recordkeys import (
    SegmentId,
    cancel_key,
    job_key,
    progress_key,
    segment_key,
)
from jayshore.fleet.records import (
    StoredProgress,
    encode_progress,
    encode_segment,
    is_large,
    segment_of,
    segments_of,
)
from jayshore.fleet.restoring import restore_progress
from jayshore.store.journal import Journal

_Callback: TypeAlias = Callable[[], Awaitable[None]]


class ProgressWriter:
    """Writes the progress of jobs to the journal of one leader."""

    def __init__(self, *, journal: Journal) -> None:
        """Create a writer.

        Args:
            journal: makes the records durable.
        """
        self._journal = journal

    def record(
        self,
        entry: JobEntry,
        tasks: Iterable[TaskEntry] = (),
        callback: _Callback | None = None,
    ) -> None:
        """Record the state of a job, and a change of some of its tasks.

        Args:
            entry: the job.
            tasks: the tasks that have changed.
            callback: awaited once all of the change is durable.
        """
        if not is_large(entry.job):
            self._write_progress(entry, (), callback)
            return
        groups = {task.group.group_id: task.group for task in tasks}
        finished = [
            group
            for group in groups.values()
            if group.finished and not group.settled
        ]
        changed = {
            segment_of(task): task.group
            for task in tasks
            if not task.group.finished
        }
        is_new_state = entry.state is not entry.durable_state
        writes_progress = bool(is_new_state or finished or not changed)
        joined = _Joined(len(changed) + writes_progress, callback)
        for segment, group in changed.items():
            self._write_segment(group, segment, joined.note_durable)
        if writes_progress:
            self._write_progress(entry, finished, joined.note_durable)

    def restore(self, entry: JobEntry, stored: StoredProgress) -> None:
        """Restore the progress of a job, and convert records of other forms.

        Args:
            entry: the job, with entries of its first occurrence.
            stored: its records.
        """
        restore_progress(entry, stored)
        for segment in stored.segments:
            group = entry.groups.get(segment.group)
            if group is None or group.settled:
                self._journal.write(segment_key(segment), _encode_removal)
        if stored.record.tasks and is_large(entry.job):
            self._convert(entry)

    def forget(self, entry: JobEntry) -> None:
        """Remove all records of a job.

        The accepted job is removed first, as its tasks would run again if it
        were read without its progress.

        Args:
            entry: the job.
        """
        job_id = entry.job.job_id
        keys = [job_key(job_id), progress_key(job_id), cancel_key(job_id)]
        if is_large(entry.job):
            keys.extend(
                segment_key(segment)
                for group in entry.groups.values()
                if not group.settled
                for segment in segments_of(group)
            )
        self._remove(keys)

    def forget_orphan(self, job_id: str, stored: StoredProgress) -> None:
        """Remove the records of a job that is not stored any more.

        Args:
            job_id: the job.
            stored: its records.
        """
        self._remove([progress_key(job_id), *map(segment_key, stored.segments)])

    def _convert(self, entry: JobEntry) -> None:
        """Replace the rows in the progress record by segments.

        The progress record is queued last, as it is written without them.
        """
        for unfinished in entry.unfinished():
            self._write_segments(unfinished)
        finished = [group for group in entry.groups.values() if group.finished]
        self._write_progress(entry, finished, None)

    def _write_segments(self, group: GroupEntry) -> None:
        for segment in segments_of(group):
            self._write_segment(group, segment)

    def _write_progress(
        self,
        entry: JobEntry,
        finished: Iterable[GroupEntry],
        callback: _Callback | None,
    ) -> None:
        self._journal.write(
            progress_key(entry.job.job_id),
            partial(encode_progress, entry),
            partial(
                self._note_recorded, entry, entry.state, finished, callback
            ),
        )

    def _write_segment(
        self,
        group: GroupEntry,
        segment: SegmentId,
        callback: _Callback | None = None,
    ) -> None:
        self._journal.write(
            segment_key(segment),
            partial(encode_segment, group, segment.number),
            callback,
        )

    async def _note_recorded(
        self,
        entry: JobEntry,
        state: JobState,
        finished: Iterable[GroupEntry],
        callback: _Callback | None,
    ) -> None:
        """Make a state visible to callers, and drop what it replaces."""
        if entry.durable_state not in FINAL_STATES:
            entry.durable_state = state
        for group in finished:
            group.settled = True
            self._write_segments(group)
        if callback is not None:
            await callback()

    def _remove(self, keys: Iterable[str]) -> None:
        for key in keys:
            self._journal.write(key, _encode_removal)


class _Joined:
    """Awaits a callback once a number of records is durable."""

    def __init__(self, count: int, callback: _Callback | None) -> None:
        self._missing = count
        self._callback = callback

    async def note_durable(self) -> None:
        """Note that one more record is durable."""
        self._missing -= 1
        if not self._missing and self._callback is not None:
            await self._callback()


def _encode_removal() -> str | None:
    """Encode the removal of a key; the journal deletes a key without value."""
