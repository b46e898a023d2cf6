"""Workers sorted by free capacity, so that best fit needs no full scan."""

import bisect
import heapq
from collections.abc import Iterator, Sequence
from typing import TypeAlias

from sortedcontainers import SortedDict

from jayshore.placement.entries import fit_key
from jayshore.resources import Resources

FitKey: TypeAlias = tuple[int, int, int, int, str]
"""A key of `fit_key`: accelerators, CPU, memory, checksum and id."""


class FreeCapacityIndex:
    """The usable workers, by what is free for one class of work.

    There is one sorted list per number of free accelerators and power of two
    of free memory. Within a list only CPU varies freely, so the workers that
    fit are a suffix of the list; only in the list whose memory range contains
    the demand may some of that suffix have too little memory. Plain lists with
    binary search suffice, as most hold fewer than a few hundred workers.
    """

    def __init__(self) -> None:
        """Create an index without workers."""
        self._keys: dict[str, FitKey] = {}
        self._by_accelerators: SortedDict = SortedDict()

    def put(self, worker_id: str, free: Resources) -> None:
        """Insert a worker or update its free capacity.

        Args:
            worker_id: the worker.
            free: what is free on it for the class of work.
        """
        key = fit_key(free, worker_id)
        if self._keys.get(worker_id) == key:
            return
        self.discard(worker_id)
        self._keys[worker_id] = key
        by_memory = self._by_accelerators.setdefault(key[0], {})
        bisect.insort(by_memory.setdefault(_memory_class(key[2]), []), key)

    def discard(self, worker_id: str) -> None:
        """Remove a worker if it is there.

        Args:
            worker_id: the worker.
        """
        key = self._keys.pop(worker_id, None)
        if key is None:
            return
        by_memory = self._by_accelerators[key[0]]
        memory_class = _memory_class(key[2])
        keys = by_memory[memory_class]
        keys.pop(bisect.bisect_left(keys, key))
        if not keys:
            by_memory.pop(memory_class)
        if not by_memory:
            self._by_accelerators.pop(key[0])

    def fitting(self, demand: Resources) -> Iterator[str]:
        """List the workers on which a demand fits.

        Concurrent requests are not indexed; the caller has to check them.

        Args:
            demand: the demand of one task.

        Yields:
            Worker ids in the order of `fit_key`.
        """
        lowest_class = _memory_class(demand.memory_mb)
        for accelerators in self._by_accelerators.irange(
            minimum=demand.accelerators
        ):
            lowest = (accelerators, demand.cpu_millis)
            suffixes = [
                _suffix(keys, lowest, demand.memory_mb)
                for memory_class, keys in self._by_accelerators[
                    accelerators
                ].items()
                if memory_class >= lowest_class and keys[-1] > lowest
            ]
            merged = (
                suffixes[0] if len(suffixes) == 1 else heapq.merge(*suffixes)
            )
            for key in merged:
                yield key[-1]


def _memory_class(memory_mb: int) -> int:
    return memory_mb.bit_length() if memory_mb >= 0 else -1


def _suffix(
    keys: Sequence[FitKey], lowest: tuple[int, int], memory_mb: int
) -> Iterator[FitKey]:
    first = bisect.bisect_left(keys, lowest)
    for key in keys[first:]:
        if key[2] >= memory_mb:
            yield key
