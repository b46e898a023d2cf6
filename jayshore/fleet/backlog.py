"""Admission limit: workspaces with too many waiting jobs are refused.

Without a limit one workspace could fill the leader's memory and the store, and
slow every placement round down for all others.
"""

import collections
from collections.abc import Iterable
from typing import Final

import msgspec

from jayshore.decoding import DECODE_ERRORS
from jayshore.fleet.jobtable import JobEntry, JobState

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

FULL_KEY: Final = 'domains/deployment/full'
"""Key under which the leader publishes the refused workspaces to instances."""


class BacklogMeter:
    """Tracks which workspaces have a full backlog."""

    def __init__(self) -> None:
        """Create a meter that does not know what a former leader published."""
        self._full: frozenset[str] | None = None

    @property
    def full_workspaces(self) -> frozenset[str]:
        """Workspaces that are refused."""
        return self._full or frozenset()

    def update(self, jobs: Iterable[JobEntry]) -> bool:
        """Count the waiting jobs and update the refused workspaces.

        Args:
            jobs: all jobs that have not ended.

        Returns:
            True when the refused workspaces have to be published: on the first
            call, and when they have changed.
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
    """Encode the names of refused workspaces.

    Args:
        workspaces: the names.

    Returns:
        JSON text.
    """
    return msgspec.json.encode(sorted(workspaces)).decode()


def decode_workspaces(text: str) -> frozenset[str]:
    """Decode the names of refused workspaces.

    Args:
        text: JSON text.

    Returns:
        The names; none for a value that cannot be decoded.
    """
    try:
        return frozenset(msgspec.json.decode(text, type=list[str]))
    except DECODE_ERRORS:
        return frozenset()
