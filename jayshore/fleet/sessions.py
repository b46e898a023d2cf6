"""The leader's session with one worker: renews its lease and collects ends."""

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
from jayshore.fleet.model import Incarnation, WorkerEntry
from jayshore.fleet.outages import Outage
from jayshore.fleet.progress import ProgressTracker
from jayshore.fleet.spread import UnaccountedRuns

WAIT_MS = Millis(1000)
"""Maximum time that a worker delays its reply to wait for an end, in ms."""

_UNRESPONSIVE_AFTER_MS = Millis(WAIT_MS + 900)
_RETRY_MS = Millis(200)
_FENCED_PAUSE_MS = Millis(1000)
_BATCH_MS = Millis(15)
_RECORD_POLL_MS = Millis(10)
_RECORD_WAIT_MS = Millis(400)


class SessionObserver(abc.ABC):
    """Receives the events of worker sessions."""

    @abc.abstractmethod
    async def handle_renewal(
        self,
        session: 'WorkerSession',
        reply: RenewalReply,
        sent_at: Millis,
    ) -> None:
        """Handle the reply to a lease renewal.

        Args:
            session: session of the worker.
            reply: active and ended runs of the worker.
            sent_at: when the renewal was sent, on the local clock.
        """

    @abc.abstractmethod
    async def worker_restarted(
        self, session: 'WorkerSession', outage: Outage
    ) -> None:
        """Handle the reply of another incarnation of a worker.

        Everything that was started in the former incarnation is over. When the
        other one has an id of its own, the session is closed.

        Args:
            session: session of the worker.
            outage: when the former incarnation stopped replying.
        """

    @abc.abstractmethod
    async def lease_expired(self, session: 'WorkerSession') -> None:
        """Handle the end of a worker's lease, after which nothing runs there.

        Args:
            session: session of the worker.
        """

    @abc.abstractmethod
    def lease_deadline(self) -> Millis:
        """Return the latest end of the leases that may be granted now.

        Returns:
            Time on the local clock, in ms.
        """


