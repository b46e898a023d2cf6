"""Fault injection from a seeded schedule."""

import abc
import dataclasses
import random
import signal
from collections.abc import Sequence
from typing import TypeAlias

import curio

from jayshore.clock import Millis, to_seconds
from soak.links import LinkMode
from soak.processes import API_KEYS, InstanceProcess, Processes

_PAUSE_MS_RANGE = (200, 1500)
_DURATION_MS_RANGE = (300, 3500)
_HUNDRED_PERCENT = 100
_OVERLAP_PERCENT = 35
"""Share of the faults that do not wait for the end of the previous one."""

_KILL_ALL_PERCENT = 15
_EXECUTOR_LINK_PERCENT = 50
_STALE_CONNECTIONS_PERCENT = 20
_DROP_HISTORY_PERCENT = 20

_FaultSettings: TypeAlias = dict[str, object]


class Fault(abc.ABC):
    """A fault that lasts for a limited time."""

    def __init__(self, *, processes: Processes, rng: random.Random) -> None:
        """Create a fault without injecting it.

        Args:
            processes: processes that the fault may affect.
            rng: random source of the fault's choices.
        """
        self._processes = processes
        self._rng = rng

    @abc.abstractmethod
    async def begin(self) -> None:
        """Inject the fault."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Remove the fault."""

    def _with_probability(self, percent: int) -> bool:
        return self._rng.randrange(_HUNDRED_PERCENT) < percent

    def _choose_instance(self) -> InstanceProcess:
        return self._rng.choice(self._processes.instances)


class Killed(Fault):
    """Instances are killed or terminated, and restarted later."""

    _signals: Sequence[signal.Signals] = (signal.SIGKILL, signal.SIGTERM)

    async def begin(self) -> None:
        """Signal one random instance, or sometimes all of them."""
        targets = self._processes.instances
        if not self._with_probability(_KILL_ALL_PERCENT):
            targets = [self._choose_instance()]
        self._targets = [(instance, instance.process) for instance in targets]
        for instance in targets:
            instance.expected_down = True
            instance.send_signal(self._rng.choice(self._signals))

    async def end(self) -> None:
        """Wait until the signalled processes have ended, and restart them."""
        for instance, process in self._targets:
            while process.poll() is None:
                await curio.sleep(to_seconds(Millis(20)))
            self._processes.start_instance(instance)


class Paused(Fault):
    """An instance is paused and resumed."""

    async def begin(self) -> None:
        """Send SIGSTOP to a random instance."""
        self._target = self._choose_instance()
        self._target.send_signal(signal.SIGSTOP)

    async def end(self) -> None:
        """Send SIGCONT to the instance."""
        self._target.send_signal(signal.SIGCONT)


class Reloaded(Fault):
    """Instances are told to reload their settings, twice."""

    async def begin(self) -> None:
        """Send SIGHUP to all instances that should be running."""
        for instance in self._processes.instances:
            if not instance.expected_down:
                instance.send_signal(signal.SIGHUP)

    async def end(self) -> None:
        """Send SIGHUP once more."""
        await self.begin()


class Linked(Fault):
    """A link to the store or to an executor delays or loses traffic."""

    async def begin(self) -> None:
        """Switch a random link to a random mode.

        Sometimes its open connections become stale, too.
        """
        links = [link.store_link for link in self._processes.instances]
        if self._with_probability(_EXECUTOR_LINK_PERCENT):
            links = self._processes.executor_links
        self._link = self._rng.choice(links)
        if self._with_probability(_STALE_CONNECTIONS_PERCENT):
            self._link.make_stale()
        mode = self._rng.choice(tuple(LinkMode))
        delay = Millis(self._rng.choice((5, 40, 250)))
        delayed = mode is LinkMode.DELAYED
        await self._link.switch_mode(mode, delay if delayed else Millis(0))

    async def end(self) -> None:
        """Let the link pass all traffic again."""
        await self._link.switch_mode(LinkMode.PASS)


