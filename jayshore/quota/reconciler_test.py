"""Differential test of the grants against a single copy of the truth."""

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from jayshore.clock import Millis
from jayshore.quota.demand import NO_DEMAND, DemandUnit, PendingDemand
from jayshore.quota.grants import NO_GRANTS, GrantOwner, TeamLimit
from jayshore.quota.ledger import (
    CONTENDED_RETURN_AFTER_MS,
    DomainLedger,
)
from jayshore.quota.reconciler import (
    GrantConflict,
    GrantReconciler,
    GrantStore,
    GrantStoreError,
    GrantUncertain,
    GrantWritten,
    StoredGrants,
)
from jayshore.resources import NOTHING, Resources, total

TEAM = 'team'
DOMAINS = ('east', 'north', 'south')
RETURN_AFTER = Millis(100)
IDLE = Millis(101)
FATES = ('prompt', 'answer lost', 'delayed', 'dropped', 'store down')
BOUNDED_ROUNDS = 12

in_domain = strategies.sampled_from(range(len(DOMAINS)))


def _amount(count):
    return Resources(requests=count)


def _waiting(count):
    return PendingDemand(units=(DemandUnit(amount=_amount(1), count=count),))


def _run(coroutine):
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError('the stand-in never suspends')


class LateStore(GrantStore):
    """A store whose writes can be delayed and whose answers can be lost."""

    def __init__(self):
        self.record = NO_GRANTS
        self.revision = 0
        self.fate = 'prompt'
        self.late = []
        self.limits = [TeamLimit(version=1, amount=_amount(4))]

    async def read(self, team):
        if self.fate == 'store down':
            raise GrantStoreError('down')
        return StoredGrants(record=self.record, revision=self.revision)

    async def write(self, team, record, *, expect_revision):
        newest = self.limits[-1].amount
        if record.assigned.requests > self.record.assigned.requests:
            assert expect_revision != self.revision or record.assigned.fits_in(
                newest
            )
        if self.fate in {'dropped', 'store down'}:
            return GrantUncertain()
        if self.fate == 'delayed':
            self.late.append((record, expect_revision))
            return GrantUncertain()
        confirmed = self.land(record, expect_revision)
        if self.fate == 'answer lost':
            return GrantUncertain()
        return (
            GrantWritten(revision=self.revision)
            if confirmed
            else GrantConflict()
        )

    def land(self, record, expect_revision):
        if expect_revision != self.revision:
            return False
        before, after = self.record.assigned, record.assigned
        if not after.fits_in(before):
            assert after.fits_in(record.limit.amount)
        assert record.limit.version >= self.record.limit.version
        self.record = record
        self.revision += 1
        return True

    def part(self, at):
        part = self.record.grant_for(DOMAINS[at])
        return NOTHING if part is None else part.amount


class Leader:
    """One leader's ledger and keeper."""

    def __init__(self, store, at, epoch):
        self.ledger = DomainLedger(
            domain=DOMAINS[at], return_after_ms=RETURN_AFTER
        )
        self.owner = GrantOwner(domain=DOMAINS[at], epoch=epoch)
        self.keeper = GrantReconciler(
            store=store, ledger=self.ledger, owner=self.owner
        )

    def has_room(self):
        return self.ledger.has_headroom(TEAM, _amount(1))


