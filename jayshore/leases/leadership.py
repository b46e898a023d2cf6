"""Leader election for a failure domain.

The store lease only decides when another daemon tries to take over. What a
former leader can still do is limited by the records in the store and by the
leases of the upstreams, so a leader that cannot reach the store keeps leading.
"""

import abc
import contextlib
import dataclasses

import curio
import eliot
import msgspec

from jayshore.clock import Clock, Millis, MonotonicClock, to_seconds
from jayshore.store.store import (
    MUST_NOT_EXIST,
    LeaseGone,
    Store,
    StoreError,
    StoreLease,
    Written,
)
from jayshore.store.writeresolver import Write, WriteResolver, new_write_id

_RENEWALS_PER_TTL = 3

_ELECTION_RETRY_MS = Millis(250)
"""Pause after an election call that failed at the store, in ms."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderEntry:
    """The value of a domain's leader key.

    Attributes:
        holder: name of the leading daemon in the roster.
        write_id: random id of the write, by which a lost answer is resolved.
        lease_id: store lease of the key, 0 when unknown.
    """

    holder: str
    write_id: str
    lease_id: int = 0


class LeadershipObserver(abc.ABC):
    """Starts and stops a leader's work as leadership changes."""

    @abc.abstractmethod
    async def elected(self, epoch: int) -> None:
        """Start the leader's work.

        Args:
            epoch: the epoch of this leadership, higher than any earlier one.
        """

    @abc.abstractmethod
    async def leadership_lost(self) -> None:
        """Stop the leader's work; another daemon may have been elected."""

    def renewal_sent(self, late_ms: Millis) -> None:
        """Note that a renewal is being sent; by default nothing is noted.

        A renewal is late when other work of the process keeps the event loop.

        Args:
            late_ms: how much later than planned, in ms.
        """


class VacancyMonitor(abc.ABC):
    """Tells when an election may be tried, without a read of the leader key."""

    @abc.abstractmethod
    async def wait_until_vacant(self) -> None:
        """Wait until no leader is known, so that an election can be tried."""


def leader_key(domain: str) -> str:
    """Build the store key of a domain's leader.

    Args:
        domain: the failure domain.

    Returns:
        The key.
    """
    return f'domains/{domain}/leader'


class Leadership:
    """Acquires the leadership of one domain and renews it."""

    def __init__(
        self,
        *,
        store: Store,
        write_resolver: WriteResolver,
        domain: str,
        holder: str,
        ttl_ms: Millis,
        observer: LeadershipObserver,
        clock: Clock | None = None,
        vacancy_monitor: VacancyMonitor | None = None,
    ) -> None:
        """Create a candidate; `run` starts the election.

        Args:
            store: the platform's store.
            write_resolver: resolves writes whose answers were lost.
            domain: the failure domain.
            holder: name of this daemon in the roster.
            ttl_ms: time to live of the store lease, in ms.
            observer: notified when leadership is gained or lost.
            clock: gives the send times of calls; monotonic by default.
            vacancy_monitor: replaces reads and watches of the leader key when
                given.
        """
        self._store = store
        self._write_resolver = write_resolver
        self._key = leader_key(domain)
        self._holder = holder
        self._ttl_ms = ttl_ms
        self._observer = observer
        self._epoch = 0
        self._lease: StoreLease | None = None
        self._clock = clock or MonotonicClock()
        self._vacancy_monitor = vacancy_monitor
        self._confirmed_at = Millis(0)

    @property
    def confirmed_at(self) -> Millis:
        """Send time of the last call that confirmed the leadership."""
        return self._confirmed_at

    @property
    def ttl_ms(self) -> Millis:
        """Time to live of the store lease, in ms."""
        return self._ttl_ms

    @property
    def epoch(self) -> int:
        """The epoch of the current leadership, 0 when not leading."""
        return self._epoch

    async def run(self) -> None:
        """Try to acquire the leadership, and hold it, until cancelled."""
        while True:
            try:
                changed = await self._campaign()
            except StoreError as error:
                eliot.log_message('leadership:store_error', error=str(error))
                await curio.sleep(to_seconds(_ELECTION_RETRY_MS))
                continue
            if not changed:
                await curio.sleep(self._renewal_interval_s)

    async def resign(self) -> None:
        """Give up the leadership, so that another daemon can be elected.

        Called after `run` was cancelled. Revoking the store lease spares the
        others the wait for its expiry; a failure to revoke is ignored.
        """
        if self._epoch:
            self._epoch = 0
            await self._observer.leadership_lost()
        if self._lease is not None:
            with contextlib.suppress(StoreError):
                await self._store.revoke_lease(self._lease.lease_id)

    async def confirm(self) -> bool:
        """Check in the store that this leadership is still current.

        Returns:
            True when the leader key, read after this call began, still shows
            the epoch of this leadership.

        Raises:
            StoreError: the store did not answer.
        """  # noqa: DAR401 raised by the store
        epoch = self._epoch
        entry = await self._store.get(self._key)
        return entry is not None and epoch == entry.revision

    @property
    def _renewal_interval_ms(self) -> Millis:
        return Millis(self._ttl_ms // _RENEWALS_PER_TTL)

    @property
    def _renewal_interval_s(self) -> float:
        return to_seconds(self._renewal_interval_ms)

    async def _campaign(self) -> bool:
        """Acquire the leadership if there is no leader, and hold it.

        Returns:
            True when a retry needs no pause, as the leader key was deleted.
        """
        if self._vacancy_monitor is None:
            listing = await self._store.list(self._key)
            if listing.entries:
                change = await self._store.watch(
                    self._key, since=listing.revision, wait_ms=self._ttl_ms
                )
                return bool(change.deleted)
        else:
            await self._vacancy_monitor.wait_until_vacant()
        sent_at = self._clock.now()
        lease = await self._store.grant_lease(self._ttl_ms)
        self._lease = lease
        entry = LeaderEntry(
            holder=self._holder,
            write_id=new_write_id(),
            lease_id=lease.lease_id,
        )
        written = await self._write_resolver.resolve_write(
            Write(
                key=self._key,
                value=msgspec.json.encode(entry).decode(),
                expect_revision=MUST_NOT_EXIST,
                lease_id=lease.lease_id,
            ),
            limit_ms=self._ttl_ms,
        )
        if isinstance(written, Written):
            self._confirmed_at = sent_at
            await self._hold_leadership(lease, written.revision)
        return False

    async def _hold_leadership(self, lease: StoreLease, epoch: int) -> None:
        self._epoch = epoch
        eliot.log_message('leadership:elected', epoch=epoch)
        await self._observer.elected(epoch)
        renewed: StoreLease | LeaseGone = lease
        while not isinstance(renewed, LeaseGone):
            planned_at = self._clock.now() + self._renewal_interval_ms
            await curio.sleep(self._renewal_interval_s)
            sent_at = self._clock.now()
            self._observer.renewal_sent(Millis(max(0, sent_at - planned_at)))
            try:
                renewed = await self._store.renew_lease(lease.lease_id)
            except StoreError as error:
                eliot.log_message('leadership:not_renewed', error=str(error))
                continue
            if not isinstance(renewed, LeaseGone):
                self._confirmed_at = sent_at
        eliot.log_message('leadership:deposed', epoch=epoch)
        self._epoch = 0
        await self._observer.leadership_lost()
