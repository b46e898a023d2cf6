"""Registry of the executors that a leader holds leases on."""

import dataclasses
import random

from jayshore.background import BackgroundTasks
from jayshore.clock import Clock
from jayshore.routing.dispatcher import Dispatcher
from jayshore.routing.executor import ExecutorClient
from jayshore.routing.health import EjectionPolicy, ExecutorHealth
from jayshore.routing.session import ExecutorSession
from jayshore.routing.slots import ExecutorSlots


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSlots:
    """Slots and waiting requests of one service."""

    service: str
    free_slots: int
    slots: int
    waiting: int


class ExecutorRegistry:
    """Sessions with all executors; one task per session keeps its lease."""

    def __init__(
        self,
        *,
        epoch: int,
        dispatcher: Dispatcher,
        ejection: EjectionPolicy,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a registry without executors.

        Args:
            epoch: of the leadership under which leases are opened.
            dispatcher: gives the slots of the executors to requests.
            ejection: when to eject a failing executor, and for how long.
            clock: measures ejections.
            rng: random numbers for jitter.
        """
        self._epoch = epoch
        self._dispatcher = dispatcher
        self._ejection = ejection
        self._clock = clock
        self._rng = rng
        self._sessions: dict[str, ExecutorSession] = {}
        self._tasks = BackgroundTasks()

    def find(self, executor_id: str) -> ExecutorSession | None:
        """Look up the session with an executor.

        Args:
            executor_id: instance id.

        Returns:
            The session, or None when the executor is unknown or gone.
        """
        return self._sessions.get(executor_id)

    async def add(
        self,
        executor_id: str,
        *,
        service: str,
        client: ExecutorClient,
    ) -> None:
        """Add an executor and open its lease in the background.

        Args:
            executor_id: instance id that is not registered yet.
            service: the service that the executor runs.
            client: makes the calls to it.
        """
        slots = ExecutorSlots(
            executor_id=executor_id,
            service=service,
            health=ExecutorHealth(
                policy=self._ejection,
                clock=self._clock,
                rng=self._rng,
            ),
        )
        session = ExecutorSession(
            client=client,
            epoch=self._epoch,
            slots=slots,
            listener=self._dispatcher,
            rng=self._rng,
        )
        self._sessions[executor_id] = session
        self._dispatcher.slot_table.add(slots)
        await self._tasks.spawn(session.maintain())

    async def remove(self, executor_id: str) -> ExecutorSession | None:
        """Remove an executor that is gone, and with it what ran there.

        Args:
            executor_id: instance id.

        Returns:
            Its session, or None when it was not registered.
        """
        session = self._sessions.pop(executor_id, None)
        if session is not None:
            self._dispatcher.slot_table.remove(executor_id)
            await session.mark_gone()
        return session

    @property
    def is_superseded(self) -> bool:
        """Whether an executor has seen a leader with a higher epoch."""
        return any(session.is_superseded for session in self._sessions.values())

    @property
    def is_inventory_complete(self) -> bool:
        """Whether each executor's lease was opened at least once."""
        return all(session.generation for session in self._sessions.values())

    def load(self) -> tuple[ServiceSlots, ...]:
        """Report the slots and the queue length of each service.

        Returns:
            One entry per service, ordered by name.
        """
        services = {entry.slots.service for entry in self._sessions.values()}
        return tuple(self._load_of(service) for service in sorted(services))

    async def close(self) -> None:
        """Stop the tasks that keep the leases."""
        await self._tasks.close()

    def _load_of(self, service: str) -> ServiceSlots:
        executors = self._dispatcher.slot_table.of_service(service)
        return ServiceSlots(
            service=service,
            free_slots=sum(slots.free for slots in executors),
            slots=sum(slots.slots for slots in executors if slots.is_usable),
            waiting=len(self._dispatcher.queue_of(service)),
        )
