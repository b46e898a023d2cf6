"""The one definition of backoff and of retry budgets.

Retries multiply load exactly when something fails. A budget bounds them to a
ratio of the ordinary requests, and jitter keeps clients that failed together
from returning together.
"""

import dataclasses
import random
from typing import Final

from jayshore.clock import Millis

_DOUBLING: Final = 2
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
        factor = _DOUBLING ** min(attempt, _MAX_EXPONENT)
        ceiling = min(self.max_ms, self.base_ms * factor)
        return Millis(rng.randint(self.base_ms, max(self.base_ms, ceiling)))
