"""Tests of single rules of the tracker."""

import pytest

from jayshore.freshness.evidence import (
    Attestation,
    RelayedEvidence,
    StoreReading,
)
from jayshore.freshness.roster import Roster, has_write_quorum
from jayshore.freshness.tracker import FreshnessTracker

BOUND = 2000


def roster(names):
    """Make a roster of daemons with one-letter names."""
    return Roster(members=frozenset(names))


def reading(*, version=1, revision=10, announced=False, names='abc'):
    """Make a reading of the store."""
    return StoreReading(
        version=version,
        revision=revision,
        is_announced=announced,
        roster=roster(names),
    )


def informed(**fields):
    """Make a tracker that has read the store at instant 0."""
    tracker = FreshnessTracker(name='a')
    tracker.record_store_read(reading=reading(**fields), sent_at=0)
    return tracker


@pytest.mark.parametrize(
    ('names', 'peers', 'expected'),
    [
        ('abc', 'b', 0),
        ('abc', '', 5000),
        ('abcde', 'b', 5000),
        ('abcde', 'bc', 0),
        ('abcde', 'xyz', 5000),
        ('abcde', 'bb', 5000),
        ('abcd', 'b', 5000),
        ('abcd', 'bc', 0),
        ('bcd', 'b', 5000),
        ('bcd', 'bc', 0),
        ('a', 'a', 0),
    ],
)
def test_majority_includes_itself(names, peers, expected):
    """Guards against evidence from fewer than a majority of the roster."""
    tracker = informed(names=names)
    for peer in peers:
        tracker.record_attestation(
            attestation=Attestation(peer=peer, version=1, attests=True),
            asked_at=5000,
        )
    assert tracker.age(5000) == expected


def test_majority_is_as_old_as_its_oldest_question():
    """Guards against counting the age from the last answer."""
    tracker = informed(names='abcde')
    for peer, asked_at in (('b', 3000), ('c', 4000)):
        tracker.record_attestation(
            attestation=Attestation(peer=peer, version=1, attests=True),
            asked_at=asked_at,
        )
    assert tracker.age(5000) == 2000


@pytest.mark.parametrize(
    ('version', 'attests'), [(1, False), (2, True), (0, True)]
)
def test_other_answers_do_not_count(version, attests):
    """Guards against counting a refusal or an answer on another version."""
    tracker = informed()
    tracker.record_attestation(
        attestation=Attestation(peer='b', version=version, attests=attests),
        asked_at=5000,
    )
    assert tracker.age(5000) == 5000


@pytest.mark.parametrize(
    ('later', 'is_open'),
    [
        (reading(revision=9), True),
        (reading(revision=10), True),
        (reading(revision=11, version=2), False),
        (reading(revision=11), False),
        (reading(revision=11, announced=True), True),
    ],
)
def test_promise_closes_with_a_later_revision_only(later, is_open):
    """Guards against attesting while the announced write may take effect."""
    tracker = informed()
    assert tracker.give_promise(revision=10, now=0)
    tracker.record_store_read(reading=later, sent_at=1)
    assert (tracker.promise is not None) == is_open
    assert tracker.may_attest(version=2) != is_open


def test_restarted_daemon_neither_attests_nor_promises():
    """Guards against an answer from a daemon that forgot its promises."""
    tracker = FreshnessTracker(name='a')
    tracker.adopt(version=1, roster=roster('abc'))
    assert not tracker.may_attest(version=1)
    assert not tracker.give_promise(revision=10, now=0)
    assert not tracker.is_fresh(now=0, bound_ms=BOUND)


def test_settled_write_gets_no_promise():
    """Guards against a promise that no later read would close."""
    assert not informed(revision=11).give_promise(revision=10, now=0)


def test_daemon_that_hears_of_a_newer_version_is_not_fresh():
    """Guards against acting on a version known to be superseded."""
    tracker = informed()
    tracker.record_relayed_evidence(
        relayed=RelayedEvidence(version=2, age_ms=0), asked_at=1
    )
    assert not tracker.is_fresh(now=1, bound_ms=BOUND)
    assert not tracker.may_attest(version=1)
    tracker.adopt(version=2, roster=roster('abc'))
    assert tracker.is_fresh(now=BOUND, bound_ms=BOUND)


def test_relayed_age_counts_from_the_question():
    """Guards against evidence that grows younger while under way."""
    tracker = informed()
    tracker.record_relayed_evidence(
        relayed=RelayedEvidence(version=1, age_ms=300), asked_at=1000
    )
    assert tracker.age(1500) == 800


def test_evidence_older_than_the_process_is_not_used():
    """Guards against a restart that goes back to an older version."""
    tracker = FreshnessTracker(name='a', started_at=1000)
    tracker.adopt(version=1, roster=roster('abc'))
    for age, expected in ((200, None), (100, 150)):
        tracker.record_relayed_evidence(
            relayed=RelayedEvidence(version=1, age_ms=age), asked_at=1100
        )
        assert tracker.age(1150) == expected


def test_older_reading_that_arrives_late_changes_nothing():
    """Guards against a version that reverts."""
    tracker = informed(version=2, revision=12)
    tracker.record_store_read(reading=reading(announced=True), sent_at=0)
    assert tracker.version == 2
    assert tracker.promise is None


@pytest.mark.parametrize(
    ('promised', 'old', 'new', 'expected'),
    [
        ('ab', 'abc', 'abc', True),
        ('a', 'abc', 'abc', False),
        ('ab', 'abc', 'bcd', False),
        ('abc', 'abc', 'bcd', True),
        ('cd', 'abc', 'bcd', False),
        ('a', '', 'a', False),
        ('', None, 'abc', True),
    ],
)
def test_write_needs_both_majorities(promised, old, new, expected):
    """Guards against a write that a daemon of the old roster can miss."""
    before = None if old is None else roster(old)
    assert expected == has_write_quorum(
        promised=set(promised), old=before, new=roster(new)
    )
