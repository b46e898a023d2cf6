"""Which instance should lead a deployment of unequal instances.

The processor of the leader bounds how many tasks start a second. A leader with
a quarter of the processor of the largest instances starts tasks seconds late
at the peak, so weaker instances let stronger ones go first, and give the
leadership up when a stronger one has come.
"""

import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import curio
import eliot

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.fleet.members import Membership
from jayshore.leases.leadership import Leadership, VacancyMonitor

MUCH_STRONGER: Final = 1.3
"""Ratio of processors from which another instance goes first.

A takeover stops new starts for about half a second, which a smaller gain does
not repay.
"""

DEFER_MS: Final = Millis(400)
"""How long an instance leaves a vacancy to stronger ones, in ms.

A stronger instance needs two calls to the store to be elected.
"""

TENURE_MS: Final = Millis(2000)
"""Shortest leadership before it is handed to a stronger instance, in ms.

Doubles with each time that this instance has handed it over, as the stronger
one may be registered and unable to lead.
"""

KNOWN_MS: Final = Millis(1500)
"""How long an instance is registered before it counts as a successor, in ms."""

CUT_OFF_MS: Final = Millis(1500)
"""How long the leader calls the store through others before it hands over.

Each of its records takes a second way then, and the store serves others.
"""

_MEET_MS: Final = Millis(300)
"""How long a new instance waits for the registrations of others, in ms.

All instances of a deployment start within this time.
"""

_POLL_MS: Final = Millis(250)
_MAX_DOUBLINGS: Final = 5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """Another instance that could lead.

    Attributes:
        cores: its processor, in cores.
        known_ms: how long it has been registered, in ms.
    """

    cores: float
    known_ms: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeadershipStatus:
    """What a leader knows of its own leadership.

    Attributes:
        cores: its processor, in cores.
        led_ms: how long it has led, in ms.
        confirmed_ms: time since the store confirmed the leadership, in ms.
        cut_off_ms: how long the store has not answered it directly, in ms.
        handed_over: how often it has handed the leadership over.
    """

    cores: float
    led_ms: Millis
    confirmed_ms: Millis
    cut_off_ms: Millis = Millis(0)
    handed_over: int = 0


def choose_delay(
    cores: float, candidates: Iterable[Candidate], *, cut_off: bool
) -> Millis:
    """Choose how long a vacancy is left to others.

    Args:
        cores: processor of this instance, in cores.
        rivals: the other registered instances.
        cut_off: the store does not answer this instance directly.

    Returns:
        Milliseconds, 0 to compete at once.
    """
    others = tuple(candidates)
    delay = 0
    if any(_is_much_stronger(candidate, cores) for candidate in others):
        delay += DEFER_MS
    if cut_off and others:
        delay += DEFER_MS
    return Millis(delay)


def should_hand_over(
    status: LeadershipStatus, candidates: Iterable[Candidate]
) -> bool:
    """Tell whether a leader should let another instance lead.

    Args:
        tenure: what the leader knows of itself.
        rivals: the other registered instances.

    Returns:
        True when a stronger instance is there, or when the store serves
        others and not this leader. While the store serves nobody the leader
        stays, since it keeps the workers' leases alive.
    """
    if status.confirmed_ms >= TENURE_MS:
        return False
    shortest = TENURE_MS << min(status.handed_over, _MAX_DOUBLINGS)
    if status.led_ms < shortest:
        return False
    known = [
        candidate for candidate in candidates if candidate.known_ms >= KNOWN_MS
    ]
    if any(_is_much_stronger(candidate, status.cores) for candidate in known):
        return True
    equal = any(
        candidate.cores * MUCH_STRONGER >= status.cores for candidate in known
    )
    return equal and status.cut_off_ms >= CUT_OFF_MS


class Candidacy(VacancyMonitor):
    """Decides when this instance competes, and when it gives way."""

    def __init__(
        self,
        *,
        membership: Membership,
        clock: Clock,
        cores: float,
        cut_off_ms: Callable[[], Millis],
        end_stale_leadership: Callable[[], Awaitable[None]],
    ) -> None:
        """Use what is known of the other instances.

        Args:
            membership: the other instances and the leader.
            clock: our clock.
            cores: processor of this instance, in cores.
            cut_off_ms: tells how long the store has not answered directly.
            end_former_life: ends the leadership of an earlier life.
        """
        self._end_stale_leadership = end_stale_leadership
        self._membership = membership
        self._clock = clock
        self._cores = cores
        self._cut_off_ms = cut_off_ms
        self._meet_until = Millis(clock.now() + _MEET_MS)
        self._handed_over = 0

    async def wait_until_vacant(self) -> None:
        """Wait until there is no leader and nobody better to take over."""
        await self._membership.wait_loaded()
        await self._end_stale_leadership()
        await self._membership.wait_until_vacant()
        await curio.sleep(
            to_seconds(Millis(max(0, self._meet_until - self._clock.now())))
        )
        delay = choose_delay(
            self._cores, self._candidates(), cut_off=self._cut_off_ms() > 0
        )
        if delay:
            await curio.sleep(to_seconds(delay))
            await self._membership.wait_until_vacant()

    async def wait_for_handover(self, leadership: Leadership) -> None:
        """Wait until this instance leads and another one should.

        Args:
            leadership: of this instance.
        """
        epoch = 0
        led_from = self._clock.now()
        while True:
            await curio.sleep(to_seconds(_POLL_MS))
            now = self._clock.now()
            if leadership.epoch != epoch:
                epoch = leadership.epoch
                led_from = now
            if not epoch:
                continue
            status = LeadershipStatus(
                cores=self._cores,
                led_ms=Millis(now - led_from),
                confirmed_ms=Millis(now - leadership.confirmed_at),
                cut_off_ms=self._cut_off_ms(),
                handed_over=self._handed_over,
            )
            if should_hand_over(status, self._candidates()):
                self._handed_over += 1
                eliot.log_message(
                    'leadership:handed_over',
                    epoch=epoch,
                    led_ms=status.led_ms,
                    cut_off_ms=status.cut_off_ms,
                )
                return

    def _candidates(self) -> list[Candidate]:
        now = self._clock.now()
        return [
            Candidate(
                cores=other.cores, known_ms=Millis(now - other.known_since)
            )
            for other in self._membership.others()
        ]


def _is_much_stronger(candidate: Candidate, cores: float) -> bool:
    return candidate.cores >= MUCH_STRONGER * cores
