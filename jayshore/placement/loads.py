"""What is taken and what is free on one worker."""

import dataclasses

from jayshore.placement.lane import uses_lane
from jayshore.placement.tasks import PendingTask, smaller
from jayshore.resources import NOTHING, Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """The accounts of one worker.

    Attributes:
        capacity: all that the worker can run.
        lane: what ordinary work must leave free.
        used: the charges of all tasks.
        ordinary_used: the charges of the tasks that may not use the lane.
    """

    capacity: Resources
    lane: Resources
    used: Resources = NOTHING
    ordinary_used: Resources = NOTHING

    @property
    def free(self) -> Resources:
        """Room for work that may use the lane; negative when overdrawn."""
        return self.capacity - self.used

    @property
    def ordinary_room(self) -> Resources:
        """Room for work that may not use the lane."""
        return smaller(
            self.free, self.capacity - self.lane - self.ordinary_used
        )

    def room_for(self, task: PendingTask) -> Resources:
        """Select the room by the class of a task.

        Args:
            task: a task.

        Returns:
            What the task may use.
        """
        return self.free if uses_lane(task) else self.ordinary_room

    def with_charge(self, task: PendingTask, charge: Resources) -> 'Load':
        """Add a task.

        Args:
            task: the task.
            charge: what it takes.

        Returns:
            The accounts afterwards.
        """
        ordinary = self.ordinary_used
        return Load(
            capacity=self.capacity,
            lane=self.lane,
            used=self.used + charge,
            ordinary_used=ordinary if uses_lane(task) else ordinary + charge,
        )

    def without_charge(self, task: PendingTask, charge: Resources) -> 'Load':
        """Remove a task.

        Args:
            task: the task.
            charge: what it took.

        Returns:
            The accounts afterwards.
        """
        ordinary = self.ordinary_used
        return Load(
            capacity=self.capacity,
            lane=self.lane,
            used=self.used - charge,
            ordinary_used=ordinary if uses_lane(task) else ordinary - charge,
        )
