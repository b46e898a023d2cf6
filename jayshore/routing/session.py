"""The lease on one executor, and what became of requests whose answer is lost.

Opening the lease anew is what turns "no answer" into knowledge: afterwards a
request that the executor does not know can no longer start on it.
"""

import abc
import dataclasses
import enum
import random
from typing import Final

import curio

from jayshore.clock import Millis, to_seconds
from jayshore.retry import Backoff
from jayshore.routing.executor import (
    ExecutorError,
    ExecutorFenced,
    ExecutorClient,
    RunState,
)
from jayshore.routing.slots import ExecutorSlots, Occupant

EXECUTOR_BACKOFF: Final = Backoff(base_ms=Millis(50), max_ms=Millis(2000))


class AttemptEnd(enum.Enum):
    """How an attempt ended.

    ANSWERED means by the answer to its own request on its own connection. The
    next three prove that the request did not run and will not.
    """

    ANSWERED = enum.auto()
    NOT_SENT = enum.auto()
    FENCED = enum.auto()
    NEVER_RAN = enum.auto()
    FINISHED = enum.auto()
    EXECUTOR_ENDED = enum.auto()
    UNRESOLVED = enum.auto()

    @property
    def is_over(self) -> bool:
        """Whether the request is certainly not running any more."""
        return self is not AttemptEnd.UNRESOLVED

    @property
    def is_proof_of_not_run(self) -> bool:
        """Whether the request certainly did not run and will not."""
        return self in {
            AttemptEnd.NOT_SENT,
            AttemptEnd.FENCED,
            AttemptEnd.NEVER_RAN,
        }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRef:
    """The lease under which requests are sent.

    Attributes:
        lease_id: fencing token.
        generation: counts the leases opened by this session. Unlike the lease
            id it does not start again when the executor restarts.
        boot_id: boot of the executor that granted it.
    """

    lease_id: int
    generation: int
    boot_id: str


class SlotListener(abc.ABC):
    """Who is told when slots became free or usable."""

    @abc.abstractmethod
    async def slots_changed(
        self,
        executor: ExecutorSlots,
        ended: tuple[Occupant, ...],
    ) -> None:
        """Note a change.

        Args:
            executor: whose slots changed.
            ended: requests whose slots were freed.
        """


