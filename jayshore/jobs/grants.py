"""Keeps a leader's parts of the team limits in step with use and demand."""

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

# While nothing is short of room, grants are only read for lowered limits.
_QUIET_ROUNDS = 10

# Longest time without a read while there is nothing to change.
_CALM_READ_MS = Millis(5000)


class GrantedLedger(TeamLedger, Headroom, Shares):
    """Use of the domain's parts, as placement and routing see it."""

    def __init__(
        self, *, ledger: DomainLedger, snapshot: Callable[[], Snapshot]
    ) -> None:
        """Wrap a ledger.

        Args:
            ledger: parts, use and demand of the domain.
            snapshot: the newest configuration seen.
        """
        self._ledger = ledger
        self._snapshot = snapshot
        self._short: dict[str, Resources] = defaultdict(lambda: NOTHING)

    @property
    def short_teams(self) -> frozenset[str]:
        """Teams of which a demand was turned away since the last round."""
        return frozenset(self._short)

    def has_headroom(self, team: str, demand: Resources) -> bool:
        """Tell whether a team may take this much more.

        Args:
            team: the team.
            demand: what it would take.

        Returns:
            True when the domain's part has room for it.
        """
        if self._ledger.has_headroom(team, demand):
            return True
        self._short[team] = component_max(self._short[team], demand)
        return False

    def try_reserve(self, team: str, demand: Resources) -> bool:
        """Count a demand if it fits.

        Args:
            team: the team.
            demand: what is about to start.

        Returns:
            False when it does not fit.
        """
        if not self.has_headroom(team, demand):
            return False
        self.charge(team, demand)
        return True

    def charge(self, team: str, demand: Resources) -> None:
        """Count a start that was found to fit, or work that runs already.

        Args:
            team: the team.
            demand: what it takes.
        """
        self._ledger.charge(team, demand)

    def release(self, team: str, demand: Resources) -> None:
        """Count an end.

        Args:
            team: the team.
            demand: as it was taken.
        """
        self._ledger.release(team, demand)

    def share_of(self, team: str) -> float:
        """Look up the share of a team.

        Args:
            team: the team.

        Returns:
            Its share, 1 when it is not configured any more.
        """
        entry = self._snapshot().team(team)
        return entry.share if entry else 1

    def fits_grant(self, team: str, demand: Resources) -> bool:
        """Tell whether a demand fits in the part once other work ends.

        Args:
            team: the team.
            demand: what waits.

        Returns:
            False when only a larger part would help; True also before the
            part is known.
        """
        account = self._ledger.account(team)
        return account.held is None or demand.fits_in(account.startable)

    def collect_shortages(self) -> dict[str, Resources]:
        """Take the demands that were turned away since the last call.

        Returns:
            The largest one of each team.
        """
        short = dict(self._short)
        self._short.clear()
        return short


