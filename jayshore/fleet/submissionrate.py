"""Marks jobs beyond the submission rate that a workspace is entitled to.

Protects the other workspaces from one that submits many times its usual load:
jobs beyond its weight, in jobs per second, are still accepted but placed after
all other work.
"""

from typing import Final

from jayshore.fleet.model import FleetConfig

_BURST_S: Final = 1.0
_MILLIS_PER_SECOND: Final = 1000


class SubmissionRateMeter:
    """A token bucket per workspace, refilled at its weight (jobs/second)."""

    def __init__(self) -> None:
        """Create a meter whose buckets are full."""
        self._levels: dict[str, tuple[float, int]] = {}

    def admit(
        self, config: FleetConfig, workspace: str, accepted_at_ms: int
    ) -> bool:
        """Count a job against the rate of its workspace.

        Args:
            config: the configuration in force.
            workspace: owner of the job.
            accepted_at_ms: time of acceptance, in ms since the Unix epoch.

        Returns:
            False when the workspace has exceeded its rate.
        """
        weights = {
            candidate.name: candidate.weight for candidate in config.workspaces
        }
        weight = weights.get(workspace)
        if not weight:
            return True
        burst = max(1.0, weight * _BURST_S)
        level, counted_at = self._levels.get(workspace, (burst, accepted_at_ms))
        elapsed = max(0, accepted_at_ms - counted_at) / _MILLIS_PER_SECOND
        level = min(burst, level + elapsed * weight)
        counted_at = max(counted_at, accepted_at_ms)
        admitted = level >= 1
        if admitted:
            level -= 1
        self._levels[workspace] = (level, counted_at)
        return admitted
