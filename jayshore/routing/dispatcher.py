"""Assigns free slots to waiting requests."""

import functools
import random
from typing import Final

from jayshore.clock import Clock, Millis
from jayshore.resources import Resources
from jayshore.routing.headroom import Headroom, Shares
from jayshore.routing.queues import FairQueue, ReservedSlot, Waiter
from jayshore.routing.session import SlotListener
from jayshore.routing.slots import ExecutorSlots, SlotReservation, SlotTable

ONE_REQUEST: Final = Resources(requests=1)

_SMOOTHING: Final = 0.1


class MeanSlotTime:
    """Exponentially smoothed mean of the time that requests hold a slot."""

    def __init__(self) -> None:
        """Create a mean without samples."""
        self._mean: float | None = None

    @property
    def mean_ms(self) -> Millis:
        """The mean in ms; 0 without samples."""
        return Millis(round(self._mean or 0))

    def add(self, duration: Millis) -> None:
        """Add a sample.

        Args:
            duration: time that a request held its slot, in ms.
        """
        if self._mean is None:
            self._mean = float(duration)
        else:
            self._mean += (duration - self._mean) * _SMOOTHING


class Dispatcher(SlotListener):
    """Matches waiting requests with free slots and the teams' headroom.

    A decision is made without a suspension point (`await`), so that a slot or
    headroom is never assigned twice; the waiting tasks are woken afterwards.
    """

    def __init__(
        self,
        *,
        headroom: Headroom,
        shares: Shares,
        clock: Clock,
        rng: random.Random,
        max_queued_per_team: int,
    ) -> None:
        """Create a dispatcher without executors.

        Args:
            headroom: accounts use against the teams' limits.
            shares: weights of the teams.
            clock: measures how long slots are held.
            rng: random numbers for the choice of executors.
            max_queued_per_team: longest queue of each team, per service.
        """
        self.slot_table = SlotTable(rng=rng)
        self._headroom = headroom
        self._shares = shares
        self._clock = clock
        self._max_queued_per_team = max_queued_per_team
        self._queues: dict[str, FairQueue] = {}
        self._slot_times: dict[str, MeanSlotTime] = {}

    async def submit(self, waiter: Waiter) -> None:
        """Queue a new request.

        Args:
            waiter: the request; its `slot_ready` is set once it has a slot.

        Raises:
            QueueFullError: the queue of the team is full.
        """  # noqa: DAR402
        self.queue_of(waiter.request.service).push(waiter)
        await self.dispatch()

    async def requeue(self, waiter: Waiter) -> None:
        """Queue a request that has had a slot before, ahead of its team's.

        Args:
            waiter: the request.
        """
        self.queue_of(waiter.request.service).push_front(waiter)
        await self.dispatch()

    async def withdraw(self, waiter: Waiter) -> None:
        """Remove a request from its queue.

        Args:
            waiter: the request; a slot that was reserved for it and that it
                has not taken over is released.
        """
        self.queue_of(waiter.request.service).remove(waiter)
        slot = waiter.slot
        if slot is not None:
            waiter.slot = None
            await self.release(slot.executor, slot.reservation)

    async def release(
        self,
        executor: ExecutorSlots,
        reservation: SlotReservation,
    ) -> None:
        """Release the slot of a request that is certainly not running.

        Args:
            executor: the executor of the slot.
            reservation: the reservation; ignored when it was released already.
        """
        if executor.release(reservation):
            await self.slots_changed(executor, (reservation,))

    async def slots_changed(
        self,
        executor: ExecutorSlots,
        ended: tuple[SlotReservation, ...],
    ) -> None:
        """Account for ended requests and dispatch waiting ones.

        Args:
            executor: the executor whose slots changed.
            ended: the reservations that were released.
        """
        for reservation in ended:
            self._settle_account(executor, reservation)
        for reservation in executor.reservations:
            if not reservation.is_charged:
                # Sent by a former leader: charged whether or not it fits.
                self._headroom.charge(reservation.team, ONE_REQUEST)
                reservation.is_charged = True
        await self.dispatch()

    async def dispatch(self) -> None:
        """Start all requests that can start, when slots or headroom changed."""
        started: list[Waiter] = []
        for service in self._queues:
            start_next = functools.partial(self._start_next, service)
            started.extend(iter(start_next, None))
        for waiter in started:
            await waiter.slot_ready.set()

    def queue_of(self, service: str) -> FairQueue:
        """Return the queue of a service, created on first use.

        Args:
            service: name of the service.

        Returns:
            The queue.
        """
        if service not in self._queues:
            self._queues[service] = FairQueue(
                shares=self._shares,
                max_per_team=self._max_queued_per_team,
            )
        return self._queues[service]

    def slot_time_of(self, service: str) -> MeanSlotTime:
        """Return the mean time that requests of a service hold a slot.

        Args:
            service: name of the service.

        Returns:
            The smoothed mean, to which samples are added.
        """
        return self._slot_times.setdefault(service, MeanSlotTime())

    def estimated_wait(self, service: str, team: str) -> Millis:
        """Estimate how long a new request would wait for a slot.

        The estimate is the number of requests that start before it, plus
        itself, divided by the rate at which slots become free. A team at its
        limit may wait longer.

        Args:
            service: name of the service.
            team: team of the request.

        Returns:
            The estimate in ms; 0 when a slot is free for the request.
        """
        executors = self.slot_table.of_service(service)
        queue = self.queue_of(service)
        if not queue and any(slots.free for slots in executors):
            return Millis(0)
        ahead = queue.requests_ahead(team)
        if ahead < sum(slots.free for slots in executors):
            return Millis(0)
        slots = sum(slots.slots for slots in executors if slots.is_usable)
        mean = self.slot_time_of(service).mean_ms
        return Millis(round((ahead + 1) * mean / max(1, slots)))

    def _start_next(self, service: str) -> Waiter | None:
        queue = self._queues[service]
        executor = self.slot_table.choose(service) if queue else None
        if executor is None:
            return None
        waiter = queue.pop(self._try_reserve_headroom)
        if waiter is None:
            return None
        if waiter.avoid:
            preferred = self.slot_table.choose(service, avoid=waiter.avoid)
            executor = preferred or executor
        reservation = self._new_reservation(waiter)
        executor.reserve(reservation)
        queue.charge(reservation.team, reservation.expected_ms)
        waiter.slot = ReservedSlot(executor=executor, reservation=reservation)
        return waiter

    def _new_reservation(self, waiter: Waiter) -> SlotReservation:
        reservation = SlotReservation(
            request_id=waiter.request.request_id,
            team=waiter.request.team,
            now=self._clock.now(),
        )
        reservation.is_charged = True
        reservation.expected_ms = self.slot_time_of(
            waiter.request.service
        ).mean_ms
        return reservation

    def _try_reserve_headroom(self, team: str) -> bool:
        return self._headroom.try_reserve(team, ONE_REQUEST)

    def _settle_account(
        self, executor: ExecutorSlots, reservation: SlotReservation
    ) -> None:
        if reservation.is_charged:
            reservation.is_charged = False
            self._headroom.release(reservation.team, ONE_REQUEST)
        if reservation.is_adopted:
            return
        taken = Millis(self._clock.now() - reservation.started_at)
        if reservation.is_answered:
            self.slot_time_of(executor.service).add(taken)
        self.queue_of(executor.service).charge(
            reservation.team,
            Millis(taken - reservation.expected_ms),
        )
