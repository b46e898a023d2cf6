"""Clocks, and the type of all durations and instants.

Durations and instants are whole milliseconds, so that settings, messages and
calculations share one unit. Clocks are injected, so that tests control time.
"""

import abc
import time
from typing import NewType

Millis = NewType('Millis', int)
"""A duration in ms, or an instant in ms since the origin of its clock."""

_NANOS_PER_MILLI = 1_000_000
_MILLIS_PER_SECOND = 1000
_ORIGIN = Millis(0)


def to_seconds(duration: Millis) -> float:
    """Convert milliseconds to seconds, as libraries take them.

    Args:
        duration: a duration in ms.

    Returns:
        The same duration in seconds.
    """
    return duration / _MILLIS_PER_SECOND


def from_seconds(seconds: float) -> Millis:
    """Convert seconds, as libraries return them, to milliseconds.

    Args:
        seconds: a duration in seconds.

    Returns:
        The same duration, rounded to whole milliseconds.
    """
    return Millis(round(seconds * _MILLIS_PER_SECOND))


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def now(self) -> Millis:
        """Read the time.

        Returns:
            Milliseconds since an arbitrary origin, never decreasing.
        """


class MonotonicClock(Clock):
    """The operating system's monotonic clock, not comparable across hosts."""

    def now(self) -> Millis:
        """Read the monotonic clock.

        Returns:
            Milliseconds since an arbitrary origin.
        """
        return Millis(time.monotonic_ns() // _NANOS_PER_MILLI)


class BootClock(Clock):
    """The time since boot, including the time that the host was suspended.

    Use it for decisions that depend on how long other hosts have waited: the
    monotonic clock stops while its host is suspended, theirs do not.
    """

    def now(self) -> Millis:
        """Read the clock since boot.

        Returns:
            Milliseconds since an arbitrary origin.
        """
        nanos = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Millis(nanos // _NANOS_PER_MILLI)


class WallClock(Clock):
    """Time of day, for timestamps that people read; never for decisions."""

    def now(self) -> Millis:
        """Read the time of day.

        Returns:
            Milliseconds since the Unix epoch.
        """
        return Millis(time.time_ns() // _NANOS_PER_MILLI)


class ManualClock(Clock):
    """A clock for tests, which advances only when told to."""

    def __init__(self, *, start: Millis = _ORIGIN) -> None:
        """Start at a given instant.

        Args:
            start: the initial time, in ms.
        """
        self._now = start

    def now(self) -> Millis:
        """Read the current time of the test.

        Returns:
            Milliseconds since the origin of the test.
        """
        return self._now

    def advance(self, duration: Millis) -> None:
        """Move the clock forward.

        Args:
            duration: milliseconds, not negative.

        Raises:
            ValueError: the duration is negative.
        """
        if duration < 0:
            raise ValueError(f'cannot advance the clock by {duration} ms')
        self._now = Millis(self._now + duration)
