"""Workers sorted by their room, so that best fit needs no full scan."""

import bisect
import heapq
from collections.abc import Iterator, Sequence
from typing import TypeAlias

from sortedcontainers import SortedDict

from jayshore.placement.entries import fit_key
from jayshore.resources import Resources

FitKey: TypeAlias = tuple[int, int, int, int, str]
"""Accelerators, processors, memory, checksum and id, as of `fit_key`."""


class RoomIndex:
    """The usable workers, by their room for one class of work.

    There is one sorted list per count of free accelerators and power of two of
    free memory. Within a list only processors vary freely, so the workers that
    fit are a suffix of it, but for the one list whose memory range contains the
    demand. Plain lists with binary search serve here, as most hold less than a
    few hundred workers.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._keys: dict[str, FitKey] = {}
        self._levels: SortedDict = SortedDict()

    def put(self, worker_id: str, room: Resources) -> None:
        """Insert a worker or change its room.

        Args:
            worker_id: the worker.
            room: its room.
        """
        key = fit_key(room, worker_id)
        if self._keys.get(worker_id) == key:
            return
        self.discard(worker_id)
        self._keys[worker_id] = key
        level = self._levels.setdefault(key[0], {})
        bisect.insort(level.setdefault(_memory_class(key[2]), []), key)

    def discard(self, worker_id: str) -> None:
        """Remove a worker if it is there.

        Args:
            worker_id: the worker.
        """
        key = self._keys.pop(worker_id, None)
        if key is None:
            return
        level = self._levels[key[0]]
        memory_class = _memory_class(key[2])
        members = level[memory_class]
        members.pop(bisect.bisect_left(members, key))
        if not members:
            level.pop(memory_class)
        if not level:
            self._levels.pop(key[0])

    def fitting(self, demand: Resources) -> Iterator[str]:
        """List the workers on which a demand fits.

        Requests are not indexed; the caller checks them.

        Args:
            demand: what one task takes.

        Yields:
            Worker ids in the order of `fit_key`.
        """
        exact = _memory_class(demand.memory_mb)
        for accelerators in self._levels.irange(minimum=demand.accelerators):
            lowest = (accelerators, demand.cpu_millis)
            suffixes = [
                _suffix(members, lowest, demand.memory_mb)
                for memory_class, members in self._levels[accelerators].items()
                if memory_class >= exact and members[-1] > lowest
            ]
            merged = (
                suffixes[0] if len(suffixes) == 1 else heapq.merge(*suffixes)
            )
            for key in merged:
                yield key[-1]


def _memory_class(memory_mb: int) -> int:
    return memory_mb.bit_length() if memory_mb >= 0 else -1


def _suffix(
    members: Sequence[FitKey], lowest: tuple[int, int], memory_mb: int
) -> Iterator[FitKey]:
    first = bisect.bisect_left(members, lowest)
    for key in members[first:]:
        if key[2] >= memory_mb:
            yield key
