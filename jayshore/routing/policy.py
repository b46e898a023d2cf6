"""The bounds of routing, in one place."""

import dataclasses

from jayshore.clock import Millis
from jayshore.retry import Backoff, RetryRatio
from jayshore.routing.health import EjectionPolicy


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingPolicy:
    """Bounds of routing.

    Attributes:
        max_queued_per_team: waiting requests per team and service.
        part_wait_ms: how long a request waits for a part of its team's limit
            while this domain holds none. Other domains may hold all of it, and
            keep it while they are busy; the request can run there. A part
            that is free is granted within two rounds, 0.2 s.
        late_answer_ms: how long the connection of a run stays open after its
            caller stopped waiting. An answer in this time frees the slot
            without opening the lease anew, which would refuse other requests.
        retry_ratio: retries per request, for each team and each executor.
        retry_backoff: delay before a retry.
        ejection: when to eject a failing executor.
    """

    max_queued_per_team: int = 256
    part_wait_ms: Millis = Millis(500)
    late_answer_ms: Millis = Millis(30_000)
    retry_ratio: RetryRatio = RetryRatio()
    retry_backoff: Backoff = Backoff(base_ms=Millis(5), max_ms=Millis(200))
    ejection: EjectionPolicy = EjectionPolicy()
