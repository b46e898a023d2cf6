"""Which slots of which executors are taken.

A slot counts as taken as long as the request in it may still be running on the
executor, whatever the caller was told in the meantime.
"""

import random
from collections.abc import Sequence
from typing import Final

from jayshore.clock import Millis
from jayshore.routing.executor import Inventory, OpenedLease, RunningRequest
from jayshore.routing.health import ExecutorHealth

_CONTROL_CONNECTIONS: Final = 2
"""One for the polling renewal and one for opening and questions."""

_BEFORE_ANY_LEASE: Final = 0

_CHOICES: Final = 2

NO_EXECUTORS: Final[frozenset[str]] = frozenset()


class Occupant:
    """A request that takes a slot.

    Attributes:
        request_id: its id.
        team: its team.
        generation: number of the lease under which it was sent.
        boot_id: boot of the executor to which it was sent.
        is_suspect: nobody waits for its answer on a connection any more; it
            is released by the inventory of a later lease.
        is_answered: its answer arrived, possibly on the connection of another
            request.
        is_adopted: somebody else sent it, such as a former leader.
        is_charged: whether it is counted against the headroom of the team.
        started_at: when it took the slot.
        expected_ms: how long it was expected to take.
    """

    def __init__(self, *, request_id: str, team: str, now: Millis) -> None:
        """Take a slot.

        Args:
            request_id: id of the request.
            team: its team.
            now: the time.
        """
        self.request_id = request_id
        self.team = team
        self.generation = _BEFORE_ANY_LEASE
        self.boot_id = ''
        self.is_suspect = False
        self.is_answered = False
        self.is_adopted = False
        self.is_charged = False
        self.started_at = now
        self.expected_ms = Millis(0)


