"""The resource vector of capacities, demands and limits."""

import dataclasses
from collections.abc import Iterable, Iterator


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resources:
    """An amount of each resource.

    Attributes:
        cpu_millis: thousandths of a core.
        memory_mb: mebibytes of memory.
        accelerators: whole accelerators.
        requests: concurrent requests to executors.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    requests: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        """Add component by component."""
        return Resources(
            cpu_millis=self.cpu_millis + other.cpu_millis,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
            requests=self.requests + other.requests,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        """Subtract component by component; results may be negative."""
        return Resources(
            cpu_millis=self.cpu_millis - other.cpu_millis,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
            requests=self.requests - other.requests,
        )

    def __iter__(self) -> Iterator[int]:
        """Iterate over the components in the order of the fields."""
        yield self.cpu_millis
        yield self.memory_mb
        yield self.accelerators
        yield self.requests

    def scaled(self, factor: int) -> 'Resources':
        """Multiply every component.

        Args:
            factor: a whole number, such as a count of tasks.

        Returns:
            The product.
        """
        return Resources(
            cpu_millis=self.cpu_millis * factor,
            memory_mb=self.memory_mb * factor,
            accelerators=self.accelerators * factor,
            requests=self.requests * factor,
        )

    def fits_in(self, available: 'Resources') -> bool:
        """Tell whether no component exceeds the available amount.

        Args:
            available: free resources.

        Returns:
            True when every component is at most the available one.
        """
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
            and self.requests <= available.requests
        )

    def components_exceeding(self, available: 'Resources') -> tuple[str, ...]:
        """Name the components that exceed the available amount.

        Args:
            available: free resources.

        Returns:
            Field names in the order of the fields, empty when all fit.
        """
        names = (field.name for field in dataclasses.fields(Resources))
        return tuple(
            name
            for name, demanded, free in zip(names, self, available, strict=True)
            if demanded > free
        )


NOTHING = Resources()


def total(amounts: Iterable[Resources]) -> Resources:
    """Add up resource vectors.

    Args:
        amounts: any number of vectors.

    Returns:
        Their sum, NOTHING when there are none.
    """
    return sum(amounts, start=NOTHING)
