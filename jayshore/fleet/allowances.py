"""What workspaces with a maximum may start."""

from typing import Final

from jayshore.resources import Resources

_UNLIMITED: Final = 1 << 60


def limit_allowance(maximum: Resources, used: Resources) -> Resources:
    """Compute the resources that a workspace may still start.

    Args:
        maximum: limit of the workspace; a component of 0 has no limit.
        used: resources of its running tasks.

    Returns:
        The remainder, negative when usage exceeds a limit that was lowered.
    """
    limit = Resources(
        cpu_millis=maximum.cpu_millis or _UNLIMITED,
        memory_mb=maximum.memory_mb or _UNLIMITED,
        accelerators=maximum.accelerators or _UNLIMITED,
    )
    return limit - used
