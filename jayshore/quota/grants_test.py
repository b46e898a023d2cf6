"""Tests of the record of grants."""

import pytest

from jayshore.quota.grants import (
    DomainGrant,
    GrantOwner,
    GrantRecord,
    GrantRefusal,
    GrantRefused,
    GrantUpdated,
    MalformedGrantsError,
    TeamLimit,
    claim_grant,
    decode_grants,
    encode_grants,
    lower_grant,
    proportional_grant,
    raise_grant,
    reclaim_grant,
)
from jayshore.resources import NOTHING, Resources


def _cpu(amount):
    return Resources(cpu_millis=amount)


def _record(*, limit=10, version=2, **parts):
    return GrantRecord(
        limit=TeamLimit(version=version, amount=_cpu(limit)),
        parts=tuple(
            DomainGrant(domain=name, epoch=5, amount=_cpu(own), basis=_cpu(own))
            for name, own in parts.items()
        ),
    )


NORTH = GrantOwner(domain='north', epoch=5)
PLAIN = _record(north=4, south=4)


@pytest.mark.parametrize(
    ('epoch', 'to', 'version', 'limit', 'reason'),
    [
        (5, _cpu(6), 2, 10, None),
        (5, _cpu(7), 2, 10, GrantRefusal.EXCEEDS_LIMIT),
        (5, _cpu(7), 3, 11, None),
        (5, _cpu(5), 3, 8, GrantRefusal.EXCEEDS_LIMIT),
        (5, _cpu(5), 1, 99, GrantRefusal.OLDER_LIMIT),
        (5, _cpu(3), 2, 10, GrantRefusal.WRONG_DIRECTION),
        (4, _cpu(5), 2, 10, GrantRefusal.NOT_OWNER),
        (5, Resources(cpu_millis=4, memory_mb=1), 2, 10, 'exceeds_limit'),
    ],
)
def test_raise_stays_within_the_newest_limit(epoch, to, version, limit, reason):
    """Guards against parts that sum to more than the limit."""
    outcome = raise_grant(
        PLAIN,
        owner=GrantOwner(domain='north', epoch=epoch),
        to=to,
        limit=TeamLimit(version=version, amount=_cpu(limit)),
    )
    if reason is None:
        assert isinstance(outcome, GrantUpdated)
        assert outcome.record.grant_for('north').amount == to
        assert outcome.record.limit.version == version
    else:
        assert outcome == GrantRefused(reason=reason)


def test_deposed_leader_changes_nothing():
    """Guards against a write of a former leader after its successor's claim."""
    claimed = claim_grant(PLAIN, GrantOwner(domain='north', epoch=6)).record
    refused = GrantRefused(reason=GrantRefusal.NOT_OWNER)
    assert lower_grant(claimed, owner=NORTH, to=NOTHING) == refused
    assert claim_grant(claimed, NORTH) == refused


def test_only_a_lost_domain_loses_its_part():
    """Guards against taking the part of a domain that is only cut off."""
    refused = reclaim_grant(PLAIN, domain='south', lost=frozenset())
    assert refused == GrantRefused(reason=GrantRefusal.NOT_LOST)
    lost = reclaim_grant(PLAIN, domain='south', lost=frozenset(('south',)))
    assert lost.record.assigned == _cpu(4)


@pytest.mark.parametrize(
    ('limit', 'cut_off', 'north', 'south'),
    [
        (10, (), 4, 8),
        (6, (), 2, 4),
        (5, (), 1, 3),
        (9, ('south',), 1, 8),
        (7, ('south',), 0, 8),
    ],
)
def test_lowered_limit_is_shared_in_proportion(limit, cut_off, north, south):
    """Guards against a sum above the limit less what is cut off."""
    record = _record(limit=limit, north=4, south=8)
    if limit == 10:
        record = _record(limit=12, north=4, south=8)
    bounds = {
        domain: proportional_grant(
            record, domain=domain, cut_off=frozenset(cut_off)
        )
        for domain in ('north', 'south')
        if domain not in cut_off
    }
    expected = {'north': _cpu(north), 'south': _cpu(south)}
    assert bounds == {name: expected[name] for name in bounds}


def test_record_survives_the_store():
    """Guards against a field that is lost by the encoding."""
    assert decode_grants(encode_grants(PLAIN)) == PLAIN
    with pytest.raises(MalformedGrantsError):
        decode_grants('{"limit": 3}')
