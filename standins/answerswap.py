"""Fault injection that swaps two answers between their connections."""

import curio

from jayshore.clock import Millis, to_seconds
from jayshore.http.messages import Response

# If no second request arrives in time, the first answer is sent on its own
# connection.
_SECOND_ANSWER_TIMEOUT_MS = Millis(2000)


class AnswerSwap:
    """Holds the first answer of a pair until the second one is ready."""

    def __init__(self) -> None:
        """Create a swap that holds no answer."""
        self._first: Response | None = None
        self._second: Response | None = None
        self._completed = curio.Event()

    @property
    def is_waiting(self) -> bool:
        """Whether the first answer of a pair waits for the second."""
        return self._first is not None

    async def hold_first(self, answer: Response) -> Response:
        """Hold the first answer of a pair.

        Args:
            answer: the first answer.

        Returns:
            The second answer, or the first one if no second answer is ready
            within the timeout.
        """
        completed = curio.Event()
        self._completed = completed
        self._first = answer
        self._second = None
        async with curio.ignore_after(to_seconds(_SECOND_ANSWER_TIMEOUT_MS)):
            await completed.wait()
        if self._second is None:
            self._first = None
            return answer
        return self._second

    async def exchange(self, answer: Response) -> Response:
        """Hand over the second answer of a pair in exchange for the first.

        Args:
            answer: the second answer.

        Returns:
            The first answer.
        """
        first = self._first
        self._first = None
        self._second = answer
        await self._completed.set()
        return first or answer
