"""Tests of the controller that adjusts a domain's grants to its demand."""

import dataclasses

import curio
import pytest

from jayshore.clock import Millis
from jayshore.config.document import Document
from jayshore.config.model import Domain, DomainState, Team
from jayshore.config.snapshot import Snapshot
from jayshore.jobs.attempts import AttemptTable
from jayshore.jobs.grantcache import GrantCache
from jayshore.jobs.grants import GrantController, GrantedLedger
from jayshore.quota.grants import GrantOwner
from jayshore.quota.ledger import DomainLedger
from jayshore.quota.reconciler import GrantReconciler, GrantStoreError
from jayshore.resources import Resources
from jayshore.store.store import (
    Conflict,
    Entry,
    Listing,
    StoreError,
    Written,
)

TEAM = 'fenland'
ONE_REQUEST = Resources(requests=1)
TIMEOUT_S = 2


class FaultyStore:
    """A store of one key whose first calls fail or conflict."""

    def __init__(self, *, conflicts=0, failed_lists=0):
        self.entry = None
        self.conflicts = conflicts
        self.failed_lists = failed_lists
        self.lists = 0

    async def list(self, prefix, *, since=0):
        self.lists += 1
        if self.failed_lists:
            self.failed_lists -= 1
            raise StoreError('down')
        entries = () if self.entry is None else (self.entry,)
        revision = entries[0].revision if entries else 0
        return Listing(revision=revision, entries=entries)

    async def get(self, key):
        return self.entry

    async def put(self, key, text, *, expect_revision):
        if self.conflicts:
            self.conflicts -= 1
            return Conflict(revision=expect_revision)
        self.entry = Entry(key=key, value=text, revision=expect_revision + 1)
        return Written(revision=self.entry.revision)


def make_controller(store, ledger, granted):
    """Create the controller of a domain without jobs."""
    cache = GrantCache(store=store)
    return GrantController(
        cache=cache,
        reconciler=GrantReconciler(
            store=cache,
            ledger=ledger,
            owner=GrantOwner(domain='north', epoch=1),
        ),
        ledger=ledger,
        granted=granted,
        repository=None,
        attempts=AttemptTable(),
        placer=None,
        domain='north',
    )


def make_snapshot():
    """Create a configuration with one team."""
    team = Team(
        name=TEAM,
        share=1,
        limit=Resources(requests=8),
        max_waiting=1,
    )
    return Snapshot(
        version=1, document=Document(teams=(team,)), write_id='write'
    )


async def wait_for_headroom(store):
    """Run rounds for one waiting request, retried as by the dispatcher."""
    ledger = DomainLedger(domain='north')
    ledger.mark_inventory_complete()
    snapshot = make_snapshot()
    granted = GrantedLedger(ledger=ledger, snapshot=lambda: snapshot)
    has_started = curio.Event()

    async def start_waiting(teams):
        if TEAM in teams and granted.try_reserve(TEAM, ONE_REQUEST):
            await has_started.set()

    assert not granted.try_reserve(TEAM, ONE_REQUEST)
    running = make_controller(store, ledger, granted).run(
        interval_ms=Millis(1),
        now=lambda: Millis(0),
        fresh_snapshot=lambda: snapshot,
        cut_off=frozenset,
        retry_teams=start_waiting,
    )
    controller = await curio.spawn(running)
    async with curio.ignore_after(TIMEOUT_S):
        await has_started.wait()
    await controller.cancel()
    return has_started.is_set()


@pytest.mark.parametrize(
    'faults',
    [{}, {'conflicts': 1}, {'conflicts': 3}, {'failed_lists': 2}],
)
def test_waiting_request_gets_headroom_after_a_failed_round(faults):
    """Guards against a request that waits forever after a failed round."""
    assert curio.run(wait_for_headroom(FaultyStore(**faults)))


class IdleDomain:
    """A domain with one team and no jobs, with one round per second."""

    def __init__(self):
        self.store = FaultyStore()
        self.ledger = DomainLedger(domain='north')
        self.ledger.mark_inventory_complete()
        self.snapshot = make_snapshot()
        granted = GrantedLedger(
            ledger=self.ledger, snapshot=lambda: self.snapshot
        )
        self.controller = make_controller(self.store, self.ledger, granted)
        self.now = 0

    def reads_in(self, seconds, *, shortages=(), cut_off=frozenset()):
        """Run one round per second and count the reads of all grants."""
        before = self.store.lists
        for _ in range(seconds):
            self.now += 1000
            curio.run(
                self.controller._reconcile,
                dict(shortages),
                Millis(self.now),
                self.snapshot,
                cut_off,
            )
        return self.store.lists - before


def test_grants_are_read_rarely_while_nothing_is_to_change():
    """Guards against a read in every round of each idle leader."""
    domain = IdleDomain()
    assert domain.reads_in(1) == 1
    assert domain.reads_in(20) == 4


def test_grants_are_read_at_once_when_something_may_change():
    """Guards against decisions on outdated grants."""
    domain = IdleDomain()
    domain.reads_in(1)
    assert domain.reads_in(1, shortages={TEAM: ONE_REQUEST}) == 1
    assert domain.reads_in(3, cut_off=frozenset(('south',))) == 3
    domain.snapshot = dataclasses.replace(domain.snapshot, version=2)
    assert domain.reads_in(1) == 1
    domain.ledger.charge(TEAM, ONE_REQUEST)
    domain.reads_in(1)
    domain.ledger.release(TEAM, ONE_REQUEST)
    assert domain.reads_in(2) == 2


def test_lost_domain_and_stale_configuration_are_not_idle():
    """Guards against grants of a lost domain that are never reclaimed."""
    domain = IdleDomain()
    domain.reads_in(1)
    south = Domain(name='south', region='r', state=DomainState.LOST)
    document = dataclasses.replace(domain.snapshot.document, domains=(south,))
    domain.snapshot = Snapshot(version=1, document=document, write_id='write')
    assert domain.reads_in(2) == 2
    domain.snapshot = None
    assert domain.reads_in(2) == 2


def test_failed_read_is_repeated_in_the_next_round():
    """Guards against a failed read that counts as a successful one."""
    domain = IdleDomain()
    domain.store.failed_lists = 1
    with pytest.raises(GrantStoreError):
        domain.reads_in(1)
    assert domain.reads_in(1) == 1
