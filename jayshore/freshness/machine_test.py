"""The tracker against a single copy of the configuration.

The property: a daemon that calls its version fresh at bound B holds no version
that was superseded more than B before. The single copy of the store knows when
each version was superseded. A link that is cut, and a daemon that is paused,
appear as answers that are delivered late or never.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from jayshore.clock import ManualClock
from jayshore.freshness.evidence import (
    Attestation,
    RelayedEvidence,
    StoreReading,
)
from jayshore.freshness.roster import Roster, has_write_quorum
from jayshore.freshness.tracker import FreshnessTracker

BOUND = 2000
NAMES = 'abcd'
ROSTERS = [Roster(members=frozenset(names)) for names in ('abc', 'bcd')]


class AttestsBeforeReading(FreshnessTracker):
    """Broken: a restarted daemon answers at once."""

    def may_attest(self, *, version):
        return self.promise is None and self.version <= version


class AttestsWithOpenPromise(FreshnessTracker):
    """Broken: promises are not honoured."""

    def may_attest(self, *, version):
        return self._read_revision is not None and self.version <= version


class ClosesOnAnyRead(FreshnessTracker):
    """Broken: any own read closes a promise, whatever it shows."""

    def record_store_read(self, *, reading, sent_at):
        self._promise = None
        super().record_store_read(reading=reading, sent_at=sent_at)
        self._promise = None


class CountsFromReceipt(FreshnessTracker):
    """Broken: a relayed age counts from when the answer arrived."""

    clock = None

    def record_relayed_evidence(self, *, relayed, asked_at):
        super().record_relayed_evidence(
            relayed=relayed, asked_at=self.clock.now()
        )


class World:
    """Daemons, one copy of the configuration, and messages under way."""

    def __init__(
        self, names=NAMES, tracker_type=FreshnessTracker, announces=True
    ):
        self.clock = ManualClock()
        self.tracker_type = tracker_type
        self.announces = announces
        self.has_write_quorum = has_write_quorum
        self.cut_off = set()
        self.version, self.revision, self.is_announced = 1, 1, False
        self.roster = ROSTERS[0]
        self.superseded_at = {}
        self.under_way = []
        self.commits = []
        self.daemons = {}
        for name in names:
            self.restart(name)
            self.read(name)

    def restart(self, name):
        """Forget all that the daemon knew; what was under way is lost."""
        self.daemons[name] = self.tracker_type(name=name)
        self.daemons[name].clock = self.clock

    def send(self, name, delivery, late):
        """Deliver to this life of a daemon, now or later."""
        tracker = self.daemons[name]

        def deliver():
            if self.daemons[name] is tracker:
                delivery(tracker)

        if late:
            self.under_way.append(deliver)
        else:
            deliver()

    def read(self, name, late=False):
        """Read the store, unless the link to it is cut."""
        if name in self.cut_off:
            return
        reading = StoreReading(
            version=self.version,
            revision=self.revision,
            is_announced=self.is_announced,
            roster=self.roster,
        )
        sent_at = self.clock.now()
        self.send(
            name,
            lambda tracker: tracker.record_store_read(
                reading=reading, sent_at=sent_at
            ),
            late,
        )

    def ask(self, name, peer, late=False, is_request_late=False):
        """Ask a peer to attest the version held."""
        asked_at, version = self.clock.now(), self.daemons[name].version

        def answer(peer_tracker):
            attestation = Attestation(
                peer=peer,
                version=version,
                attests=peer_tracker.may_attest(version=version),
            )
            self.send(
                name,
                lambda tracker: tracker.record_attestation(
                    attestation=attestation, asked_at=asked_at
                ),
                late,
            )

        self.send(peer, answer, is_request_late)

    def relay(self, name, peer, late=False):
        """Ask a peer for its evidence."""
        asked_at, source = self.clock.now(), self.daemons[peer]
        age = source.age(asked_at)
        if age is not None:
            relayed = RelayedEvidence(version=source.version, age_ms=age)
            self.send(
                name,
                lambda tracker: tracker.record_relayed_evidence(
                    relayed=relayed, asked_at=asked_at
                ),
                late,
            )

    def announce(self, writer, asked, roster):
        """Announce a write, gather promises and send the write."""
        self.read(writer)
        if self.announces:
            self.revision += 1
            self.is_announced = True
        revision = self.revision
        promised = {
            name
            for name in {writer, *asked}
            if self.daemons[name].give_promise(
                revision=revision, now=self.clock.now()
            )
        }
        if self.has_write_quorum(
            promised=promised, old=self.roster, new=roster
        ):
            self.commits.append((revision, roster))

    def land(self, index=0):
        """Let a write reach the store; its answer may be lost."""
        revision, roster = self.commits.pop(index)
        if revision != self.revision:
            return
        self.superseded_at[self.version] = self.clock.now()
        self.version += 1
        self.revision += 1
        self.is_announced = False
        self.roster = roster

    def withdraw(self):
        """Rewrite the key without the announcement of a dead writer."""
        self.revision += 1
        self.is_announced = False

    def violations(self):
        """List the daemons that break the property."""
        now = self.clock.now()
        return [
            name
            for name, tracker in self.daemons.items()
            if tracker.is_fresh(now=now, bound_ms=BOUND)
            and now - self.superseded_at.get(tracker.version, now) > BOUND
        ]


INDEX = st.integers(0, 99)
RARELY = st.sampled_from([False, False, False, True])


class Machine(RuleBasedStateMachine):
    """Random runs of the world; daemons are drawn by index."""

    names = NAMES
    rosters = ROSTERS
    variant = {}

    def __init__(self):
        super().__init__()
        self.world = World(self.names, **self.variant)

    def name(self, index):
        """Pick a daemon."""
        return self.names[index % len(self.names)]

    @rule(duration=st.sampled_from([1, 500, BOUND + 1]))
    def advance(self, duration):
        self.world.clock.advance(duration)

    @rule(cut_off=st.sets(INDEX, max_size=4))
    def cut(self, cut_off):
        self.world.cut_off = {self.name(index) for index in cut_off}

    @rule(index=INDEX, late=RARELY)
    def read(self, index, late):
        self.world.read(self.name(index), late)

    @rule(
        index=INDEX,
        late=RARELY,
        request=RARELY,
        waited=st.sampled_from([0, BOUND + 1]),
    )
    def ask(self, index, late, request, waited):
        self.world.clock.advance(waited)
        for peer in self.names:
            self.world.ask(self.name(index), peer, late, request)

    @rule(index=INDEX, peer=INDEX, late=st.booleans())
    def relay(self, index, peer, late):
        self.world.relay(self.name(index), self.name(peer), late)

    @rule(index=INDEX, reads=st.booleans())
    def restart(self, index, reads):
        self.world.restart(self.name(index))
        if reads:
            self.world.read(self.name(index))

    @rule(writer=INDEX, asked=st.sets(INDEX, min_size=1), roster=INDEX)
    def announce(self, writer, asked, roster):
        if self.name(writer) not in self.world.cut_off:
            self.world.announce(
                self.name(writer),
                {self.name(index) for index in asked},
                self.rosters[roster % len(self.rosters)],
            )

    @precondition(lambda self: self.world.commits)
    @rule(index=INDEX)
    def land(self, index):
        self.world.land(index % len(self.world.commits))

    @precondition(lambda self: self.world.is_announced)
    @rule()
    def withdraw(self):
        self.world.withdraw()

    @precondition(lambda self: self.world.under_way)
    @rule(index=INDEX)
    def deliver(self, index):
        self.world.under_way.pop(index % len(self.world.under_way))()

    @invariant()
    def no_stale_version_is_called_fresh(self):
        assert not self.world.violations()


def run(max_examples, phases=tuple(Phase), **attributes):
    """Run the machine over a fixed sequence of examples."""
    run_state_machine_as_test(
        type('Variant', (Machine,), attributes),
        settings=settings(
            max_examples=max_examples,
            stateful_step_count=40,
            phases=phases,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_no_stale_version_is_called_fresh():
    """Guards against keyed work on a configuration that was superseded."""
    run(600)


VARIANTS = [
    {'tracker_type': AttestsBeforeReading},
    {'tracker_type': AttestsWithOpenPromise},
    {'tracker_type': ClosesOnAnyRead},
    {'tracker_type': CountsFromReceipt},
    {'announces': False},
]
SCRIPTS = [
    # The peer that promised restarts and forgets; the write takes effect.
    'announce land restart advance ask',
    'announce land advance ask',
    # A read between promise and write shows the old version.
    'announce read_peer land advance ask',
    'relay_late announce land advance deliver',
    # The peer restarts and reads the store before the write takes effect.
    'announce restart read_peer land advance ask',
]


def follow(script, variant):
    """Run a script: a writes, b is asked to promise, c asks b to attest."""
    world = World(**variant)
    steps = {
        'announce': lambda: world.announce('a', 'b', world.roster),
        'land': world.land,
        'restart': lambda: world.restart('b'),
        'read_peer': lambda: world.read('b'),
        'advance': lambda: world.clock.advance(BOUND + 1),
        'ask': lambda: world.ask('c', 'b'),
        'relay_late': lambda: world.relay('c', 'b', late=True),
        'deliver': lambda: world.under_way.pop()(),
    }
    for step in script.split():
        steps[step]()
    return world.violations()


@pytest.mark.parametrize(
    ('variant', 'script'), list(zip(VARIANTS, SCRIPTS, strict=True))
)
def test_broken_variant_violates_the_property(variant, script):
    """Guards against a world in which a broken tracker cannot be seen."""
    assert follow(script, variant) == ['c']
    assert follow(script, {}) == []


@pytest.mark.parametrize(
    ('rule_of_old', 'violating'), [(True, []), (False, ['a'])]
)
def test_roster_change_needs_a_majority_of_the_old_one(rule_of_old, violating):
    """Guards against a change that the rest of the old roster cannot see."""
    world = World()
    if not rule_of_old:
        world.has_write_quorum = lambda promised, old, new: new.has_majority(
            promised
        )
    world.announce('d', 'c', ROSTERS[1])
    while world.commits:
        world.land()
    world.clock.advance(BOUND + 1)
    world.ask('a', 'b')
    assert world.violations() == violating


@pytest.mark.parametrize('variant', VARIANTS)
def test_machine_finds_each_broken_variant(variant):
    """Guards against a machine that is too weak to find a violation."""
    with pytest.raises(AssertionError):
        run(
            6000,
            phases=[Phase.generate],
            variant=variant,
            names='abc',
            rosters=ROSTERS[:1],
        )


def test_majority_keeps_a_version_fresh_in_an_outage():
    """Guards against a property that holds because nothing is ever fresh."""
    world = World()
    world.clock.advance(BOUND + 1)
    assert not world.daemons['c'].is_fresh(
        now=world.clock.now(), bound_ms=BOUND
    )
    world.ask('c', 'b')
    assert world.daemons['c'].is_fresh(now=world.clock.now(), bound_ms=BOUND)
