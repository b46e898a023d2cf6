"""Adjusts the grants of a domain to the use and demand of its teams.

A grant is the part of a team's limit that a domain may use.
"""

from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Mapping

import curio
import eliot

from jayshore.clock import Millis, to_seconds
from jayshore.config.model import DomainState
from jayshore.config.snapshot import Snapshot
from jayshore.jobs.attempts import Attempt, AttemptTable, Phase
from jayshore.jobs.context import TeamLedger
from jayshore.jobs.grantcache import GrantCache
from jayshore.jobs.placing import Placer
from jayshore.jobs.record import JobKind
from jayshore.jobs.repository import JobRepository
from jayshore.quota.amounts import component_max, saturating_sub
from jayshore.quota.demand import (
    NO_DEMAND,
    DemandUnit,
    PendingDemand,
    group_demand,
)
from jayshore.quota.grants import TeamLimit
from jayshore.quota.ledger import DomainLedger, GrantAdjustment
from jayshore.quota.reconciler import GrantReconciler, GrantStoreError
from jayshore.resources import NOTHING, Resources
from jayshore.routing.headroom import Headroom, Shares

# Without shortages, a round only serves to notice lowered limits and is run
# once in this many intervals.
_MAX_SKIPPED_ROUNDS = 10

# Longest time between reads of the grants while there is nothing to change.
_IDLE_READ_INTERVAL_MS = Millis(5000)


class GrantedLedger(TeamLedger, Headroom, Shares):
    """The ledger of the domain's grants, as placement and routing use it.

    It also collects the demands that exceeded a grant.
    """

    def __init__(
        self, *, ledger: DomainLedger, snapshot: Callable[[], Snapshot]
    ) -> None:
        """Wrap the ledger of a domain.

        Args:
            ledger: grants, use and demand of the domain.
            snapshot: returns the latest configuration seen.
        """
        self._ledger = ledger
        self._snapshot = snapshot
        self._shortages: dict[str, Resources] = defaultdict(lambda: NOTHING)

    @property
    def short_teams(self) -> frozenset[str]:
        """Teams with a demand that exceeded the grant since the last round."""
        return frozenset(self._shortages)

    def has_headroom(self, team: str, demand: Resources) -> bool:
        """Check whether a demand fits in the grant; if not, record a shortage.

        Args:
            team: the team.
            demand: resources of the task or request.

        Returns:
            True if the grant of the team has room for it.
        """
        if self._ledger.has_headroom(team, demand):
            return True
        self._shortages[team] = component_max(self._shortages[team], demand)
        return False

    def try_reserve(self, team: str, demand: Resources) -> bool:
        """Charge a demand if it fits in the grant.

        Args:
            team: the team.
            demand: resources of what is about to start.

        Returns:
            False if it does not fit; nothing is charged then.
        """
        if not self.has_headroom(team, demand):
            return False
        self.charge(team, demand)
        return True

    def charge(self, team: str, demand: Resources) -> None:
        """Charge a start that fits, or work that is already running.

        Args:
            team: the team.
            demand: resources of the work.
        """
        self._ledger.charge(team, demand)

    def release(self, team: str, demand: Resources) -> None:
        """Release the resources of work that has ended.

        Args:
            team: the team.
            demand: the resources that were charged.
        """
        self._ledger.release(team, demand)

    def share_of(self, team: str) -> float:
        """Look up the share of a team.

        Args:
            team: the team.

        Returns:
            Its share, or 1 if it is no longer configured.
        """
        entry = self._snapshot().team(team)
        return entry.share if entry else 1

    def fits_grant(self, team: str, demand: Resources) -> bool:
        """Check whether a demand fits in the grant once other work ends.

        Args:
            team: the team.
            demand: resources of the waiting work.

        Returns:
            False if only a larger grant would help; True if the grant is not
            known yet.
        """
        account = self._ledger.account(team)
        return account.held is None or demand.fits_in(account.startable)

    def collect_shortages(self) -> dict[str, Resources]:
        """Return and clear the shortages since the last call.

        Returns:
            For each team, the maximum in each resource of the demands that
            exceeded its grant.
        """
        shortages = dict(self._shortages)
        self._shortages.clear()
        return shortages


