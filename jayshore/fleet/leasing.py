"""Lease of a worker, measured on the worker's clock.

All runs of a worker end when its lease expires. The leader renews the lease
with a time on the worker's monotonic clock, and has to know by when a lease
that it can no longer renew has certainly expired.
"""

from typing import Final

from jayshore.clock import Millis
from jayshore.fleet.unanswered import LATEST_MS

LEASE_MS: Final = Millis(8000)
"""Length of a lease where workers accept one that long, in ms.

Longer than the usual network partition of 5 to 6 s, so that runs survive it.
The tasks of a crashed worker restart elsewhere only after this time.
"""

MAX_LEASE_MS: Final = Millis(10_000)
"""Longest lease that a worker accepts unless the settings say otherwise."""

_MIN_CLOCK_RATE: Final = 0.98
"""Lowest rate of a worker's clock relative to the leader's clock."""

_EXPIRY_MARGIN_MS: Final = Millis(100)


def latest_expiry(start: Millis, lease_ms: Millis) -> Millis:
    """Compute by when a lease has expired, however slow the worker's clock.

    Args:
        start: time on the local clock in ms, not before the lease was granted.
        lease_ms: length of the lease on the worker's clock, in ms.

    Returns:
        Time on the local clock, in ms.
    """
    return Millis(start + round(lease_ms / _MIN_CLOCK_RATE) + _EXPIRY_MARGIN_MS)


class WorkerLease:
    """The leader's view of the lease of one worker."""

    def __init__(self, *, max_ms: Millis) -> None:
        """Create a lease without a reading of the worker's clock.

        Args:
            max_ms: longest lease that the worker accepts, in ms.
        """
        self._max_ms = max_ms
        self._length_ms = min(LEASE_MS, max_ms)
        self._clock_reading: int | None = None
        self._read_at = Millis(0)
        self._granted_until = 0
        self._former_until = Millis(0)
        self._reset_at: Millis | None = None
        self._arrives_by = Millis(0)

    @property
    def clock_known(self) -> bool:
        """Whether the worker's clock has been read."""
        return self._clock_reading is not None

    def note_clock(self, reading: int, received_at: Millis) -> None:
        """Record a reading of the worker's clock.

        Args:
            reading: the worker's clock in ms, read before the reply arrived.
            received_at: arrival of the reply on the local clock, in ms.
        """
        self._clock_reading = reading
        self._read_at = received_at

    def reset(self, now: Millis) -> None:
        """Discard the reading after a new incarnation of the worker began.

        An order with a time on the former clock may have reached it before its
        first reply, and may have granted it the longest lease.

        Args:
            now: time on the local clock, in ms.
        """
        if self._granted_until:
            self._extend_former(Millis(max(now, self._arrives_by)))
        self._reset_at = now
        self._arrives_by = Millis(0)
        self._clock_reading = None
        self._granted_until = 0

    def note_start(
        self, sent_at: Millis, now: Millis, *, answered: bool
    ) -> None:
        """Record the outcome of a start order that named the end of the lease.

        One without an answer may arrive later. At a later incarnation it is
        refused, and may grant the longest lease all the same.

        Args:
            sent_at: when it was sent on the local clock, in ms.
            now: time on the local clock, in ms.
            answered: whether the worker has answered it.
        """
        arrives_by = now if answered else Millis(sent_at + LATEST_MS)
        if self._reset_at is not None and sent_at <= self._reset_at:
            self._extend_former(arrives_by)
        else:
            self._arrives_by = max(self._arrives_by, arrives_by)

    def grant(
        self, now: Millis, lease_deadline: Millis, *, extend: bool
    ) -> int | None:
        """Compute the end of the lease that an order may name.

        Args:
            now: time on the local clock, in ms.
            lease_deadline: latest end of the lease on the local clock, in ms;
                a successor waits until then.
            extend: whether the order may extend the lease. Must be False while
                the worker does not reply, because its tasks could otherwise
                never be given up.

        Returns:
            The end on the worker's clock in ms, or None when there is no
            lease.
        """
        if self._clock_reading is None:
            return None
        if not extend:
            return self._granted_until or None
        until = min(now + self._length_ms, lease_deadline)
        if until <= now:
            return None
        lease_end = self._clock_reading + (until - self._read_at)
        self._granted_until = max(self._granted_until, lease_end)
        return lease_end

    def expires_by(self) -> Millis:
        """Compute by when the lease has certainly expired.

        Returns:
            Time on the local clock, in ms; 0 when nothing was granted.
        """
        if self._clock_reading is None or not self._granted_until:
            return self._former_until
        remaining_ms = Millis(max(0, self._granted_until - self._clock_reading))
        own_until = latest_expiry(self._read_at, remaining_ms)
        return max(own_until, self._former_until)

    def _extend_former(self, arrives_by: Millis) -> None:
        """Wait for the lease that an order on a former clock may grant."""
        self._former_until = max(
            self._former_until, latest_expiry(arrives_by, self._max_ms)
        )
