"""Publishes what instances refuse, and limits the waiting jobs of a workspace.

Without a limit one workspace could fill the leader's memory and the store, and
slow every placement round down for all others.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.jobtable import JobEntry
from jayshore.fleet.phases import JobState
from jayshore.fleet.refusals import Refusal, RefusalNotice

MAX_WAITING: Final = 3000
"""Waiting jobs from which a workspace is refused.

At the design size a workspace submits about twenty jobs a day; 3,000 jobs take
about 6 MB of the leader's memory.
"""

RESUME_WAITING: Final = 2400
"""Waiting jobs below which a refused workspace is accepted again.

The hysteresis keeps a workspace at its limit from alternating between refused
and accepted.
"""

MAX_TASKS: Final = 50_000
"""Unfinished tasks of accepted jobs from which a workspace is refused.

A task takes 0.3 KB of the leader's memory, so they take 15 MB.
"""

MAX_ALL_TASKS: Final = 200_000
"""Unfinished tasks from which each workspace is refused that holds its share.

They take 60 MB; what is accepted before instances learn of it comes on top.
"""

_RESUME_SHARE: Final = 0.8
"""Share of a limit on tasks below which a workspace is accepted again."""

CONFIRM_MS: Final = Millis(1000)
"""Time after which the leader confirms what is refused, in ms.

Instances stop refusing when a value has not been confirmed for 3,000 ms, so
two confirmations may be lost.
"""


class BacklogMeter:
    """Tracks what is refused, and when it has to be published."""

    def __init__(self) -> None:
        """Create a meter that does not know what a former leader published."""
        self._notice: RefusalNotice | None = None
        self._published_at = Millis(0)

    @property
    def notice(self) -> RefusalNotice:
        """What is refused."""
        return self._notice or RefusalNotice()

    def update(
        self,
        jobs: Iterable[JobEntry],
        refusals: tuple[Refusal, ...] = (),
        now: Millis | None = None,
    ) -> bool:
        """Count the waiting jobs and tasks, and update what is refused.

        Args:
            jobs: all jobs that have not ended.
            refusals: submissions that would wait too long.
            now: time on the leader's clock in ms, None for no confirmation.

        Returns:
            True when the notice has to be published: on the first call, when
            it has changed, and when it has to be confirmed.
        """
        waiting: collections.Counter[str] = collections.Counter()
        tasks: collections.Counter[str] = collections.Counter()
        for entry in jobs:
            workspace = entry.job.workspace
            waiting[workspace] += entry.state is JobState.QUEUED
            tasks[workspace] += _count_unfinished(entry)
        task_limit = _limit_tasks(tasks)
        full = tuple(
            sorted(
                name
                for name, count in waiting.items()
                if count >= self._limit(name)
                or tasks[name] >= self._task_limit(name, task_limit)
            )
        )
        known = self._notice
        if (
            known is not None
            and (known.workspaces, known.refusals) == (full, refusals)
            and not self._is_confirmation_due(now)
        ):
            return False
        self._notice = RefusalNotice(
            workspaces=full,
            refusals=refusals,
            confirmed=self.notice.confirmed + 1,
        )
        self._published_at = self._published_at if now is None else now
        return True

    def _limit(self, workspace: str) -> int:
        full = workspace in self.notice.workspaces
        return RESUME_WAITING if full else MAX_WAITING

    def _task_limit(self, workspace: str, limit: int) -> float:
        full = workspace in self.notice.workspaces
        return limit * _RESUME_SHARE if full else limit

    def _is_confirmation_due(self, now: Millis | None) -> bool:
        if now is None or not (self.notice.workspaces or self.notice.refusals):
            return False
        return now - self._published_at >= CONFIRM_MS


def _limit_tasks(tasks: Mapping[str, int]) -> int:
    """Return the limit on the unfinished tasks of each workspace."""
    if sum(tasks.values()) < MAX_ALL_TASKS:
        return MAX_TASKS
    return min(MAX_TASKS, MAX_ALL_TASKS // len(tasks))


def _count_unfinished(entry: JobEntry) -> int:
    """Count the tasks of a job that are not done, also those not due yet."""
    if entry.state is JobState.QUEUED:
        return sum(group.count for group in entry.job.groups)
    return sum(group.spec.count - group.done for group in entry.unfinished())