class GrantController:
    """The control loop that raises and lowers the grants of a domain.

    A round takes at most one read of all changes, and a write for each team
    whose grant changes.
    """

    def __init__(
        self,
        *,
        cache: GrantCache,
        reconciler: GrantReconciler,
        ledger: DomainLedger,
        granted: GrantedLedger,
        repository: JobRepository,
        attempts: AttemptTable,
        placer: Placer,
        domain: str,
    ) -> None:
        """Create a controller that is not running yet.

        Args:
            cache: the grants of all teams.
            reconciler: writes the grants of the domain.
            ledger: grants, use and demand of the domain.
            granted: collects the shortages.
            repository: the job records.
            attempts: the latest attempts of all tasks.
            placer: stops attempts that exceed a lowered limit.
            domain: the failure domain.
        """
        self._cache = cache
        self._reconciler = reconciler
        self._ledger = ledger
        self._granted = granted
        self._repository = repository
        self._attempts = attempts
        self._placer = placer
        self._domain = domain
        self._claimed: set[str] = set()
        self._newly_claimed: set[str] = set()
        self._stalled: frozenset[str] = frozenset()
        self._read_at: Millis | None = None
        self._read_config_version = 0

    async def run(
        self,
        *,
        interval_ms: Millis,
        now: Callable[[], Millis],
        fresh_snapshot: Callable[[], Snapshot | None],
        cut_off: Callable[[], frozenset[str]],
        retry_teams: Callable[[set[str]], Awaitable[None]],
    ) -> None:
        """Run rounds until cancelled.

        Args:
            interval_ms: pause between two rounds while there is a shortage
                that is not known to be stalled, in ms.
            now: returns the monotonic time.
            fresh_snapshot: returns the configuration, None unless it is fresh.
            cut_off: returns the names of the domains that cannot be reached.
            retry_teams: called with the teams whose demand has to be tried
                again: those with a shortage, and those whose grant was
                adjusted or claimed.
        """
        skipped_rounds = 0
        while True:
            await curio.sleep(to_seconds(interval_ms))
            skipped_rounds += 1
            # Skipping stalled teams avoids a read in every interval for a team
            # that stays at its limit.
            is_due = self._granted.short_teams - self._stalled
            if not is_due and skipped_rounds < _MAX_SKIPPED_ROUNDS:
                continue
            skipped_rounds = 0
            shortages = self._granted.collect_shortages()
            try:
                changes = await self._reconcile(
                    shortages, now(), fresh_snapshot(), cut_off()
                )
            except GrantStoreError as error:
                eliot.log_message('grants:store_error', error=str(error))
                changes = ()
            await self._preempt(changes)
            # A demand that still does not fit is recorded as a shortage again.
            # Without the retry, a request would wait forever after a conflict
            # in the raise of its grant.
            changed = {change.team for change in changes}
            self._stalled = frozenset(
                shortages.keys() & self._claimed - changed
            )
            await retry_teams(
                shortages.keys() | changed | self._collect_claimed()
            )

    async def _reconcile(
        self,
        shortages: Mapping[str, Resources],
        now: Millis,
        snapshot: Snapshot | None,
        cut_off: frozenset[str],
    ) -> tuple[GrantAdjustment, ...]:
        if shortages or cut_off or not self._can_skip_read(snapshot, now):
            await self._cache.sync()
            self._read_at = now
            self._read_config_version = snapshot.version if snapshot else 0
        for team in shortages.keys() | self._teams_with_grant():
            if team not in self._claimed and await self._reconciler.claim(team):
                self._claimed.add(team)
                self._newly_claimed.add(team)
        limits = {} if snapshot is None else _limits_of(snapshot)
        queued_demand = self._queued_demand()
        for team in shortages.keys() | queued_demand.keys() | self._claimed:
            tasks = queued_demand.get(team, NO_DEMAND)
            requests = _request_units(
                shortages.get(team, NOTHING), limits.get(team)
            )
            self._ledger.set_waiting(
                team, PendingDemand(units=(*tasks.units, *requests))
            )
        if snapshot is not None:
            await self._reclaim_lost(snapshot)
        return await self._reconciler.reconcile(
            now, limits=limits, cut_off=cut_off
        )

    def _can_skip_read(self, snapshot: Snapshot | None, now: Millis) -> bool:
        """Check whether the grants need not be read in this round.

        Every write expects the revision last read, so a late read costs a
        conflict at most. The exception is an uncertain write, whose outcome
        shows in the next read.
        """
        if snapshot is None or self._read_at is None:
            return False
        is_recent = now - self._read_at < _IDLE_READ_INTERVAL_MS
        is_same_config = snapshot.version == self._read_config_version
        if not is_recent or not is_same_config or _lost_domains(snapshot):
            return False
        if self._reconciler.has_pending or self._queued_demand():
            return False
        is_claimed = self._claimed.issuperset(self._teams_with_grant())
        return is_claimed and self._ledger.is_settled

    def _collect_claimed(self) -> set[str]:
        claimed = self._newly_claimed
        self._newly_claimed = set()
        return claimed

    def _teams_with_grant(self) -> set[str]:
        return {
            team
            for team, record in self._cache.records.items()
            if record.grant_for(self._domain) is not None
        }

    def _queued_demand(self) -> dict[str, PendingDemand]:
        """Collect the demand of the queued tasks of each team."""
        queued = Counter(
            attempt.job_id
            for attempt in self._attempts
            if attempt.phase is Phase.QUEUED
        )
        demands: dict[str, list[Resources]] = defaultdict(list)
        for job_id, count in queued.items():
            record = self._repository.find(job_id)
            if record is None:
                continue
            if record.kind is JobKind.GANG:
                demands[record.team].append(record.demand.scaled(count))
            else:
                demands[record.team].extend([record.demand] * count)
        return {
            team: group_demand(amounts) for team, amounts in demands.items()
        }

    async def _reclaim_lost(self, snapshot: Snapshot) -> None:
        lost = _lost_domains(snapshot)
        for domain in lost:
            for team, record in self._cache.records.items():
                if record.grant_for(domain) is not None:
                    await self._reconciler.reclaim(team, domain, lost=lost)

    async def _preempt(self, changes: tuple[GrantAdjustment, ...]) -> None:
        """Stop running idempotent tasks that exceed a lowered grant."""
        for change in changes:
            excess = change.excess
            for attempt in self._running_of(change.team):
                record = self._repository.find(attempt.job_id)
                if excess == NOTHING or record is None:
                    break
                excess = saturating_sub(excess, record.demand)
                await self._placer.stop(attempt, checkpoint=True)

    def _running_of(self, team: str) -> list[Attempt]:
        found = []
        for attempt in self._attempts:
            record = self._repository.find(attempt.job_id)
            is_running = attempt.phase is Phase.RUNNING
            if record is None or not is_running or not record.idempotent:
                continue
            if record.team == team:
                found.append(attempt)
        return found


def _lost_domains(snapshot: Snapshot) -> frozenset[str]:
    return frozenset(
        domain.name
        for domain in snapshot.document.domains
        if domain.state is DomainState.LOST
    )


def _limits_of(snapshot: Snapshot) -> dict[str, TeamLimit]:
    return {
        team.name: TeamLimit(version=snapshot.version, amount=team.limit)
        for team in snapshot.document.teams
    }


def _request_units(
    shortage: Resources, limit: TeamLimit | None
) -> tuple[DemandUnit, ...]:
    """Ask for a batch of requests, since shortages show one at a time."""
    if not shortage.requests or limit is None:
        return ()
    count = max(shortage.requests, limit.amount.requests // 4)
    return (DemandUnit(amount=Resources(requests=1), count=count),)
