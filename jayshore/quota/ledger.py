"""What one leader holds and uses of every team's limit in its own domain."""

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

RETURN_AFTER_MS = Millis(5000)
"""How long a surplus lies idle before it is returned.

Several times the interval between rounds, so that a short lull between two
starts does not cost two writes.
"""

CONTENDED_RETURN_AFTER_MS = Millis(1000)
"""The same when the whole limit is assigned, so that other domains may wait
for it. A raised limit or a new demand has to be met within 3 s: this, a round
here and a round there.
"""

_NO_DOMAINS: frozenset[str] = frozenset()


class GrantExceededError(JayshoreError):
    """Something was taken for which the domain's part has no room."""


class OverReleaseError(JayshoreError):
    """More was given back than was in use."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantAdjustment:
    """A change of the domain's part that the ledger asks for.

    Attributes:
        team: whose part.
        to: the wanted part.
        excess: what has to be preempted before the part can go down to the
            proportional part of a lowered limit.
    """

    team: str
    to: Resources
    excess: Resources = NOTHING


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """One team in one domain.

    Attributes:
        record: the grants as last read or written.
        held: the part that the leader counts on, None before the part was
            claimed. Never more than the part in the store.
        use: what runs or may run.
        waiting: what waits for room.
        peak: largest part in use or usable since `idle_since`.
        ceiling: what a lowered limit leaves, or None. Nothing is started above
            it, so that the part can go down as work ends.
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
    def part(self) -> Resources:
        """What the team may use in this domain."""
        return NOTHING if self.held is None else self.held

    @property
    def startable(self) -> Resources:
        """The part, as far as a lowered limit lets it be used."""
        if self.ceiling is None:
            return self.part
        return component_min(self.part, self.ceiling)

    @property
    def free(self) -> Resources:
        """What can still be started; use above the part counts as none."""
        return saturating_sub(self.startable, self.use)

    @property
    def need(self) -> Resources:
        """What runs and what waits."""
        return self.use + self.waiting.total

    def is_contended(self, need: Resources) -> bool:
        """Tell whether other domains may wait for what is idle here.

        Args:
            need: what the domain can use.

        Returns:
            True when nothing of the limit is left unassigned in a component
            that is idle.
        """
        remainder = saturating_sub(
            self.record.limit.amount, self.record.assigned
        )
        idle = saturating_sub(self.part, need)
        pairs = zip(idle, remainder, strict=True)
        return any(here and not left for here, left in pairs)


_EMPTY = Account()


