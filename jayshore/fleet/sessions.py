"""The leader's session with one worker: renews its lease, learns of ends."""

import abc

import curio
import eliot

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.fleet.interfaces import (
    RenewalReply,
    RenewalRequest,
    WorkerClient,
    WorkerConnector,
    WorkerUnreachable,
)
from jayshore.fleet.leasing import WorkerLease
from jayshore.fleet.model import WorkerEntry
from jayshore.fleet.progress import ProgressTracker
from jayshore.resources import NOTHING

WAIT_MS = Millis(1000)
"""How long a worker waits for an end before it answers, in ms."""

_SILENT_AFTER_MS = Millis(WAIT_MS + 900)
_RETRY_MS = Millis(200)
_FENCED_MS = Millis(1000)
_GATHER_MS = Millis(15)
_RECORD_POLL_MS = Millis(10)
_RECORD_WAIT_MS = Millis(400)


class SessionObserver(abc.ABC):
    """Is told what a session learns."""

    @abc.abstractmethod
    async def observe(
        self,
        session: 'WorkerSession',
        inventory: RenewalReply,
        asked_at: Millis,
    ) -> None:
        """Take an inventory over.

        Args:
            session: of the worker.
            inventory: what it lists.
            asked_at: when it was asked, on our clock.
        """

    @abc.abstractmethod
    async def lease_expired(self, session: 'WorkerSession') -> None:
        """Take over that nothing runs at the worker any more.

        Args:
            session: of the worker, whose lease is surely over.
        """

    @abc.abstractmethod
    def lease_deadline(self) -> Millis:
        """Tell how long leases may last.

        Returns:
            An instant on our clock, in ms.
        """


class WorkerSession:
    """Calls one worker for as long as its registration or its lease lasts.

    Attributes:
        listed: the worker is registered.
        over: the session has ended.
        unwanted: what runs there that no ledger counts.
        progress: of the runs there.
    """

    def __init__(
        self,
        *,
        entry: WorkerEntry,
        connector: WorkerConnector,
        clock: Clock,
        observer: SessionObserver,
        fence: int,
        inherited_until: Millis,
    ) -> None:
        """Prepare a session.

        Args:
            entry: how the worker registered itself.
            connector: makes the client.
            clock: our clock.
            observer: is told what is learnt.
            fence: epoch of this leader.
            inherited_until: when leases of former leaders are surely over.
        """
        self.registered = True
        self.over = False
        self.unwanted = NOTHING
        self.progress = ProgressTracker()
        self._entry = entry
        self._connector = connector
        self._client = connector.connect(entry)
        self._clock = clock
        self._observer = observer
        self._fence = fence
        self._inherited_until = inherited_until
        self._lease = WorkerLease()
        self._born_ms = 0
        self._answered_at: Millis | None = None
        self._suspected = False
        self._highest = 0
        self._unrecorded: set[int] = set()

    @property
    def entry(self) -> WorkerEntry:
        """How the worker registered itself last."""
        return self._entry

    @property
    def client(self) -> WorkerClient:
        """Calls the worker."""
        return self._client

    @property
    def fence(self) -> int:
        """Epoch under which the worker is called."""
        return self._fence

    @property
    def usable(self) -> bool:
        """Whether tasks may be placed here."""
        if self._answered_at is None or self._suspected or self.over:
            return False
        age = self._clock.now() - self._answered_at
        return (
            self.registered
            and not self._entry.draining
            and age < _SILENT_AFTER_MS
        )

    def update(self, entry: WorkerEntry) -> WorkerClient | None:
        """Take a new registration over.

        Args:
            entry: the registration.

        Returns:
            The former client when the address changed, to be closed.
        """
        former = None
        if entry.address != self._entry.address:
            former = self._client
            self._client = self._connector.connect(entry)
        self._entry = entry
        self.registered = True
        return former

    def suspect(self) -> None:
        """Place nothing here until the worker answers an inquiry again."""
        self._suspected = True

    def grant(self) -> int | None:
        """Choose the lease that the next order names.

        Returns:
            Its end on the worker's clock, renewed unless the worker is
            silent; None when there is no lease.
        """
        return self._lease.grant(
            self._clock.now(),
            self._observer.lease_deadline(),
            extend=not self._suspected,
        )

    def note_end(self, number: int) -> bool:
        """Note an end that the worker listed.

        Args:
            number: of the end.

        Returns:
            False when the end is known.
        """
        if number <= self._highest:
            return False
        self._highest = number
        self._unrecorded.add(number)
        return True

    def note_recorded(self, number: int) -> None:
        """Note that an end is recorded durably.

        Args:
            number: of the end.
        """
        self._unrecorded.discard(number)

    async def run(self) -> None:
        """Renew the lease and read inventories until the session is over."""
        try:
            while not self.over:
                await self._inquire_once()
        finally:
            await self._client.close()

    async def look(self) -> None:
        """Read an inventory at once, beside the one that waits."""
        try:
            await self._inquire(Millis(0))
        except WorkerUnreachable as error:
            eliot.log_message(
                'worker:silent',
                worker=self._entry.worker_id,
                error=str(error),
            )

    async def _inquire_once(self) -> None:
        wait_ms = WAIT_MS if self._lease.known else Millis(0)
        try:
            await self._inquire(wait_ms)
        except WorkerUnreachable as error:
            await self._miss(error)
            return
        await curio.sleep(to_seconds(_GATHER_MS))
        await self._wait_recorded()

    async def _inquire(self, wait_ms: Millis) -> None:
        asked_at = self._clock.now()
        inventory = await self._client.renew(
            RenewalRequest(
                fence=self._fence,
                last_seen=min(self._unrecorded, default=self._highest + 1) - 1,
                lease_until_ms=self.grant(),
                wait_ms=wait_ms,
            )
        )
        if inventory.fenced:
            eliot.log_message('worker:fenced', worker=self._entry.worker_id)
            await curio.sleep(to_seconds(_FENCED_MS))
        elif inventory.other_incarnation:
            await self._end()
        else:
            await self._take(inventory, asked_at)

    async def _take(self, inventory: RenewalReply, asked_at: Millis) -> None:
        if inventory.born_ms != self._born_ms:
            self._born_ms = inventory.born_ms
            self._highest = 0
            self._unrecorded.clear()
            self._lease.reset()
        self._answered_at = self._clock.now()
        self._suspected = False
        self._lease.note_clock(inventory.clock_ms, self._answered_at)
        await self._observer.observe(self, inventory, asked_at)

    async def _miss(self, error: WorkerUnreachable) -> None:
        if not self._suspected:
            eliot.log_message(
                'worker:silent',
                worker=self._entry.worker_id,
                error=str(error),
                listed=self.registered,
            )
        self._suspected = True
        expires_by = max(self._lease.expires_by(), self._inherited_until)
        if self._clock.now() >= expires_by:
            await self._observer.lease_expired(self)
            if not self.registered:
                self.over = True
        await curio.sleep(to_seconds(_RETRY_MS))

    async def _end(self) -> None:
        """End, since another life of the worker answers at its address."""
        eliot.log_message('worker:other_life', worker=self._entry.worker_id)
        self.over = True
        await self._observer.lease_expired(self)

    async def _wait_recorded(self) -> None:
        """Wait for the records of ends, as the worker lists them until then."""
        end = self._clock.now() + _RECORD_WAIT_MS
        while self._unrecorded and self._clock.now() < end:
            await curio.sleep(to_seconds(_RECORD_POLL_MS))
