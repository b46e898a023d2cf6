"""Writes the changes of a domain's grants to the store."""

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
    """The store gave no answer to a read of the grants."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredGrants:
    """A team's grant record and its store revision.

    Attributes:
        record: the grants, `NO_GRANTS` when none are stored.
        revision: store revision of the value, 0 when none is stored.
    """

    record: grants.GrantRecord = grants.NO_GRANTS
    revision: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantWritten:
    """The store confirmed the write."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantConflict:
    """The value has another revision; the write can never take effect."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantUncertain:
    """The write may take effect, now or later."""


GrantWriteOutcome: TypeAlias = GrantWritten | GrantConflict | GrantUncertain


class GrantStore(abc.ABC):
    """Access to the grants in the platform's store."""

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
            team: the team.
            record: the new grants.
            expect_revision: the expected revision, 0 when none may be stored.

        Returns:
            Whether the write took effect, as far as is known.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _PendingWrite:
    """A write without a known outcome, and the revision that it replaces."""

    record: grants.GrantRecord
    expect_revision: int


class GrantReconciler:
    """Claims, raises and lowers the grants of one domain.

    A write without an answer may still take effect after the record was read
    back unchanged. It is therefore repeated with the same expected revision
    until it is confirmed or refused. Until then the ledger may only use the
    componentwise minimum of the old and the new grant.
    """

    def __init__(
        self,
        *,
        store: GrantStore,
        ledger: DomainLedger,
        owner: grants.GrantOwner,
    ) -> None:
        """Create a reconciler that has not read the store yet.

        Args:
            store: the stored grants.
            ledger: grants, use and demand of the domain.
            owner: the leader of the domain.
        """
        self._store = store
        self._ledger = ledger
        self._owner = owner
        self._revisions: dict[str, int] = {}
        self._pending: dict[str, _PendingWrite] = {}

    @property
    def has_pending(self) -> bool:
        """Whether there is a write of uncertain outcome."""
        return bool(self._pending)

    async def claim(self, team: str) -> bool:
        """Claim the domain's grant of a team for this leader.

        Args:
            team: the team.

        Returns:
            True once the grant may be used; False when the outcome is
            uncertain, another writer was faster or a later leader owns it.

        Raises:
            GrantStoreError: the store gave no answer to a read.
        """
        if team in self._pending:
            await self._write_pending(team)
        elif not self._is_claimed(team):
            await self._read(team)
            await self._submit(
                team, grants.claim_grant(self._record_of(team), self._owner)
            )
        return team not in self._pending and self._is_claimed(team)

    async def reconcile(
        self,
        now: Millis,
        *,
        limits: Mapping[str, grants.TeamLimit],
        cut_off: frozenset[str] = _NO_DOMAINS,
    ) -> tuple[GrantAdjustment, ...]:
        """Repeat uncertain writes, then write the changes the ledger plans.

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
            await self._write_pending(team)
        for stale_team in self._ledger.teams_to_refresh(limits):
            await self.refresh(stale_team)
        planned = self._ledger.plan_adjustments(
            now, limits=limits, cut_off=cut_off
        )
        for adjustment in planned:
            if adjustment.team not in self._pending:
                await self._apply(adjustment, limits.get(adjustment.team))
        return planned

    async def refresh(self, team: str) -> None:
        """Read a team's grants, so that the unassigned remainder is current.

        Grants with a write of uncertain outcome are not read.

        Args:
            team: the team.

        Raises:
            GrantStoreError: the store gave no answer.
        """
        if team not in self._pending:
            await self._read(team)

    async def reclaim(
        self, team: str, domain: str, *, lost: frozenset[str]
    ) -> None:
        """Return the grant of a lost domain to the unassigned remainder.

        Args:
            team: the team.
            domain: the lost domain.
            lost: the domains declared lost, from fresh configuration.

        Raises:
            GrantStoreError: the store gave no answer to a read.
        """
        if team not in self._pending:
            await self._read(team)
            record = self._record_of(team)
            if record.grant_for(domain) is not None:
                outcome = grants.reclaim_grant(record, domain=domain, lost=lost)
                await self._submit(team, outcome)

    async def _apply(
        self, adjustment: GrantAdjustment, limit: grants.TeamLimit | None
    ) -> None:
        account = self._ledger.account(adjustment.team)
        record = account.record
        if adjustment.to.fits_in(account.granted):
            if limit is not None:
                record = grants.adopt_limit(record, limit)
            outcome = grants.lower_grant(
                record, owner=self._owner, to=adjustment.to
            )
        elif limit is not None:
            outcome = grants.raise_grant(
                record, owner=self._owner, to=adjustment.to, limit=limit
            )
        await self._submit(adjustment.team, outcome)

    async def _submit(self, team: str, outcome: grants.GrantOutcome) -> None:
        if isinstance(outcome, grants.GrantUpdated):
            revision = self._revisions[team]
            self._pending[team] = _PendingWrite(
                record=outcome.record, expect_revision=revision
            )
            await self._write_pending(team)

    async def _write_pending(self, team: str) -> None:
        pending = self._pending[team]
        held = component_min(
            self._ledger.account(team).granted, self._granted_in(pending)
        )
        if self._is_claimed(team):
            record = self._record_of(team)
            self._ledger.set_grants(team, record, held=held)
        outcome = await self._store.write(
            team, pending.record, expect_revision=pending.expect_revision
        )
        if isinstance(outcome, GrantWritten):
            self._pending.pop(team)
            self._update_ledger(team, pending.record, outcome.revision)
        elif isinstance(outcome, GrantConflict):
            await self._read(team)
            self._pending.pop(team)

    async def _read(self, team: str) -> None:
        stored = await self._store.read(team)
        self._update_ledger(team, stored.record, stored.revision)

    def _update_ledger(
        self, team: str, record: grants.GrantRecord, revision: int
    ) -> None:
        grant = record.grant_for(self._owner.domain)
        is_own = grant is not None and grant.epoch == self._owner.epoch
        held = grant.amount if grant is not None and is_own else None
        self._revisions[team] = revision
        self._ledger.set_grants(team, record, held=held)

    def _granted_in(self, pending: _PendingWrite) -> Resources:
        grant = pending.record.grant_for(self._owner.domain)
        return NOTHING if grant is None else grant.amount

    def _record_of(self, team: str) -> grants.GrantRecord:
        return self._ledger.account(team).record

    def _is_claimed(self, team: str) -> bool:
        return self._ledger.account(team).held is not None
