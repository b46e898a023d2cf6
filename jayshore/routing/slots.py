"""Reservations of the executors' slots.

A slot stays reserved for as long as its request may be running on the
executor, whatever the caller was told in the meantime.
"""

import random
from collections.abc import Sequence
from typing import Final

from jayshore.clock import Millis
from jayshore.routing.executor import Inventory, OpenedLease, RunningRequest
from jayshore.routing.health import ExecutorHealth

_CONTROL_CONNECTIONS: Final = 2
"""One for the long poll that renews the lease, one for other calls."""

_BEFORE_ANY_LEASE: Final = 0

_SAMPLE_SIZE: Final = 2

NO_EXECUTORS: Final[frozenset[str]] = frozenset()


class SlotReservation:
    """A slot that is reserved for a request.

    Attributes:
        request_id: id of the request.
        team: team of the request.
        generation: generation of the lease under which the request was sent.
        boot_id: boot id of the executor when the request was sent.
        is_orphaned: the answer of the request is not awaited on a connection
            any more; the inventory of a later lease releases the slot.
        is_answered: the answer of the request has arrived, possibly on the
            connection of another request.
        is_adopted: another sender, such as a former leader, sent the request;
            it was found in an inventory.
        is_charged: the request counts against the headroom of its team.
        started_at: when the slot was reserved, in ms.
        expected_ms: how long the request was expected to hold the slot.
    """

    def __init__(self, *, request_id: str, team: str, now: Millis) -> None:
        """Create a reservation of a request that was not sent yet.

        Args:
            request_id: id of the request.
            team: team of the request.
            now: present time of the clock, in ms.
        """
        self.request_id = request_id
        self.team = team
        self.generation = _BEFORE_ANY_LEASE
        self.boot_id = ''
        self.is_orphaned = False
        self.is_answered = False
        self.is_adopted = False
        self.is_charged = False
        self.started_at = now
        self.expected_ms = Millis(0)


class ExecutorSlots:
    """The slots of one executor and their reservations.

    Inventories may arrive out of order, and may be older than an answer that
    has already arrived. So each poll for an inventory has a number.
    """

    def __init__(
        self,
        *,
        executor_id: str,
        service: str,
        health: ExecutorHealth,
    ) -> None:
        """Create an executor without slots; a lease brings them.

        Args:
            executor_id: instance id.
            service: the service that the executor runs.
            health: limits the slots in use after failures.
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
        self._reservations: set[SlotReservation] = set()
        self._last_poll = 0
        self._applied_poll = 0
        self._finished_at_poll: dict[str, int] = {}

    @property
    def slots(self) -> int:
        """Number of slots that the executor has."""
        return self._slots

    @property
    def used(self) -> int:
        """Number of slots that are reserved."""
        return len(self._reservations)

    @property
    def is_open(self) -> bool:
        """Whether the newest lease is valid as far as is known."""
        return self._is_open

    @property
    def is_usable(self) -> bool:
        """Whether the lease is open and the executor takes new requests."""
        return self._is_open and not self.is_leaving

    @property
    def free(self) -> int:
        """Number of further requests that may be sent now."""
        if not self.is_usable:
            return 0
        allowed = self.health.allowance(self._slots) - self.used
        connections = self._connections - _CONTROL_CONNECTIONS - self.open_runs
        return max(0, min(allowed, connections))

    @property
    def reservations(self) -> frozenset[SlotReservation]:
        """The reserved slots."""
        return frozenset(self._reservations)

    def reserve(self, reservation: SlotReservation) -> None:
        """Reserve a slot.

        Args:
            reservation: the reservation; the caller has checked that a slot
                is free.
        """
        self._finished_at_poll.pop(reservation.request_id, None)
        self._reservations.add(reservation)

    def release(self, reservation: SlotReservation) -> bool:
        """Release the slot of a request that is certainly not running.

        Args:
            reservation: the reservation.

        Returns:
            False when it was released already.
        """
        if reservation not in self._reservations:
            return False
        self._reservations.remove(reservation)
        self._finished_at_poll[reservation.request_id] = self._last_poll
        return True

    def release_orphans(self) -> tuple[SlotReservation, ...]:
        """Release all orphaned reservations of an executor that is gone.

        Returns:
            The released reservations.
        """
        ended = tuple(
            reservation
            for reservation in self._reservations
            if reservation.is_orphaned
        )
        self._reservations.difference_update(ended)
        return ended

    def close(self) -> None:
        """Offer no slots until a lease is opened again."""
        self._is_open = False

    def begin_poll(self) -> int:
        """Assign a number to a poll; called before the poll is sent.

        Returns:
            The number to pass along with the inventory.
        """
        self._last_poll += 1
        return self._last_poll

    def apply_lease(
        self,
        lease: OpenedLease,
        *,
        generation: int,
        poll: int,
    ) -> tuple[SlotReservation, ...]:
        """Apply the capacity and the inventory of a new lease.

        Args:
            lease: the lease that the executor granted.
            generation: generation of the lease, larger than all before.
            poll: number of the poll.

        Returns:
            The reservations that were released.
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
    ) -> tuple[SlotReservation, ...]:
        """Reconcile the reservations with an inventory of the executor.

        An orphaned request that was sent under an earlier lease and is not
        listed has ended or will never start, so its slot is released. One that
        was sent under the present lease may still be on its way. Listed
        requests without a reservation get one.

        Args:
            inventory: the inventory; ignored when it is older than one that
                was applied before.
            poll: number of the poll.

        Returns:
            The reservations that were released.
        """
        if poll < self._applied_poll:
            return ()
        self._applied_poll = poll
        self.is_leaving = self.is_leaving or inventory.leaving
        listed = {
            entry.request_id: entry
            for entry in inventory.running
            if self._finished_at_poll.get(entry.request_id, -1) < poll
        }
        self._finished_at_poll = {
            request_id: finished
            for request_id, finished in self._finished_at_poll.items()
            if finished >= poll
        }
        self._reservations.update(_adopt_unknown(listed, self._reservations))
        ended = tuple(
            reservation
            for reservation in self._reservations
            if reservation.is_orphaned
            and reservation.generation < self._generation
            and reservation.request_id not in listed
        )
        self._reservations.difference_update(ended)
        return ended


