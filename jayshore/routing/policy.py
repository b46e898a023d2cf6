"""Limits, timeouts and retry settings of routing."""

import dataclasses

from jayshore.clock import Millis
from jayshore.retry import Backoff, RetryRatio
from jayshore.routing.health import EjectionPolicy


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingPolicy:
    """Settings of a router.

    Attributes:
        max_queued_per_team: longest queue of each team, per service.
        grant_wait_ms: how long a request waits for this domain to be granted
            part of its team's limit while the domain's grant cannot hold it.
            Other domains may hold the whole limit and keep it while they are
            busy; the request can run there. A free part of the limit is
            granted within two rounds, 0.2 s.
        late_answer_ms: how long the connection of a run stays open after the
            caller's deadline. An answer that arrives in this time frees the
            slot; otherwise a new lease has to be opened, under which the
            executor refuses requests sent with the old one.
        retry_ratio: retries per request, budgeted per team and per executor.
        retry_backoff: delay before a retry.
        ejection: when to eject a failing executor, and for how long.
    """

    max_queued_per_team: int = 256
    grant_wait_ms: Millis = Millis(500)
    late_answer_ms: Millis = Millis(30_000)
    retry_ratio: RetryRatio = RetryRatio()
    retry_backoff: Backoff = Backoff(base_ms=Millis(5), max_ms=Millis(200))
    ejection: EjectionPolicy = EjectionPolicy()
