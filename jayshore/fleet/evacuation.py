"""Failure domains under evacuation: what a leader knows of them, and does.

The store holds one key for each evacuated domain. While a key exists, nothing
is started on the workers of its domain; what runs there runs on. Names come
from another writer and may be any text.
"""

import dataclasses
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Final

import eliot

from jayshore.clock import Clock, Millis
from jayshore.fleet.jobtable import TaskEntry
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.phases import Phase
from jayshore.fleet.sessions import WorkerSession
from jayshore.store.mirror import MirrorObserver
from jayshore.store.store import Entry

EVACUATED: Final = 'evacuated'
"""Result of a start that is given up because its domain is evacuated."""

UNKNOWN: Final = 'evacuations_unknown'
"""Why a start waits whose leader knows too little of the evacuations."""

_MAX_AGE_MS: Final = Millis(2500)
"""Maximum age of the keys for a start; that of the configuration for a call."""

_BOUND_SHARE: Final = 2
_WATCHES_PER_AGE: Final = 5
"""Watches within the maximum age.

What a watch tells is as old as its beginning, so that the age reaches twice its
duration. A store that takes 400 ms to answer then stops no starts.
"""

_UNMATCHED_MS: Final = Millis(2000)
"""How long a name has no worker before that is logged.

A new leader reads the registrations and the evacuations in any order.
"""

