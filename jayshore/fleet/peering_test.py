"""Tests of calls to the store through other instances."""

import curio
import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.fleet.interfaces import AdviceService
from jayshore.fleet.members import Member
from jayshore.fleet.peering import InstanceClient, PeerUnavailable
from jayshore.http.client import Address
from jayshore.http.messages import Response, encode_json
from jayshore.store.store import (
    StoreIsolated,
    StoreUnavailable,
    StoreUncertain,
)
from jayshore.store.storecalls import Get, StoreReply


class Members:
    """Three domains with two instances each; the local one is `north-0`."""

    def __init__(self):
        self.leader = ''
        self.members = {
            f'{domain}-{number}': Member(
                address=Address(host=domain, port=number + 1),
                domain=domain,
                cores=1.0,
                known_since=Millis(0),
            )
            for domain in ('east', 'north', 'south')
            for number in range(2)
        }


class NoAdvice(AdviceService):
    async def advise(self, group, workers, timeout_ms):
        raise NotImplementedError


def make_peers(answers):
    """Make a client whose calls are answered according to the domain."""
    peers = InstanceClient(
        name='north-0', domain='north', advice=NoAdvice(), clock=ManualClock()
    )
    peers.attach(Members(), leader_gone=None)
    asked = []

    async def answer(address, path, question, timeout_ms):
        asked.append(address.host)
        found = answers.get(address.host)
        if found is None:
            raise PeerUnavailable('silent', sent=False)
        if found is False:
            raise PeerUnavailable('status 503', sent=False, refused=True)
        return Response(status=200, body=encode_json(StoreReply()))

    peers._call = answer
    return peers, asked


@pytest.mark.parametrize(
    ('answers', 'error'),
    [
        ({'east': True}, None),
        ({'north': True}, None),
        # This domain is cut off, as its other instance confirms.
        ({'north': False}, StoreUnavailable),
        ({'east': False, 'north': False, 'south': False}, StoreUnavailable),
        # This instance is cut off from all others.
        ({}, StoreIsolated),
    ],
)
def test_instance_knows_whether_it_alone_is_cut_off(answers, error):
    """Guards against callers that are told to wait while others serve."""

    async def scenario():
        peers, asked = make_peers(answers)
        for _ in range(4):
            if error is None:
                # A call tries few instances, so the first may fail.
                try:
                    await peers.forward(Get('k'))
                except StoreUnavailable:
                    continue
                return
            with pytest.raises(StoreUnavailable) as caught:
                await peers.forward(Get('k'))
            assert type(caught.value) is error
            assert 'north' in asked
        assert error is not None

    curio.run(scenario)


class StatusClient:
    """HTTP client of a peer that answers every call with one status."""

    def __init__(self, status):
        self._status = status

    async def call(self, request, *, timeout_ms):
        return Response(status=self._status)


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (503, StoreUnavailable),
        (409, StoreUnavailable),
        # The peer failed, perhaps after it had sent the call to the store.
        (500, StoreUncertain),
        (502, StoreUncertain),
    ],
)
def test_only_a_refusal_says_that_nothing_was_done(status, error):
    """Guards against "not run" for a write that a failing peer relayed."""

    async def scenario():
        members = Members()
        peers = InstanceClient(
            name='north-0',
            domain='north',
            advice=NoAdvice(),
            clock=ManualClock(),
        )
        peers.attach(members, leader_gone=None)
        for member in members.members.values():
            peers._clients[member.address] = StatusClient(status)
        with pytest.raises(error) as caught:
            await peers.forward(Get('k'))
        assert type(caught.value) is error

    curio.run(scenario)
