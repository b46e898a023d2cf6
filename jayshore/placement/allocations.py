"""What is taken and what is free on one worker."""

import dataclasses

from jayshore.placement.tasks import PendingTask, component_min
from jayshore.placement.urgent_reserve import uses_urgent_reserve
from jayshore.resources import NOTHING, Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerAllocation:
    """The accounts of one worker.

    Attributes:
        capacity: all that the worker can run.
        lane: what ordinary work must leave free.
        used: the charges of all tasks.
        ordinary_used: the charges of the tasks that may not use the lane.
        free: room for work that may use the lane; negative when overdrawn.
        ordinary_room: room for work that may not use the lane.
    """

    capacity: Resources
    urgent_reserve: Resources
    used: Resources = NOTHING
    ordinary_used: Resources = NOTHING

    free: Resources = dataclasses.field(init=False)
    ordinary_free: Resources = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Derive the rooms once, as they are read many times."""
        free = self.capacity - self.used
        object.__setattr__(self, 'free', free)  # noqa: WPS609
        unreserved = self.capacity - self.urgent_reserve - self.ordinary_used
        object.__setattr__(  # noqa: WPS609
            self, 'ordinary_free', component_min(free, unreserved)
        )

    @property
    def available_by_class(self) -> tuple[Resources, Resources]:
        """The rooms for ordinary work and for work that may use the lane."""
        return (self.ordinary_free, self.free)

    def available_to(self, task: PendingTask) -> Resources:
        """Select the room by the class of a task.

        Args:
            task: a task.

        Returns:
            What the task may use.
        """
        return self.available_for(uses_reserve=uses_urgent_reserve(task))

    def available_for(self, *, uses_reserve: bool) -> Resources:
        """Select the room by class.

        Args:
            in_lane: whether the work may use the lane.

        Returns:
            What such work may use.
        """
        return self.free if uses_reserve else self.ordinary_free

    def with_charge(
        self, task: PendingTask, charge: Resources
    ) -> 'WorkerAllocation':
        """Add a task.

        Args:
            task: the task.
            charge: what it takes.

        Returns:
            The accounts afterwards.
        """
        ordinary = self.ordinary_used
        return WorkerAllocation(
            capacity=self.capacity,
            urgent_reserve=self.urgent_reserve,
            used=self.used + charge,
            ordinary_used=ordinary
            if uses_urgent_reserve(task)
            else ordinary + charge,
        )

    def without_charge(
        self, task: PendingTask, charge: Resources
    ) -> 'WorkerAllocation':
        """Remove a task.

        Args:
            task: the task.
            charge: what it took.

        Returns:
            The accounts afterwards.
        """
        ordinary = self.ordinary_used
        return WorkerAllocation(
            capacity=self.capacity,
            urgent_reserve=self.urgent_reserve,
            used=self.used - charge,
            ordinary_used=ordinary
            if uses_urgent_reserve(task)
            else ordinary - charge,
        )