class DomainLedger:
    """Held parts, use and demand of all teams in one domain.

    A new leader adopts everything that may be running before it counts on
    `has_headroom`: each task that may have started according to the job
    records, and each request in an executor's inventory. Until every upstream
    is opened or gone, its predecessor may still start requests, so that no
    part is lowered and no request is admitted.
    """

    def __init__(
        self,
        *,
        domain: str,
        return_after_ms: Millis = RETURN_AFTER_MS,
    ) -> None:
        """Start without any part and with an incomplete inventory.

        Args:
            domain: the failure domain.
            return_after_ms: how long a surplus lies idle, in ms.
        """
        self._domain = domain
        self._return_after_ms = return_after_ms
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
        """Note that every upstream of the domain is opened or gone."""
        self._is_inventory_complete = True

    def charge(self, team: str, demand: Resources) -> None:
        """Count what runs already, whether or not the part has room for it.

        Args:
            team: whose work.
            demand: what it uses.
        """
        account = self.account(team)
        self._update(team, use=account.use + demand)

    def has_headroom(self, team: str, demand: Resources) -> bool:
        """Tell whether a demand can be taken now.

        Args:
            team: whose work.
            demand: what it needs.

        Returns:
            True when the demand and all use fit in the domain's part.
        """
        if demand.requests and not self._is_inventory_complete:
            return False
        return demand.fits_in(self.account(team).free)

    def reserve(self, team: str, demand: Resources) -> None:
        """Count a start.

        Args:
            team: whose work.
            demand: what it needs.

        Raises:
            OverPartError: there is no headroom.
        """
        if not self.has_headroom(team, demand):
            raise GrantExceededError(f'{team} has no room for {demand}')
        self.charge(team, demand)

    def release(self, team: str, demand: Resources) -> None:
        """Count an end.

        Args:
            team: whose work.
            demand: what it had taken.

        Raises:
            NotTakenError: that much was not in use.
        """
        account = self.account(team)
        if not demand.fits_in(account.use):
            raise OverReleaseError(f'{team} gives back more than it uses')
        self._update(team, use=account.use - demand)

    def set_waiting(self, team: str, demand: PendingDemand) -> None:
        """Note the whole demand that waits for room.

        Args:
            team: whose demand.
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
        """Note what the store says and what may be counted on.

        Args:
            team: whose grants.
            record: the grants as read or written.
            held: the part, less what a write that is still uncertain would
                take away; None when the part is not claimed.
        """
        self._update(team, record=record, held=held)

    def outdated(self, limits: Mapping[str, TeamLimit]) -> tuple[str, ...]:
        """List the teams whose grants have to be read before planning.

        Args:
            limits: the newest limits.

        Returns:
            Teams that need more or less than their part, for which the
            unassigned remainder matters, and teams whose limit has changed.
        """
        return tuple(
            team
            for team, account in sorted(self._accounts.items())
            if account.need != account.part
            or team in limits
            and limits[team].version > account.record.limit.version
        )

    @property
    def is_settled(self) -> bool:
        """Whether every part is what its team needs, and no limit is below it.

        Unless limits or domains change, no part is then to be changed.
        """
        return all(
            account.part == account.need and account.ceiling is None
            for account in self._accounts.values()
        )

    def plan_changes(
        self,
        now: Millis,
        *,
        limits: Mapping[str, TeamLimit],
        cut_off: frozenset[str] = _NO_DOMAINS,
    ) -> tuple[GrantAdjustment, ...]:
        """Compute the changes wanted, at most one for each team.

        Args:
            now: the time, in ms.
            limits: the newest limits; a team without fresh configuration is
                absent and its part is not raised.
            cut_off: the domains that cannot be reached.

        Returns:
            Raises, returns of idle surplus, and reductions to the
            proportional part.
        """
        planned = (
            self._plan(team, now, limits.get(team), cut_off)
            for team in sorted(self._accounts)
        )
        return tuple(change for change in planned if change is not None)

    def _plan(
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
            return _reduction(team, account, bound, can_lower=can_lower)
        self._update(team, ceiling=None)
        remainder = NOTHING
        if limit is not None:
            remainder = saturating_sub(record.limit.amount, record.assigned)
        # Room that fits no waiting unit is left to the other domains.
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
        if saturating_sub(account.part, need) == NOTHING:
            self._update(team, idle_since=None, peak=NOTHING)
            return None
        peak = component_max(account.peak, need)
        since = now if account.idle_since is None else account.idle_since
        after = self._return_after_ms
        if account.is_contended(need):
            after = min(after, CONTENDED_RETURN_AFTER_MS)
        if now - since < after:
            self._update(team, idle_since=since, peak=peak)
            return None
        self._update(team, idle_since=None, peak=NOTHING)
        kept = component_min(account.part, peak)
        if kept == account.part or not self._is_inventory_complete:
            return None
        return GrantAdjustment(team=team, to=kept)

    def _update(self, team: str, **changes: Any) -> None:
        account = self.account(team)
        self._accounts[team] = dataclasses.replace(account, **changes)


def _reduction(
    team: str,
    account: Account,
    bound: Resources,
    *,
    can_lower: bool,
) -> GrantAdjustment | None:
    lowered = account.part
    if can_lower:
        lowered = component_min(account.part, component_max(bound, account.use))
    excess = saturating_sub(account.use, bound)
    if lowered == account.part and excess == NOTHING:
        return None
    return GrantAdjustment(team=team, to=lowered, excess=excess)
