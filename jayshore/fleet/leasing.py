"""The lease of a worker, measured on the worker's clock.

Everything that runs at a worker ends when its lease does. The leader renews the
lease with a time on the worker's steady clock, and has to know when a lease
that it can no longer renew is surely over.
"""

from typing import Final

from jayshore.clock import Millis

LEASE_MS: Final = Millis(8000)
"""How long a renewal keeps the runs of a worker alive, in ms.

Longer than the usual partition of 5 to 6 s, so that work outlives it; a crashed
worker's tasks start elsewhere only after this time.
"""

MAX_LEASE_MS: Final = Millis(10_000)
"""The longest lease that a worker accepts, in ms."""

_SLOWEST_RATE: Final = 0.98
"""Rate of the slowest clock of a worker against the leader's."""

_MARGIN_MS: Final = Millis(100)


def latest_expiry(start: Millis, lease_ms: Millis) -> Millis:
    """Compute when a lease is over on any worker's clock.

    Args:
        start: an instant on our clock not before the lease was granted, in ms.
        lease_ms: length of the lease on the worker's clock, in ms.

    Returns:
        An instant on our clock, in ms.
    """
    return Millis(start + round(lease_ms / _SLOWEST_RATE) + _MARGIN_MS)


class WorkerLease:
    """What the leader knows of one worker's lease."""

    def __init__(self) -> None:
        """Start without knowledge of the worker's clock."""
        self._reading: int | None = None
        self._read_at = Millis(0)
        self._granted_until = 0

    @property
    def known(self) -> bool:
        """Whether the worker's clock has been read."""
        return self._reading is not None

    def note_clock(self, reading: int, received_at: Millis) -> None:
        """Take a reading of the worker's clock over.

        Args:
            reading: the worker's clock in ms, read before the answer came.
            received_at: when the answer came on our clock, in ms.
        """
        self._reading = reading
        self._read_at = received_at

    def reset(self) -> None:
        """Forget the clock, since another life of the worker began."""
        self._reading = None
        self._granted_until = 0

    def grant(
        self, now: Millis, lease_deadline: Millis, *, extend: bool
    ) -> int | None:
        """Compute the end of the lease that an order may name.

        Args:
            now: our clock, in ms.
            leader_until: instant on our clock up to which leases may last,
                in ms; a successor waits for this long.
            extend: whether the order may renew the lease; not while the
                worker is silent, since its tasks could then never be given
                up.

        Returns:
            The end on the worker's clock, or None when there is no lease.
        """
        if self._reading is None:
            return None
        if not extend:
            return self._granted_until or None
        until = min(now + LEASE_MS, lease_deadline)
        if until <= now:
            return None
        ends = self._reading + (until - self._read_at)
        self._granted_until = max(self._granted_until, ends)
        return ends

    def expires_by(self) -> Millis:
        """Compute when the lease is surely over.

        Returns:
            An instant on our clock, in ms; 0 when nothing was granted.
        """
        if self._reading is None or not self._granted_until:
            return Millis(0)
        rest = Millis(max(0, self._granted_until - self._reading))
        return latest_expiry(self._read_at, rest)
