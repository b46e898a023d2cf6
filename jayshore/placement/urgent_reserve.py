"""The urgent reserve: capacity on each worker that only urgent work may use.

Source: trunk reservation (Kelly, "Routing and Capacity Allocation in Networks
with Trunk Reservation", Math. Oper. Res. 15(4), 1990): a fixed part of a
resource is closed to the class of work that arrives in bulk.
"""

from jayshore.placement.policy import Policy
from jayshore.placement.tasks import PendingTask, TaskKind
from jayshore.resources import NOTHING, Resources

URGENT_RESERVE_DIVISOR = 16
"""A sixteenth is one core of a 16-core worker, the size of one preview."""


class UrgentReserve(Policy[Resources, Resources]):
    """Reserves `ceil(capacity / URGENT_RESERVE_DIVISOR)` of CPU and memory.

    Accelerators are not reserved: workers have few, and a reserved one would
    stay idle.
    """

    def evaluate(self, case: Resources) -> Resources:
        """Compute the reserve of one worker.

        Args:
            case: the capacity of the worker.

        Returns:
            What ordinary work must leave free.
        """
        return Resources(
            cpu_millis=-(-case.cpu_millis // URGENT_RESERVE_DIVISOR),
            memory_mb=-(-case.memory_mb // URGENT_RESERVE_DIVISOR),
        )


class NoUrgentReserve(Policy[Resources, Resources]):
    """Reserves nothing, for cells without urgent work and for such work."""

    def evaluate(self, case: Resources) -> Resources:
        """Compute the reserve of one worker.

        Args:
            case: the capacity of the worker.

        Returns:
            Always zero.
        """
        return NOTHING


def uses_urgent_reserve(task: PendingTask) -> bool:
    """Return whether a task may use the urgent reserve.

    Args:
        task: the task.

    Returns:
        True for previews and urgent tasks.
    """
    return task.urgent or task.kind is TaskKind.PREVIEW
