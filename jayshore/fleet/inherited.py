"""Incarnations of workers at which former leaders have placed runs.

A worker that has crashed is soon back at its address, often under another id,
while the registration of its former incarnation is still listed. Which of the
two is over is decided by a reply from the address and by their order of birth,
never by what is registered: an entry may be of another program.
"""

from typing import NamedTuple

from jayshore.fleet.model import Incarnation


class PlacedAt(NamedTuple):
    """Where a former leader has placed runs.

    Attributes:
        worker_id: the worker.
        incarnation: the incarnation that was registered at that time.
    """

    worker_id: str
    incarnation: Incarnation


class InheritedIncarnations:
    """Incarnations of which this leader does not know whether they are over."""

    def __init__(self) -> None:
        """Start without incarnations."""
        self._by_address: dict[str, set[PlacedAt]] = {}

    def add(self, placed_at: PlacedAt) -> None:
        """Add an incarnation.

        Args:
            placed_at: the incarnation; one of unknown address is ignored.
        """
        address = placed_at.incarnation.address
        if address:
            self._by_address.setdefault(address, set()).add(placed_at)

    def take_replaced(
        self, worker_id: str, current: Incarnation
    ) -> list[PlacedAt]:
        """Remove the incarnations at the address of a worker that replied.

        Args:
            worker_id: the worker.
            current: the incarnation that replied.

        Returns:
            Those that its reply shows to be over, in order of birth.
        """
        found = self._by_address.pop(current.address, set())
        return sorted(
            (
                placed_at
                for placed_at in found
                if placed_at.incarnation.precedes(current)
                or (
                    placed_at.worker_id != worker_id
                    and 0 in {placed_at.incarnation.born_ms, current.born_ms}
                )
            ),
            key=_birth,
        )

    def discard(self, worker_id: str, address: str) -> None:
        """Remove the incarnations of one worker at an address.

        Args:
            worker_id: the worker.
            address: `host:port`.
        """
        self._take(
            address,
            {
                placed_at
                for placed_at in self._by_address.get(address, ())
                if placed_at.worker_id == worker_id
            },
        )

    def _take(self, address: str, taken: set[PlacedAt]) -> list[PlacedAt]:
        rest = self._by_address.pop(address, set()) - taken
        if rest:
            self._by_address[address] = rest
        return sorted(taken, key=_birth)


def _birth(placed_at: PlacedAt) -> tuple[int, str]:
    return placed_at.incarnation.born_ms, placed_at.worker_id
