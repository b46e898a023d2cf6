"""Resends the stop of a task until its worker reports that it has ended.

The answer to a stop does not show that it took effect. A lost stop would leave
a preempted task on its resources, or a team above its lowered limit. Only the
inventory of the worker shows that the task has ended.
"""

import dataclasses
import random
from collections.abc import Callable
from typing import Final

import curio

from jayshore.background import BackgroundTasks
from jayshore.clock import Millis, to_seconds
from jayshore.jobs.attempts import Attempt, Phase
from jayshore.jobs.record import WorkerBoot
from jayshore.leases.session import WorkerSession
from jayshore.retry import PLATFORM_BACKOFF

_RESEND_INTERVAL_MS: Final = Millis(1000)
"""Pause after an answered stop.

A worker reports an end within milliseconds, and a lowered limit has to take
effect within 3 s.
"""

_MAX_CHECKPOINT_TRIES: Final = 2
"""Stops with a checkpoint before the task is stopped without one.

A failing checkpoint must not keep a task running.
"""

SessionLookup = Callable[[WorkerBoot], WorkerSession | None]


@dataclasses.dataclass(kw_only=True)
class _StopRequest:
    """A request to stop an attempt.

    Attributes:
        attempt: the attempt.
        number: number of the attempt at the time of the request.
        launch: value of `Attempt.launches` at that time. A stop names the task
            and not the attempt, so it must not be sent after a later start.
        checkpoint: whether to request a checkpoint first.
    """

    attempt: Attempt
    number: int
    launch: int
    checkpoint: bool

    @property
    def is_current(self) -> bool:
        """Whether the attempt has not been retried or started again since."""
        is_same_launch = self.attempt.launches == self.launch
        return is_same_launch and self.attempt.number == self.number

    @property
    def is_needed(self) -> bool:
        """Whether the attempt is running or may be starting."""
        phases = {Phase.STARTING, Phase.RUNNING}
        return self.is_current and self.attempt.phase in phases


class StopRetrier:
    """Resends the stops of one leader until the attempts have ended."""

    def __init__(
        self,
        *,
        find_session: SessionLookup,
        rng: random.Random,
        tasks: BackgroundTasks,
    ) -> None:
        """Create a retrier without stops.

        Args:
            find_session: looks up the session with a worker.
            rng: source of random numbers for the backoff.
            tasks: background tasks of the leader.
        """
        self._find_session = find_session
        self._rng = rng
        self._tasks = tasks
        self._requests: dict[str, _StopRequest] = {}

    async def stop(self, attempt: Attempt, *, checkpoint: bool) -> None:
        """Stop an attempt in the background.

        A repeated request is ignored, unless it omits the checkpoint that the
        earlier one asked for.

        Args:
            attempt: a starting or running attempt.
            checkpoint: whether to request a checkpoint first.
        """
        existing = self._requests.get(attempt.name)
        if existing is not None and existing.is_current:
            if existing.checkpoint and not checkpoint:
                # The call in progress may wait for the checkpoint, so a stop
                # without one is sent beside it.
                existing.checkpoint = False
                await self._tasks.spawn(self._send_without_checkpoint(existing))
            return
        request = _StopRequest(
            attempt=attempt,
            number=attempt.number,
            launch=attempt.launches,
            checkpoint=checkpoint,
        )
        self._requests[attempt.name] = request
        await self._tasks.spawn(self._resend_until_ended(request))

    async def _send_without_checkpoint(self, request: _StopRequest) -> None:
        await self._send(request, checkpoint=False)

    async def _resend_until_ended(self, request: _StopRequest) -> None:
        failures = 0
        tries = 0
        while request.is_needed:
            checkpoint = request.checkpoint and tries < _MAX_CHECKPOINT_TRIES
            was_answered = await self._send(request, checkpoint=checkpoint)
            tries += was_answered is not None
            pause = _RESEND_INTERVAL_MS
            if not was_answered:
                failures += 1
                pause = PLATFORM_BACKOFF.delay(attempt=failures, rng=self._rng)
            await curio.sleep(to_seconds(pause))
        if self._requests.get(request.attempt.name) is request:
            self._requests.pop(request.attempt.name)

    async def _send(
        self, request: _StopRequest, *, checkpoint: bool
    ) -> bool | None:
        """Send a stop if the attempt is running and its session is open.

        Returns:
            Whether the stop was answered, or None if it was not sent.
        """
        attempt = request.attempt
        if attempt.phase is not Phase.RUNNING or attempt.worker is None:
            return None
        session = self._find_session(attempt.worker)
        if session is None or not session.is_open:
            return None
        return await session.stop(attempt.name, checkpoint=checkpoint)
