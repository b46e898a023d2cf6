"""Keeps the lease on one executor and resolves requests with lost answers.

A request without an answer is resolved by opening a new lease, which fences
requests sent under earlier ones: a request that the executor does not know
afterwards can no longer start there.
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
    ExecutorClient,
    ExecutorError,
    ExecutorFenced,
    RunState,
)
from jayshore.routing.slots import ExecutorSlots, SlotReservation

EXECUTOR_BACKOFF: Final = Backoff(base_ms=Millis(50), max_ms=Millis(2000))


class AttemptEnd(enum.Enum):
    """How an attempt ended.

    ANSWERED: the answer to its request arrived on its own connection.
    NOT_SENT, FENCED, NEVER_RAN: the request certainly did not run and will not.
    FINISHED: the request has run, but its answer did not arrive on its own
    connection.
    EXECUTOR_ENDED: the executor is gone or has restarted; the request may have
    run.
    UNRESOLVED: the request may still be running.
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
        lease_id: fencing token of the requests.
        generation: number of the lease among those that this session opened.
            Unlike the lease id it does not start anew when the executor
            restarts.
        boot_id: boot id of the executor that granted the lease.
    """

    lease_id: int
    generation: int
    boot_id: str


class SlotListener(abc.ABC):
    """Is notified when slots of an executor become free or usable."""

    @abc.abstractmethod
    async def slots_changed(
        self,
        executor: ExecutorSlots,
        ended: tuple[SlotReservation, ...],
    ) -> None:
        """Handle a change of the slots of an executor.

        Args:
            executor: the executor whose slots changed.
            ended: the reservations that were released.
        """


class ExecutorSession:
    """Keeps the lease of one executor and resolves requests sent under it.

    Attributes:
        client: makes the calls to the executor.
        slots: the reservations of the executor's slots.
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
        """Create a session without a lease; `maintain` opens it.

        Args:
            client: makes the calls to the executor.
            epoch: epoch of the leadership.
            slots: the reservations of the executor's slots.
            listener: is notified when the slots change.
            rng: random numbers for jitter.
        """
        self.client = client
        self.slots = slots
        self.is_gone = False
        self.is_superseded = False
        self._epoch = epoch
        self._listener = listener
        self._rng = rng
        self.lease: LeaseRef | None = None
        self._open_lock = curio.Lock()
        self._renewal_was_refused = False
        self._changed = curio.Event()

    @property
    def generation(self) -> int:
        """Generation of the newest lease; 0 before the first one."""
        return self.lease.generation if self.lease else 0

    async def maintain(self) -> None:
        """Keep the lease until the executor is gone or has a later leader."""
        failures = 0
        while not self.is_gone and not self.is_superseded:
            try:
                await self._keep_lease()
            except ExecutorError:
                failures += 1
                await self._back_off(failures)
            else:
                failures = 0

    async def fence(self, generation: int) -> None:
        """Open a new lease unless one later than the given one is open.

        Args:
            generation: generation of the lease whose late requests must not
                start any more.

        Raises:
            ExecutorError: the lease could not be opened.
        """  # noqa: DAR402
        async with self._open_lock:
            if self.generation <= generation:
                await self._open()

    def invalidate(self, generation: int) -> None:
        """Offer no slots after the executor refused the present lease.

        Args:
            generation: generation of the refused lease; ignored when it is not
                the newest one.
        """
        if self.generation == generation:
            self.slots.close()

    async def resolve(self, reservation: SlotReservation) -> AttemptEnd:
        """Determine how a request whose answer is lost has ended.

        Retries until the executor answers, is gone, or has seen a leader with a
        higher epoch.

        Args:
            reservation: the reservation of the request, marked as orphaned.

        Returns:
            How the attempt has ended, as far as that is certain.
        """
        failures = 0
        while not self.is_gone and not self.is_superseded:
            try:
                return await self._query_state(reservation)
            except ExecutorError:
                failures += 1
            await self._back_off(failures)
        if self.is_gone:
            return AttemptEnd.EXECUTOR_ENDED
        return AttemptEnd.UNRESOLVED

    async def mark_gone(self) -> None:
        """End the session: the platform's list shows the executor as gone."""
        self.is_gone = True
        self.slots.close()
        await self._notify(self.slots.release_orphans())

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
            self._handle_refused_renewal(lease.generation)
            return
        self._renewal_was_refused = False
        await self._notify(self.slots.apply_inventory(inventory, poll=poll))

    def _handle_refused_renewal(self, generation: int) -> None:
        """Reopen the lease at once, but back off when refused repeatedly."""
        if generation < self.generation:
            # An attempt has opened a new lease in the meantime.
            return
        self.invalidate(generation)
        if self._renewal_was_refused:
            raise ExecutorFenced('two renewals in a row were refused')
        self._renewal_was_refused = True

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

    async def _query_state(self, reservation: SlotReservation) -> AttemptEnd:
        await self.fence(reservation.generation)
        if not _is_same_boot(self.lease, reservation):
            return AttemptEnd.EXECUTOR_ENDED
        state = await self.client.state_of(reservation.request_id)
        if state is RunState.NEVER:
            # An executor that has restarted does not know what it ran before.
            # A lease opened after the query with the same boot id proves that
            # it has not restarted.
            await self.fence(self.generation)
            if _is_same_boot(self.lease, reservation):
                return AttemptEnd.NEVER_RAN
            return AttemptEnd.EXECUTOR_ENDED
        if state is RunState.RUNNING:
            return await self._wait_until_released(reservation)
        return AttemptEnd.FINISHED

    async def _wait_until_released(
        self, reservation: SlotReservation
    ) -> AttemptEnd:
        while reservation in self.slots.reservations:
            if self.is_superseded:
                return AttemptEnd.UNRESOLVED
            await self._changed.wait()
        if self.is_gone or not _is_same_boot(self.lease, reservation):
            return AttemptEnd.EXECUTOR_ENDED
        return AttemptEnd.FINISHED

    async def _notify(self, ended: tuple[SlotReservation, ...]) -> None:
        changed = self._changed
        self._changed = curio.Event()
        await changed.set()
        await self._listener.slots_changed(self.slots, ended)

    async def _back_off(self, failures: int) -> None:
        delay = EXECUTOR_BACKOFF.delay(attempt=failures, rng=self._rng)
        async with curio.ignore_after(to_seconds(delay)):
            await self._changed.wait()


def _is_same_boot(lease: LeaseRef | None, reservation: SlotReservation) -> bool:
    return lease is not None and lease.boot_id == reservation.boot_id