class GrantController:
    """Asks the store for what the domain needs, and returns what it does not.

    A round is one read of all changes, and a write for each team whose part
    changes.
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
        """Prepare the rounds.

        Args:
            cache: all grants.
            reconciler: writes the domain's parts.
            ledger: parts, use and demand of the domain.
            granted: what was turned away.
            repository: the job records.
            attempts: the newest attempts of all tasks.
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
        self._read_under = 0

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
            interval_ms: between two rounds while something is short for which
                the last round could still do something, in ms.
            now: monotonic time.
            fresh_snapshot: the configuration while it is fresh, else None.
            cut_off: names of the domains that cannot be reached.
            retry_teams: told of the teams whose demand has to be tried again:
                those that were short, and those whose part was raised or
                claimed.
        """
        quiet = 0
        while True:
            await curio.sleep(to_seconds(interval_ms))
            quiet += 1
            # A team at its limit would otherwise cost a read each time.
            is_due = self._granted.short_teams - self._stalled
            if not is_due and quiet < _QUIET_ROUNDS:
                continue
            quiet = 0
            short = self._granted.collect_shortages()
            try:
                changes = await self._round(
                    short, now(), fresh_snapshot(), cut_off()
                )
            except GrantStoreError as error:
                eliot.log_message('grants:store_error', error=str(error))
                changes = ()
            await self._preempt(changes)
            # What is still turned away is noted as short again. Otherwise a
            # waiting request whose raise met a conflict would wait for ever.
            changed = {change.team for change in changes}
            self._stalled = frozenset(short.keys() & self._claimed - changed)
            await retry_teams(short.keys() | changed | self._collect_claimed())

    async def _round(
        self,
        short: Mapping[str, Resources],
        now: Millis,
        snapshot: Snapshot | None,
        cut_off: frozenset[str],
    ) -> tuple[GrantAdjustment, ...]:
        if short or cut_off or not self._is_calm(snapshot, now):
            await self._cache.sync()
            self._read_at = now
            self._read_under = snapshot.version if snapshot else 0
        for team in short.keys() | self._teams_with_part():
            if team not in self._claimed and await self._reconciler.claim(team):
                self._claimed.add(team)
                self._newly_claimed.add(team)
        limits = {} if snapshot is None else _limits_of(snapshot)
        waiting = self._waiting()
        for team in short.keys() | waiting.keys() | self._claimed:
            tasks = waiting.get(team, NO_DEMAND)
            requests = _batch(short.get(team, NOTHING), limits.get(team))
            self._ledger.set_waiting(
                team, PendingDemand(units=(*tasks.units, *requests))
            )
        if snapshot is not None:
            await self._reclaim_lost(snapshot)
        return await self._reconciler.reconcile(
            now, limits=limits, cut_off=cut_off
        )

    def _is_calm(self, snapshot: Snapshot | None, now: Millis) -> bool:
        """Tell whether a read of the grants can wait.

        Every write is made on the revision last read, so that a late read
        costs a conflict at most. A write that is uncertain is the exception:
        it is settled by what is read after it.
        """
        if snapshot is None or self._read_at is None:
            return False
        is_recent = now - self._read_at < _CALM_READ_MS
        is_same = snapshot.version == self._read_under
        if not is_recent or not is_same or _lost_domains(snapshot):
            return False
        if self._reconciler.has_pending or self._waiting():
            return False
        is_claimed = self._claimed.issuperset(self._teams_with_part())
        return is_claimed and self._ledger.is_settled

    def _collect_claimed(self) -> set[str]:
        claimed = self._newly_claimed
        self._newly_claimed = set()
        return claimed

    def _teams_with_part(self) -> set[str]:
        return {
            team
            for team, record in self._cache.records.items()
            if record.grant_for(self._domain) is not None
        }

    def _waiting(self) -> dict[str, PendingDemand]:
        """Gather the tasks that wait in the queue, for each team."""
        queued = Counter(
            attempt.job_id
            for attempt in self._attempts
            if attempt.phase is Phase.QUEUED
        )
        pieces: dict[str, list[Resources]] = defaultdict(list)
        for job_id, count in queued.items():
            record = self._repository.find(job_id)
            if record is None:
                continue
            if record.kind is JobKind.GANG:
                pieces[record.team].append(record.demand.scaled(count))
            else:
                pieces[record.team].extend([record.demand] * count)
        return {team: group_demand(waiting) for team, waiting in pieces.items()}

    async def _reclaim_lost(self, snapshot: Snapshot) -> None:
        lost = _lost_domains(snapshot)
        for domain in lost:
            for team, record in self._cache.records.items():
                if record.grant_for(domain) is not None:
                    await self._reconciler.reclaim(team, domain, lost=lost)

    async def _preempt(self, changes: tuple[GrantAdjustment, ...]) -> None:
        """Stop what exceeds a lowered limit, never a non-idempotent run."""
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


def _batch(short: Resources, limit: TeamLimit | None) -> tuple[DemandUnit, ...]:
    """Ask for requests in batches, as they are short one at a time."""
    if not short.requests or limit is None:
        return ()
    count = max(short.requests, limit.amount.requests // 4)
    return (DemandUnit(amount=Resources(requests=1), count=count),)
