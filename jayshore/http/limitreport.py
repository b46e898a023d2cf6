"""Reports what limits on clients did, without a log line for each client."""

from collections import Counter
from collections.abc import Callable

import eliot

from jayshore.clock import Clock, Millis

_REPORT_MS = Millis(1000)


def ignore_cause(_cause: str) -> None:
    """Count nothing."""


class LimitReport:
    """Counts refusals and closed connections, and logs once a second."""

    def __init__(
        self, *, clock: Clock, count: Callable[[str], None] = ignore_cause
    ) -> None:
        """Create a report.

        Args:
            clock: local clock.
            count: counts one event by its cause, for a metric.
        """
        self._clock = clock
        self._count = count
        self._unreported: Counter[str] = Counter()
        self._reported_at = Millis(clock.now() - _REPORT_MS)

    def note(self, cause: str) -> None:
        """Count an event, and log all since the last line if that is due.

        Args:
            cause: kind of the refusal, or `closed_` and the state of the
                connection that was closed.
        """
        self._count(cause)
        self._unreported[cause] += 1
        now = self._clock.now()
        if now - self._reported_at >= _REPORT_MS:
            self._reported_at = now
            eliot.log_message('clients:limited', **self._unreported)
            self._unreported.clear()
