"""Whether a job could run on an empty cell."""

from collections.abc import Iterable

from jayshore.placement.tasks import component_min
from jayshore.resources import NOTHING, Resources, total


def slots(demand: Resources, room: Resources, at_most: int) -> int:
    """Count how often a demand fits in a room.

    Args:
        demand: what one task takes.
        room: what is free; a negative component fits nothing.
        at_most: the answer's upper bound.

    Returns:
        A count between 0 and `at_most`.
    """
    if not demand.fits_in(room):
        return 0
    count = at_most
    if demand.cpu_millis:
        count = min(count, room.cpu_millis // demand.cpu_millis)
    if demand.memory_mb:
        count = min(count, room.memory_mb // demand.memory_mb)
    if demand.accelerators:
        count = min(count, room.accelerators // demand.accelerators)
    if demand.requests:
        count = min(count, room.requests // demand.requests)
    return count


def unsatisfiable_resources(
    demand: Resources,
    capacities: Iterable[Resources],
    gang_size: int = 1,
) -> tuple[str, ...]:
    """Name the resources for which a job could not even run alone.

    Args:
        demand: what one task takes.
        capacities: what each worker offers to this kind of work when empty;
            see `jayshore.placement.urgent_reserve`.
        gang_size: how many tasks must run together.

    Returns:
        Field names of `Resources`: those that no worker has enough of, or for a
        gang, those whose sum over the workers is short; when only the
        combination is short, all fields that are asked for. Empty when it fits.
    """
    rooms = tuple(capacities)
    if sum(slots(demand, room, gang_size) for room in rooms) >= gang_size:
        return ()
    short = demand.short_of(_largest(rooms))
    if not short:
        short = demand.scaled(gang_size).short_of(total(rooms))
    return short or demand.short_of(NOTHING)


def _largest(rooms: tuple[Resources, ...]) -> Resources:
    best = NOTHING
    for room in rooms:
        best = best + room - component_min(best, room)
    return best