class StoreTroubled(Fault):
    """The store is down, silent or slow, or loses answers or its history."""

    _fault_settings: tuple[_FaultSettings, ...] = (
        {'down': True},
        {'silent': True},
        {'answer_ms': 200},
        {'lose_answers': 4, 'late_ms': 0},
        {'lose_answers': 4, 'late_ms': 1500},
    )

    async def begin(self) -> None:
        """Inject a random fault into the store, sometimes drop its history."""
        if self._with_probability(_DROP_HISTORY_PERCENT):
            await self._processes.call_stand_in('forget', {})
        await self._processes.call_stand_in(
            'trouble', self._rng.choice(self._fault_settings)
        )

    async def end(self) -> None:
        """Remove the fault from the store."""
        await self._processes.call_stand_in(
            'trouble',
            {'down': False, 'silent': False, 'answer_ms': 0, 'lose_answers': 0},
        )


class ExecutorTroubled(Fault):
    """An executor hangs, fails, starts late, has a slow clock or reboots."""

    _fault_settings: tuple[_FaultSettings, ...] = (
        {'hang': True},
        {'fail_all': True},
        {'lose_starts': 3, 'late_ms': 700},
        {'lose_starts': 3, 'late_ms': 3000},
        {'clock_percent': 98},
        {'reboot': True},
    )

    async def begin(self) -> None:
        """Inject a random fault into a random executor."""
        self._worker = self._rng.randrange(len(self._processes.executor_links))
        await self._set_faults(self._rng.choice(self._fault_settings))

    async def end(self) -> None:
        """Remove the fault; the clock stays as it is."""
        await self._set_faults(
            {'hang': False, 'fail_all': False, 'lose_starts': 0}
        )

    async def _set_faults(self, settings: _FaultSettings) -> None:
        await self._processes.call_stand_in(
            'worker', {'worker': self._worker, 'trouble': settings}
        )


class Reconfigured(Fault):
    """Configuration versions follow each other; a key is withdrawn."""

    async def begin(self) -> None:
        """Write one to four versions without the second key."""
        for _ in range(self._rng.randint(1, 4)):
            await self._processes.configure(API_KEYS[:1])

    async def end(self) -> None:
        """Write a version that contains the key again."""
        await self._processes.configure(API_KEYS)


_FAULT_CLASSES: Sequence[type[Fault]] = (
    Killed,
    Killed,
    Paused,
    Reloaded,
    Linked,
    Linked,
    Linked,
    StoreTroubled,
    StoreTroubled,
    ExecutorTroubled,
    ExecutorTroubled,
    Reconfigured,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ScheduledFault:
    """A fault of a schedule.

    Attributes:
        kind: class of the fault.
        pause_ms: time from the begin of the previous fault, in ms.
        duration_ms: how long the fault lasts, in ms.
        seed: seed of the fault's choices.
    """

    kind: type[Fault]
    pause_ms: Millis
    duration_ms: Millis
    seed: int


def make_schedule(seed: int, length_ms: int) -> list[ScheduledFault]:
    """Create the fault schedule of a seed; the same seed gives the same one.

    Args:
        seed: seed of the schedule.
        length_ms: period in which faults begin, in ms.

    Returns:
        The faults in the order of their begin.
    """
    rng = random.Random(seed)
    schedule: list[ScheduledFault] = []
    elapsed = 0
    while elapsed < length_ms:
        duration = rng.randint(*_DURATION_MS_RANGE)
        pause = rng.randint(*_PAUSE_MS_RANGE)
        if schedule and rng.randrange(_HUNDRED_PERCENT) >= _OVERLAP_PERCENT:
            pause += schedule[-1].duration_ms
        elapsed += pause
        schedule.append(
            ScheduledFault(
                kind=rng.choice(_FAULT_CLASSES),
                pause_ms=Millis(pause),
                duration_ms=Millis(duration),
                seed=rng.randrange(1 << 30),
            )
        )
    return schedule


async def run_schedule(
    processes: Processes, schedule: list[ScheduledFault]
) -> None:
    """Run a schedule until its last fault has ended.

    Args:
        processes: processes that the faults affect.
        schedule: the faults in the order of their begin.
    """
    running = []
    for scheduled in schedule:
        await curio.sleep(to_seconds(scheduled.pause_ms))
        running.append(await curio.spawn(_run_fault, processes, scheduled))
    for fault in running:
        await fault.join()


async def _run_fault(processes: Processes, scheduled: ScheduledFault) -> None:
    fault = scheduled.kind(
        processes=processes, rng=random.Random(scheduled.seed)
    )
    await fault.begin()
    await curio.sleep(to_seconds(scheduled.duration_ms))
    await fault.end()
