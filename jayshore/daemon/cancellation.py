"""Finds the leader that holds a job and has it cancel the job.

Any daemon takes a cancellation, and the name of a job does not show its
domain, so the leaders of all domains are asked in turn.
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
    """Asks the leaders of other domains, also one that was just elected.

    What is known of the leaders may be as old as a heartbeat. After a change
    of leader, "no such job" counts only when a leader of each domain said so.
    """

    def __init__(
        self, *, peers: PeerGroup, clock: Clock, limit_ms: Millis
    ) -> None:
        """Prepare to ask.

        Args:
            peers: the other daemons.
            clock: measures the limit.
            limit_ms: timeout of a call, and longest search, in ms.
        """
        self._peers = peers
        self._clock = clock
        self._limit_ms = limit_ms

    async def cancel(
        self, call: msg.CancelJob, domains: Iterable[str]
    ) -> msg.CancelResult:
        """Cancel a job that this daemon does not hold.

        Args:
            call: the job and the team.
            domains: names of the domains whose leader may hold the job.

        Returns:
            What became of it; unknown when no leader holds such a job, or one
            was not found in time.
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
