"""Tells which jobs exceed the rate that a workspace is owed.

Answers a workspace that submits many times its usual: what exceeds its weight
in jobs a second is still accepted, and considered after all other work.
"""

from typing import Final

from jayshore.fleet.model import FleetConfig

_BURST_S: Final = 1.0
_MILLIS_PER_SECOND: Final = 1000


class SubmissionRateMeter:
    """A token bucket for each workspace, filled at its weight."""

    def __init__(self) -> None:
        """Start with full buckets."""
        self._levels: dict[str, tuple[float, int]] = {}

    def admit(
        self, config: FleetConfig, workspace: str, accepted_at_ms: int
    ) -> bool:
        """Count a job.

        Args:
            config: the configuration in force.
            workspace: its owner.
            accepted_at_ms: when it was accepted, in ms since the Unix epoch.

        Returns:
            False when the workspace has exceeded its rate.
        """
        weights = {
            candidate.name: candidate.weight for candidate in config.workspaces
        }
        weight = weights.get(workspace)
        if not weight:
            return True
        most = max(1.0, weight * _BURST_S)
        level, counted_at = self._levels.get(workspace, (most, accepted_at_ms))
        elapsed = max(0, accepted_at_ms - counted_at) / _MILLIS_PER_SECOND
        level = min(most, level + elapsed * weight)
        counted_at = max(counted_at, accepted_at_ms)
        admitted = level >= 1
        if admitted:
            level -= 1
        self._levels[workspace] = (level, counted_at)
        return admitted
