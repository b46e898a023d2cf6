"""Outlier ejection: failing executors are taken out of rotation for a while.

Consecutive failures eject an executor, each time for longer. It returns with
an allowance of one request at a time, which each success doubles, so that an
executor that still fails costs one request per return.
"""

import dataclasses
import random
from typing import Final

from jayshore.clock import Clock, Millis
from jayshore.retry import Backoff

_RECOVERY_GROWTH_FACTOR: Final = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EjectionPolicy:
    """When to eject an executor, and for how long.

    Attributes:
        consecutive_failures: failures in a row that eject an executor;
            isolated failures are normal.
        backoff: duration of an ejection by the number of ejections.
        reset_after_ms: time without an ejection after which the next one
            counts as the first again. Until then an executor that fails after
            its return is ejected for longer (hysteresis).
    """

    consecutive_failures: int = 3
    backoff: Backoff = Backoff(base_ms=Millis(1000), max_ms=Millis(60_000))
    reset_after_ms: Millis = Millis(120_000)


class ExecutorHealth:
    """Tracks failures and ejections of one executor."""

    def __init__(
        self,
        *,
        policy: EjectionPolicy,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create the state of a healthy executor.

        Args:
            policy: when to eject, and for how long.
            clock: measures ejections.
            rng: random numbers for jitter.
        """
        self._policy = policy
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._ejections = 0
        self._last_ejection = clock.now()
        self._ejected_until: Millis | None = None
        self._recovery_allowance: int | None = None

    @property
    def is_ejected(self) -> bool:
        """Whether the executor is ejected or still below full allowance."""
        return self._ejected_until is not None

    def allowance(self, slots: int) -> int:
        """Return how many requests the executor may run at a time now.

        Args:
            slots: how many it runs when healthy.

        Returns:
            At most `slots`; 0 while ejected.
        """
        if self._ejected_until is None:
            return slots
        if self._clock.now() < self._ejected_until:
            return 0
        return min(slots, self._recovery_allowance or 1)

    def record_success(self, slots: int) -> None:
        """Record an answer: reset the failures and raise the allowance.

        Args:
            slots: how many requests the executor runs when healthy.
        """
        allowed = self.allowance(slots)
        if not allowed:
            # The request was sent before the ejection.
            return
        self._failures = 0
        if self._ejected_until is None:
            return
        self._recovery_allowance = allowed * _RECOVERY_GROWTH_FACTOR
        if self._recovery_allowance > slots:
            self._ejected_until = None
            self._recovery_allowance = None

    def record_failure(self, *, may_eject: bool) -> None:
        """Record a failure, and eject the executor if the policy says so.

        Args:
            may_eject: False when too many other executors are ejected: so many
                failures point to a common cause, which ejection does not cure.
                A recovering executor is ejected again in any case.
        """
        now = self._clock.now()
        if self._ejected_until is not None and now < self._ejected_until:
            return
        self._failures += 1
        is_recovering = self._ejected_until is not None
        if is_recovering or self._failures >= self._policy.consecutive_failures:
            if may_eject or is_recovering:
                self._eject(now)

    def _eject(self, now: Millis) -> None:
        last_end = self._ejected_until
        if last_end is None and self._is_history_expired(now):
            self._ejections = 0
        self._ejections += 1
        duration_ms = self._policy.backoff.delay(
            attempt=self._ejections,
            rng=self._rng,
        )
        self._ejected_until = Millis(now + duration_ms)
        self._last_ejection = now
        self._recovery_allowance = None
        self._failures = 0

    def _is_history_expired(self, now: Millis) -> bool:
        if not self._ejections:
            return True
        return now - self._last_ejection > self._policy.reset_after_ms