class ExecutorSession:
    """Keeps the lease of one executor.

    Attributes:
        client: the calls to the executor.
        slots: where capacity and inventory are counted.
        lease: the newest lease, None before the first one.
        is_gone: the platform's list shows the executor as gone.
        is_superseded: the executor has seen a leader with a higher epoch.
    """

    def __init__(
        self,
        *,
        client: ExecutorClient,
        epoch: int,
        slots: ExecutorSlots,
        listener: SlotListener,
        rng: random.Random,
    ) -> None:
        """Prepare to open the lease.

        Args:
            client: the calls to the executor.
            epoch: of the leadership.
            slots: where capacity and inventory are counted.
            listener: told of changes.
            rng: source of jitter.
        """
        self.client = client
        self.slots = slots
        self.is_gone = False
        self.is_superseded = False
        self._epoch = epoch
        self._listener = listener
        self._rng = rng
        self.lease: LeaseRef | None = None
        self._opening = curio.Lock()
        self._was_refused = False
        self._changed = curio.Event()

    @property
    def generation(self) -> int:
        """Number of the newest lease, 0 before the first one."""
        return self.lease.generation if self.lease else 0

    async def maintain(self) -> None:
        """Keep the lease until the executor is gone or has another leader."""
        failures = 0
        while not self.is_gone and not self.is_superseded:
            try:
                await self._keep_lease()
            except ExecutorError:
                failures += 1
                await self._pause(failures)
            else:
                failures = 0

    async def fence(self, generation: int) -> None:
        """Make sure that a lease later than a given one is open.

        Args:
            generation: number of the lease whose late requests must not start.

        Raises:
            ExecutorError: it could not be opened.
        """  # noqa: DAR402
        async with self._opening:
            if self.generation <= generation:
                await self._open()

    def invalidate(self, generation: int) -> None:
        """Note that the executor refused a lease.

        Args:
            generation: number of the lease.
        """
        if self.generation == generation:
            self.slots.close()

    async def resolve(self, occupant: Occupant) -> AttemptEnd:
        """Find out what became of a request whose answer is lost.

        Takes as long as the executor can neither be reached nor is gone.

        Args:
            occupant: the request, which is marked as a suspect.

        Returns:
            What is known for certain.
        """
        failures = 0
        while not self.is_gone and not self.is_superseded:
            try:
                return await self._ask(occupant)
            except ExecutorError:
                failures += 1
            await self._pause(failures)
        if self.is_gone:
            return AttemptEnd.EXECUTOR_ENDED
        return AttemptEnd.UNRESOLVED

    async def remove(self) -> None:
        """Note that the platform's list shows the executor as gone."""
        self.is_gone = True
        self.slots.close()
        await self._notify(self.slots.release_suspects())

    async def _keep_lease(self) -> None:
        if not self.slots.is_open:
            await self.fence(self.generation)
        lease = self.lease
        if lease is None:
            return
        poll = self.slots.begin_poll()
        try:
            inventory = await self.client.renew(lease.lease_id)
        except ExecutorFenced:
            self._note_refused_renewal(lease.generation)
            return
        self._was_refused = False
        await self._notify(self.slots.apply_inventory(inventory, poll=poll))

    def _note_refused_renewal(self, generation: int) -> None:
        """Open anew at once, but pause when this is refused every time."""
        if generation < self.generation:
            # The lease was opened anew by a request in the meantime.
            return
        self.invalidate(generation)
        if self._was_refused:
            raise ExecutorFenced('every new lease is refused')
        self._was_refused = True

    async def _open(self) -> None:
        poll = self.slots.begin_poll()
        try:
            opened = await self.client.open(self._epoch)
        except ExecutorFenced:
            self.is_superseded = True
            self.slots.close()
            await self._notify(())
            raise
        if self.is_gone:
            return
        self.lease = LeaseRef(
            lease_id=opened.lease_id,
            generation=self.generation + 1,
            boot_id=opened.boot_id,
        )
        ended = self.slots.apply_lease(
            opened,
            generation=self.generation,
            poll=poll,
        )
        await self._notify(ended)

    async def _ask(self, occupant: Occupant) -> AttemptEnd:
        await self.fence(occupant.generation)
        if not _has_boot_of(self.lease, occupant):
            return AttemptEnd.EXECUTOR_ENDED
        state = await self.client.state_of(occupant.request_id)
        if state is RunState.NEVER:
            # A restarted executor has forgotten what it ran. The boot id of a
            # lease opened after the question shows that it has not restarted.
            await self.fence(self.generation)
            if _has_boot_of(self.lease, occupant):
                return AttemptEnd.NEVER_RAN
            return AttemptEnd.EXECUTOR_ENDED
        if state is RunState.RUNNING:
            return await self._wait_released(occupant)
        return AttemptEnd.FINISHED

    async def _wait_released(self, occupant: Occupant) -> AttemptEnd:
        while occupant in self.slots.occupants:
            if self.is_superseded:
                return AttemptEnd.UNRESOLVED
            await self._changed.wait()
        if self.is_gone or not _has_boot_of(self.lease, occupant):
            return AttemptEnd.EXECUTOR_ENDED
        return AttemptEnd.FINISHED

    async def _notify(self, ended: tuple[Occupant, ...]) -> None:
        changed = self._changed
        self._changed = curio.Event()
        await changed.set()
        await self._listener.slots_changed(self.slots, ended)

    async def _pause(self, failures: int) -> None:
        delay = EXECUTOR_BACKOFF.delay(attempt=failures, rng=self._rng)
        async with curio.ignore_after(to_seconds(delay)):
            await self._changed.wait()


def _has_boot_of(lease: LeaseRef | None, occupant: Occupant) -> bool:
    return lease is not None and lease.boot_id == occupant.boot_id
