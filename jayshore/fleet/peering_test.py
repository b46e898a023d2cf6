"""Calls to the store through other instances."""

import curio
import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.fleet.interfaces import AdviceService
from jayshore.fleet.members import Member
from jayshore.fleet.peering import InstanceClient, PeerUnavailable
from jayshore.http.client import Address
from jayshore.http.messages import Response, encode_json
from jayshore.store.store import StoreIsolated, StoreUnavailable
from jayshore.store.storecalls import Get, StoreReply


class Members:
    """Three domains with two instances each; this one is `north-0`."""

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
    """Make peers whose calls answer by domain."""
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
        # This domain is cut off: its other instance says so.
        ({'north': False}, StoreUnavailable),
        ({'east': False, 'north': False, 'south': False}, StoreUnavailable),
        # This instance is cut off from all others.
        ({}, StoreIsolated),
    ],
)
def test_instance_knows_whether_it_alone_is_cut_off(answers, error):
    """Guards against callers that are told to wait though others serve."""

    async def scenario():
        peers, asked = make_peers(answers)
        for _ in range(4):
            if error is None:
                # Attempts are few, so that the first call may miss.
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
