"""Forwards a cancellation to the leader that holds the job.

Every daemon accepts cancellations, and a job id does not tell the domain of
the job, so the leaders of all candidate domains are asked in turn.
"""

from collections.abc import Iterable

import curio
import eliot

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.daemon.peers import PeerGroup
from jayshore.wire import messages as msg
from jayshore.wire.errors import WireError

_RETRY_PAUSE_MS = Millis(100)


class CancelForwarder:
    """Sends cancellations to domain leaders and retries across elections.

    The known leaders may be outdated by one heartbeat interval. A domain is
    ruled out only when its leader has answered that it has no such job; a
    standby or an unreachable leader is asked again until the time limit.
    """

    def __init__(
        self, *, peers: PeerGroup, clock: Clock, limit_ms: Millis
    ) -> None:
        """Create a forwarder.

        Args:
            peers: the other daemons.
            clock: monotonic time for the limit.
            limit_ms: timeout of each call, in ms; no further round starts
                once this time has passed.
        """
        self._peers = peers
        self._clock = clock
        self._limit_ms = limit_ms

    async def cancel(
        self, call: msg.CancelJob, domains: Iterable[str]
    ) -> msg.CancelResult:
        """Cancel a job that this daemon does not hold.

        Args:
            call: names the job and the team that cancels it.
            domains: names of the domains whose leader may hold the job.

        Returns:
            The result; unknown when no leader holds the job, or when a leader
            that may hold it was not reached in time.
        """
        deadline = self._clock.now() + self._limit_ms
        pending = list(domains)
        while pending:
            for domain in tuple(pending):
                outcome = await self._cancel_at_leader(domain, call)
                if outcome is msg.CancelResult.UNKNOWN:
                    pending.remove(domain)
                elif outcome is not msg.CancelResult.STANDBY:
                    return outcome
            if self._clock.now() >= deadline:
                break
            if pending:
                await curio.sleep(to_seconds(_RETRY_PAUSE_MS))
                await self._peers.send_heartbeats()
        return msg.CancelResult.UNKNOWN

    async def _cancel_at_leader(
        self, domain: str, call: msg.CancelJob
    ) -> msg.CancelResult:
        peer = self._peers.leader_of(domain)
        if peer is None:
            return msg.CancelResult.STANDBY
        try:
            reply = await peer.client.cancel_job(
                call, timeout_ms=self._limit_ms
            )
        except WireError as error:
            eliot.log_message('job:no_cancel', job=call.job_id, why=str(error))
            return msg.CancelResult.STANDBY
        return reply.result