_MAX_LOGGED_NAMES: Final = 5
_MAX_LOGGED_NAME: Final = 60


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationSettings:
    """Where evacuations are stored, and how soon they have to hold.

    Attributes:
        prefix: prefix of the keys; the rest of a key names a failure domain.
        bound_ms: time from the confirmation of a key until nothing starts in
            its domain any more, in ms.
    """

    prefix: str
    bound_ms: Millis

    @property
    def max_age_ms(self) -> Millis:
        """Maximum age of the keys for a start: at most half the bound."""
        return min(_MAX_AGE_MS, Millis(self.bound_ms // _BOUND_SHARE))

    @property
    def watch_ms(self) -> Millis:
        """Longest wait of one watch of the keys."""
        return Millis(self.max_age_ms // _WATCHES_PER_AGE)


class Evacuations:
    """The evacuations that one leader knows, and whether it knows them well.

    The last known ones hold for as long as no others are read.
    """

    def __init__(
        self,
        *,
        age_ms: Callable[[], Millis | None],
        max_age_ms: Millis,
    ) -> None:
        """Create the state of a leader that knows of no evacuation.

        Args:
            age_ms: returns how old the knowledge is, None before the first
                reading.
            max_age_ms: age up to which starts are possible, in ms.
        """
        self._age_ms = age_ms
        self._max_age_ms = max_age_ms
        self._names: set[str] = set()

    @property
    def names(self) -> frozenset[str]:
        """All names, also those of no failure domain."""
        return frozenset(self._names)

    @property
    def known(self) -> bool:
        """Whether the evacuations were read recently enough for a start."""
        age = self._age_ms()
        return age is not None and age < self._max_age_ms

    def set(self, name: str, *, evacuated: bool) -> None:
        """Apply a change.

        Args:
            name: name of a failure domain, or any other text.
            evacuated: whether nothing may start there.
        """
        if evacuated:
            self._names.add(name)
        else:
            self._names.discard(name)

    def includes(self, domain: str) -> bool:
        """Return whether a failure domain is evacuated.

        Args:
            domain: the domain of a worker, empty when unknown.

        Returns:
            True while a key names it; never for an unknown domain.
        """
        return bool(domain) and domain in self._names

    def among(self, domains: Iterable[str]) -> frozenset[str]:
        """Choose the evacuated ones of some failure domains.

        Args:
            domains: domains of workers.

        Returns:
            Names for a placement round.
        """
        return frozenset(filter(self.includes, domains))

    def find_ban(self, domain: str) -> str:
        """Return what forbids a start now.

        Args:
            domain: the domain of the worker.

        Returns:
            `EVACUATED`, `UNKNOWN`, or empty when it may start.
        """
        if self.includes(domain):
            return EVACUATED
        return '' if self.known else UNKNOWN


def no_evacuations() -> Evacuations:
    """Create the state of a deployment in which no domain is evacuated.

    Returns:
        Evacuations that forbid nothing.
    """
    return Evacuations(age_ms=lambda: Millis(0), max_age_ms=_MAX_AGE_MS)


class EvacuationSubscriber(MirrorObserver):
    """Passes evacuations from the store to a leader."""

    def __init__(
        self,
        *,
        evacuations: Evacuations,
        prefix: str,
        changed: Callable[[], Awaitable[None]],
    ) -> None:
        """Create a subscriber.

        Args:
            evacuations: receives the changes.
            prefix: prefix of the keys.
            changed: called after each change.
        """
        self._evacuations = evacuations
        self._prefix = prefix
        self._changed = changed

    async def changed(self, key: str, entry: Entry | None) -> None:
        """Apply a change of a key in the store.

        Args:
            key: the key.
            entry: its new entry, whose value is not read; None when the key
                was deleted.
        """
        self._evacuations.set(
            key.removeprefix(self._prefix), evacuated=entry is not None
        )
        await self._changed()


class Evacuator:
    """Gives up what has not started in evacuated domains, and reports."""

    def __init__(
        self,
        *,
        clock: Clock,
        evacuations: Evacuations,
        ledger: Ledger,
        sessions: Mapping[str, WorkerSession],
        give_up: Callable[[TaskEntry, str], Awaitable[None]],
        metrics: FleetMetrics,
    ) -> None:
        """Create an evacuator.

        Args:
            clock: local clock.
            evacuations: the evacuations.
            ledger: resources in use.
            sessions: sessions of the workers by id; kept up to date by the
                owner.
            give_up: handles a start that was not sent and never will be.
            metrics: metrics of this instance.
        """
        self._clock = clock
        self._evacuations = evacuations
        self._ledger = ledger
        self._sessions = sessions
        self._give_up = give_up
        self._metrics = metrics
        self._begun: set[str] = set()
        self._unmatched_since: dict[str, Millis] = {}
        self._reported: set[str] = set()

    async def apply(self) -> None:
        """Give up starts that were not sent, and log what begins and ends."""
        names = self._evacuations.names
        self._reported &= names
        if not names and not self._begun:
            return
        domains = {one.entry.domain for one in self._sessions.values()}
        evacuated = self._evacuations.among(domains)
        for session in tuple(self._sessions.values()):
            if session.entry.domain in evacuated:
                await self._give_up_unsent(session.entry.worker_id)
        for ended in sorted(self._begun - names):
            self._log('evacuation:ended', ended)
        for begun in sorted(evacuated - self._begun):
            self._log('evacuation:begun', begun)
        self._begun = (self._begun & names) | evacuated
        self._metrics.evacuated_domains.set(len(self._begun))

    def report_unmatched(self) -> None:
        """Log names to which no worker belongs, once for each name."""
        now = self._clock.now()
        unmatched = self._evacuations.names - self._begun - self._reported
        self._unmatched_since = {
            name: self._unmatched_since.get(name, now) for name in unmatched
        }
        due = sorted(
            name
            for name, since in self._unmatched_since.items()
            if now - since >= _UNMATCHED_MS
        )
        if due:
            self._reported.update(due)
            eliot.log_message(
                'evacuation:no_such',
                domains=list(map(_shorten, due[:_MAX_LOGGED_NAMES])),
                count=len(due),
            )

    async def _give_up_unsent(self, worker_id: str) -> None:
        for task in self._ledger.tasks_at(worker_id):
            if task.phase is Phase.STARTING and task.ordered_at is None:
                await self._give_up(task, EVACUATED)

    def _log(self, kind: str, domain: str) -> None:
        eliot.log_message(
            kind, domain=_shorten(domain), runs=self._count_runs(domain)
        )

    def _count_runs(self, domain: str) -> int:
        """Count what holds resources at the workers of a domain."""
        return sum(
            len(self._ledger.tasks_at(worker_id))
            for worker_id, session in self._sessions.items()
            if session.entry.domain == domain
        )


def _shorten(name: str) -> str:
    """Shorten a name of another writer for a log line."""
    return name[:_MAX_LOGGED_NAME]
