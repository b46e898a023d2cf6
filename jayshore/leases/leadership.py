"""Leadership of a failure domain.

The store lease only decides when another daemon tries to take over. What a
former leader can still do is limited by the records in the store and by the
leases of the upstreams, so a leader that cannot reach the store goes on.
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

_RETRY_MS = Millis(250)
"""Pause after a call of an election that the store did not answer, in ms."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderEntry:
    """The value of the leader key of a domain.

    Attributes:
        holder: name of the leading daemon in the roster.
        write_id: random id of the write.
        lease_id: store lease of the key, 0 when unknown.
    """

    holder: str
    write_id: str
    lease_id: int = 0


class LeadershipObserver(abc.ABC):
    """Starts and stops the work of a leader."""

    @abc.abstractmethod
    async def elected(self, epoch: int) -> None:
        """Start to lead.

        Args:
            epoch: the epoch of this leadership, higher than any earlier one.
        """

    @abc.abstractmethod
    async def deposed(self) -> None:
        """Stop to lead; another daemon may have been elected."""


class VacancyMonitor(abc.ABC):
    """Knows from elsewhere whether the leader key exists."""

    @abc.abstractmethod
    async def wait_until_vacant(self) -> None:
        """Wait until no leader is known."""


def leader_key(domain: str) -> str:
    """Name the store key of a domain's leader.

    Args:
        domain: the failure domain.

    Returns:
        The key.
    """
    return f'domains/{domain}/leader'


class Leadership:
    """Competes for the leadership of one domain, and keeps it."""

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
        """Prepare to compete.

        Args:
            store: the platform's store.
            write_resolver: resolves lost answers of writes.
            domain: the failure domain.
            holder: name of this daemon in the roster.
            ttl_ms: time to live of the store lease, in ms.
            observer: is told of elections.
            clock: tells when the store confirmed the leadership.
            vacancy: saves reads of the leader key of its own.
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
        """When a call that the store answered with the leadership was sent."""
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
        """Compete and lead until cancelled."""
        while True:
            try:
                changed = await self._compete()
            except StoreError as error:
                eliot.log_message('leadership:store_error', error=str(error))
                await curio.sleep(to_seconds(_RETRY_MS))
                continue
            if not changed:
                await curio.sleep(self._interval)

    async def resign(self) -> None:
        """Give the leadership up, so that another daemon is elected at once.

        Called after `run` was cancelled.
        """
        if self._epoch:
            self._epoch = 0
            await self._observer.deposed()
        if self._lease is not None:
            with contextlib.suppress(StoreError):
                await self._store.revoke_lease(self._lease.lease_id)

    async def confirm(self) -> bool:
        """Read the leader key.

        Returns:
            True when the key, read after this call began, still shows the
            epoch of this leadership.

        Raises:
            StoreError: the store did not answer.
        """  # noqa: DAR401 raised by the store
        epoch = self._epoch
        entry = await self._store.get(self._key)
        return entry is not None and epoch == entry.revision

    @property
    def _interval(self) -> float:
        return to_seconds(Millis(self._ttl_ms // _RENEWALS_PER_TTL))

    async def _compete(self) -> bool:
        """Lead if there is no leader.

        Returns:
            True when it should be tried again without a pause.
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
        asked_at = self._clock.now()
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
            self._confirmed_at = asked_at
            await self._lead(lease, written.revision)
        return False

    async def _lead(self, lease: StoreLease, epoch: int) -> None:
        self._epoch = epoch
        eliot.log_message('leadership:elected', epoch=epoch)
        await self._observer.elected(epoch)
        renewed: StoreLease | LeaseGone = lease
        while not isinstance(renewed, LeaseGone):
            await curio.sleep(self._interval)
            asked_at = self._clock.now()
            try:
                renewed = await self._store.renew_lease(lease.lease_id)
            except StoreError as error:
                eliot.log_message('leadership:not_renewed', error=str(error))
                continue
            if not isinstance(renewed, LeaseGone):
                self._confirmed_at = asked_at
        eliot.log_message('leadership:deposed', epoch=epoch)
        self._epoch = 0
        await self._observer.deposed()
