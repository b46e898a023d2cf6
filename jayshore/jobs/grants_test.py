"""Tests of the rounds that keep a domain's parts in step with its demand."""

import curio
import pytest

from jayshore.clock import Millis
from jayshore.config.document import Document
from jayshore.config.model import Team
from jayshore.config.snapshot import Snapshot
from jayshore.jobs.attempts import AttemptTable
from jayshore.jobs.grants import GrantedLedger, GrantRounds, StoredGrantBook
from jayshore.platform.store import (
    Conflict,
    Entry,
    Listing,
    StoreError,
    Written,
)
from jayshore.quota.grants import Owner
from jayshore.quota.keeper import GrantKeeper
from jayshore.quota.ledger import DomainLedger
from jayshore.resources import Resources

TEAM = 'fenland'
ONE_REQUEST = Resources(requests=1)
BOUND_S = 2


class FaultyStore:
    """A store of one key whose first calls meet a fault."""

    def __init__(self, *, conflicts=0, failed_lists=0):
        self.entry = None
        self.conflicts = conflicts
        self.failed_lists = failed_lists

    async def list(self, prefix, *, since=0):
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


def make_rounds(store, ledger, granted):
    """Make the rounds of a domain without jobs."""
    stored = StoredGrantBook(store=store)
    return GrantRounds(
        stored=stored,
        keeper=GrantKeeper(
            store=stored,
            ledger=ledger,
            owner=Owner(domain='north', epoch=1),
        ),
        ledger=ledger,
        granted=granted,
        book=None,
        attempts=AttemptTable(),
        placer=None,
        domain='north',
    )


def make_snapshot():
    """Make a configuration with one team."""
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
    """Run rounds for one request that waits, as the dispatcher does."""
    ledger = DomainLedger(domain='north')
    ledger.complete_inventory()
    snapshot = make_snapshot()
    granted = GrantedLedger(ledger=ledger, snapshot=lambda: snapshot)
    has_started = curio.Event()

    async def start_waiting(teams):
        if TEAM in teams and granted.try_take(TEAM, ONE_REQUEST):
            await has_started.set()

    assert not granted.try_take(TEAM, ONE_REQUEST)
    running = make_rounds(store, ledger, granted).run(
        interval_ms=Millis(1),
        now=lambda: Millis(0),
        fresh_snapshot=lambda: snapshot,
        cut_off=frozenset,
        added=start_waiting,
    )
    rounds = await curio.spawn(running)
    async with curio.ignore_after(BOUND_S):
        await has_started.wait()
    await rounds.cancel()
    return has_started.is_set()


@pytest.mark.parametrize(
    'faults',
    [{}, {'conflicts': 1}, {'conflicts': 3}, {'failed_lists': 2}],
)
def test_waiting_request_gets_headroom_after_a_failed_round(faults):
    """A lost round must not leave a waiting request without a part for ever."""
    assert curio.run(wait_for_headroom(FaultyStore(**faults)))
