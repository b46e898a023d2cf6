"""Election preference of instances with different processor capacity.

The processor of the leader limits how many tasks start per second. A leader
with a quarter of the processor of the largest instances starts tasks seconds
late at peak load. Weaker instances therefore delay their candidacy, and step
down when a stronger instance has registered.
"""

import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import curio
import eliot

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.fleet.members import Membership
from jayshore.leases.leadership import Leadership, VacancyMonitor

STRONGER_CORES_RATIO: Final = 1.3
"""Ratio of processors from which another instance is preferred as leader.

A takeover pauses new starts for about half a second, which a smaller gain does
not outweigh.
"""

ELECTION_DELAY_MS: Final = Millis(400)
"""Delay of a candidacy in favour of other instances, in ms.

Covers the two store calls that another instance needs to be elected.
"""

MIN_LEADERSHIP_MS: Final = Millis(2000)
"""Minimum duration of a leadership before a handover, in ms.

Doubles with each handover by this instance, because the stronger instance may
be registered and yet unable to lead.
"""

MIN_REGISTERED_MS: Final = Millis(1500)
"""Registration age from which an instance counts as a successor, in ms."""

CUT_OFF_MS: Final = Millis(1500)
"""Time in ms without direct store access after which the leader hands over.

Until then it reaches the store through other instances, at the cost of an
extra hop for every record, while the store serves others directly.
"""

_STARTUP_WAIT_MS: Final = Millis(300)
"""Time that a new instance waits for the registrations of others, in ms.

All instances of a deployment start within this time.
"""

_POLL_MS: Final = Millis(250)
_MAX_HANDOVER_DOUBLINGS: Final = 5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """Another instance that could lead.

    Attributes:
        cores: processor capacity, in cores.
        registered_ms: time since its registration was seen, in ms.
    """

    cores: float
    registered_ms: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeadershipStatus:
    """Inputs of the leader's decision to hand the leadership over.

    Attributes:
        cores: processor capacity of the leader, in cores.
        led_ms: time since it was elected, in ms.
        confirmed_ms: time since the store confirmed the leadership, in ms.
        cut_off_ms: time without direct access to the store, in ms.
        handed_over: number of earlier handovers by this instance.
    """

    cores: float
    led_ms: Millis
    confirmed_ms: Millis
    cut_off_ms: Millis = Millis(0)
    handed_over: int = 0


def choose_election_delay(
    cores: float, candidates: Iterable[Candidate], *, cut_off: bool
) -> Millis:
    """Choose how long this instance delays its candidacy.

    Args:
        cores: processor capacity of this instance, in cores.
        candidates: the other registered instances.
        cut_off: this instance has no direct access to the store.

    Returns:
        Delay in ms, 0 to compete at once.
    """
    others = tuple(candidates)
    delay = 0
    if any(_is_much_stronger(candidate, cores) for candidate in others):
        delay += ELECTION_DELAY_MS
    if cut_off and others:
        delay += ELECTION_DELAY_MS
    return Millis(delay)


def should_hand_over(
    status: LeadershipStatus, candidates: Iterable[Candidate]
) -> bool:
    """Return whether the leader should hand the leadership over.

    Args:
        status: state of the current leadership.
        candidates: the other registered instances.

    Returns:
        True when a stronger instance is available, or when the store answers
        other instances but not the leader directly. While the store answers
        nobody the leader stays, because it keeps the workers' leases alive.
    """
    if status.confirmed_ms >= MIN_LEADERSHIP_MS:
        return False
    min_led_ms = MIN_LEADERSHIP_MS << min(
        status.handed_over, _MAX_HANDOVER_DOUBLINGS
    )
    if status.led_ms < min_led_ms:
        return False
    established = [
        candidate
        for candidate in candidates
        if candidate.registered_ms >= MIN_REGISTERED_MS
    ]
    if any(
        _is_much_stronger(candidate, status.cores) for candidate in established
    ):
        return True
    equal = any(
        candidate.cores * STRONGER_CORES_RATIO >= status.cores
        for candidate in established
    )
    return equal and status.cut_off_ms >= CUT_OFF_MS


class Candidacy(VacancyMonitor):
    """Decides when this instance competes for leadership and steps down."""

    def __init__(
        self,
        *,
        membership: Membership,
        clock: Clock,
        cores: float,
        cut_off_ms: Callable[[], Millis],
        end_stale_leadership: Callable[[], Awaitable[None]],
    ) -> None:
        """Create the candidacy of one instance.

        Args:
            membership: the registered instances and the leader.
            clock: local clock.
            cores: processor capacity of this instance, in cores.
            cut_off_ms: returns the time without direct access to the store, in
                ms.
            end_stale_leadership: ends a leadership of an earlier incarnation
                of this instance.
        """
        self._end_stale_leadership = end_stale_leadership
        self._membership = membership
        self._clock = clock
        self._cores = cores
        self._cut_off_ms = cut_off_ms
        self._startup_until = Millis(clock.now() + _STARTUP_WAIT_MS)
        self._handed_over = 0

    async def wait_until_vacant(self) -> None:
        """Wait until there is no leader and this instance may compete."""
        await self._membership.wait_loaded()
        await self._end_stale_leadership()
        await self._membership.wait_until_vacant()
        await curio.sleep(
            to_seconds(Millis(max(0, self._startup_until - self._clock.now())))
        )
        delay = choose_election_delay(
            self._cores, self._candidates(), cut_off=self._cut_off_ms() > 0
        )
        if delay:
            await curio.sleep(to_seconds(delay))
            await self._membership.wait_until_vacant()

    async def wait_for_handover(self, leadership: Leadership) -> None:
        """Wait until this instance leads and should hand the leadership over.

        Args:
            leadership: leadership of this instance.
        """
        epoch = 0
        leader_since = self._clock.now()
        while True:
            await curio.sleep(to_seconds(_POLL_MS))
            now = self._clock.now()
            if leadership.epoch != epoch:
                epoch = leadership.epoch
                leader_since = now
            if not epoch:
                continue
            status = LeadershipStatus(
                cores=self._cores,
                led_ms=Millis(now - leader_since),
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
                cores=other.cores, registered_ms=Millis(now - other.known_since)
            )
            for other in self._membership.others()
        ]


def _is_much_stronger(candidate: Candidate, cores: float) -> bool:
    return candidate.cores >= STRONGER_CORES_RATIO * cores
