"""Calls to the other daemons: heartbeats, promises, samples, configuration."""

import dataclasses
import random
from collections.abc import Callable
from typing import Any

import curio
import eliot
import msgspec

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.config.document import Document
from jayshore.config.model import Instance
from jayshore.daemon.configuration import ConfigManager
from jayshore.daemon.heartbeats import HeartbeatSchedule
from jayshore.freshness.evidence import Attestation, RelayedEvidence
from jayshore.http.client import Address
from jayshore.report.samples import SloSnapshot
from jayshore.traffic import Traffic
from jayshore.wire import messages as msg
from jayshore.wire.client import PeerClient
from jayshore.wire.errors import WireError
from jayshore.wire.server import PeerAddress

# A peer counts as unreachable, and not as a leader, when its last status is
# older than this many heartbeat intervals.
_MISSED_HEARTBEATS = 3
_WAIT_STEPS = 8

# The store normally answers within milliseconds. A peer that has not read a
# new version after this time is sent the document, which leaves enough of the
# 3 s in which the version has to be in force.
_PEER_READ_MS = Millis(500)


class Peer:
    """One other daemon.

    Attributes:
        entry: its entry in the roster.
        client: sends calls to it.
        status: its last reported status, None before the first.
        heard_at: when the status arrived.
        heartbeat_received_at: when the last heartbeat that it sent itself
            arrived, None before the first.
        sent_version: configuration version in the last heartbeat to it.
    """

    def __init__(self, *, entry: Instance, client: PeerClient) -> None:
        """Create a peer whose status is not known yet.

        Args:
            entry: its entry in the roster.
            client: sends calls to it.
        """
        self.entry = entry
        self.client = client
        self.status: msg.DaemonStatus | None = None
        self.heard_at = Millis(0)
        self.heartbeat_received_at: Millis | None = None
        self.sent_version = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerView:
    """The last known status of a peer, for operators.

    Attributes:
        name: its name in the roster.
        domain: its failure domain.
        is_reachable: whether a status arrived within the last few heartbeat
            intervals.
        config_version: the version that it held, 0 when unknown.
        evidence_age_ms: age of its evidence when it sent the status.
    """

    name: str
    domain: str
    is_reachable: bool
    config_version: int
    evidence_age_ms: int | None


