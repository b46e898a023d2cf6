"""Chooses workers for tasks that may crash the worker that starts them."""

from collections.abc import Collection, Iterable
from typing import Final

from jayshore.fleet.demands import GroupDemand, WorkerHeadroom

_MAX_SHARE: Final = 0.125
"""Share of the workers that suspects may occupy at a time."""

_MAX_SHARE_WHILE_IDLE: Final = 0.25
"""The same while less than half of the fleet is in use."""

_IDLE_BELOW: Final = 0.5
_MIN_WORKERS: Final = 2


def limit_probation(workers: Collection[WorkerHeadroom]) -> int:
    """Compute how many workers suspects may occupy at a time.

    Each of them may crash and is missing for seconds, which costs other work
    little only while the fleet is not needed.

    Args:
        workers: all usable workers.

    Returns:
        Number of workers.
    """
    total = sum(worker.capacity.cpu_millis for worker in workers)
    free = sum(worker.free.cpu_millis for worker in workers)
    idle = total - free < _IDLE_BELOW * total
    share = _MAX_SHARE_WHILE_IDLE if idle else _MAX_SHARE
    return max(_MIN_WORKERS, round(share * len(workers)))


def without_other_new_tasks(
    demand: GroupDemand, workers: Iterable[WorkerHeadroom]
) -> list[WorkerHeadroom]:
    """Leave out workers at which tasks of other groups were just started.

    Args:
        demand: suspects of a group.
        workers: workers that may run them.

    Returns:
        Workers at which a crash can be put down to the suspects.
    """
    return [
        worker
        for worker in workers
        if worker.new_groups <= {demand.group_id}
        and worker.reserved_for in {None, demand.group_id}
    ]


def least_used(workers: Iterable[WorkerHeadroom]) -> WorkerHeadroom | None:
    """Find the worker at which a crash harms least.

    Args:
        workers: candidates.

    Returns:
        An empty one if possible, None for no candidates.
    """
    return max(workers, key=_emptiness, default=None)


def _emptiness(worker: WorkerHeadroom) -> tuple[bool, int, str]:
    used = worker.capacity.cpu_millis - worker.free.cpu_millis
    return worker.empty, -used, worker.worker_id
