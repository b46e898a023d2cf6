"""Decides when waiting work may use workers that are quarantined.

Tasks that always fail, and workers that fail for a while, quarantine healthy
workers too. Quarantine therefore only ranks workers: work that finds no room
elsewhere uses what is there, unless the fleet is busy, when every task would
end up at a worker that fails it at once and is free again.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.demands import WaitReason, WorkerHeadroom
from jayshore.fleet.model import GroupId

PATIENCE_MS: Final = Millis(1000)
"""How long work waits for other workers, in ms.

Work that can start has to start within 3 s, and may need advice on the
quarantined workers first.
"""

_BUSY_FROM: Final = 0.6
"""Share of a service's processors from which it counts as busy.

Work has to start while under half is in use. Runs that are being started or
stopped count here as well.
"""

_LACKS_WORKERS: Final = (
    WaitReason.NO_ROOM,
    WaitReason.NOT_ADVISED,
    WaitReason.NO_WORKER,
    WaitReason.EVACUATED,
)
"""A tuple, as thousands of reasons a round are compared by identity first."""


class WaitTimes:
    """Since when groups have been waiting for workers."""

    def __init__(self) -> None:
        """Start without waiting groups."""
        self._since: dict[GroupId, Millis] = {}

    def update(
        self, reached: Mapping[GroupId, WaitReason | None], now: Millis
    ) -> None:
        """Apply the result of a placement round.

        Groups that the round did not reach go on waiting.

        Args:
            reached: reason by group that the round has reached, None for one
                that waits no longer.
            now: time on the local clock, in ms.
        """
        since = self._since
        for group_id, reason in reached.items():
            if reason in _LACKS_WORKERS:
                since.setdefault(group_id, now)
            elif group_id in since:
                since.pop(group_id)

    def forget(self, group_id: GroupId) -> None:
        """Drop a group that waits no longer.

        Args:
            group_id: the group.
        """
        self._since.pop(group_id, None)

    def is_over(self, group_id: GroupId, now: Millis) -> bool:
        """Return whether a group has waited long enough.

        Args:
            group_id: the group.
            now: time on the local clock, in ms.

        Returns:
            True from `PATIENCE_MS` after the first round without workers.
        """
        since = self._since.get(group_id)
        return since is not None and now - since >= PATIENCE_MS


def busy_services(workers: Iterable[WorkerHeadroom]) -> set[str]:
    """Find the services of which most processors are in use.

    Args:
        workers: all usable workers, quarantined ones included.

    Returns:
        Names of the services.
    """
    capacity: dict[str, int] = {}
    free: dict[str, int] = {}
    for worker in workers:
        service = worker.service
        capacity[service] = (
            capacity.get(service, 0) + worker.capacity.cpu_millis
        )
        free[service] = free.get(service, 0) + worker.free.cpu_millis
    return {
        service
        for service, total in capacity.items()
        if total - free[service] >= _BUSY_FROM * total
    }
