"""Bound on the work of connections between two turns of other tasks."""

import curio

# A parser step takes 10 microseconds for a chunk of one byte, measured on the
# machine of the tests.
_STEPS_PER_TURN = 8

# Connections that begin a further turn in one pass of the event loop. Tasks
# with leases run in each pass. Without this bound, 110 connections with bodies
# in chunks of one byte kept a leader from its renewals for 2 s.
_TURNS_PER_PASS = 2


class TurnGate:
    """Lets few connections of an address go on in one pass of the loop."""

    def __init__(self) -> None:
        """Create an open gate."""
        self._slots = curio.Semaphore(_TURNS_PER_PASS)

    async def wait(self) -> None:
        """Wait for the next pass of the event loop that has a free turn."""
        async with self._slots:
            await curio.sleep(0)


class Turn:
    """Counts the steps of one connection since it last waited.

    Receiving does not yield in curio while bytes are there, so that a fast
    sender would keep the event loop for itself. A small request on a
    connection that had to wait for it ends within one turn.
    """

    def __init__(self, *, gate: TurnGate) -> None:
        """Begin a turn.

        Args:
            gate: shared by the connections of an address.
        """
        self._gate = gate
        self._left = _STEPS_PER_TURN

    def restart(self) -> None:
        """Begin a new turn, because the connection has to wait anyway."""
        self._left = _STEPS_PER_TURN

    def step(self) -> bool:
        """Count a step.

        Returns:
            Whether it was the last one, so that `end` has to be awaited.
        """
        self._left -= 1
        return self._left <= 0

    async def end(self) -> None:
        """Let other tasks run, and begin a new turn."""
        await self._gate.wait()
        self._left = _STEPS_PER_TURN
