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
        late_answer_ms: how long the connection of a run stays open after its
            caller stopped waiting. An answer in this time frees the slot
            without opening the lease anew, which would refuse other requests.
        retry_ratio: retries per request, for each team and each executor.
        retry_backoff: delay before a retry.
        ejection: when to eject a failing executor.
    """

    max_queued_per_team: int = 256
    late_answer_ms: Millis = Millis(30_000)
    retry_ratio: RetryRatio = RetryRatio()
    retry_backoff: Backoff = Backoff(base_ms=Millis(5), max_ms=Millis(200))
    ejection: EjectionPolicy = EjectionPolicy()
