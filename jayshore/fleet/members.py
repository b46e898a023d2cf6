"""Which instances of the deployment live, and which of them leads.

Instances know nothing of each other at their start; they meet in the store.
"""

import dataclasses

import curio
import eliot
import msgspec

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.http.client import Address, InvalidAddress
from jayshore.leases.leadership import LeaderEntry, Vacancy, leader_key
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
_TTL_MS = Millis(5000)
_RENEW_MS = Millis(1500)
_RETRY_MS = Millis(400)
_WATCH_MS = Millis(1500)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _MemberEntry:
    address: str


class Membership(MirrorObserver, Vacancy):
    """Registers this instance, and knows the others and the leader."""

    def __init__(
        self, *, store: Store, clock: Clock, name: str, address: Address
    ) -> None:
        """Prepare a registration.

        Args:
            store: the store.
            clock: measures the age of what is known.
            name: of this instance.
            address: where other instances call it.
        """
        self._store = store
        self._name = name
        self._address = address
        self._members: dict[str, Address] = {}
        self._leader = ''
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
    def members(self) -> dict[str, Address]:
        """Addresses of the registered instances by name."""
        return self._members

    @property
    def leader(self) -> str:
        """Name of the leading instance, empty when none is known."""
        return self._leader

    @property
    def age_ms(self) -> Millis | None:
        """Age of what is known, None before the first answer."""
        return self._mirror.age_ms

    async def changed(self, key: str, entry: Entry | None) -> None:
        """Take a change over.

        Args:
            key: the key.
            entry: its new entry, None when the key is gone.
        """
        if key == leader_key(DEPLOYMENT):
            await self._set_leader(entry)
        elif key.startswith(_MEMBERS):
            self._set_member(key.removeprefix(_MEMBERS), entry)

    async def follow(self) -> None:
        """Follow the registrations until cancelled."""
        await self._mirror.run()

    async def wait_vacant(self) -> None:
        """Wait until the store shows no leader."""
        await self._mirror.wait_loaded()
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

    async def _register_once(self) -> None:
        lease = await self._store.grant_lease(_TTL_MS)
        entry = _MemberEntry(address=str(self._address))
        key = f'{_MEMBERS}{self._name}'
        text = msgspec.json.encode(entry).decode()
        written = await self._store.put(
            key,
            text,
            expect_revision=MUST_NOT_EXIST,
            lease_id=lease.lease_id,
        )
        if isinstance(written, Conflict):
            # An earlier life of this instance is still registered.
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
        if entry is not None:
            try:
                decoded = msgspec.json.decode(entry.value, type=LeaderEntry)
            except msgspec.DecodeError as error:
                eliot.log_message('members:invalid', error=str(error))
            else:
                self._leader = decoded.holder
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
            self._members[name] = Address.parse(decoded.address)
        except (msgspec.DecodeError, InvalidAddress) as error:
            eliot.log_message('members:invalid', error=str(error))
