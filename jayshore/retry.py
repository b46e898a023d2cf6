"""Exponential backoff and retry budgets, for the whole project.

Retries multiply the load just when something fails. A budget bounds them to a
ratio of the ordinary requests, and jitter spreads out the retries of clients
that failed at the same time.
"""

import dataclasses
import random
from typing import Final

from jayshore.clock import Millis

_GROWTH_FACTOR: Final = 2
_MAX_EXPONENT: Final = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Backoff:
    """Exponential backoff with full jitter.

    The delay is uniform in [base_ms, min(max_ms, base_ms * 2**attempt)].

    Attributes:
        base_ms: smallest delay, in ms.
        max_ms: largest delay, in ms.
    """

    base_ms: Millis
    max_ms: Millis

    def delay(self, *, attempt: int, rng: random.Random) -> Millis:
        """Draw a random delay before the next attempt.

        Args:
            attempt: number of consecutive failed attempts, at least 1.
            rng: random number generator for the jitter.

        Returns:
            The delay in ms.
        """
        factor = _GROWTH_FACTOR ** min(attempt, _MAX_EXPONENT)
        ceiling = min(self.max_ms, self.base_ms * factor)
        return Millis(rng.randint(self.base_ms, max(self.base_ms, ceiling)))


PLATFORM_BACKOFF: Final = Backoff(base_ms=Millis(50), max_ms=Millis(1000))
"""Backoff before a failed call to the store or to a worker is repeated."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryRatio:
    """The rate and size of a retry budget.

    Attributes:
        retries_per_request: retries earned by each ordinary request.
        burst: largest number of retries that can be accumulated, and the
            number available at the start.
    """

    retries_per_request: float = 0.2
    burst: int = 20


class RetryBudget:
    """A token bucket that is refilled by ordinary requests, not by time.

    Beyond the burst, retries stay a fixed ratio of the ordinary requests,
    however long an overload lasts.
    """

    def __init__(self, *, ratio: RetryRatio) -> None:
        """Start with a full bucket.

        Args:
            ratio: rate and size of the bucket.
        """
        self._ratio = ratio
        self._tokens = float(ratio.burst)

    @property
    def available(self) -> bool:
        """Whether a retry is allowed now."""
        return self._tokens >= 1

    def record_request(self) -> None:
        """Refill the budget for one ordinary request."""
        earned = self._tokens + self._ratio.retries_per_request
        self._tokens = min(float(self._ratio.burst), earned)

    def consume_retry(self) -> None:
        """Spend one retry; the caller has to check `available` first."""
        self._tokens -= 1


class RetryBudgets:
    """One budget per key, such as a team or an upstream."""

    def __init__(self, *, ratio: RetryRatio) -> None:
        """Start without budgets; they are created on first use.

        Args:
            ratio: rate and size of each bucket.
        """
        self._ratio = ratio
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, key: str) -> RetryBudget:
        """Return the budget of a key, created full on first use.

        Args:
            key: name of a team or id of an upstream.

        Returns:
            Its budget.
        """
        if key not in self._budgets:
            self._budgets[key] = RetryBudget(ratio=self._ratio)
        return self._budgets[key]

    def forget(self, key: str) -> None:
        """Drop the budget of a key that is no longer in use.

        Args:
            key: name of a team or id of an upstream.
        """
        self._budgets.pop(key, None)


def try_retry(budgets: tuple[RetryBudget, ...]) -> bool:
    """Spend one retry of every budget, if all of them allow it.

    Args:
        budgets: the budgets that the retry counts against.

    Returns:
        True when the retry is allowed and was counted; otherwise no budget
        has changed.
    """
    if not all(budget.available for budget in budgets):
        return False
    for budget in budgets:
        budget.consume_retry()
    return True
