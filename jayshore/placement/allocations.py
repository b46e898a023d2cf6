"""The used and free resources of one worker."""

import dataclasses

from jayshore.placement.tasks import PendingTask, component_min
from jayshore.placement.urgent_reserve import uses_urgent_reserve
from jayshore.resources import NOTHING, Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerAllocation:
    """Used and free resources of one worker, by class of work.

    Attributes:
        capacity: the total capacity of the worker.
        urgent_reserve: what ordinary work must leave free.
        used: sum of the charges of all tasks.
        ordinary_used: sum of the charges of the tasks that may not use the
            urgent reserve.
        free: what is free for work that may use the urgent reserve; negative
            when the worker is overcommitted.
        ordinary_free: what is free for work that may not use it.
    """

    capacity: Resources
    urgent_reserve: Resources
    used: Resources = NOTHING
    ordinary_used: Resources = NOTHING

    free: Resources = dataclasses.field(init=False)
    ordinary_free: Resources = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Compute the free resources once, as they are read many times."""
        free = self.capacity - self.used
        object.__setattr__(self, 'free', free)  # noqa: WPS609
        unreserved = self.capacity - self.urgent_reserve - self.ordinary_used
        object.__setattr__(  # noqa: WPS609
            self, 'ordinary_free', component_min(free, unreserved)
        )

    @property
    def available_by_class(self) -> tuple[Resources, Resources]:
        """What is free for ordinary work and for work that uses the reserve.

        Indexed by whether the work may use the urgent reserve.
        """
        return (self.ordinary_free, self.free)

    def available_to(self, task: PendingTask) -> Resources:
        """Return what is free for the class of a task.

        Args:
            task: a task.

        Returns:
            The resources that the task may use.
        """
        return self.available_for(uses_reserve=uses_urgent_reserve(task))

    def available_for(self, *, uses_reserve: bool) -> Resources:
        """Return what is free for a class of work.

        Args:
            uses_reserve: whether the work may use the urgent reserve.

        Returns:
            The resources that such work may use.
        """
        return self.free if uses_reserve else self.ordinary_free

    def with_charge(
        self, task: PendingTask, charge: Resources
    ) -> 'WorkerAllocation':
        """Add the charge of a task.

        Args:
            task: the task, which decides the class of work.
            charge: the resources that it takes.

        Returns:
            The new allocation.
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
        """Remove the charge of a task.

        Args:
            task: the task, which decides the class of work.
            charge: the resources that it took.

        Returns:
            The new allocation.
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
