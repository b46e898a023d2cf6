"""Gives free slots to waiting requests."""

import functools
import random
from typing import Final

from jayshore.clock import Clock, Millis
from jayshore.resources import Resources
from jayshore.routing.headroom import Headroom, Shares
from jayshore.routing.queues import FairQueue, Grant, Waiter
from jayshore.routing.session import SlotListener
from jayshore.routing.slots import ExecutorSlots, Occupant, SlotTable

ONE_REQUEST: Final = Resources(requests=1)

_SMOOTHING: Final = 0.1


class MeanTime:
    """Exponentially smoothed mean of how long requests take a slot."""

    def __init__(self) -> None:
        """Start without samples."""
        self._mean: float | None = None

    @property
    def mean_ms(self) -> Millis:
        """The mean in ms, 0 without samples."""
        return Millis(round(self._mean or 0))

    def note(self, duration: Millis) -> None:
        """Add a sample.

        Args:
            duration: in ms.
        """
        if self._mean is None:
            self._mean = float(duration)
        else:
            self._mean += (duration - self._mean) * _SMOOTHING


class Dispatcher(SlotListener):
    """Matches waiting requests with free slots and the teams' headroom.

    A decision is made without giving up control, so that a slot or headroom is
    never given twice; the waiting tasks are woken afterwards.
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
        """Start without executors.

        Args:
            headroom: limits of the teams.
            shares: weights of the teams.
            clock: measures how long slots are taken.
            rng: source of the choice among executors.
            max_queued_per_team: bound of each team's queue of each service.
        """
        self.table = SlotTable(rng=rng)
        self._headroom = headroom
        self._shares = shares
        self._clock = clock
        self._max_queued_per_team = max_queued_per_team
        self._queues: dict[str, FairQueue] = {}
        self._times: dict[str, MeanTime] = {}

    async def submit(self, waiter: Waiter) -> None:
        """Queue a new request.

        Args:
            waiter: the request; its event is set once it has a slot.

        Raises:
            QueueFullError: the queue of the team is full.
        """  # noqa: DAR402
        self.queue_of(waiter.request.service).push(waiter)
        await self.pump()

    async def submit_again(self, waiter: Waiter) -> None:
        """Queue a request before the others of its team.

        Args:
            waiter: the request, which has had a slot before.
        """
        self.queue_of(waiter.request.service).push_front(waiter)
        await self.pump()

    async def withdraw(self, waiter: Waiter) -> None:
        """Stop waiting.

        Args:
            waiter: the request; a slot that it was given meanwhile and has not
                taken is freed.
        """
        self.queue_of(waiter.request.service).remove(waiter)
        grant = waiter.grant
        if grant is not None:
            waiter.grant = None
            await self.release(grant.executor, grant.occupant)

    async def release(
        self,
        executor: ExecutorSlots,
        occupant: Occupant,
    ) -> None:
        """Free a slot whose request is certainly not running.

        Args:
            executor: where it was.
            occupant: the request; one that is released already is ignored.
        """
        if executor.release(occupant):
            await self.slots_changed(executor, (occupant,))

    async def slots_changed(
        self,
        executor: ExecutorSlots,
        ended: tuple[Occupant, ...],
    ) -> None:
        """Settle the accounts of ended requests and use the free slots.

        Args:
            executor: whose slots changed.
            ended: requests whose slots were freed.
        """
        for occupant in ended:
            self._settle(executor, occupant)
        for occupant in executor.occupants:
            if not occupant.is_charged:
                # Sent by a former leader, so it counts whether it fits or not.
                self._headroom.charge(occupant.team, ONE_REQUEST)
                occupant.is_charged = True
        await self.pump()

    async def pump(self) -> None:
        """Start what can start; also called when headroom was added."""
        started: list[Waiter] = []
        for service in self._queues:
            start_next = functools.partial(self._start_next, service)
            started.extend(iter(start_next, None))
        for waiter in started:
            await waiter.granted.set()

    def queue_of(self, service: str) -> FairQueue:
        """Find the queue of a service.

        Args:
            service: name of the service.

        Returns:
            Its queue.
        """
        if service not in self._queues:
            self._queues[service] = FairQueue(
                shares=self._shares,
                max_per_team=self._max_queued_per_team,
            )
        return self._queues[service]

    def time_of(self, service: str) -> MeanTime:
        """Find how long requests of a service take a slot.

        Args:
            service: name of the service.

        Returns:
            The smoothed mean.
        """
        return self._times.setdefault(service, MeanTime())

    def estimated_wait(self, service: str, team: str) -> Millis:
        """Estimate how long a new request would wait for a slot.

        The requests that start before it, plus itself, divided by the rate at
        which slots become free. A team at its own limit may wait longer.

        Args:
            service: name of the service.
            team: its team.

        Returns:
            The estimate in ms, 0 when a slot is free for it.
        """
        executors = self.table.of_service(service)
        queue = self.queue_of(service)
        if not queue and any(slots.free for slots in executors):
            return Millis(0)
        ahead = queue.starts_before(team)
        if ahead < sum(slots.free for slots in executors):
            return Millis(0)
        slots = sum(slots.slots for slots in executors if slots.is_usable)
        mean = self.time_of(service).mean_ms
        return Millis(round((ahead + 1) * mean / max(1, slots)))

    def _start_next(self, service: str) -> Waiter | None:
        queue = self._queues[service]
        executor = self.table.choose(service) if queue else None
        if executor is None:
            return None
        waiter = queue.pop(self._take)
        if waiter is None:
            return None
        if waiter.avoid:
            preferred = self.table.choose(service, avoid=waiter.avoid)
            executor = preferred or executor
        occupant = self._occupant_for(waiter)
        executor.reserve(occupant)
        queue.charge(occupant.team, occupant.expected_ms)
        waiter.grant = Grant(executor=executor, occupant=occupant)
        return waiter

    def _occupant_for(self, waiter: Waiter) -> Occupant:
        occupant = Occupant(
            request_id=waiter.request.request_id,
            team=waiter.request.team,
            now=self._clock.now(),
        )
        occupant.is_charged = True
        occupant.expected_ms = self.time_of(waiter.request.service).mean_ms
        return occupant

    def _take(self, team: str) -> bool:
        return self._headroom.try_reserve(team, ONE_REQUEST)

    def _settle(self, executor: ExecutorSlots, occupant: Occupant) -> None:
        if occupant.is_charged:
            occupant.is_charged = False
            self._headroom.release(occupant.team, ONE_REQUEST)
        if occupant.is_adopted:
            return
        taken = Millis(self._clock.now() - occupant.started_at)
        if occupant.is_answered:
            self.time_of(executor.service).note(taken)
        self.queue_of(executor.service).charge(
            occupant.team,
            Millis(taken - occupant.expected_ms),
        )
