"""Index of the groups with waiting tasks, in the order of their ranks.

A round reads it instead of all jobs. It is rebuilt only where a job has
changed, and ranks, which change with time, are renewed a part at a time.
"""

import dataclasses
from collections.abc import Iterator
from typing import Final

from sortedcontainers import SortedKeyList

from jayshore.clock import Millis
from jayshore.fleet.demands import Scope
from jayshore.fleet.jobtable import GroupEntry, JobEntry, JobTable, TaskEntry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.model import FleetConfig, GroupId, Queue
from jayshore.fleet.ranking import Rank, rank_group
from jayshore.resources import Resources

MAX_CHANGES: Final = 100
"""Changed jobs that are indexed in one step, about 3 ms of processor time."""

_MAX_RENEWED: Final = 300
"""Up to this number of waiting groups, each round renews all ranks."""

_RENEWED_RANKS: Final = 100
"""Ranks that are renewed in a round when more groups wait."""

SortKey = tuple[Rank, GroupId]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class WaitingGroup:
    """A group with tasks that may start.

    Attributes:
        group: the group.
        tasks: its waiting tasks.
        queue: its queue in the configuration in force.
        key: position in the index.
        need: resources of one task.
        group_id: its id.
        workspace: its owner.
        least: number of tasks that have to start together.
        scope: what its room depends on.
        kind: service, label, and whether it may never probe a worker.
    """

    group: GroupEntry
    tasks: list[TaskEntry]
    queue: Queue
    key: SortKey
    need: Resources
    group_id: GroupId
    workspace: str
    least: int
    scope: Scope
    kind: tuple[str, str, bool]

    @property
    def rank(self) -> Rank:
        """Its rank when it was last renewed."""
        return self.key[0]


class WaitingIndex:
    """The groups of a job table that have tasks to place."""

    def __init__(self, *, job_table: JobTable, ledger: Ledger) -> None:
        """Create an empty index; `update` fills it.

        Args:
            job_table: the jobs.
            ledger: resources in use.
        """
        self._job_table = job_table
        self._ledger = ledger
        self._queues: dict[str, Queue] | None = None
        self._configured: tuple[Queue, ...] = ()
        self._groups: dict[GroupId, WaitingGroup] = {}
        self._by_job: dict[str, list[GroupId]] = {}
        self._sorted = SortedKeyList(key=_sort_key)
        self._later: dict[str, JobEntry] = {}
        self._unrenewed: list[WaitingGroup] = []
        self._touched: list[GroupId] = []

    def __len__(self) -> int:
        """Return the number of waiting groups."""
        return len(self._groups)

    def __contains__(self, group_id: object) -> bool:
        """Return whether a group waits."""
        return group_id in self._groups

    def scope(self, group_id: GroupId) -> Scope:
        """Return what the room of a waiting group depends on.

        Args:
            group_id: a group of the index.

        Returns:
            Its service, label and workspace.
        """
        return self._groups[group_id].scope

    def take_touched(self) -> list[GroupId]:
        """Take the groups that were added or removed since the last call.

        Returns:
            Their ids; a group may be named several times.
        """
        touched = self._touched
        self._touched = []
        return touched

    def update(self, config: FleetConfig, now: Millis, wall_ms: int) -> bool:
        """Index up to `MAX_CHANGES` changed jobs.

        Args:
            config: the configuration in force.
            now: time on the local clock, in ms.
            wall_ms: time of day, in ms since the Unix epoch.

        Returns:
            True when no change is left.
        """
        changed = self._job_table.changed
        if self._configured != config.queues or self._queues is None:
            self._configured = config.queues
            self._queues = {queue.name: queue for queue in config.queues}
            for entry in self._job_table.active():
                entry.note_change()
        for _ in range(min(MAX_CHANGES, len(changed))):
            job_id = next(iter(changed))
            self._index_job(changed.pop(job_id), now, wall_ms)
        return not changed

    def renew_ranks(self, now: Millis) -> None:
        """Renew ranks: all of a short index, and a part of a long one.

        Args:
            now: time on the local clock, in ms.
        """
        if len(self._groups) <= _MAX_RENEWED:
            for waiting in self._groups.values():
                self.move(waiting, self.current_key(waiting, now))
            return
        if not self._unrenewed:
            self._unrenewed = list(self._groups.values())
        for waiting in self._unrenewed[-_RENEWED_RANKS:]:
            if self._groups.get(waiting.group_id) is waiting:
                self.move(waiting, self.current_key(waiting, now))
        del self._unrenewed[-_RENEWED_RANKS:]

    def requeue_later(self) -> None:
        """Look again at the groups that were not due yet."""
        for entry in self._later.values():
            entry.note_change()
        self._later.clear()

    def current_key(self, waiting: WaitingGroup, now: Millis) -> SortKey:
        """Rank a group anew; it keeps its position in the index.

        Args:
            waiting: the group.
            now: time on the local clock, in ms.

        Returns:
            Its present sort key.
        """
        group = waiting.group
        rank = rank_group(group, group.job, waiting.queue, now)
        return rank, group.group_id

    def move(self, waiting: WaitingGroup, key: SortKey) -> None:
        """Change the position of a group.

        Args:
            waiting: a group of the index.
            key: its new sort key.
        """
        if key != waiting.key:
            self._sorted.remove(waiting)
            waiting.key = key
            self._sorted.add(waiting)

    def walk(self, first: SortKey | None = None) -> Iterator[WaitingGroup]:
        """Iterate in the order of ranks; the index must not change meanwhile.

        Args:
            first: sort key from which to begin, None for the best rank.

        Yields:
            The groups.
        """
        if first is None:
            yield from self._sorted
        else:
            yield from self._sorted.irange_key(first)

    def _index_job(self, entry: JobEntry, now: Millis, wall_ms: int) -> None:
        for group_id in self._by_job.pop(entry.job.job_id, ()):
            self._sorted.remove(self._groups.pop(group_id))
            self._touched.append(group_id)
        for group in entry.unfinished():
            tasks = group.waiting()
            if tasks and entry.is_ready(group) and not self._is_held(group):
                if group.due_at_ms > wall_ms:
                    self._later[entry.job.job_id] = entry
                else:
                    self._add(group, tasks, now)

    def _is_held(self, group: GroupEntry) -> bool:
        """Return whether a gang still holds resources of its former runs."""
        return group.spec.gang and any(map(self._ledger.holds, group.tasks))

    def _add(
        self, group: GroupEntry, tasks: list[TaskEntry], now: Millis
    ) -> None:
        accepted = group.job.job.queue
        queue = (self._queues or {}).get(accepted.name, accepted)
        group_id = group.group_id
        spec = group.spec
        need = spec.reserved
        waiting = WaitingGroup(
            group=group,
            tasks=tasks,
            queue=queue,
            key=(rank_group(group, group.job, queue, now), group_id),
            need=need,
            group_id=group_id,
            workspace=group.job.job.workspace,
            least=len(tasks) if spec.gang else 1,
            scope=Scope(
                queue.service, spec.required_label, group.job.job.workspace
            ),
            kind=(
                queue.service,
                spec.required_label,
                spec.gang or spec.long_running,
            ),
        )
        self._groups[group_id] = waiting
        self._sorted.add(waiting)
        self._by_job.setdefault(group_id.job_id, []).append(group_id)
        self._touched.append(group_id)


def _sort_key(waiting: WaitingGroup) -> SortKey:
    return waiting.key
