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

_LACKS_WORKERS: Final = frozenset(
    (
        WaitReason.NO_WORKER,
        WaitReason.EVACUATED,
        WaitReason.NOT_ADVISED,
        WaitReason.NO_ROOM,
    )
)


class WaitTimes:
    """Since when groups have been waiting for workers."""

    def __init__(self) -> None:
        """Start without waiting groups."""
        self._since: dict[GroupId, Millis] = {}

    def update(
        self, waiting: Mapping[GroupId, WaitReason], now: Millis
    ) -> None:
        """Apply the result of a placement round.

        Args:
            waiting: reason by waiting group.
            now: time on the local clock, in ms.
        """
        self._since = {
            group_id: self._since.get(group_id, now)
            for group_id, reason in waiting.items()
            if reason in _LACKS_WORKERS
        }

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