class PeerGroup:
    """All other daemons of the roster, with one heartbeat task for each."""

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        rng: random.Random,
        interval_ms: Millis,
        timeout_ms: Millis,
        config: ConfigManager,
        status: Callable[[], msg.DaemonStatus],
        traffic: Traffic,
    ) -> None:
        """Start without peers.

        Args:
            name: name of this daemon in the roster.
            clock: monotonic time.
            rng: random number generator for backoff.
            interval_ms: interval of heartbeats to a peer, in ms.
            timeout_ms: timeout of a call to a peer, in ms.
            config: the configuration; its tracker records peers' evidence.
            status: returns the status that this daemon reports to peers.
            traffic: counts the bytes to and from peers.
        """
        self._name = name
        self._clock = clock
        self._rng = rng
        self._interval_ms = interval_ms
        self._timeout_ms = timeout_ms
        self._config = config
        self._status = status
        self._traffic = traffic
        self._peers: dict[str, Peer] = {}

    async def run(self) -> None:
        """Follow the roster and exchange heartbeats until cancelled."""
        running: dict[Peer, Any] = {}
        try:
            while True:
                self._sync_roster(self._config.snapshot.document)
                await self._sync_heartbeat_tasks(running)
                await curio.sleep(to_seconds(self._interval_ms))
        finally:
            for peer, task in running.items():
                await task.cancel()
                await peer.client.close()

    def leader_of(self, domain: str) -> Peer | None:
        """Find the leader of a domain among the reachable peers.

        Args:
            domain: a failure domain.

        Returns:
            The peer that reports the highest epoch, None when none leads.
        """
        oldest = self._clock.now() - self._interval_ms * _MISSED_HEARTBEATS
        leaders = [
            peer
            for peer in self._peers.values()
            if peer.entry.domain == domain
            and peer.status is not None
            and peer.status.leader_epoch
            and peer.heard_at >= oldest
        ]
        return max(leaders, key=_epoch_of, default=None)

    def record_heartbeat(self, status: msg.DaemonStatus) -> None:
        """Record the status in a heartbeat that a peer sent.

        Args:
            status: the peer's status; ignored when its sender is no peer.
        """
        peer = self._peers.get(status.sender)
        if peer is not None:
            peer.status = status
            peer.heard_at = self._clock.now()
            peer.heartbeat_received_at = peer.heard_at

    async def ask_promises(
        self, old: Document, new: Document, revision: int
    ) -> set[str]:
        """Ask the daemons of two rosters for promises.

        Args:
            old: the document in force.
            new: the document to be committed.
            revision: store revision of the announcement.

        Returns:
            The names of the daemons that promised, without this one.
        """
        entries = {entry.name: entry for entry in new.instances}
        entries.update({entry.name: entry for entry in old.instances})
        entries.pop(self._name, None)
        call = msg.PromiseConfig(revision=revision)
        replies = curio.TaskGroup(wait=all)
        async with replies:
            for name, entry in entries.items():
                peer = self._peers.get(name) or self._connect(entry)
                await replies.spawn(self._ask_promise(peer, call))
        return {promised for promised in replies.results if promised}

    async def collect_slo_samples(self) -> list[SloSnapshot]:
        """Collect the service-level samples of all peers.

        Returns:
            One snapshot for each peer that replied.
        """
        replies = curio.TaskGroup(wait=all)
        async with replies:
            for peer in self._peers.values():
                await replies.spawn(self._query_slo_samples(peer))
        return [found for found in replies.results if found is not None]

    async def notify_committed(self, call: msg.ConfigCommitted) -> None:
        """Notify every peer of a committed configuration.

        A peer that misses the call reads the store at its next poll; until
        then it refuses work that needs a key if it has heard of the version.
        Daemons that the new version adds to the roster, or removes from it,
        are notified as well.

        Args:
            call: the committed version.
        """
        former = frozenset(self._peers.values())
        self._sync_roster(self._config.snapshot.document)
        async with curio.TaskGroup(wait=all) as tasks:
            for peer in former.union(self._peers.values()):
                await tasks.spawn(self._notify_peer(peer, call))

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to every peer now and wait for the replies."""
        async with curio.TaskGroup(wait=all) as tasks:
            for peer in self._peers.values():
                await tasks.spawn(self._send_heartbeat, peer)

    def views(self) -> tuple[PeerView, ...]:
        """Summarise the peers for the status report.

        Returns:
            One entry for each peer of the roster, sorted by name.
        """
        oldest = self._clock.now() - self._interval_ms * _MISSED_HEARTBEATS
        return tuple(
            PeerView(
                name=name,
                domain=peer.entry.domain,
                is_reachable=peer.status is not None
                and peer.heard_at >= oldest,
                config_version=peer.status.config_version if peer.status else 0,
                evidence_age_ms=(
                    peer.status.evidence_age_ms if peer.status else None
                ),
            )
            for name, peer in sorted(self._peers.items())
        )

    async def _sync_heartbeat_tasks(self, running: dict[Peer, Any]) -> None:
        """Run one heartbeat task for each current peer and for no other.

        A daemon that was replaced under the same name counts as a new peer.
        The connection of a removed peer closes once its calls have ended.
        """
        present = frozenset(self._peers.values())
        for gone in running.keys() - present:
            await running.pop(gone).cancel()
            await curio.spawn(gone.client.close_when_idle, daemon=True)
        for peer in present - running.keys():
            running[peer] = await curio.spawn(
                self._run_heartbeats, peer, daemon=True
            )

    def _sync_roster(self, document: Document) -> None:
        wanted = {
            entry.name: entry
            for entry in document.instances
            if entry.name != self._name
        }
        for name, peer in tuple(self._peers.items()):
            if wanted.get(name) != peer.entry:
                del self._peers[name]
        for name, entry in wanted.items():
            if name not in self._peers:
                self._peers[name] = self._connect(entry)

    def _connect(self, entry: Instance) -> Peer:
        address = Address.parse(entry.address)
        client = PeerClient(
            address=PeerAddress(host=address.host, port=address.port),
            clock=self._clock,
            rng=self._rng,
            traffic=self._traffic,
        )
        return Peer(entry=entry, client=client)

    async def _run_heartbeats(self, peer: Peer) -> None:
        while True:
            await self._send_heartbeat(peer)
            await self._wait_until_due(peer)

    async def _wait_until_due(self, peer: Peer) -> None:
        """Wait until the next heartbeat is due.

        While the store gives no evidence, heartbeats are sent early, to get
        evidence from peers several times within the bound on its age. After a
        change of version, a heartbeat is sent early to learn which peers hold
        the new version.
        """
        start = self._clock.now()
        step = Millis(self._interval_ms // _WAIT_STEPS)
        shortest = start + 2 * step
        timing = HeartbeatSchedule(
            interval_ms=self._interval_ms,
            is_initiator=self._name < peer.entry.name,
        )
        while self._clock.now() < timing.due_at(
            sent_at=start, received_at=peer.heartbeat_received_at
        ):
            await curio.sleep(to_seconds(step))
            if self._clock.now() >= shortest and self._config.needs_evidence:
                return
            if self._config.tracker.version != peer.sent_version:
                return

    async def _send_heartbeat(self, peer: Peer) -> None:
        call = msg.Heartbeat(status=self._status())
        peer.sent_version = call.status.config_version
        asked_at = self._clock.now()
        try:
            reply = await peer.client.heartbeat(
                call, timeout_ms=self._timeout_ms
            )
        except WireError:
            return
        peer.status = reply.status
        peer.heard_at = self._clock.now()
        tracker = self._config.tracker
        if reply.status.evidence_age_ms is not None:
            tracker.record_relayed_evidence(
                relayed=RelayedEvidence(
                    version=reply.status.config_version,
                    age_ms=reply.status.evidence_age_ms,
                ),
                asked_at=asked_at,
            )
        tracker.record_attestation(
            attestation=Attestation(
                peer=peer.entry.name,
                version=call.status.config_version,
                attests=reply.attests,
            ),
            asked_at=asked_at,
        )

    async def _ask_promise(self, peer: Peer, call: msg.PromiseConfig) -> str:
        try:
            reply = await peer.client.promise_config(
                call, timeout_ms=self._timeout_ms
            )
        except WireError as error:
            eliot.log_message(
                'config:no_promise', peer=peer.entry.name, error=str(error)
            )
            return ''
        return peer.entry.name if reply.promised else ''

    async def _query_slo_samples(self, peer: Peer) -> SloSnapshot | None:
        try:
            reply = await peer.client.slo_query(
                msg.SloQuery(), timeout_ms=self._timeout_ms
            )
        except WireError as error:
            eliot.log_message(
                'slo:no_answer', peer=peer.entry.name, error=str(error)
            )
            return None
        return msgspec.json.decode(reply.document, type=SloSnapshot)

    async def _notify_peer(self, peer: Peer, call: msg.ConfigCommitted) -> None:
        """Notify a peer of a version; send the document only if needed.

        A peer reads the store in any case, to close its promise, and the
        document may have a size of 1 MB.
        """
        version_only = msg.ConfigCommitted(version=call.version, document=b'')
        limit_ms = min(self._timeout_ms, _PEER_READ_MS)
        if (
            await self._send_committed(peer, version_only, limit_ms)
            < call.version
        ):
            await self._send_committed(peer, call, self._timeout_ms)

    async def _send_committed(
        self, peer: Peer, call: msg.ConfigCommitted, limit_ms: Millis
    ) -> int:
        try:
            reply = await peer.client.config_committed(
                call, timeout_ms=limit_ms
            )
        except WireError as error:
            eliot.log_message(
                'config:not_announced', peer=peer.entry.name, error=str(error)
            )
            return 0
        return reply.config_version


def _epoch_of(peer: Peer) -> int:
    return peer.status.leader_epoch if peer.status else 0
