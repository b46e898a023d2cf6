"""Background tasks that end with their owner.

curio does not track daemonic tasks. They are tracked here, so that closing the
owner cancels them.
"""

from collections.abc import Coroutine
from typing import Any

import curio


class BackgroundTasks:
    """The running background tasks of one owner."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[Any] = set()

    async def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a background task.

        Args:
            coroutine: runs until it returns or `close` is called.
        """
        task = await curio.spawn(self._track, coroutine, daemon=True)
        self._tasks.add(task)

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        while self._tasks:
            await self._tasks.pop().cancel()

    async def _track(self, coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            await coroutine
        finally:
            self._tasks.discard(await curio.current_task())
