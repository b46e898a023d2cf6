"""Ejection of failing executors, and their careful return.

A run of failures ejects an executor for a growing time. It returns with one
request at a time, and each success doubles what it may take, so that an
executor that still fails costs one request per return.
"""

import dataclasses
import random
from typing import Final

from jayshore.clock import Clock, Millis
from jayshore.retry import Backoff

_GROWTH: Final = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EjectionPolicy:
    """When to eject, and for how long.

    Attributes:
        failures: failures in a row that eject; single ones are ordinary.
        pause: how long an ejection lasts, by the number of ejections.
        forget_ms: after so long without an ejection the next one counts as the
            first. Hysteresis: an executor that fails again soon after its
            return is ejected for longer.
    """

    failures: int = 3
    pause: Backoff = Backoff(base_ms=Millis(1000), max_ms=Millis(60_000))
    forget_ms: Millis = Millis(120_000)


class ExecutorHealth:
    """Evidence about one executor."""

    def __init__(
        self,
        *,
        policy: EjectionPolicy,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start as healthy.

        Args:
            policy: when to eject.
            clock: measures ejections.
            rng: source of jitter.
        """
        self._policy = policy
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._ejections = 0
        self._last_ejection = clock.now()
        self._ejected_until: Millis | None = None
        self._returning_with: int | None = None

    @property
    def is_ejected(self) -> bool:
        """Whether it is ejected or has not fully returned."""
        return self._ejected_until is not None

    def allowance(self, slots: int) -> int:
        """Tell how many requests the executor may run now.

        Args:
            slots: what it could run when healthy.

        Returns:
            At most the slots; 0 while ejected.
        """
        if self._ejected_until is None:
            return slots
        if self._clock.now() < self._ejected_until:
            return 0
        return min(slots, self._returning_with or 1)

    def note_success(self, slots: int) -> None:
        """Count an answer.

        Args:
            slots: what the executor could run when healthy.
        """
        allowed = self.allowance(slots)
        if not allowed:
            # The answer to a request that was sent before the ejection.
            return
        self._failures = 0
        if self._ejected_until is None:
            return
        self._returning_with = allowed * _GROWTH
        if self._returning_with > slots:
            self._ejected_until = None
            self._returning_with = None

    def note_failure(self, *, may_eject: bool) -> None:
        """Count a failure.

        Args:
            may_eject: False when too many other executors are ejected; so many
                failures point to a common cause that ejection does not help.
        """
        now = self._clock.now()
        if self._ejected_until is not None and now < self._ejected_until:
            return
        self._failures += 1
        returning = self._ejected_until is not None
        if returning or self._failures >= self._policy.failures:
            if may_eject or returning:
                self._eject(now)

    def _eject(self, now: Millis) -> None:
        last_end = self._ejected_until
        if last_end is None and self._is_forgotten(now):
            self._ejections = 0
        self._ejections += 1
        pause = self._policy.pause.delay(
            attempt=self._ejections,
            rng=self._rng,
        )
        self._ejected_until = Millis(now + pause)
        self._last_ejection = now
        self._returning_with = None
        self._failures = 0

    def _is_forgotten(self, now: Millis) -> bool:
        if not self._ejections:
            return True
        return now - self._last_ejection > self._policy.forget_ms