class Grants(RuleBasedStateMachine):
    """Three domains; `use` is the single copy of what really runs."""

    def __init__(self):
        super().__init__()
        self.store = LateStore()
        self.now = Millis(0)
        self.use = [0, 0, 0]
        self.leaders = [Leader(self.store, at, 1) for at in range(3)]
        self.former = [None, None, None]
        for at, leader in enumerate(self.leaders):
            self._open_upstreams(at)
            leader.ledger.set_waiting(TEAM, _waiting(2))
            self._round(leader, fate='prompt', fresh=True)

    def _open_upstreams(self, at):
        ledger = self.leaders[at].ledger
        ledger.charge(TEAM, _amount(self.use[at]))
        ledger.mark_inventory_complete()
        self.former[at] = None

    def _round(self, leader, *, fate, fresh):
        self.store.fate = fate
        limits = {TEAM: self.store.limits[-1]} if fresh else {}
        try:
            _run(leader.keeper.claim(TEAM))
            return _run(leader.keeper.reconcile(self.now, limits=limits))
        except GrantStoreError:
            return ()

    @rule(
        at=in_domain,
        fate=strategies.sampled_from(FATES),
        fresh=strategies.booleans(),
    )
    def round(self, at, fate, fresh):
        self._round(self.leaders[at], fate=fate, fresh=fresh)

    @rule(at=in_domain, fate=strategies.sampled_from(FATES))
    def round_of_former_leader(self, at, fate):
        if self.former[at] is not None:
            self._round(self.former[at], fate=fate, fresh=True)

    @rule(at=in_domain)
    def start_all_that_fits(self, at):
        self._fill(self.leaders[at], at)

    @rule(at=in_domain)
    def start_by_former_leader(self, at):
        if self.former[at] is not None:
            self._fill(self.former[at], at)

    def _fill(self, leader, at):
        while leader.has_room():
            leader.ledger.reserve(TEAM, _amount(1))
            self.use[at] += 1

    @rule(at=in_domain, count=strategies.integers(1, 4))
    def end(self, at, count):
        # Before its upstreams are opened the leader hears of no end.
        if self.former[at] is None:
            ended = min(count, self.use[at])
            self.leaders[at].ledger.release(TEAM, _amount(ended))
            self.use[at] -= ended

    @rule(at=in_domain, count=strategies.integers(1, 4))
    def demand_arrives(self, at, count):
        self.leaders[at].ledger.set_waiting(TEAM, _waiting(count))
        self._round(self.leaders[at], fate='prompt', fresh=True)
        self._fill(self.leaders[at], at)

    @rule(at=in_domain, fate=strategies.sampled_from(FATES))
    def surplus_is_returned(self, at, fate):
        self.leaders[at].ledger.set_waiting(TEAM, NO_DEMAND)
        for wanted in ('prompt', fate):
            self._round(self.leaders[at], fate=wanted, fresh=True)
            self.now = Millis(self.now + IDLE)

    @rule(at=in_domain, count=strategies.integers(0, 5))
    def wait(self, at, count):
        self.leaders[at].ledger.set_waiting(TEAM, _waiting(count))

    @rule(count=strategies.integers(0, 6))
    def change_limit(self, count):
        version = len(self.store.limits) + 1
        self.store.limits.append(
            TeamLimit(version=version, amount=_amount(count))
        )

    @rule(at=in_domain)
    def replace_leader(self, at):
        if self.former[at] is None:
            old = self.leaders[at]
            self.former[at] = old
            epoch = old.owner.epoch + 1
            self.leaders[at] = Leader(self.store, at, epoch)

    @rule(at=in_domain)
    def open_upstreams(self, at):
        if self.former[at] is not None:
            self._open_upstreams(at)

    @precondition(lambda self: self.store.late)
    @rule(data=strategies.data())
    def late_write_lands(self, data):
        index = data.draw(strategies.integers(0, len(self.store.late) - 1))
        self.store.land(*self.store.late.pop(index))

    @rule()
    def time_passes(self):
        self.now = Millis(self.now + IDLE)

    @invariant()
    def use_is_within_the_part(self):
        for at, use in enumerate(self.use):
            assert _amount(use).fits_in(self.store.part(at))

    @invariant()
    def leader_counts_on_no_more_than_the_part(self):
        for at, leader in enumerate(self.leaders):
            held = leader.ledger.account(TEAM).part
            assert held.fits_in(self.store.part(at))

    def teardown(self):
        """Guards against surplus that never reaches the demand."""
        for at in range(3):
            if self.former[at] is not None:
                self._open_upstreams(at)
            self.leaders[at].ledger.set_waiting(TEAM, NO_DEMAND)
        wanted = max(0, self.store.limits[-1].amount.requests)
        self.leaders[0].ledger.set_waiting(TEAM, _waiting(wanted))
        for _ in range(BOUNDED_ROUNDS):
            self.now = Millis(self.now + IDLE)
            for at in range(3):
                self._clean_round(at)
        others = total(self.store.part(at) for at in (1, 2))
        reached = (self.store.part(0) + others).requests
        assert reached == wanted
        assert others == _amount(self.use[1] + self.use[2])

    def _clean_round(self, at):
        leader = self.leaders[at]
        planned = self._round(leader, fate='prompt', fresh=True)
        for change in planned:
            leader.ledger.release(TEAM, change.excess)
            self.use[at] -= change.excess.requests


