"""Tasks that run beside the one that started them.

curio keeps no track of such tasks. They are tracked here, so that closing their
owner ends them.
"""

from collections.abc import Coroutine
from typing import Any

import curio


class BackgroundTasks:
    """The background tasks of one owner."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[Any] = set()

    async def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task.

        Args:
            coroutine: runs until it returns or the owner closes.
        """
        task = await curio.spawn(self._track, coroutine, daemon=True)
        self._tasks.add(task)

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        while self._tasks:
            await self._tasks.pop().cancel()

    async def _track(self, coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            await coroutine
        finally:
            self._tasks.discard(await curio.current_task())
