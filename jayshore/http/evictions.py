"""Order in which connections are closed when a budget is exhausted."""

import abc
import enum
import types

from jayshore.clock import Clock, Millis


class ConnectionState(enum.Enum):
    """What a server connection is doing."""

    IDLE = 'idle'
    RECEIVING = 'receiving'
    HANDLING = 'handling'
    WAITING = 'waiting'
    SENDING = 'sending'
    CLOSING = 'closing'
    EVICTED = 'evicted'


# A request follows the opening of its connection within one network latency,
# and a caller within the limits sends and reads faster than the others wait.
# HANDLING is missing: a request that may have effects is never interrupted.
_EVICTABLE_AFTER_MS = types.MappingProxyType(
    {
        ConnectionState.CLOSING: Millis(0),
        ConnectionState.IDLE: Millis(250),
        ConnectionState.RECEIVING: Millis(1000),
        ConnectionState.SENDING: Millis(1000),
        ConnectionState.WAITING: Millis(1000),
    }
)


class Evictable(abc.ABC):
    """A connection that can be closed to make room for others."""

    @abc.abstractmethod
    async def evict(self, state: ConnectionState) -> bool:
        """Close the connection, whose task then ends by itself.

        Args:
            state: state in which the connection was found.

        Returns:
            False when a request has just arrived, so that it stays open.
        """


class EvictionQueue:
    """Connections of one address by state, the longest in its state first."""

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty queue.

        Args:
            clock: local clock.
        """
        self._clock = clock
        self._since: dict[ConnectionState, dict[Evictable, Millis]] = {
            state: {} for state in ConnectionState
        }

    def enter(
        self,
        connection: Evictable,
        former: ConnectionState | None,
        state: ConnectionState,
    ) -> None:
        """Note a change of state.

        Args:
            connection: the connection.
            former: state that it leaves, None for a new connection.
            state: state that it enters now.
        """
        if former is not None:
            self.remove(connection, former)
        self._since[state][connection] = self._clock.now()

    def remove(self, connection: Evictable, state: ConnectionState) -> None:
        """Remove a connection that has ended.

        Args:
            connection: the connection.
            state: its last state.
        """
        self._since[state].pop(connection, None)

    def find(self) -> tuple[Evictable, ConnectionState] | None:
        """Find the connection that should be closed first.

        Returns:
            The connection and its state; None when none is slow or idle.
        """
        now = self._clock.now()
        for state, after_ms in _EVICTABLE_AFTER_MS.items():
            oldest = next(iter(self._since[state].items()), None)
            if oldest is not None and now - oldest[1] >= after_ms:
                return oldest[0], state
        return None