TestGrants = Grants.TestCase
TestGrants.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)


@pytest.mark.parametrize('fate', ['delayed', 'dropped', 'answer lost'])
def test_uncertain_return_is_not_counted_on(fate):
    """Guards against use of a part that a late write takes away."""
    store = LateStore()
    leader = Leader(store, 0, 1)
    leader.ledger.mark_inventory_complete()
    limits = {TEAM: store.limits[0]}
    leader.ledger.set_waiting(TEAM, _waiting(4))
    assert _run(leader.keeper.claim(TEAM))
    _run(leader.keeper.reconcile(Millis(0), limits=limits))
    assert leader.has_room()
    leader.ledger.set_waiting(TEAM, NO_DEMAND)
    _run(leader.keeper.reconcile(Millis(1), limits=limits))
    store.fate = fate
    _run(leader.keeper.reconcile(Millis(200), limits=limits))
    assert not leader.has_room()


def test_late_return_fails_once_demand_is_back():
    """Guards against trusting a read while a write is still under way."""
    store = LateStore()
    leader = Leader(store, 0, 1)
    leader.ledger.mark_inventory_complete()
    limits = {TEAM: store.limits[0]}
    assert _run(leader.keeper.claim(TEAM))
    for now, waiting, fate in (
        (0, 4, 'prompt'),
        (1, 0, 'prompt'),
        (200, 0, 'delayed'),
        (201, 4, 'prompt'),
    ):
        store.fate = fate
        leader.ledger.set_waiting(TEAM, _waiting(waiting))
        _run(leader.keeper.reconcile(Millis(now), limits=limits))
    while leader.has_room():
        leader.ledger.reserve(TEAM, _amount(1))
    assert leader.ledger.account(TEAM).use == _amount(4)
    for record, revision in store.late:
        store.land(record, revision)
    assert store.late
    assert store.part(0) == _amount(4)


@pytest.mark.parametrize(
    ('held', 'unit'),
    [((2, 2), 4), ((3, 1), 4), ((2, 1), 2), ((1, 3), 2)],
)
def test_parts_that_fit_no_waiting_unit_are_returned(held, unit):
    """Guards against domains that keep halves of what one task needs."""
    store = LateStore()
    limits = {TEAM: store.limits[0]}
    leaders = [Leader(store, at, 1) for at in range(2)]
    for leader, count in zip(leaders, held, strict=True):
        leader.ledger.mark_inventory_complete()
        leader.ledger.set_waiting(TEAM, _waiting(count))
        assert _run(leader.keeper.claim(TEAM))
        _run(leader.keeper.reconcile(Millis(0), limits=limits))
    started = 0
    waiting = PendingDemand(units=(DemandUnit(amount=_amount(unit), count=9),))
    for now in range(0, BOUNDED_ROUNDS * IDLE, IDLE):
        for leader in leaders:
            leader.ledger.set_waiting(TEAM, waiting)
            _run(leader.keeper.reconcile(Millis(now), limits=limits))
            while leader.ledger.has_headroom(TEAM, _amount(unit)):
                leader.ledger.reserve(TEAM, _amount(unit))
                started += unit
    assert started == limits[TEAM].amount.requests


@pytest.mark.parametrize(
    ('other', 'is_returned'),
    [(1, False), (2, True)],
)
def test_idle_part_is_returned_sooner_when_the_limit_is_assigned(
    other, is_returned
):
    """Guards against a team held up by a part that lies idle elsewhere."""
    store = LateStore()
    limits = {TEAM: store.limits[0]}
    leaders = [Leader(store, at, 1) for at in range(2)]
    idle = DomainLedger(domain=DOMAINS[0])
    leaders[0].ledger = idle
    leaders[0].keeper = GrantReconciler(
        store=store, ledger=idle, owner=leaders[0].owner
    )
    for leader, count in zip(leaders, (2, other), strict=True):
        leader.ledger.mark_inventory_complete()
        leader.ledger.set_waiting(TEAM, _waiting(count))
        assert _run(leader.keeper.claim(TEAM))
        _run(leader.keeper.reconcile(Millis(0), limits=limits))
    idle.set_waiting(TEAM, NO_DEMAND)
    for now in (1, 1 + CONTENDED_RETURN_AFTER_MS):
        _run(leaders[0].keeper.reconcile(Millis(now), limits=limits))
    assert (store.part(0) == NOTHING) is is_returned
