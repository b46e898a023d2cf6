"""The one definition of backoff and of retry budgets.

Retries multiply load exactly when something fails. A budget bounds them to a
ratio of the ordinary requests, and jitter keeps clients that failed together
from returning together.
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
        """Draw the delay before the next attempt.

        Args:
            attempt: how many attempts have failed in a row, at least 1.
            rng: source of the jitter.

        Returns:
            The delay in ms.
        """
        factor = _GROWTH_FACTOR ** min(attempt, _MAX_EXPONENT)
        ceiling = min(self.max_ms, self.base_ms * factor)
        return Millis(rng.randint(self.base_ms, max(self.base_ms, ceiling)))


PLATFORM_BACKOFF: Final = Backoff(base_ms=Millis(50), max_ms=Millis(1000))
"""Pause before the store or a worker is called again after a failure."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryRatio:
    """How many retries are allowed.

    Attributes:
        retries_per_request: retries earned by each ordinary request.
        burst: retries available after a quiet time, and the most that can be
            saved up.
    """

    retries_per_request: float = 0.2
    burst: int = 20


class RetryBudget:
    """A token bucket that is filled by ordinary requests, not by time.

    Under overload the number of retries stays a fixed ratio of the number of
    requests, however long the overload lasts.
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
        """Earn retries with an ordinary request."""
        earned = self._tokens + self._ratio.retries_per_request
        self._tokens = min(float(self._ratio.burst), earned)

    def consume_retry(self) -> None:
        """Spend one retry; the caller has checked that it is available."""
        self._tokens -= 1


class RetryBudgets:
    """One budget per key, such as a team or an upstream."""

    def __init__(self, *, ratio: RetryRatio) -> None:
        """Start without keys.

        Args:
            ratio: rate and size of each bucket.
        """
        self._ratio = ratio
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, key: str) -> RetryBudget:
        """Find the budget of a key.

        Args:
            key: team or upstream.

        Returns:
            Its budget, full at first use.
        """
        if key not in self._budgets:
            self._budgets[key] = RetryBudget(ratio=self._ratio)
        return self._budgets[key]

    def forget(self, key: str) -> None:
        """Drop the budget of a key that is no longer in use.

        Args:
            key: team or upstream.
        """
        self._budgets.pop(key, None)


def try_retry(budgets: tuple[RetryBudget, ...]) -> bool:
    """Spend one retry of every budget, or none of any.

    Args:
        budgets: those that a retry counts against.

    Returns:
        True when the retry is allowed.
    """
    if not all(budget.available for budget in budgets):
        return False
    for budget in budgets:
        budget.consume_retry()
    return True
