"""Checks how many tasks fit, and whether a job could run on an empty cell."""

from collections.abc import Iterable

from jayshore.placement.tasks import component_min
from jayshore.resources import NOTHING, Resources, total


def count_fitting(demand: Resources, available: Resources, at_most: int) -> int:
    """Count how many tasks of one demand fit in the available resources.

    Args:
        demand: the demand of one task.
        available: the free resources; nothing fits when a component is
            negative.
        at_most: the upper bound of the result.

    Returns:
        A count between 0 and `at_most`.
    """
    if not demand.fits_in(available):
        return 0
    count = at_most
    if demand.cpu_millis:
        count = min(count, available.cpu_millis // demand.cpu_millis)
    if demand.memory_mb:
        count = min(count, available.memory_mb // demand.memory_mb)
    if demand.accelerators:
        count = min(count, available.accelerators // demand.accelerators)
    if demand.requests:
        count = min(count, available.requests // demand.requests)
    return count


def unsatisfiable_resources(
    demand: Resources,
    capacities: Iterable[Resources],
    gang_size: int = 1,
) -> tuple[str, ...]:
    """Return the resources for which a job cannot run even on an empty cell.

    Args:
        demand: the demand of one task.
        capacities: what each empty worker offers to this class of work; see
            `jayshore.placement.urgent_reserve`.
        gang_size: the number of tasks that must run together.

    Returns:
        Field names of `Resources`: those that no worker has enough of, or for a
        gang, those whose sum over the workers is short; when only the
        combination is short, all fields that are asked for. Empty when it fits.
    """
    by_worker = tuple(capacities)
    if (
        sum(
            count_fitting(demand, capacity, gang_size) for capacity in by_worker
        )
        >= gang_size
    ):
        return ()
    short = demand.components_exceeding(_component_max(by_worker))
    if not short:
        short = demand.scaled(gang_size).components_exceeding(total(by_worker))
    return short or demand.components_exceeding(NOTHING)


def _component_max(capacities: tuple[Resources, ...]) -> Resources:
    largest = NOTHING
    for capacity in capacities:
        largest = largest + capacity - component_min(largest, capacity)
    return largest
