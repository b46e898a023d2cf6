"""What each team uses in a domain, against the domain's part of its limit."""

from collections import defaultdict
from collections.abc import Callable

from jayshore.config.model import DomainState
from jayshore.config.snapshot import Snapshot
from jayshore.jobs.context import TeamLedger
from jayshore.resources import NOTHING, Resources
from jayshore.routing.headroom import Headroom, Shares


class EvenLedger(TeamLedger, Headroom, Shares):
    """Splits every limit evenly over the active failure domains."""

    def __init__(
        self, *, domain: str, snapshot: Callable[[], Snapshot]
    ) -> None:
        """Start without use.

        Args:
            domain: the failure domain.
            snapshot: the newest configuration seen.
        """
        self._domain = domain
        self._snapshot = snapshot
        self._used: dict[str, Resources] = defaultdict(lambda: NOTHING)

    def has_headroom(self, team: str, demand: Resources) -> bool:
        """Tell whether a team may take this much more.

        Args:
            team: the team.
            demand: what it would take.

        Returns:
            True when the domain's part of the limit allows it.
        """
        return (self._used[team] + demand).fits_in(self._part(team))

    def try_take(self, team: str, demand: Resources) -> bool:
        """Count a demand if it fits.

        Args:
            team: the team.
            demand: what is about to start.

        Returns:
            False when it does not fit.
        """
        if not self.has_headroom(team, demand):
            return False
        self.take(team, demand)
        return True

    def take(self, team: str, demand: Resources) -> None:
        """Count a start.

        Args:
            team: the team.
            demand: what it takes.
        """
        self._used[team] += demand

    def give_back(self, team: str, demand: Resources) -> None:
        """Count an end.

        Args:
            team: the team.
            demand: as it was taken.
        """
        self._used[team] -= demand

    def share_of(self, team: str) -> float:
        """Look up the share of a team.

        Args:
            team: the team.

        Returns:
            Its share, 1 when it is not configured any more.
        """
        entry = self._snapshot().team(team)
        return entry.share if entry else 1

    def _part(self, team: str) -> Resources:
        snapshot = self._snapshot()
        entry = snapshot.team(team)
        if entry is None:
            return NOTHING
        active = [
            domain.name
            for domain in snapshot.document.domains
            if domain.state is DomainState.ACTIVE
        ]
        if self._domain not in active:
            return NOTHING
        place = active.index(self._domain)
        parts = (
            amount // len(active) + int(place < amount % len(active))
            for amount in entry.limit
        )
        cpu_millis, memory_mb, accelerators, requests = parts
        return Resources(
            cpu_millis=cpu_millis,
            memory_mb=memory_mb,
            accelerators=accelerators,
            requests=requests,
        )
