"""Records how long placement rounds take, and which groups wait after them."""

import collections
from typing import Final

import eliot

from jayshore.clock import Millis
from jayshore.fleet.demands import Decisions
from jayshore.fleet.metrics import FleetMetrics

SLOW_ROUND_MS: Final = Millis(100)
"""Duration from which a round is logged, in ms.

A bounded round takes up to 20 ms of processor time, which is 51 ms on the
smallest leader of 0.39 cores.
"""

_LOG_INTERVAL_MS: Final = Millis(1000)
_COUNT_INTERVAL_MS: Final = Millis(250)


class RoundLog:
    """Metrics and log lines of the rounds of one leader."""

    def __init__(self, *, metrics: FleetMetrics) -> None:
        """Create a log without rounds.

        Args:
            metrics: metrics of this instance.
        """
        self._metrics = metrics
        self._logged_at: Millis | None = None
        self._counted_at: Millis | None = None

    def record(
        self, decisions: Decisions, *, took_ms: Millis, now: Millis
    ) -> None:
        """Record a round, and log a slow one at most once a second.

        Args:
            decisions: result of the round.
            took_ms: how long the round kept the event loop, in ms.
            now: time on the local clock, in ms.
        """
        self._metrics.note_round(took_ms)
        counted = self._counted_at
        if counted is None or now - counted >= _COUNT_INTERVAL_MS:
            self._counted_at = now
            self._metrics.update_waiting_groups(
                collections.Counter(map(str, decisions.waiting.values()))
            )
        since = self._logged_at
        if took_ms < SLOW_ROUND_MS or (
            since is not None and now - since < _LOG_INTERVAL_MS
        ):
            return
        self._logged_at = now
        eliot.log_message(
            'round:slow',
            took_ms=took_ms,
            considered=decisions.considered,
            waiting=len(decisions.waiting),
        )
