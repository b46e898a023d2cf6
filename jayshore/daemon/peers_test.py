"""Tests of the distribution of a committed configuration to peers."""

import random
from types import SimpleNamespace

import curio
import pytest

from jayshore.clock import ManualClock, Millis
from jayshore.config.document import Document
from jayshore.config.model import Instance
from jayshore.config.snapshot import Snapshot
from jayshore.daemon.peers import Peer, PeerGroup
from jayshore.traffic import Traffic
from jayshore.wire import messages as msg
from jayshore.wire.errors import PeerTimedOut

# A committed configuration has to be in force within this time.
IN_FORCE_MS = 3000

COMMITTED = msg.ConfigCommitted(version=7, document=b'{"version": 7}')


class FakeClient:
    """The client of a peer at version 6, with or without access to the store.

    Without the store, a call that carries no document returns the old version,
    or times out if `hangs` is set.
    """

    def __init__(self, *, reads_store, hangs=False):
        self.reads_store = reads_store
        self.hangs = hangs
        self.version = 6
        self.received = []
        self.limits = []

    async def config_committed(self, call, *, timeout_ms):
        self.received.append(call.document)
        self.limits.append(timeout_ms)
        if self.reads_store or call.document:
            self.version = call.version
        elif self.hangs:
            raise PeerTimedOut('its read of the store hangs')
        return msg.ConfigCommittedReply(config_version=self.version)


def notify_peer(client):
    """Notify one peer of a committed version."""
    entry = Instance(name='b', domain='north', address='127.0.0.1:1')
    document = Document(instances=(entry,))
    group = PeerGroup(
        name='a',
        clock=ManualClock(),
        rng=random.Random(1),
        interval_ms=Millis(2000),
        timeout_ms=Millis(2000),
        config=SimpleNamespace(
            snapshot=Snapshot(version=7, document=document, write_id='w')
        ),
        status=lambda: None,
        traffic=Traffic(),
    )
    group._peers['b'] = Peer(entry=entry, client=client)
    curio.run(group.notify_committed, COMMITTED)


def test_peer_with_the_store_is_not_sent_the_document():
    """Guards against sending a document that the peer reads itself."""
    client = FakeClient(reads_store=True)
    notify_peer(client)
    assert client.received == [b'']


@pytest.mark.parametrize('hangs', [True, False])
def test_peer_without_the_store_is_sent_the_document(hangs):
    """Guards against a peer left on the old version by a store outage."""
    client = FakeClient(reads_store=False, hangs=hangs)
    notify_peer(client)
    assert client.version == COMMITTED.version
    assert client.received == [b'', COMMITTED.document]
    assert sum(client.limits) <= IN_FORCE_MS