class SlotTable:
    """The slots of all executors of a failure domain, by service."""

    def __init__(self, *, rng: random.Random) -> None:
        """Create a table without executors.

        Args:
            rng: random numbers for the choice of executors.
        """
        self._rng = rng
        self._executors: dict[str, ExecutorSlots] = {}
        self._services: dict[str, tuple[ExecutorSlots, ...]] = {}

    def add(self, executor: ExecutorSlots) -> None:
        """Add the slots of an executor.

        Args:
            executor: the slots of the executor.
        """
        self._executors[executor.executor_id] = executor
        self._rebuild_index()

    def remove(self, executor_id: str) -> None:
        """Remove the slots of an executor.

        Args:
            executor_id: instance id.
        """
        self._executors.pop(executor_id, None)
        self._rebuild_index()

    def of_service(self, service: str) -> tuple[ExecutorSlots, ...]:
        """List the executors of a service.

        Args:
            service: name of the service.

        Returns:
            The slots of each of them.
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
            avoid: ids of executors that are chosen only when no other has a
                free slot.

        Returns:
            The executor, or None when no slot is free.
        """
        executors = self.of_service(service)
        pair: Sequence[ExecutorSlots]
        pair = _with_free_slots(self._sample(executors), avoid)
        if not pair:
            # Scanning all executors takes time for each of them, but is
            # rarely needed while slots are free.
            preferred = _with_free_slots(executors, avoid)
            pair = self._sample(preferred or _with_free_slots(executors))
        return min(pair, key=_load_of, default=None)

    def record_failure(self, executor: ExecutorSlots) -> None:
        """Record a failure of an executor, which may eject it.

        At most half of the executors of a service are ejected at a time.

        Args:
            executor: the executor that failed.
        """
        peers = self.of_service(executor.service)
        ejected = sum(slots.health.is_ejected for slots in peers)
        executor.health.record_failure(
            may_eject=2 * (ejected + 1) <= len(peers)
        )

    def _sample(
        self,
        executors: Sequence[ExecutorSlots],
    ) -> Sequence[ExecutorSlots]:
        if len(executors) <= _SAMPLE_SIZE:
            return executors
        return self._rng.sample(executors, _SAMPLE_SIZE)

    def _rebuild_index(self) -> None:
        services: dict[str, list[ExecutorSlots]] = {}
        for executor in self._executors.values():
            services.setdefault(executor.service, []).append(executor)
        self._services = {
            service: tuple(executors) for service, executors in services.items()
        }


def _adopt_unknown(
    listed: dict[str, RunningRequest],
    reservations: set[SlotReservation],
) -> list[SlotReservation]:
    """Create reservations for listed requests without one."""
    known = {reservation.request_id for reservation in reservations}
    adopted = [
        SlotReservation(request_id=request_id, team=entry.team, now=Millis(0))
        for request_id, entry in listed.items()
        if request_id not in known
    ]
    for reservation in adopted:
        reservation.is_orphaned = True
        reservation.is_adopted = True
    return adopted


def _with_free_slots(
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
