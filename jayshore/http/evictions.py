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


_ORDER = types.MappingProxyType(
    {state: place for place, state in enumerate(_EVICTABLE_AFTER_MS)}
)
_ORDER_MS = Millis(20)


class Activity:
    """What a connection is doing, and since when.

    Attributes:
        state: its state.
        since: when it entered the state, in ms of the clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Begin with an idle connection.

        Args:
            clock: local clock.
        """
        self._clock = clock
        self.state = ConnectionState.IDLE
        self.since = clock.now()

    @property
    def evicted(self) -> bool:
        """Whether the connection is closed to make room for others."""
        return self.state is ConnectionState.EVICTED

    def enter(self, state: ConnectionState) -> None:
        """Note what the connection is doing from now on.

        Args:
            state: its new state; an evicted connection keeps its state.
        """
        if self.state is not ConnectionState.EVICTED:
            self.state = state
            self.since = self._clock.now()

    def is_evictable(self, now: Millis) -> bool:
        """Tell whether the connection is slow, idle or closing.

        Args:
            now: time of the clock, in ms.

        Returns:
            Whether it may be closed to make room for others.
        """
        after_ms = _EVICTABLE_AFTER_MS.get(self.state)
        return after_ms is not None and now - self.since >= after_ms


class Evictable(abc.ABC):
    """A connection that can be closed to make room for others.

    Attributes:
        activity: what the connection is doing.
    """

    activity: Activity

    @abc.abstractmethod
    async def evict(self) -> bool:
        """Close the connection, whose task then ends by itself.

        Returns:
            False when a request has just arrived, so that it stays open.
        """


class EvictionQueue:
    """Open connections of one address, of which some may be closed.

    The order is computed only when room is needed, and kept for a short time,
    because states change with each request.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty queue.

        Args:
            clock: local clock.
        """
        self._clock = clock
        self._open: set[Evictable] = set()
        self._ordered: list[Evictable] = []
        self._ordered_at = Millis(-_ORDER_MS)

    def add(self, connection: Evictable) -> None:
        """Add a connection that was opened.

        Args:
            connection: the connection.
        """
        self._open.add(connection)

    def remove(self, connection: Evictable) -> None:
        """Remove a connection that has ended.

        Args:
            connection: the connection.
        """
        self._open.discard(connection)

    def find(self) -> Evictable | None:
        """Find the connection that should be closed first.

        Returns:
            The connection; None when none is slow or idle.
        """
        now = self._clock.now()
        if now - self._ordered_at >= _ORDER_MS:
            self._ordered_at = now
            self._ordered = sorted(
                (
                    each
                    for each in self._open
                    if each.activity.is_evictable(now)
                ),
                key=_eviction_order,
                reverse=True,
            )
        while self._ordered:
            first = self._ordered.pop()
            if first in self._open and first.activity.is_evictable(now):
                return first
        return None


def _eviction_order(connection: Evictable) -> tuple[int, Millis]:
    activity = connection.activity
    return _ORDER[activity.state], activity.since