class WorkerSession:
    """Calls one worker for as long as its registration or its lease lasts.

    Attributes:
        registered: the worker is registered.
        closed: the session has ended.
        unaccounted: runs there that the ledger does not count.
        progress: tracks the progress of the runs there.
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
        max_lease_ms: Millis,
    ) -> None:
        """Create a session.

        Args:
            entry: registration of the worker.
            connector: creates the client.
            clock: local clock.
            observer: receives the events of the session.
            fence: epoch of this leader, used as the fencing token.
            inherited_until: when all leases of former leaders have expired, on
                the local clock.
            max_lease_ms: longest lease that the worker accepts, in ms.
        """
        self.registered = True
        self.closed = False
        self.unaccounted = UnaccountedRuns()
        self.progress = ProgressTracker()
        self._entry = entry
        self._connector = connector
        self._client = connector.connect(entry)
        self._clock = clock
        self._observer = observer
        self._fence = fence
        self._inherited_until = inherited_until
        self._lease = WorkerLease(max_ms=max_lease_ms)
        self._born_ms = 0
        self._born_seen_at = Millis(0)
        self._replied_at: Millis | None = None
        self._outage: Outage | None = None
        self._suspected = False
        self._more_ends = False
        self._last_end = 0
        self._unrecorded: set[int] = set()
        self._created_at = clock.now()
        self._warm_at = Millis(self._created_at + entry.cold_left_ms)

    @property
    def entry(self) -> WorkerEntry:
        """The latest registration of the worker."""
        return self._entry

    @property
    def client(self) -> WorkerClient:
        """Client of the worker."""
        return self._client

    @property
    def lease(self) -> WorkerLease:
        """The lease that the worker was granted."""
        return self._lease

    @property
    def fence(self) -> int:
        """Epoch under which the worker is called."""
        return self._fence

    @property
    def born_ms(self) -> int:
        """Start of the incarnation that replied last, 0 when unknown."""
        return self._born_ms

    @property
    def outage(self) -> Outage | None:
        """When the worker stopped replying, None while it replies."""
        return self._outage

    @property
    def usable(self) -> bool:
        """Whether tasks may be placed here.

        False while the registration is that of another incarnation than the
        one that replied, whose labels and capacity may differ.
        """
        if self._replied_at is None or self._suspected or self.closed:
            return False
        age = self._clock.now() - self._replied_at
        return (
            self.registered
            and not self._entry.draining
            and age < _UNRESPONSIVE_AFTER_MS
            and self.is_incarnation(self._entry.incarnation)
        )

    @property
    def cold(self) -> bool:
        """Whether the worker is still slow, as its registration says."""
        return self._clock.now() < self._warm_at

    def is_incarnation(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation may be the one that replied last.

        Args:
            incarnation: an incarnation of this worker.

        Returns:
            False when it is known to be another one.
        """
        return (
            0 in {self._born_ms, incarnation.born_ms}
            or self._born_ms == incarnation.born_ms
        )

    def update(self, entry: WorkerEntry) -> WorkerClient | None:
        """Apply a new registration.

        Args:
            entry: the registration.

        Returns:
            The previous client, to be closed, when the address changed;
            otherwise None.
        """
        former = None
        if entry.address != self._entry.address:
            former = self._client
            self._client = self._connector.connect(entry)
        self._entry = entry
        self._warm_at = Millis(self._clock.now() + entry.cold_left_ms)
        self.registered = True
        return former

    def suspect(self) -> None:
        """Exclude the worker from placement until it answers a renewal."""
        self._suspected = True

    def grant(self) -> int | None:
        """Compute the end of the lease that the next order names.

        Returns:
            Time on the worker's clock in ms, extended unless the worker is
            suspected; None when there is no lease.
        """
        return self._lease.grant(
            self._clock.now(),
            self._observer.lease_deadline(),
            extend=not self._suspected,
        )

    def note_end(self, number: int) -> bool:
        """Register an end that the worker reported.

        Args:
            number: number of the end.

        Returns:
            False when the end is already known.
        """
        if number <= self._last_end:
            return False
        self._last_end = number
        self._unrecorded.add(number)
        return True

    def mark_recorded(self, number: int, *, born_ms: int) -> None:
        """Mark an end as recorded durably, so that the worker may forget it.

        Args:
            number: number of the end.
            born_ms: start of the incarnation that reported it; a later one
                counts its ends anew.
        """
        if born_ms == self._born_ms:
            self._unrecorded.discard(number)

    async def run(self) -> None:
        """Renew the lease repeatedly until the session is closed."""
        try:
            while not self.closed:
                await self._renew_once()
        finally:
            await self._client.close()

    async def poll_now(self) -> None:
        """Send a renewal without waiting, beside the pending long poll."""
        try:
            await self._renew(Millis(0))
        except WorkerUnreachable as error:
            eliot.log_message(
                'worker:silent',
                worker=self._entry.worker_id,
                error=str(error),
            )

    async def _renew_once(self) -> None:
        wait_ms = Millis(0)
        hurry = self._suspected or self._more_ends
        if self._lease.clock_known and not hurry:
            wait_ms = WAIT_MS
        try:
            await self._renew(wait_ms)
        except WorkerUnreachable as error:
            await self._handle_no_reply(error)
            return
        await curio.sleep(to_seconds(_BATCH_MS))
        await self._wait_until_recorded()

    async def _renew(self, wait_ms: Millis) -> None:
        sent_at = self._clock.now()
        reply = await self._client.renew(
            RenewalRequest(
                fence=self._fence,
                last_seen=self._acknowledged_end(),
                lease_until_ms=self.grant(),
                wait_ms=wait_ms,
            )
        )
        if reply.fenced:
            eliot.log_message('worker:fenced', worker=self._entry.worker_id)
            await curio.sleep(to_seconds(_FENCED_PAUSE_MS))
        elif reply.other_incarnation:
            await self._close_superseded()
        else:
            await self._handle_reply(reply, sent_at)

    def _acknowledged_end(self) -> int:
        """Return up to which number the worker may forget its ends.

        After a silence it may be another incarnation, whose ends have the same
        numbers, so nothing is acknowledged until it replies.
        """
        if self._suspected:
            return 0
        return min(self._unrecorded, default=self._last_end + 1) - 1

    async def _handle_reply(self, reply: RenewalReply, sent_at: Millis) -> None:
        former = self._born_ms
        if reply.born_ms != former and sent_at < self._born_seen_at:
            # A reply of the current incarnation has overtaken this one.
            eliot.log_message(
                'worker:old_reply',
                worker=self._entry.worker_id,
                born_ms=reply.born_ms,
                current_ms=former,
            )
            return
        self._born_ms = reply.born_ms
        if reply.born_ms != former:
            self._born_seen_at = self._clock.now()
            self._last_end = 0
            self._unrecorded.clear()
            self._lease.reset(self._clock.now())
        outage = self._describe_outage(alive=False)
        self._outage = None
        self._replied_at = self._clock.now()
        self._suspected = False
        self._more_ends = reply.more_ends
        self._lease.note_clock(reply.clock_ms, self._replied_at)
        if former not in {0, reply.born_ms}:
            eliot.log_message(
                'worker:other_life', worker=self._entry.worker_id, same_id=True
            )
            await self._observer.worker_restarted(self, outage)
        await self._observer.handle_renewal(self, reply, sent_at)

    async def _handle_no_reply(self, error: WorkerUnreachable) -> None:
        first = not self._suspected
        if first:
            eliot.log_message(
                'worker:silent',
                worker=self._entry.worker_id,
                error=str(error),
                listed=self.registered,
            )
        self._outage = self._describe_outage(alive=error.broken)
        self._suspected = True
        expires_by = max(self._lease.expires_by(), self._inherited_until)
        if self._clock.now() >= expires_by:
            await self._observer.lease_expired(self)
            if not self.registered:
                self.closed = True
        if not (first and error.sent):
            # A single lost reply is asked for again at once.
            await curio.sleep(to_seconds(_RETRY_MS))

    async def _close_superseded(self) -> None:
        """Close after another incarnation of the worker replied."""
        eliot.log_message('worker:other_life', worker=self._entry.worker_id)
        self.closed = True
        await self._observer.worker_restarted(
            self, self._describe_outage(alive=False)
        )

    def _describe_outage(self, *, alive: bool) -> Outage:
        """Describe the current outage, or one that is just noticed.

        Args:
            alive: the worker has held a connection until now.
        """
        if self._outage is not None:
            return self._outage
        now = self._clock.now()
        alive_at = now if alive else self._replied_at or self._created_at
        return Outage(alive_at=alive_at, noticed_at=now)

    async def _wait_until_recorded(self) -> None:
        """Wait until ends are recorded; the worker repeats them until then."""
        end = self._clock.now() + _RECORD_WAIT_MS
        while self._unrecorded and self._clock.now() < end:
            await curio.sleep(to_seconds(_RECORD_POLL_MS))