class ExecutorSlots:
    """The slots of one executor.

    Inventories can arrive out of order and can be older than an answer that
    has already arrived, so each poll for an inventory has a number.
    """

    def __init__(
        self,
        *,
        executor_id: str,
        service: str,
        health: ExecutorHealth,
    ) -> None:
        """Start without slots, until a lease is opened.

        Args:
            executor_id: instance id.
            service: the service that it runs.
            health: evidence of failures.
        """
        self.executor_id = executor_id
        self.service = service
        self.health = health
        self.is_leaving = False
        self.open_runs = 0
        self._is_open = False
        self._slots = 0
        self._connections = 0
        self._generation = _BEFORE_ANY_LEASE
        self._occupants: set[Occupant] = set()
        self._polls = 0
        self._applied_poll = 0
        self._finished: dict[str, int] = {}

    @property
    def slots(self) -> int:
        """How many slots the executor has."""
        return self._slots

    @property
    def used(self) -> int:
        """How many slots may be in use on the executor."""
        return len(self._occupants)

    @property
    def is_open(self) -> bool:
        """Whether the newest lease is believed to be valid."""
        return self._is_open

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent at all."""
        return self._is_open and not self.is_leaving

    @property
    def free(self) -> int:
        """How many requests may be sent now."""
        if not self.is_usable:
            return 0
        allowed = self.health.allowance(self._slots) - self.used
        connections = self._connections - _CONTROL_CONNECTIONS - self.open_runs
        return max(0, min(allowed, connections))

    @property
    def occupants(self) -> frozenset[Occupant]:
        """The requests that take slots."""
        return frozenset(self._occupants)

    def reserve(self, occupant: Occupant) -> None:
        """Take a slot; the caller has checked that one is free.

        Args:
            occupant: the request.
        """
        self._finished.pop(occupant.request_id, None)
        self._occupants.add(occupant)

    def release(self, occupant: Occupant) -> bool:
        """Free the slot of a request that is certainly not running.

        Args:
            occupant: the request.

        Returns:
            False when it was free already.
        """
        if occupant not in self._occupants:
            return False
        self._occupants.remove(occupant)
        self._finished[occupant.request_id] = self._polls
        return True

    def release_suspects(self) -> tuple[Occupant, ...]:
        """Free the slots of all suspects of an executor that is gone.

        Returns:
            The requests whose slots became free.
        """
        ended = tuple(
            occupant for occupant in self._occupants if occupant.is_suspect
        )
        self._occupants.difference_update(ended)
        return ended

    def close(self) -> None:
        """Send nothing new until a lease is opened again."""
        self._is_open = False

    def begin_poll(self) -> int:
        """Number a poll, before it is sent.

        Returns:
            The number to pass with the inventory.
        """
        self._polls += 1
        return self._polls

    def apply_lease(
        self,
        lease: OpenedLease,
        *,
        generation: int,
        poll: int,
    ) -> tuple[Occupant, ...]:
        """Take over the capacity and the inventory of a new lease.

        Args:
            lease: the answer of the executor.
            generation: number of the lease, larger than all before.
            poll: number of the poll.

        Returns:
            The requests whose slots became free.
        """
        self._slots = lease.slots
        self._connections = lease.connections
        self._generation = generation
        self._is_open = True
        return self.apply_inventory(lease.inventory, poll=poll)

    def apply_inventory(
        self,
        inventory: Inventory,
        *,
        poll: int,
    ) -> tuple[Occupant, ...]:
        """Compare with what the executor reports.

        A suspect that was sent under an earlier lease and is not listed has
        ended or will never start. One sent under the present lease may still
        be on its way.

        Args:
            inventory: the report.
            poll: number of the poll.

        Returns:
            The requests whose slots became free.
        """
        if poll < self._applied_poll:
            return ()
        self._applied_poll = poll
        self.is_leaving = self.is_leaving or inventory.leaving
        listed = {
            entry.request_id: entry
            for entry in inventory.running
            if self._finished.get(entry.request_id, -1) < poll
        }
        self._finished = {
            request_id: finished
            for request_id, finished in self._finished.items()
            if finished >= poll
        }
        self._occupants.update(_unknown(listed, self._occupants))
        ended = tuple(
            occupant
            for occupant in self._occupants
            if occupant.is_suspect
            and occupant.generation < self._generation
            and occupant.request_id not in listed
        )
        self._occupants.difference_update(ended)
        return ended


class SlotTable:
    """The slots of all executors of a domain."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start without executors.

        Args:
            rng: source of the random choices.
        """
        self._rng = rng
        self._executors: dict[str, ExecutorSlots] = {}
        self._services: dict[str, tuple[ExecutorSlots, ...]] = {}

    def add(self, executor: ExecutorSlots) -> None:
        """Count the slots of an executor.

        Args:
            executor: its slots.
        """
        self._executors[executor.executor_id] = executor
        self._index()

    def remove(self, executor_id: str) -> None:
        """Forget an executor that is gone.

        Args:
            executor_id: instance id.
        """
        self._executors.pop(executor_id, None)
        self._index()

    def of_service(self, service: str) -> tuple[ExecutorSlots, ...]:
        """List the executors of a service.

        Args:
            service: name of the service.

        Returns:
            Their slots.
        """
        return self._services.get(service, ())

    def choose(
        self,
        service: str,
        *,
        avoid: frozenset[str] = NO_EXECUTORS,
    ) -> ExecutorSlots | None:
        """Choose the less loaded one of two random executors with a free slot.

        Two choices come close to the least loaded executor without sending
        every request to the same one (Mitzenmacher, IEEE TPDS 2001).

        Args:
            service: name of the service.
            avoid: executors to use only when no other has a free slot.

        Returns:
            The executor, or None when no slot is free.
        """
        executors = self.of_service(service)
        pair: Sequence[ExecutorSlots]
        pair = _free_ones(self._sample(executors), avoid)
        if not pair:
            # Rare while slots are free; the scan costs time per executor.
            preferred = _free_ones(executors, avoid)
            pair = self._sample(preferred or _free_ones(executors))
        return min(pair, key=_load_of, default=None)

    def note_failure(self, executor: ExecutorSlots) -> None:
        """Count a failure of an executor.

        At most half of the executors of a service are ejected.

        Args:
            executor: where it happened.
        """
        peers = self.of_service(executor.service)
        ejected = sum(slots.health.is_ejected for slots in peers)
        executor.health.note_failure(may_eject=2 * (ejected + 1) <= len(peers))

    def _sample(
        self,
        executors: Sequence[ExecutorSlots],
    ) -> Sequence[ExecutorSlots]:
        if len(executors) <= _CHOICES:
            return executors
        return self._rng.sample(executors, _CHOICES)

    def _index(self) -> None:
        services: dict[str, list[ExecutorSlots]] = {}
        for executor in self._executors.values():
            services.setdefault(executor.service, []).append(executor)
        self._services = {
            service: tuple(executors) for service, executors in services.items()
        }


def _unknown(
    listed: dict[str, RunningRequest],
    occupants: set[Occupant],
) -> list[Occupant]:
    """Take over listed requests that somebody else sent."""
    known = {occupant.request_id for occupant in occupants}
    adopted = [
        Occupant(request_id=request_id, team=entry.team, now=Millis(0))
        for request_id, entry in listed.items()
        if request_id not in known
    ]
    for occupant in adopted:
        occupant.is_suspect = True
        occupant.is_adopted = True
    return adopted


def _free_ones(
    executors: Sequence[ExecutorSlots],
    avoid: frozenset[str] = NO_EXECUTORS,
) -> list[ExecutorSlots]:
    return [
        slots
        for slots in executors
        if slots.free and slots.executor_id not in avoid
    ]


def _load_of(executor: ExecutorSlots) -> float:
    return executor.used / executor.slots
