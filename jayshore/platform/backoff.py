"""The one rule for the pause between attempts."""

import dataclasses
import random

from jayshore.clock import Millis

_MAX_DOUBLINGS = 30


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Backoff:
    """Exponential backoff with full jitter.

    The pause is uniform between 0 and the doubled bound, which spreads the
    retries of many callers after a common failure (Brooker, "Exponential
    Backoff And Jitter", AWS Architecture Blog, 2015).

    Attributes:
        first_ms: bound of the first pause, in ms.
        longest_ms: bound of every pause, in ms.
    """

    first_ms: Millis = Millis(50)
    longest_ms: Millis = Millis(1000)

    def pause(self, failures: int, source: random.Random) -> Millis:
        """Choose the pause before the next attempt.

        Args:
            failures: failed attempts so far, at least 1.
            source: random numbers.

        Returns:
            The pause in ms.
        """
        doublings = min(failures - 1, _MAX_DOUBLINGS)
        bound = min(self.longest_ms, self.first_ms << doublings)
        return Millis(source.randint(0, bound))
