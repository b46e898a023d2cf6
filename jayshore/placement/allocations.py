"""What is taken and what is free on one worker."""

import dataclasses

from jayshore.placement.tasks import PendingTask, component_min
from jayshore.placement.urgent_reserve import uses_urgent_reserve
from jayshore.resources import NOTHING, Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
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
    lane: Resources
    used: Resources = NOTHING
    ordinary_used: Resources = NOTHING

    free: Resources = dataclasses.field(init=False)
    ordinary_room: Resources = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Derive the rooms once, as they are read many times."""
        free = self.capacity - self.used
        object.__setattr__(self, 'free', free)  # noqa: WPS609
        unreserved = self.capacity - self.lane - self.ordinary_used
        object.__setattr__(  # noqa: WPS609
            self, 'ordinary_room', component_min(free, unreserved)
        )

    @property
    def rooms(self) -> tuple[Resources, Resources]:
        """The rooms for ordinary work and for work that may use the lane."""
        return (self.ordinary_room, self.free)

    def room_for(self, task: PendingTask) -> Resources:
        """Select the room by the class of a task.

        Args:
            task: a task.

        Returns:
            What the task may use.
        """
        return self.room_of(in_lane=uses_urgent_reserve(task))

    def room_of(self, *, in_lane: bool) -> Resources:
        """Select the room by class.

        Args:
            in_lane: whether the work may use the lane.

        Returns:
            What such work may use.
        """
        return self.free if in_lane else self.ordinary_room

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
            ordinary_used=ordinary
            if uses_urgent_reserve(task)
            else ordinary + charge,
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
            ordinary_used=ordinary
            if uses_urgent_reserve(task)
            else ordinary - charge,
        )
