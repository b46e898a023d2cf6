"""Membership of the deployment: the registered instances and the leader.

Instances start without knowing each other and discover each other through the
store.
"""

import dataclasses

import curio
import eliot
import msgspec

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.decoding import DECODE_ERRORS
from jayshore.fleet.refusals import (
    FULL_KEY,
    NOTHING_REFUSED,
    RefusalNotice,
    decode_notice,
)
from jayshore.http.client import Address, InvalidAddress
from jayshore.leases.leadership import LeaderEntry, VacancyMonitor, leader_key
from jayshore.store.mirror import Mirror, MirrorObserver
from jayshore.store.store import (
    MUST_NOT_EXIST,
    Conflict,
    Entry,
    LeaseGone,
    Store,
    StoreError,
)

DEPLOYMENT = 'deployment'
"""Name under which the leader of the whole deployment is elected."""

_PREFIX = f'domains/{DEPLOYMENT}/'
_MEMBERS = f'{_PREFIX}members/'
_INVALID_ENTRY = (*DECODE_ERRORS, InvalidAddress)
_TTL_MS = Millis(5000)
_RENEW_MS = Millis(1500)
_RETRY_MS = Millis(400)
_WATCH_MS = Millis(1500)

_REFUSALS_VALID_MS = Millis(3000)
"""Time for which a notice refuses submissions without confirmation, in ms.

A leader that was lost confirms nothing, so its refusals end.
"""


_DEFAULT_CORES = 1.0
"""Processor capacity assumed for a registration without one, in cores."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _MemberEntry:
    address: str
    domain: str = ''
    cores: float = _DEFAULT_CORES


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A registered instance.

    Attributes:
        address: address for calls of other instances.
        domain: failure domain, empty when unknown.
        cores: processor capacity, in cores.
        known_since: when its registration was last seen to change, on the
            local clock.
    """

    address: Address
    domain: str
    cores: float
    known_since: Millis


class Membership(MirrorObserver, VacancyMonitor):
    """Registers this instance, and follows other instances and the leader."""

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        name: str,
        address: Address,
        domain: str = '',
        cores: float = _DEFAULT_CORES,
    ) -> None:
        """Create the membership of an instance that is not registered yet.

        Args:
            store: the store.
            clock: local clock.
            name: name of this instance.
            address: address for calls of other instances.
            domain: failure domain of this instance.
            cores: processor capacity of this instance, in cores.
        """
        self._store = store
        self._clock = clock
        self._name = name
        self._address = address
        self._domain = domain
        self._cores = cores
        self._members: dict[str, Member] = {}
        self._notice = NOTHING_REFUSED
        self._noticed_at = clock.now()
        self._leader = ''
        self._leader_lease = 0
        self._leader_seen = False
        self._vacant = curio.Event()
        self._mirror = Mirror(
            store=store,
            clock=clock,
            prefix=_PREFIX,
            observer=self,
            wait_ms=_WATCH_MS,
        )

    @property
    def members(self) -> dict[str, Member]:
        """The registered instances by name."""
        return self._members

    @property
    def leader_lease(self) -> int:
        """Store lease of the leader, 0 when unknown."""
        return self._leader_lease

    @property
    def leader(self) -> str:
        """Name of the leading instance, empty when none is known."""
        return self._leader

    async def changed(self, key: str, entry: Entry | None) -> None:
        """Apply a change of a key in the store.

        Args:
            key: the key.
            entry: its new entry, None when the key was deleted.
        """
        if key == leader_key(DEPLOYMENT):
            await self._set_leader(entry)
        elif key == FULL_KEY:
            self._notice = decode_notice('' if entry is None else entry.value)
            self._noticed_at = self._confirmed_at()
        elif key.startswith(_MEMBERS):
            self._set_member(key.removeprefix(_MEMBERS), entry)

    def others(self) -> list[Member]:
        """List the registered instances except this one.

        Returns:
            The instances, in any order.
        """
        return [
            member
            for name, member in self._members.items()
            if name != self._name
        ]

    def refused(self, queue: str, workspace: str) -> RefusalNotice:
        """Tell what the leader refuses of a workspace's submissions to a queue.

        Args:
            queue: name of the queue.
            workspace: name of the workspace.

        Returns:
            The notice that concerns them; nothing when the leader has not
            confirmed it for 3,000 ms.
        """
        if self._clock.now() - self._noticed_at >= _REFUSALS_VALID_MS:
            return NOTHING_REFUSED
        return self._notice.select(queue, workspace)

    async def follow(self) -> None:
        """Follow registrations and the leader until cancelled."""
        await self._mirror.run()

    async def wait_loaded(self) -> None:
        """Wait until the registrations have been read once."""
        await self._mirror.wait_loaded()

    async def wait_until_vacant(self) -> None:
        """Wait until the store shows no leader."""
        await self.wait_loaded()
        if self._leader_seen:
            await self._vacant.wait()

    async def register(self) -> None:
        """Keep this instance registered until cancelled."""
        while True:
            try:
                await self._register_once()
            except StoreError as error:
                eliot.log_message('members:not_registered', error=str(error))
            await curio.sleep(to_seconds(_RETRY_MS))

    def _confirmed_at(self) -> Millis:
        """Return when a notice that was just read counts as confirmed.

        After a restart or an outage its age is not known, so that it refuses
        nothing until the leader confirms it.
        """
        now = self._clock.now()
        age = self._mirror.age_ms
        if age is None or age >= _REFUSALS_VALID_MS:
            return Millis(now - _REFUSALS_VALID_MS)
        return now

    async def _register_once(self) -> None:
        lease = await self._store.grant_lease(_TTL_MS)
        entry = _MemberEntry(address=str(self._address), cores=self._cores)
        key = f'{_MEMBERS}{self._name}'
        text = msgspec.json.encode(entry).decode()
        written = await self._store.put(
            key,
            text,
            expect_revision=MUST_NOT_EXIST,
            lease_id=lease.lease_id,
        )
        if isinstance(written, Conflict):
            # An earlier incarnation of this instance is still registered.
            written = await self._store.put(
                key,
                text,
                expect_revision=written.revision,
                lease_id=lease.lease_id,
            )
        if isinstance(written, Conflict | LeaseGone):
            return
        renewed: object = lease
        while not isinstance(renewed, LeaseGone):
            await curio.sleep(to_seconds(_RENEW_MS))
            renewed = await self._store.renew_lease(lease.lease_id)

    async def _set_leader(self, entry: Entry | None) -> None:
        self._leader = ''
        self._leader_lease = 0
        if entry is not None:
            try:
                decoded = msgspec.json.decode(entry.value, type=LeaderEntry)
            except DECODE_ERRORS as error:
                eliot.log_message('members:invalid', error=str(error))
            else:
                self._leader = decoded.holder
                self._leader_lease = decoded.lease_id
        self._leader_seen = True
        if entry is None:
            await self._vacant.set()
        else:
            self._vacant.clear()
        eliot.log_message('members:leader', leader=self._leader)

    def _set_member(self, name: str, entry: Entry | None) -> None:
        if entry is None:
            self._members.pop(name, None)
            return
        try:
            decoded = msgspec.json.decode(entry.value, type=_MemberEntry)
            address = Address.parse(decoded.address)
        except _INVALID_ENTRY as error:
            eliot.log_message('members:invalid', error=str(error))
            return
        self._members[name] = Member(
            address=address,
            domain=decoded.domain,
            cores=decoded.cores,
            known_since=self._clock.now(),
        )
