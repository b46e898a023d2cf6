"""The reserved lane: room on each worker that only urgent work may fill.

Source: trunk reservation (Kelly, "Routing and Capacity Allocation in Networks
with Trunk Reservation", Math. Oper. Res. 15(4), 1990): a fixed part of a
resource is closed to the class of work that arrives in bulk.
"""

from jayshore.placement.policy import Policy
from jayshore.placement.tasks import PendingTask, TaskKind
from jayshore.resources import NOTHING, Resources

LANE_DIVISOR = 16
"""One sixteenth is one core of a 16-core worker, the size of one preview."""


class UrgentReserve(Policy[Resources, Resources]):
    """Reserve `ceil(capacity / LANE_DIVISOR)` of processors and memory.

    Accelerators are not reserved: workers have few, and a reserved one would
    stay idle.
    """

    def evaluate(self, case: Resources) -> Resources:
        """Size the lane of one worker.

        Args:
            case: the capacity of the worker.

        Returns:
            What ordinary work must leave free.
        """
        return Resources(
            cpu_millis=-(-case.cpu_millis // LANE_DIVISOR),
            memory_mb=-(-case.memory_mb // LANE_DIVISOR),
        )


class NoUrgentReserve(Policy[Resources, Resources]):
    """Reserve nothing, for cells without urgent work."""

    def evaluate(self, case: Resources) -> Resources:
        """Size the lane of one worker.

        Args:
            case: the capacity of the worker.

        Returns:
            Nothing.
        """
        return NOTHING


def uses_urgent_reserve(task: PendingTask) -> bool:
    """Tell whether a task may fill the reserved lane.

    Args:
        task: the task.

    Returns:
        True for previews and urgent tasks.
    """
    return task.urgent or task.kind is TaskKind.PREVIEW
