"""Repeats the stop of a task until its worker shows that it has ended.

The answer to a stop does not show that it had an effect, and a stop that was
lost would leave the room of a preempted task, or a team above its lowered
limit, as it was. The worker's inventory is the only evidence.
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

_ANSWERED_PAUSE_MS: Final = Millis(1000)
"""A worker reports an end within milliseconds; a lowered limit has 3 s."""

_CHECKPOINT_TRIES: Final = 2
"""A checkpoint that does not succeed must not keep a task running."""

FindSession = Callable[[WorkerBoot], WorkerSession | None]


@dataclasses.dataclass(kw_only=True)
class _Stop:
    """One attempt that is being stopped.

    Attributes:
        attempt: the attempt.
        number: of the attempt when the stop was asked for.
        launch: number of its last start then. Stops name a task and not an
            attempt, so a stop must not be sent after a later start.
        checkpoint: whether to checkpoint it first.
    """

    attempt: Attempt
    number: int
    launch: int
    checkpoint: bool

    @property
    def is_of_present(self) -> bool:
        """Whether the attempt has not been started again."""
        is_same_launch = self.attempt.launches == self.launch
        return is_same_launch and self.attempt.number == self.number

    @property
    def is_needed(self) -> bool:
        """Whether the attempt runs, or may still turn out to run."""
        phases = {Phase.STARTING, Phase.RUNNING}
        return self.is_of_present and self.attempt.phase in phases


class StopKeeper:
    """The stops of one leader that have not had their effect yet."""

    def __init__(
        self,
        *,
        session_of: FindSession,
        rng: random.Random,
        tasks: BackgroundTasks,
    ) -> None:
        """Start without stops.

        Args:
            session_of: looks up the session with a worker.
            rng: random numbers for the backoff.
            tasks: background tasks of the leader.
        """
        self._session_of = session_of
        self._rng = rng
        self._tasks = tasks
        self._stops: dict[str, _Stop] = {}

    async def stop(self, attempt: Attempt, *, checkpoint: bool) -> None:
        """Stop an attempt; returns before it has ended.

        Args:
            attempt: a starting or running attempt.
            checkpoint: whether to checkpoint it first.
        """
        known = self._stops.get(attempt.name)
        if known is not None and known.is_of_present:
            if known.checkpoint and not checkpoint:
                # The call under way may wait long for the checkpoint.
                known.checkpoint = False
                await self._tasks.spawn(self._send_at_once(known))
            return
        wanted = _Stop(
            attempt=attempt,
            number=attempt.number,
            launch=attempt.launches,
            checkpoint=checkpoint,
        )
        self._stops[attempt.name] = wanted
        await self._tasks.spawn(self._repeat(wanted))

    async def _send_at_once(self, wanted: _Stop) -> None:
        await self._send(wanted, checkpoint=False)

    async def _repeat(self, wanted: _Stop) -> None:
        failures = 0
        tries = 0
        while wanted.is_needed:
            checkpoint = wanted.checkpoint and tries < _CHECKPOINT_TRIES
            is_answered = await self._send(wanted, checkpoint=checkpoint)
            tries += is_answered is not None
            pause = _ANSWERED_PAUSE_MS
            if not is_answered:
                failures += 1
                pause = PLATFORM_BACKOFF.delay(attempt=failures, rng=self._rng)
            await curio.sleep(to_seconds(pause))
        if self._stops.get(wanted.attempt.name) is wanted:
            self._stops.pop(wanted.attempt.name)

    async def _send(self, wanted: _Stop, *, checkpoint: bool) -> bool | None:
        """Send a stop if the worker can be told.

        Returns:
            Whether it was answered, None when it was not sent.
        """
        attempt = wanted.attempt
        if attempt.phase is not Phase.RUNNING or attempt.worker is None:
            return None
        session = self._session_of(attempt.worker)
        if session is None or not session.is_open:
            return None
        return await session.stop(attempt.name, checkpoint=checkpoint)
