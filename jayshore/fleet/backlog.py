"""Tells which workspaces have so many waiting jobs that more are refused.

Without a bound one workspace could fill the leader's memory and the store, and
make every round of placement slow for all others.
"""

import collections
from collections.abc import Iterable
from typing import Final

import msgspec

from jayshore.fleet.jobtable import JobEntry, JobState

MAX_WAITING: Final = 3000
"""Jobs of one workspace of which no task has started.

At the design size a workspace submits about twenty jobs a day; 3,000 jobs take
about 6 MB of the leader's memory.
"""

RESUME_WAITING: Final = 2400
"""Waiting jobs below which a workspace is accepted again.

The gap keeps a workspace at its bound from being refused and accepted in turn.
"""

FULL_KEY: Final = 'domains/deployment/full'
"""Key under which the leader tells the instances, beside their own entries."""


class BacklogMeter:
    """Remembers which workspaces are refused."""

    def __init__(self) -> None:
        """Start without knowing what a former leader told the instances."""
        self._full: frozenset[str] | None = None

    @property
    def full_workspaces(self) -> frozenset[str]:
        """The workspaces that are refused."""
        return self._full or frozenset()

    def update(self, jobs: Iterable[JobEntry]) -> bool:
        """Count waiting jobs.

        Args:
            jobs: all jobs that have not ended.

        Returns:
            True when the instances have to be told: the first time, and when
            other workspaces are refused than before.
        """
        waiting = collections.Counter(
            entry.job.workspace
            for entry in jobs
            if entry.state is JobState.QUEUED
        )
        full = frozenset(
            workspace
            for workspace, count in waiting.items()
            if count >= self._limit(workspace)
        )
        changed = full != self._full
        self._full = full
        return changed

    def _limit(self, workspace: str) -> int:
        return (
            RESUME_WAITING if workspace in self.full_workspaces else MAX_WAITING
        )


def encode_workspaces(workspaces: Iterable[str]) -> str:
    """Encode the workspaces that are refused.

    Args:
        workspaces: their names.

    Returns:
        JSON text.
    """
    return msgspec.json.encode(sorted(workspaces)).decode()


def decode_workspaces(text: str) -> frozenset[str]:
    """Decode the workspaces that are refused.

    Args:
        text: JSON text.

    Returns:
        Their names; none for a value that cannot be read.
    """
    try:
        return frozenset(msgspec.json.decode(text, type=list[str]))
    except msgspec.DecodeError:
        return frozenset()
