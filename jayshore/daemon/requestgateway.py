"""Routes a request to a leader: this daemon, a peer, or another domain's."""

import dataclasses
from collections.abc import Iterator

import eliot

from jayshore.clock import Clock, Millis
from jayshore.daemon.leaderrole import DomainLeaderRole
from jayshore.daemon.peers import Peer, PeerGroup
from jayshore.outcomes import (
    NotRun,
    NotRunReason,
    RequestOutcome,
    Unknown,
    UnknownReason,
)
from jayshore.routing.executor import RoutedRequest
from jayshore.routing.recentrefusals import RecentRefusals
from jayshore.wire import messages as msg
from jayshore.wire.errors import (
    FrameTooLargeError,
    MalformedMessageError,
    PeerError,
    PeerUnreachable,
)

# Reasons that are local to a failure domain, so that another one may run the
# request.
_RETRY_ELSEWHERE_REASONS = frozenset(
    (
        NotRunReason.NO_EXECUTOR,
        NotRunReason.NO_LEADER,
        NotRunReason.OVERLOADED,
        NotRunReason.OVER_LIMIT,
        NotRunReason.WOULD_MISS_DEADLINE,
        NotRunReason.SHUTTING_DOWN,
    )
)
_RETRY_AFTER_MS = Millis(500)

# A leader in another process replies by its deadline at the latest. Its
# timeout is shorter than that of the call, by a fraction of the time up to
# this margin, so that a "not run" reply arrives before the call times out,
# which would make the outcome unknown.
_REPLY_MARGIN_MS = Millis(100)
_MARGIN_DIVISOR = 10


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdmittedRequest:
    """A request that was authenticated.

    Attributes:
        request: the request to run.
        key_id: id of the presented key, empty for an open service.
        config_version: configuration version that accepted the key.
    """

    request: RoutedRequest
    key_id: str
    config_version: int


class RequestGateway:
    """Routes requests of this daemon's callers to leaders."""

    def __init__(
        self,
        *,
        domain: str,
        leader_role: DomainLeaderRole,
        peers: PeerGroup,
        clock: Clock,
    ) -> None:
        """Create a gateway.

        Args:
            domain: failure domain of this daemon.
            leader_role: the router while this daemon leads.
            peers: the other daemons.
            clock: monotonic time for deadlines.
        """
        self._domain = domain
        self._leader_role = leader_role
        self._peers = peers
        self._clock = clock
        self._recent_refusals = RecentRefusals(clock=clock)

    async def route(
        self, admitted: AdmittedRequest, domains: list[str]
    ) -> RequestOutcome:
        """Run a request in this domain, or else in another one.

        Another domain is tried only when it is certain that nothing ran, and
        when the reason is local to the domain that refused.

        Args:
            admitted: the request.
            domains: names of all active failure domains.

        Returns:
            The outcome in the last domain that was tried; not run for lack of
            a leader when none was.
        """
        refusal = self._recent_refusals.find(admitted.request)
        if refusal is not None:
            return refusal
        outcome = await self._route_to_domains(admitted, domains)
        self._recent_refusals.note(admitted.request, outcome)
        return outcome

    async def _route_to_domains(
        self, admitted: AdmittedRequest, domains: list[str]
    ) -> RequestOutcome:
        deadline = self._clock.now() + admitted.request.timeout_ms
        outcome: RequestOutcome = NotRun(
            reason=NotRunReason.NO_LEADER, retry_after_ms=_RETRY_AFTER_MS
        )
        for domain in self._ordered_domains(domains):
            remaining = Millis(deadline - self._clock.now())
            if remaining <= 0:
                return outcome
            tried = await self._run_in(domain, admitted, remaining)
            if tried is None:
                continue
            outcome = tried
            if not isinstance(tried, NotRun):
                return outcome
            if tried.reason not in _RETRY_ELSEWHERE_REASONS:
                return outcome
        return outcome

    def _ordered_domains(self, domains: list[str]) -> Iterator[str]:
        """Yield this domain, then the others by descending free slots."""
        yield self._domain
        others = [name for name in domains if name != self._domain]
        yield from sorted(others, key=self._free_slots, reverse=True)

    def _free_slots(self, domain: str) -> int:
        peer = self._peers.leader_of(domain)
        if peer is None or peer.status is None:
            return -1
        return sum(load.free_slots for load in peer.status.load)

    async def _run_in(
        self, domain: str, admitted: AdmittedRequest, remaining: Millis
    ) -> RequestOutcome | None:
        """Run in one domain; None if its leader is unknown or unreachable."""
        router = self._leader_role.router
        if domain == self._domain and router is not None:
            return await router.route(
                dataclasses.replace(admitted.request, timeout_ms=remaining)
            )
        peer = self._peers.leader_of(domain)
        if peer is None:
            return None
        return await _forward(peer, admitted, remaining)


async def _forward(
    peer: Peer, admitted: AdmittedRequest, remaining: Millis
) -> RequestOutcome | None:
    request = admitted.request
    margin = min(_REPLY_MARGIN_MS, remaining // _MARGIN_DIVISOR)
    call = msg.RouteRequest(
        request_id=request.request_id,
        service=request.service,
        team=request.team,
        key_id=admitted.key_id,
        config_version=admitted.config_version,
        idempotent=request.idempotent,
        timeout_ms=Millis(remaining - margin),
        hops=1,
        body=request.body,
        content_type=request.content_type,
    )
    try:
        reply = await peer.client.route_request(call, timeout_ms=remaining)
    except PeerUnreachable:
        return None
    except (FrameTooLargeError, MalformedMessageError):
        return NotRun(reason=NotRunReason.TOO_LARGE)
    except PeerError as error:
        eliot.log_message(
            'request:peer_lost', peer=peer.entry.name, error=str(error)
        )
        return Unknown(reason=UnknownReason.PEER_LOST)
    return reply.outcome
