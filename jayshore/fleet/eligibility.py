"""Which workers a demand may use, and how many of its tasks each may take."""

from collections.abc import Iterable

from jayshore.fleet.demands import GroupDemand, WaitReason, WorkerHeadroom
from jayshore.resources import NOTHING, Resources


def is_eligible(worker: WorkerHeadroom, demand: GroupDemand) -> bool:
    """Return whether a worker may run a demand, regardless of resources.

    Args:
        worker: the worker.
        demand: waiting tasks.

    Returns:
        True when its service and labels match, its domain is not evacuated,
        and it is not quarantined or may be used all the same.
    """
    return not worker.evacuated and is_suitable(worker, demand)


def is_suitable(worker: WorkerHeadroom, demand: GroupDemand) -> bool:
    """Return whether a worker may run a demand unless it is evacuated.

    Args:
        worker: the worker.
        demand: waiting tasks.

    Returns:
        True when it is eligible outside evacuations.
    """
    return (
        worker.service == demand.service
        and (
            not demand.required_label or demand.required_label in worker.labels
        )
        and (
            not worker.quarantined
            or demand.any_worker
            or (worker.probe and demand.may_probe)
        )
    )


def explain_lack(
    demand: GroupDemand,
    evacuated: Iterable[WorkerHeadroom],
    otherwise: WaitReason,
) -> WaitReason:
    """Explain why a demand has no worker that may run it.

    Args:
        demand: waiting tasks.
        evacuated: the workers in evacuated domains.
        otherwise: the reason when none of these could run it either.

    Returns:
        `EVACUATED` when one of them could.
    """
    for worker in evacuated:
        if (
            is_suitable(worker, demand)
            and demand.need.fits_in(worker.capacity)
            and (not demand.evaluated or worker.worker_id in demand.tickets)
        ):
            return WaitReason.EVACUATED
    return otherwise


def avoid_failed_workers(
    demand: GroupDemand, workers: list[WorkerHeadroom]
) -> list[WorkerHeadroom]:
    """Leave out workers on which a task failed, when one attempt is left.

    A worker that fails every task is soon empty again while the others are
    full. It would use up the attempts of a job that could succeed elsewhere.

    Args:
        demand: waiting tasks.
        workers: workers that may run them.

    Returns:
        The workers without a failure, or all if there is no such worker.
    """
    if not demand.last_attempt:
        return workers
    others = [
        worker for worker in workers if worker.worker_id not in demand.failed_on
    ]
    return others or workers


def slot_limit(worker: WorkerHeadroom, demand: GroupDemand) -> int:
    """Compute how many tasks of a demand a worker may take.

    Every limit holds beside the others.

    Args:
        worker: an eligible worker.
        demand: waiting tasks.

    Returns:
        Number of tasks, regardless of resources.
    """
    limits = [len(demand.indexes)]
    if worker.quarantined and not demand.any_worker:
        limits.append(int(worker.probe))
    if demand.max_per_worker:
        placed = worker.group_runs.get(demand.group_id, 0)
        limits.append(demand.max_per_worker - placed)
    return max(0, min(limits))


def count_fits(demand: GroupDemand, available: Resources) -> int:
    """Count how many tasks of a demand fit in an amount of resources.

    Args:
        demand: waiting tasks.
        available: the resources.

    Returns:
        Number of tasks.
    """
    if not NOTHING.fits_in(available):
        return 0
    counts = [
        free // wanted
        for wanted, free in zip(demand.need, available, strict=True)
        if wanted
    ]
    return min(counts, default=len(demand.indexes))
