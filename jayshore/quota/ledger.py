"""Grants, use and demand of every team in the domain of one leader."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from jayshore.clock import Millis
from jayshore.outcomes import JayshoreError
from jayshore.quota.amounts import component_max, component_min, saturating_sub
from jayshore.quota.demand import NO_DEMAND, PendingDemand
from jayshore.quota.grants import (
    NO_GRANTS,
    GrantRecord,
    TeamLimit,
    adopt_limit,
    proportional_grant,
)
from jayshore.resources import NOTHING, Resources

SURPLUS_RETURN_DELAY_MS = Millis(5000)
"""How long a surplus stays idle before it is returned.

Several times the interval between rounds, so that a short pause between two
starts does not cost two writes.
"""

CONTENDED_RETURN_DELAY_MS = Millis(1000)
"""How long a surplus stays idle when the whole limit is assigned.

Other domains may then wait for it. A raised limit or a new demand has to be
met within 3 s, which covers this delay and one round in each of two domains.
"""

_NO_DOMAINS: frozenset[str] = frozenset()


class GrantExceededError(JayshoreError):
    """A reservation does not fit in the domain's grant."""


class OverReleaseError(JayshoreError):
    """More was released than was in use."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantAdjustment:
    """A change of the domain's grant that the ledger asks for.

    Attributes:
        team: the team whose grant changes.
        to: the wanted amount.
        excess: what has to be preempted before the grant can be lowered to the
            proportional grant under a lowered limit.
    """

    team: str
    to: Resources
    excess: Resources = NOTHING


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """The state of one team in one domain.

    Attributes:
        record: the grants as last read or written.
        held: the grant that the leader may use, None before it is claimed.
            Never more than the grant in the store.
        use: resources of the work that runs or may run.
        waiting: work that waits for quota.
        peak: largest amount in use or usable since `idle_since`.
        ceiling: the proportional grant under a lowered limit, or None. Nothing
            is started above it, so that the grant can be lowered as work ends.
        idle_since: when the current surplus began, or None without a surplus.
    """

    record: GrantRecord = NO_GRANTS
    held: Resources | None = None
    use: Resources = NOTHING
    waiting: PendingDemand = NO_DEMAND
    peak: Resources = NOTHING
    ceiling: Resources | None = None
    idle_since: Millis | None = None

    @property
    def granted(self) -> Resources:
        """What the team may use in this domain, zero before the claim."""
        return NOTHING if self.held is None else self.held

    @property
    def startable(self) -> Resources:
        """The grant, reduced to the ceiling of a lowered limit."""
        if self.ceiling is None:
            return self.granted
        return component_min(self.granted, self.ceiling)

    @property
    def free(self) -> Resources:
        """What can still be started, zero where use exceeds `startable`."""
        return saturating_sub(self.startable, self.use)

    @property
    def need(self) -> Resources:
        """Sum of the running and the waiting work."""
        return self.use + self.waiting.total

    def is_contended(self, need: Resources) -> bool:
        """Tell whether other domains may be waiting for the idle surplus.

        Args:
            need: what the domain can use.

        Returns:
            True when a component has an idle surplus here while nothing of its
            limit is left unassigned.
        """
        remainder = saturating_sub(
            self.record.limit.amount, self.record.assigned
        )
        idle = saturating_sub(self.granted, need)
        pairs = zip(idle, remainder, strict=True)
        return any(surplus and not left for surplus, left in pairs)


_EMPTY = Account()


class DomainLedger:
    """Grants, use and demand of all teams in one domain.

    Before a new leader relies on `has_headroom` it charges everything that may
    be running: each task that may have started according to the job records,
    and each request in an executor's inventory. Until the lease of every
    upstream is open or the upstream is gone, the predecessor may still start
    requests, so no grant is lowered and no request is admitted.
    """

    def __init__(
        self,
        *,
        domain: str,
        return_delay_ms: Millis = SURPLUS_RETURN_DELAY_MS,
    ) -> None:
        """Create a ledger without grants and with an incomplete inventory.

        Args:
            domain: the failure domain.
            return_delay_ms: how long a surplus stays idle before it is
                returned, in ms.
        """
        self._domain = domain
        self._return_delay_ms = return_delay_ms
        self._accounts: dict[str, Account] = {}
        self._is_inventory_complete = False

    def account(self, team: str) -> Account:
        """Look up a team.

        Args:
            team: any team.

        Returns:
            Its account, empty when nothing is known of it.
        """
        return self._accounts.get(team, _EMPTY)

    def mark_inventory_complete(self) -> None:
        """Record that each upstream's lease is open or the upstream is gone."""
        self._is_inventory_complete = True

    def charge(self, team: str, demand: Resources) -> None:
        """Add to a team's use, whether or not it fits in the grant.

        Args:
            team: the team that is charged.
            demand: resources of work that runs or is about to start.
        """
        account = self.account(team)
        self._update(team, use=account.use + demand)

    def has_headroom(self, team: str, demand: Resources) -> bool:
        """Tell whether a demand can be reserved now.

        Args:
            team: the team that would be charged.
            demand: resources of the work.

        Returns:
            True when the demand and all use fit in what is startable; False
            for requests while the inventory is incomplete.
        """
        if demand.requests and not self._is_inventory_complete:
            return False
        return demand.fits_in(self.account(team).free)

    def reserve(self, team: str, demand: Resources) -> None:
        """Charge a demand if there is headroom for it.

        Args:
            team: the team that is charged.
            demand: resources of the work.

        Raises:
            GrantExceededError: there is no headroom.
        """
        if not self.has_headroom(team, demand):
            raise GrantExceededError(f'{team} has no headroom for {demand}')
        self.charge(team, demand)

    def release(self, team: str, demand: Resources) -> None:
        """Subtract ended work from a team's use.

        Args:
            team: the team that was charged.
            demand: resources of the work.

        Raises:
            OverReleaseError: that much was not in use.
        """
        account = self.account(team)
        if not demand.fits_in(account.use):
            raise OverReleaseError(f'{team} releases more than it uses')
        self._update(team, use=account.use - demand)

    def set_waiting(self, team: str, demand: PendingDemand) -> None:
        """Replace the demand of a team's waiting work.

        Args:
            team: the team.
            demand: all of its waiting work.
        """
        self._update(team, waiting=demand)

    def set_grants(
        self,
        team: str,
        record: GrantRecord,
        *,
        held: Resources | None,
    ) -> None:
        """Replace a team's grant record and the grant that may be used.

        Args:
            team: the team.
            record: the grants as read or written.
            held: the domain's grant, less what a write of uncertain outcome
                would take away; None when the grant is not claimed.
        """
        self._update(team, record=record, held=held)

    def teams_to_refresh(
        self, limits: Mapping[str, TeamLimit]
    ) -> tuple[str, ...]:
        """List the teams whose grants have to be read before planning.

        Args:
            limits: the newest limits.

        Returns:
            Teams that need more or less than their grant, for which the
            unassigned remainder matters, and teams whose limit has changed.
        """
        return tuple(
            team
            for team, account in sorted(self._accounts.items())
            if account.need != account.granted
            or team in limits
            and limits[team].version > account.record.limit.version
        )

    @property
    def is_settled(self) -> bool:
        """Whether each grant equals its team's need and has no ceiling.

        Unless limits, domains, use or demand change, no grant then changes.
        """
        return all(
            account.granted == account.need and account.ceiling is None
            for account in self._accounts.values()
        )

    def plan_adjustments(
        self,
        now: Millis,
        *,
        limits: Mapping[str, TeamLimit],
        cut_off: frozenset[str] = _NO_DOMAINS,
    ) -> tuple[GrantAdjustment, ...]:
        """Compute the wanted changes of grants, at most one for each team.

        Args:
            now: the time, in ms.
            limits: the newest limits; a team without fresh configuration is
                absent and its grant is not raised.
            cut_off: the domains that cannot be reached.

        Returns:
            Raises, returns of idle surplus, and reductions to the
            proportional grant.
        """
        planned = (
            self._plan_team(team, now, limits.get(team), cut_off)
            for team in sorted(self._accounts)
        )
        return tuple(change for change in planned if change is not None)

    def _plan_team(
        self,
        team: str,
        now: Millis,
        limit: TeamLimit | None,
        cut_off: frozenset[str],
    ) -> GrantAdjustment | None:
        account = self.account(team)
        if account.held is None:
            return None
        record = account.record
        if limit is not None:
            record = adopt_limit(record, limit)
        bound = proportional_grant(record, domain=self._domain, cut_off=cut_off)
        if not account.held.fits_in(bound):
            self._update(team, ceiling=bound)
            can_lower = self._is_inventory_complete
            return _plan_reduction(team, account, bound, can_lower=can_lower)
        self._update(team, ceiling=None)
        remainder = NOTHING
        if limit is not None:
            remainder = saturating_sub(record.limit.amount, record.assigned)
        # What fits no waiting unit is left to the other domains.
        usable = account.waiting.usable(account.free + remainder)
        need = account.use + usable
        wanted = component_max(account.held, need)
        raised = account.held + component_min(wanted - account.held, remainder)
        if raised != account.held:
            return GrantAdjustment(team=team, to=raised)
        return self._plan_return(team, now, need)

    def _plan_return(
        self, team: str, now: Millis, need: Resources
    ) -> GrantAdjustment | None:
        account = self.account(team)
        if saturating_sub(account.granted, need) == NOTHING:
            self._update(team, idle_since=None, peak=NOTHING)
            return None
        peak = component_max(account.peak, need)
        since = now if account.idle_since is None else account.idle_since
        delay = self._return_delay_ms
        if account.is_contended(need):
            delay = min(delay, CONTENDED_RETURN_DELAY_MS)
        if now - since < delay:
            self._update(team, idle_since=since, peak=peak)
            return None
        self._update(team, idle_since=None, peak=NOTHING)
        kept = component_min(account.granted, peak)
        if kept == account.granted or not self._is_inventory_complete:
            return None
        return GrantAdjustment(team=team, to=kept)

    def _update(self, team: str, **changes: Any) -> None:
        account = self.account(team)
        self._accounts[team] = dataclasses.replace(account, **changes)


def _plan_reduction(
    team: str,
    account: Account,
    bound: Resources,
    *,
    can_lower: bool,
) -> GrantAdjustment | None:
    lowered = account.granted
    if can_lower:
        lowered = component_min(
            account.granted, component_max(bound, account.use)
        )
    excess = saturating_sub(account.use, bound)
    if lowered == account.granted and excess == NOTHING:
        return None
    return GrantAdjustment(team=team, to=lowered, excess=excess)
