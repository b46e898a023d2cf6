"""Applies the changes of a domain's parts to the store."""

import abc
import dataclasses
from collections.abc import Mapping
from typing import TypeAlias

from jayshore.clock import Millis
from jayshore.outcomes import JayshoreError
from jayshore.quota import grants
from jayshore.quota.amounts import component_min
from jayshore.quota.ledger import DomainLedger, GrantAdjustment
from jayshore.resources import NOTHING, Resources

_NO_DOMAINS: frozenset[str] = frozenset()


class GrantStoreError(JayshoreError):
    """The grants could not be read."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredGrants:
    """A team's record and the store revision at which it was read.

    Attributes:
        record: the grants, `NO_GRANTS` when none are stored.
        revision: of the value, 0 when none is stored.
    """

    record: grants.GrantRecord = grants.NO_GRANTS
    revision: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantWritten:
    """The store has confirmed the write."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantConflict:
    """The value has another revision; the write will never take effect."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantUncertain:
    """The write may take effect, now or later."""


GrantWriteOutcome: TypeAlias = GrantWritten | GrantConflict | GrantUncertain


class GrantStore(abc.ABC):
    """The part of the platform's store that holds grants."""

    @abc.abstractmethod
    async def read(self, team: str) -> StoredGrants:
        """Read a team's grants.

        Args:
            team: any team.

        Returns:
            The record and its revision.

        Raises:
            GrantStoreError: the store gave no answer.
        """

    @abc.abstractmethod
    async def write(
        self,
        team: str,
        record: grants.GrantRecord,
        *,
        expect_revision: int,
    ) -> GrantWriteOutcome:
        """Replace a team's grants if the revision is the expected one.

        Args:
            team: whose grants.
            record: the new grants.
            expect_revision: 0 when there must be none.

        Returns:
            What is known of the write.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Pending:
    """A write whose outcome is uncertain, and what it replaces."""

    record: grants.GrantRecord
    expect_revision: int


class GrantReconciler:
    """Claims, raises and lowers the parts of one domain.

    A write without an answer may still take effect after the record was read
    back unchanged. It is therefore repeated with the same expected revision
    until it is confirmed or refused, and until then the ledger counts on the
    smaller of the two parts.
    """

    def __init__(
        self,
        *,
        store: GrantStore,
        ledger: DomainLedger,
        owner: grants.GrantOwner,
    ) -> None:
        """Start without any knowledge of the store.

        Args:
            store: holds the grants.
            ledger: the parts, use and demand of the domain.
            owner: the leader of the domain.
        """
        self._store = store
        self._ledger = ledger
        self._owner = owner
        self._revisions: dict[str, int] = {}
        self._pending: dict[str, _Pending] = {}

    @property
    def has_pending(self) -> bool:
        """Whether the outcome of a write is uncertain."""
        return bool(self._pending)

    async def claim(self, team: str) -> bool:
        """Make the part of a team the leader's own.

        Args:
            team: whose part.

        Returns:
            True once the part can be counted on; False when the outcome is
            uncertain, another writer was faster or a later leader owns it.

        Raises:
            GrantStoreError: the store gave no answer to a read.
        """
        if team in self._pending:
            await self._settle(team)
        elif not self._is_claimed(team):
            await self._read(team)
            await self._try(
                team, grants.claim_grant(self._record(team), self._owner)
            )
        return team not in self._pending and self._is_claimed(team)

    async def reconcile(
        self,
        now: Millis,
        *,
        limits: Mapping[str, grants.TeamLimit],
        cut_off: frozenset[str] = _NO_DOMAINS,
    ) -> tuple[GrantAdjustment, ...]:
        """Settle uncertain writes, then apply what the ledger plans.

        Args:
            now: the time, in ms.
            limits: the newest limits, without those teams whose configuration
                is not fresh.
            cut_off: the domains that cannot be reached.

        Returns:
            The planned changes; the caller preempts their `excess`.

        Raises:
            GrantStoreError: the store gave no answer to a read.
        """
        for team in tuple(self._pending):
            await self._settle(team)
        for outdated in self._ledger.outdated(limits):
            await self.refresh(outdated)
        planned = self._ledger.plan_changes(now, limits=limits, cut_off=cut_off)
        for change in planned:
            if change.team not in self._pending:
                await self._apply(change, limits.get(change.team))
        return planned

    async def refresh(self, team: str) -> None:
        """Read a team's grants, for a current unassigned remainder.

        Args:
            team: whose grants.

        Raises:
            GrantStoreError: the store gave no answer.
        """
        if team not in self._pending:
            await self._read(team)

    async def reclaim(
        self, team: str, domain: str, *, lost: frozenset[str]
    ) -> None:
        """Return the part of a lost domain to the unassigned remainder.

        Args:
            team: whose grants.
            domain: the lost domain.
            lost: the domains declared lost, from fresh configuration.

        Raises:
            GrantStoreError: the store gave no answer to a read.
        """
        if team not in self._pending:
            await self._read(team)
            record = self._record(team)
            if record.grant_for(domain) is not None:
                outcome = grants.reclaim_grant(record, domain=domain, lost=lost)
                await self._try(team, outcome)

    async def _apply(
        self, change: GrantAdjustment, limit: grants.TeamLimit | None
    ) -> None:
        account = self._ledger.account(change.team)
        record = account.record
        if change.to.fits_in(account.part):
            if limit is not None:
                record = grants.adopt_limit(record, limit)
            outcome = grants.lower_grant(
                record, owner=self._owner, to=change.to
            )
        elif limit is not None:
            outcome = grants.raise_grant(
                record, owner=self._owner, to=change.to, limit=limit
            )
        await self._try(change.team, outcome)

    async def _try(self, team: str, outcome: grants.GrantOutcome) -> None:
        if isinstance(outcome, grants.GrantUpdated):
            revision = self._revisions[team]
            self._pending[team] = _Pending(
                record=outcome.record, expect_revision=revision
            )
            await self._settle(team)

    async def _settle(self, team: str) -> None:
        pending = self._pending[team]
        held = component_min(
            self._ledger.account(team).part, self._part(pending)
        )
        if self._is_claimed(team):
            record = self._record(team)
            self._ledger.set_grants(team, record, held=held)
        outcome = await self._store.write(
            team, pending.record, expect_revision=pending.expect_revision
        )
        if isinstance(outcome, GrantWritten):
            self._pending.pop(team)
            self._note(team, pending.record, outcome.revision)
        elif isinstance(outcome, GrantConflict):
            await self._read(team)
            self._pending.pop(team)

    async def _read(self, team: str) -> None:
        stored = await self._store.read(team)
        self._note(team, stored.record, stored.revision)

    def _note(
        self, team: str, record: grants.GrantRecord, revision: int
    ) -> None:
        part = record.grant_for(self._owner.domain)
        is_own = part is not None and part.epoch == self._owner.epoch
        held = part.amount if part is not None and is_own else None
        self._revisions[team] = revision
        self._ledger.set_grants(team, record, held=held)

    def _part(self, pending: _Pending) -> Resources:
        part = pending.record.grant_for(self._owner.domain)
        return NOTHING if part is None else part.amount

    def _record(self, team: str) -> grants.GrantRecord:
        return self._ledger.account(team).record

    def _is_claimed(self, team: str) -> bool:
        return self._ledger.account(team).held is not None
