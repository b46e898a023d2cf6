"""Handles the calls of the other daemons."""

import eliot
import msgspec

from jayshore.clock import Clock, Millis
from jayshore.config.stored import StoredConfig, decode_stored
from jayshore.daemon.configuration import ConfigManager
from jayshore.daemon.jobgateway import JobGateway
from jayshore.daemon.leaderrole import DomainLeaderRole
from jayshore.daemon.peers import PeerGroup
from jayshore.daemon.slo import SloTracker
from jayshore.daemon.status import StatusReporter
from jayshore.jobs.acceptance import PreparedJob
from jayshore.jobs.record import decode_record
from jayshore.outcomes import (
    NotRun,
    NotRunReason,
    RefusalReason,
    Refused,
)
from jayshore.routing.executor import RoutedRequest
from jayshore.wire import messages as msg
from jayshore.wire.server import PeerHandler

_RETRY_AFTER_MS = Millis(500)


class DaemonPeerHandler(PeerHandler):
    """Implements the calls of the peer protocol."""

    def __init__(
        self,
        *,
        config: ConfigManager,
        status: StatusReporter,
        peers: PeerGroup,
        leader_role: DomainLeaderRole,
        job_gateway: JobGateway,
        clock: Clock,
        slo: SloTracker,
    ) -> None:
        """Create a handler.

        Args:
            config: the configuration.
            status: the status that this daemon reports.
            peers: the other daemons, which records their heartbeats.
            leader_role: the leader and router while this daemon leads.
            job_gateway: accepts, finds and cancels jobs.
            clock: monotonic time for promises.
            slo: service-level samples of this daemon.
        """
        self._config = config
        self._status = status
        self._peers = peers
        self._leader_role = leader_role
        self._job_gateway = job_gateway
        self._clock = clock
        self._slo = slo

    async def heartbeat(self, call: msg.Heartbeat) -> msg.HeartbeatReply:
        """Record the peer's status and reply with that of this daemon."""
        self._peers.record_heartbeat(call.status)
        return msg.HeartbeatReply(
            status=self._status.heartbeat_status(),
            attests=self._config.tracker.may_attest(
                version=call.status.config_version
            ),
        )

    async def promise_config(
        self, call: msg.PromiseConfig
    ) -> msg.PromiseConfigReply:
        """Promise to attest no version until the write is resolved."""
        promised = self._config.tracker.give_promise(
            revision=call.revision, now=self._clock.now()
        )
        return msg.PromiseConfigReply(
            promised=promised, config_version=self._config.tracker.version
        )

    async def config_committed(
        self, call: msg.ConfigCommitted
    ) -> msg.ConfigCommittedReply:
        """Adopt a configuration that the peer has committed.

        The store is read in any case: this fetches the version when the call
        carries no document, and closes the promise given for it. Otherwise a
        store outage that begins before the next regular read would leave the
        promise open, and work that needs a key refused, until the store is
        reachable again.
        """
        if call.document:
            self._adopt_sent(call.document)
        await self._config.refresh()
        return msg.ConfigCommittedReply(
            config_version=self._config.tracker.version
        )

    async def route_request(self, call: msg.RouteRequest) -> msg.RouteReply:
        """Run a request that a peer has authenticated.

        The key is checked again, because this daemon may hold a newer
        configuration than the peer.
        """
        router = self._leader_role.router
        if router is None:
            return _not_run_reply(NotRunReason.NO_LEADER)
        if call.key_id:
            if not self._config.is_fresh:
                return _not_run_reply(NotRunReason.NOT_FRESH)
            if not self._config.snapshot.key_is_valid(call.key_id):
                return _not_run_reply(NotRunReason.UNAUTHORISED)
        outcome = await router.route(
            RoutedRequest(
                request_id=call.request_id,
                service=call.service,
                team=call.team,
                idempotent=call.idempotent,
                timeout_ms=call.timeout_ms,
                body=call.body,
                content_type=call.content_type,
            )
        )
        return msg.RouteReply(outcome=outcome)

    async def submit_job(self, call: msg.SubmitJob) -> msg.SubmitJobReply:
        """Accept a job that a peer has authenticated.

        The key is checked again, because this daemon may hold a newer
        configuration than the peer.
        """
        record = decode_record(call.record)
        config = self._config
        if record.key_id:
            if not config.is_fresh:
                return _refused_reply(RefusalReason.NOT_FRESH)
            if not config.snapshot.key_is_valid(record.key_id):
                return _refused_reply(RefusalReason.UNAUTHORISED)
        prepared = PreparedJob(record=record, ticket=call.ticket)
        return msg.SubmitJobReply(
            outcome=await self._job_gateway.accept(prepared)
        )

    async def job_query(self, call: msg.JobQuery) -> msg.JobQueryReply:
        """Return the state of a job that this daemon holds as leader."""
        return msg.JobQueryReply(
            document=await self._job_gateway.find_held(
                call.job_id, call.access, call.wait_ms
            )
        )

    async def slo_query(self, call: msg.SloQuery) -> msg.SloReply:
        """Return the service-level samples of this daemon."""
        return msg.SloReply(document=msgspec.json.encode(self._slo.snapshot()))

    async def cancel_job(self, call: msg.CancelJob) -> msg.CancelJobReply:
        """Cancel a job that this daemon holds as leader."""
        return msg.CancelJobReply(
            result=await self._job_gateway.cancel_held(call.job_id, call.team)
        )

    def _adopt_sent(self, document: bytes) -> None:
        decoded = decode_stored(document)
        if isinstance(decoded, StoredConfig):
            self._config.adopt(decoded)
        else:
            eliot.log_message(
                'config:malformed_from_peer', fault=str(decoded.faults[0])
            )


def _not_run_reply(reason: NotRunReason) -> msg.RouteReply:
    return msg.RouteReply(
        outcome=NotRun(reason=reason, retry_after_ms=_RETRY_AFTER_MS)
    )


def _refused_reply(reason: RefusalReason) -> msg.SubmitJobReply:
    return msg.SubmitJobReply(
        outcome=Refused(reason=reason, retry_after_ms=_RETRY_AFTER_MS)
    )
